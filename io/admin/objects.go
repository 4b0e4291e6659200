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
	defaultPageSize = 100
	maxPageSize     = 1000
)

// Item is a stored object with its version.
type Item struct {
	Version ident.ObjectVersion `json:"version"`
	Value   json.RawMessage     `json:"value"`
}

// ItemPage is one page of a list. Next is the value of the "after" parameter that selects the next page.
type ItemPage struct {
	Items []Item `json:"items"`
	Next  string `json:"next,omitempty"`
}

// readBody reads the request body into req.body. GET requests have none.
func readBody(req *request) error {
	if req.r.Method == http.MethodGet {
		return nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(req.w, req.r.Body, maxBodyBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return newProblem(http.StatusRequestEntityTooLarge, "too_large", "the body is larger than %d bytes", maxBodyBytes)
	}
	if err != nil {
		return newProblem(http.StatusBadRequest, "malformed", "the body could not be read whole")
	}
	req.body = body
	return nil
}

func (s *Server) listObjects(ctx context.Context, req *request, kind object.Kind) error {
	limit := defaultPageSize
	if v := req.r.URL.Query().Get("limit"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 1 || n > maxPageSize {
			return newProblem(http.StatusBadRequest, "malformed", "limit must be between 1 and %d", maxPageSize)
		}
		limit = n
	}
	page, err := s.objects.List(ctx, kind, req.r.URL.Query().Get("after"), limit)
	if err != nil {
		return err
	}
	out := ItemPage{Items: []Item{}, Next: page.Next}
	for _, o := range page.Objects {
		out.Items = append(out.Items, Item{o.Version, o.Value})
	}
	writeJSON(req.w, http.StatusOK, out)
	return nil
}

func (s *Server) getObject(ctx context.Context, req *request, c collection) error {
	o, err := s.objects.Get(ctx, object.Key{Kind: c.kind, Name: req.r.PathValue("id")})
	if err != nil {
		return err
	}
	req.w.Header().Set("ETag", etag(o.Version))
	writeJSON(req.w, http.StatusOK, Item{o.Version, o.Value})
	return nil
}

// currentObject returns the stored object, or one with version zero if it does not exist.
func (s *Server) currentObject(ctx context.Context, key object.Key) (store.Object, error) {
	o, err := s.objects.Get(ctx, key)
	if errors.Is(err, store.ErrAbsent) {
		return store.Object{Key: key}, nil
	}
	return o, err
}

func (s *Server) putObject(ctx context.Context, req *request, c collection) error {
	precondition, err := parsePrecondition(req.r.Header)
	if err != nil {
		return err
	}
	o, err := decodeNamedObject(c, req.r.PathValue("id"), req.body)
	if err != nil {
		return err
	}
	current, err := s.currentObject(ctx, o.Key())
	if err != nil {
		return err
	}
	if err := precondition.check(current.Version); err != nil {
		return err
	}
	if err := s.checkChange(ctx, current, o); err != nil {
		return err
	}
	raw, err := json.Marshal(o)
	if err != nil {
		return err
	}
	var version ident.ObjectVersion
	err = s.withAudit(ctx, req, auditAction{name: "put", key: o.Key()}, func(ctx context.Context) (err error) {
		version, err = s.objects.PutResolved(ctx, o.Key(), raw, precondition.condition())
		if errors.Is(err, store.ErrConflict) && !precondition.explicit {
			err = precondition.check(asProblem(err).Version)
		}
		if err != nil {
			return err
		}
		// The ledger is updated only after the object is stored: a change that lost a race must not affect it.
		return ledgerPending(version, s.syncLedger(ctx, o))
	})
	if err != nil {
		return err
	}
	req.w.Header().Set("ETag", etag(version))
	writeJSON(req.w, http.StatusOK, Item{version, raw})
	return nil
}

func (s *Server) deleteObject(ctx context.Context, req *request, c collection) error {
	precondition, err := parsePrecondition(req.r.Header)
	if err != nil {
		return err
	}
	if precondition.version == 0 {
		return newProblem(http.StatusPreconditionRequired, "version_required", "If-Match is required")
	}
	if c.kind == object.KindBudget {
		return newProblem(http.StatusConflict, "in_use", "a budget is revoked, not deleted, because its ledger must stay")
	}
	key := object.Key{Kind: c.kind, Name: req.r.PathValue("id")}
	current, err := s.objects.Get(ctx, key)
	if err != nil {
		return err
	}
	if err := precondition.check(current.Version); err != nil {
		return err
	}
	err = s.withAudit(ctx, req, auditAction{name: "delete", key: key}, func(ctx context.Context) error {
		return s.deleteResolved(ctx, key, precondition)
	})
	if err != nil {
		return err
	}
	req.w.WriteHeader(http.StatusNoContent)
	return nil
}

// maxDeleteAttempts limits the delete calls to the platform for one request.
const maxDeleteAttempts = 3

// deleteResolved deletes an object. If the reply is lost, it reads the object back: an absent object counts as deleted,
// and the delete is repeated if the object still has the required version.
func (s *Server) deleteResolved(ctx context.Context, key object.Key, precondition requestPrecondition) error {
	for attempt := 1; ; attempt++ {
		_, err := s.objects.Delete(ctx, key, precondition.condition())
		if err == nil {
			return nil
		}
		if !errors.Is(err, store.ErrUnknown) && attempt == 1 {
			return err
		}
		current, readErr := s.currentObject(ctx, key)
		switch {
		case readErr != nil:
			return unknownOutcome()
		case current.Version == 0:
			return nil
		case attempt >= maxDeleteAttempts || current.Version != precondition.version:
			return unknownOutcome()
		}
	}
}
