package admin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/store"
)

const (
	defaultPage = 100
	maxPage     = 1000
)

// Item is an object with its version.
type Item struct {
	Version ident.ObjectVersion `json:"version"`
	Value   json.RawMessage     `json:"value"`
}

// ItemPage is a page of a list. Next is the value of the parameter "after" for the next page.
type ItemPage struct {
	Items []Item `json:"items"`
	Next  string `json:"next,omitempty"`
}

func readBody(q *request) error {
	if q.r.Method == http.MethodGet {
		return nil
	}
	b, err := io.ReadAll(http.MaxBytesReader(q.w, q.r.Body, maxBody))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return problem(http.StatusRequestEntityTooLarge, "too_large", "the body is larger than %d bytes", maxBody)
	}
	if err != nil {
		return problem(http.StatusBadRequest, "malformed", "the body could not be read whole")
	}
	q.body = b
	return nil
}

func (s *Server) list(ctx context.Context, q *request, kind object.Kind) error {
	limit := defaultPage
	if v := q.r.URL.Query().Get("limit"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 1 || n > maxPage {
			return problem(http.StatusBadRequest, "malformed", "limit must be between 1 and %d", maxPage)
		}
		limit = n
	}
	page, err := s.objects.List(ctx, kind, q.r.URL.Query().Get("after"), limit)
	if err != nil {
		return err
	}
	out := ItemPage{Items: []Item{}, Next: page.Next}
	for _, o := range page.Objects {
		out.Items = append(out.Items, Item{o.Version, o.Value})
	}
	writeJSON(q.w, http.StatusOK, out)
	return nil
}

func (s *Server) get(ctx context.Context, q *request, c collection) error {
	o, err := s.objects.Get(ctx, object.Key{Kind: c.kind, Name: q.r.PathValue("id")})
	if err != nil {
		return err
	}
	q.w.Header().Set("ETag", etag(o.Version))
	writeJSON(q.w, http.StatusOK, Item{o.Version, o.Value})
	return nil
}

// current returns the stored object, or an object with version zero if there is none.
func (s *Server) current(ctx context.Context, key object.Key) (store.Object, error) {
	o, err := s.objects.Get(ctx, key)
	if errors.Is(err, store.ErrAbsent) {
		return store.Object{Key: key}, nil
	}
	return o, err
}

func (s *Server) put(ctx context.Context, q *request, c collection) error {
	pre, err := readPrecondition(q.r.Header)
	if err != nil {
		return err
	}
	o, err := decodeObject(c, q.r.PathValue("id"), q.body)
	if err != nil {
		return err
	}
	cur, err := s.current(ctx, o.Key())
	if err != nil {
		return err
	}
	if err := pre.check(cur.Version); err != nil {
		return err
	}
	if err := s.checkChange(ctx, cur, o); err != nil {
		return err
	}
	raw, err := json.Marshal(o)
	if err != nil {
		return err
	}
	var version ident.ObjectVersion
	err = s.audited(ctx, q, act{name: "put", key: o.Key()}, func(ctx context.Context) (err error) {
		version, err = s.objects.PutResolved(ctx, o.Key(), raw, pre.cond())
		if errors.Is(err, store.ErrConflict) && !pre.named {
			err = pre.check(asProblem(err).Version)
		}
		if err != nil {
			return err
		}
		// The ledger follows the stored object. A change that lost a race must not touch it.
		return pending(version, s.syncLedger(ctx, o))
	})
	if err != nil {
		return err
	}
	q.w.Header().Set("ETag", etag(version))
	writeJSON(q.w, http.StatusOK, Item{version, raw})
	return nil
}

func (s *Server) remove(ctx context.Context, q *request, c collection) error {
	pre, err := readPrecondition(q.r.Header)
	if err != nil {
		return err
	}
	if pre.version == 0 {
		return problem(http.StatusPreconditionRequired, "version_required", "If-Match is required")
	}
	if c.kind == object.KindBudget {
		return problem(http.StatusConflict, "in_use", "a budget is revoked, not deleted, because its ledger must stay")
	}
	key := object.Key{Kind: c.kind, Name: q.r.PathValue("id")}
	cur, err := s.objects.Get(ctx, key)
	if err != nil {
		return err
	}
	if err := pre.check(cur.Version); err != nil {
		return err
	}
	err = s.audited(ctx, q, act{name: "delete", key: key}, func(ctx context.Context) error {
		return s.deleteResolved(ctx, key, pre)
	})
	if err != nil {
		return err
	}
	q.w.WriteHeader(http.StatusNoContent)
	return nil
}

// maxDeletes bounds the calls for one removal.
const maxDeletes = 3

// deleteResolved removes an object and resolves a lost reply by reading it back. An absent object is removed, and one
// that still has the demanded version is removed again.
func (s *Server) deleteResolved(ctx context.Context, key object.Key, pre precondition) error {
	for n := 1; ; n++ {
		_, err := s.objects.Delete(ctx, key, pre.cond())
		if err == nil {
			return nil
		}
		if !errors.Is(err, store.ErrUnknown) && n == 1 {
			return err
		}
		cur, readErr := s.current(ctx, key)
		switch {
		case readErr != nil:
			return unknownOutcome()
		case cur.Version == 0:
			return nil
		case n >= maxDeletes || cur.Version != pre.version:
			return unknownOutcome()
		}
	}
}
