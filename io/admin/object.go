package admin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"geraniumsaddle/core/escrow"
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

func (s *Server) put(ctx context.Context, q *request, c collection) error {
	cond, err := condition(q.r)
	if err != nil {
		return err
	}
	o, err := decodeObject(c, q.r.PathValue("id"), q.body)
	if err != nil {
		return err
	}
	if err := s.checkReferences(ctx, o); err != nil {
		return err
	}
	raw, err := json.Marshal(o)
	if err != nil {
		return err
	}
	var version ident.ObjectVersion
	err = s.audited(ctx, q, "put", o.Key(), func() error {
		if b, ok := o.(*object.Budget); ok {
			if err := s.openLedger(ctx, *b); err != nil {
				return err
			}
		}
		version, err = s.objects.PutResolved(ctx, o.Key(), raw, cond)
		return err
	})
	if err != nil {
		return err
	}
	q.w.Header().Set("ETag", etag(version))
	writeJSON(q.w, http.StatusOK, Item{version, raw})
	return nil
}

func (s *Server) remove(ctx context.Context, q *request, c collection) error {
	if q.r.Header.Get("If-Match") == "" {
		return problem(http.StatusPreconditionRequired, "version_required", "If-Match is required")
	}
	cond, err := condition(q.r)
	if err != nil {
		return err
	}
	if c.kind == object.KindBudget {
		return problem(http.StatusConflict, "in_use", "a budget is revoked, not deleted, because its ledger must stay")
	}
	key := object.Key{Kind: c.kind, Name: q.r.PathValue("id")}
	err = s.audited(ctx, q, "delete", key, func() error {
		_, err := s.objects.Delete(ctx, key, cond)
		return err
	})
	if err != nil {
		return err
	}
	q.w.WriteHeader(http.StatusNoContent)
	return nil
}

// checkReferences refuses objects that name objects which do not exist.
func (s *Server) checkReferences(ctx context.Context, o object.Value) error {
	var faults object.Faults
	switch v := o.(type) {
	case *object.Organisation:
		for i, b := range v.Budgets {
			s.require(ctx, &faults, "budgets["+strconv.Itoa(i)+"]", object.Key{Kind: object.KindBudget, Name: string(b)})
		}
	case *object.Release:
		s.checkVersions(ctx, &faults, v)
		if len(faults) == 0 {
			faults = append(faults, s.fleet.CheckRelease(ctx, *v)...)
		}
	}
	if len(faults) > 0 {
		return invalid(faults)
	}
	return nil
}

func (s *Server) checkVersions(ctx context.Context, faults *object.Faults, r *object.Release) {
	for i, c := range r.Added {
		s.require(ctx, faults, "added["+strconv.Itoa(i)+"].version", versionKey(c.Version))
	}
	for i, c := range r.Changed {
		s.require(ctx, faults, "changed["+strconv.Itoa(i)+"].version", versionKey(c.Version))
		s.require(ctx, faults, "changed["+strconv.Itoa(i)+"].replaces", versionKey(c.Replaces))
	}
	for i, v := range r.Withdrawn {
		s.require(ctx, faults, "withdrawn["+strconv.Itoa(i)+"]", versionKey(v))
	}
	if !r.FinishAt.After(s.clock.Now()) {
		*faults = append(*faults, object.Fault{Path: "finish_at", Message: "must be in the future"})
	}
}

func versionKey(v ident.VersionID) object.Key {
	return object.Key{Kind: object.KindVersion, Name: string(v)}
}

func (s *Server) require(ctx context.Context, faults *object.Faults, path string, key object.Key) {
	_, err := s.objects.Get(ctx, key)
	if errors.Is(err, store.ErrAbsent) {
		*faults = append(*faults, object.Fault{Path: path, Message: string(key.Kind) + "/" + key.Name + " does not exist"})
	}
}

// openLedger makes the ledger entries of a budget and of its class limits, and applies revocation and expiry to them.
func (s *Server) openLedger(ctx context.Context, b object.Budget) error {
	_, err := s.changeEntry(ctx, escrow.BudgetEntry(b.ID), func(e *escrow.Entry) (bool, error) {
		changed := e.SetExpiry(b.ExpiresAt)
		if b.Revoked {
			changed = e.Revoke() || changed
		}
		return changed, nil
	})
	if err != nil {
		return err
	}
	for _, l := range b.ClassLimits {
		if err := s.setLimit(ctx, escrow.ClassEntry(b.ID, l.Class), l.Tokens); err != nil {
			return err
		}
	}
	return nil
}
