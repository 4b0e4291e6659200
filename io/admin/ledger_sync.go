package admin

import (
	"context"
	"encoding/json"
	"net/http"

	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// syncLedger brings the ledger entries of a stored object up to date. It applies the object that is stored at the
// time, not the one that the caller wrote: an entry is read before the object and updated on the condition that it is
// unchanged, so an earlier change cannot overwrite a later one. Repeating it has no further effect.
func (s *Server) syncLedger(ctx context.Context, o object.Value) error {
	switch v := o.(type) {
	case *object.Budget:
		return s.syncBudget(ctx, v)
	case *object.Organisation:
		return s.syncKeys(ctx, v)
	}
	return nil
}

// pending reports that an object is stored while its ledger entries could not be updated.
func pending(v ident.ObjectVersion, err error) error {
	if err == nil {
		return nil
	}
	p := problem(http.StatusServiceUnavailable, codePending,
		"version %d is stored, but its ledger entries are not up to date (%s); repeat the change with If-Match: %d", v, asProblem(err).Code, v)
	p.Version, p.RetryAfter = v, platformRetry
	return p
}

// syncBudget opens the entries of a budget and of its class limits, and applies revocation and expiry.
func (s *Server) syncBudget(ctx context.Context, b *object.Budget) error {
	_, err := s.changeEntry(ctx, escrow.BudgetEntryID(b.ID), func(e *escrow.Entry) (bool, error) {
		var now object.Budget
		if err := s.read(ctx, b.Key(), &now); err != nil {
			return false, err
		}
		changed := e.SetExpiry(now.ExpiresAt)
		if now.Revoked {
			changed = e.Revoke() || changed
		}
		return changed, nil
	})
	if err != nil {
		return err
	}
	for _, l := range b.ClassLimits {
		_, err := s.changeEntry(ctx, escrow.ClassEntryID(b.ID, l.Class), func(e *escrow.Entry) (bool, error) {
			var now object.Budget
			if err := s.read(ctx, b.Key(), &now); err != nil {
				return false, err
			}
			return e.SetCapacity(classLimit(now, l))
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// classLimit returns the present limit of a class, or l if a later change removed it.
func classLimit(b object.Budget, l object.ClassLimit) ident.Tokens {
	for _, now := range b.ClassLimits {
		if now.Class == l.Class {
			return now.Tokens
		}
	}
	return l.Tokens
}

// syncKeys opens the entries of the limits of API keys.
func (s *Server) syncKeys(ctx context.Context, o *object.Organisation) error {
	for _, k := range o.Keys {
		if k.LimitTokens == 0 || k.Revoked {
			continue
		}
		_, err := s.changeEntry(ctx, escrow.KeyEntryID(o.ID, k.ID), func(e *escrow.Entry) (bool, error) {
			var now object.Organisation
			if err := s.read(ctx, o.Key(), &now); err != nil {
				return false, err
			}
			return e.SetCapacity(keyLimit(now, k))
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// keyLimit returns the present limit of a key, or that of k if a later change removed it.
func keyLimit(o object.Organisation, k object.APIKey) ident.Tokens {
	for _, now := range o.Keys {
		if now.ID == k.ID && now.LimitTokens > 0 {
			return now.LimitTokens
		}
	}
	return k.LimitTokens
}

// read decodes a stored object.
func (s *Server) read(ctx context.Context, key object.Key, out object.Value) error {
	o, err := s.objects.Get(ctx, key)
	if err != nil {
		return err
	}
	return json.Unmarshal(o.Value, out)
}
