package admin

import (
	"context"
	"encoding/json"
	"net/http"

	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// syncLedger updates the ledger entries of a stored object. It applies the latest stored value, not the one that the
// caller wrote: each entry is read before the object and updated on the condition that the entry is unchanged, so an
// earlier change cannot overwrite a later one. It is idempotent.
func (s *Server) syncLedger(ctx context.Context, o object.Value) error {
	switch v := o.(type) {
	case *object.Budget:
		return s.syncBudget(ctx, v)
	case *object.Organisation:
		return s.syncKeyLimits(ctx, v)
	}
	return nil
}

// ledgerPending converts the error of a ledger update that follows the stored change of an object.
func ledgerPending(v ident.ObjectVersion, err error) error {
	if err == nil {
		return nil
	}
	p := newProblem(http.StatusServiceUnavailable, codeLedgerPending,
		"version %d is stored, but its ledger entries are not up to date (%s); repeat the change with If-Match: %d", v, asProblem(err).Code, v)
	p.Version, p.RetryAfter = v, platformRetryAfter
	return p
}

// syncBudget creates the ledger entries of a budget and of its class limits, or updates their expiry, revocation and
// capacity.
func (s *Server) syncBudget(ctx context.Context, b *object.Budget) error {
	_, err := s.changeEntry(ctx, escrow.BudgetEntryID(b.ID), func(e *escrow.Entry) (bool, error) {
		var latest object.Budget
		if err := s.readObject(ctx, b.Key(), &latest); err != nil {
			return false, err
		}
		changed := e.SetExpiry(latest.ExpiresAt)
		if latest.Revoked {
			changed = e.Revoke() || changed
		}
		return changed, nil
	})
	if err != nil {
		return err
	}
	for _, l := range b.ClassLimits {
		_, err := s.changeEntry(ctx, escrow.ClassEntryID(b.ID, l.Class), func(e *escrow.Entry) (bool, error) {
			var latest object.Budget
			if err := s.readObject(ctx, b.Key(), &latest); err != nil {
				return false, err
			}
			return e.SetCapacity(currentClassLimit(latest, l))
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// currentClassLimit returns the limit of the class of l in b, or that of l if a later change removed it.
func currentClassLimit(b object.Budget, l object.ClassLimit) ident.Tokens {
	for _, current := range b.ClassLimits {
		if current.Class == l.Class {
			return current.Tokens
		}
	}
	return l.Tokens
}

// syncKeyLimits creates or updates the ledger entries for the limits of API keys.
func (s *Server) syncKeyLimits(ctx context.Context, o *object.Organisation) error {
	for _, k := range o.Keys {
		if k.LimitTokens == 0 || k.Revoked {
			continue
		}
		_, err := s.changeEntry(ctx, escrow.KeyEntryID(o.ID, k.ID), func(e *escrow.Entry) (bool, error) {
			var latest object.Organisation
			if err := s.readObject(ctx, o.Key(), &latest); err != nil {
				return false, err
			}
			return e.SetCapacity(currentKeyLimit(latest, k))
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// currentKeyLimit returns the limit of the key k in o, or that of k if a later change removed it.
func currentKeyLimit(o object.Organisation, k object.APIKey) ident.Tokens {
	for _, current := range o.Keys {
		if current.ID == k.ID && current.LimitTokens > 0 {
			return current.LimitTokens
		}
	}
	return k.LimitTokens
}

// readObject decodes a stored object into out.
func (s *Server) readObject(ctx context.Context, key object.Key, out object.Value) error {
	o, err := s.objects.Get(ctx, key)
	if err != nil {
		return err
	}
	return json.Unmarshal(o.Value, out)
}
