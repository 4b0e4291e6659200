package admin

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/http"

	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/store"
)

// NewKey is the body of a request for an API key. An empty secret asks for a generated one.
type NewKey struct {
	ID          ident.KeyID  `json:"id"`
	Class       ident.Class  `json:"class,omitempty"`
	LimitTokens ident.Tokens `json:"limit_tokens,omitempty"`
}

// CreatedKey is the only answer that shows the secret of an API key.
type CreatedKey struct {
	ID      ident.KeyID         `json:"id"`
	Secret  string              `json:"secret"`
	Version ident.ObjectVersion `json:"version"`
}

func newSecret() string {
	var b [24]byte
	_, _ = rand.Read(b[:])
	return "gs-" + hex.EncodeToString(b[:])
}

func (s *Server) createKey(ctx context.Context, q *request) error {
	var in NewKey
	if err := decodeStrict(q.body, &in); err != nil {
		return err
	}
	org := ident.OrgID(q.r.PathValue("id"))
	if in.LimitTokens > 0 && in.LimitTokens <= object.MaxTokens {
		if err := s.setLimit(ctx, escrow.KeyEntry(org, in.ID), in.LimitTokens); err != nil {
			return err
		}
	}
	secret := newSecret()
	v, err := s.changeOrg(ctx, q, "create_key", func(o *object.Organisation) error {
		o.Keys = append(o.Keys, object.APIKey{ID: in.ID, SHA256: Hash(secret), Class: in.Class, LimitTokens: in.LimitTokens})
		return nil
	})
	if err != nil {
		return err
	}
	writeJSON(q.w, http.StatusCreated, CreatedKey{ID: in.ID, Secret: secret, Version: v})
	return nil
}

func (s *Server) revokeKey(ctx context.Context, q *request) error {
	id := ident.KeyID(q.r.PathValue("key"))
	_, err := s.changeOrg(ctx, q, "revoke_key", func(o *object.Organisation) error {
		for i := range o.Keys {
			if o.Keys[i].ID == id {
				o.Keys[i].Revoked = true
				return nil
			}
		}
		return problem(http.StatusNotFound, "not_found", "the organisation has no such key")
	})
	if err != nil {
		return err
	}
	q.w.WriteHeader(http.StatusNoContent)
	return nil
}

// changeOrg changes an organisation by one conditional update on the version that was read, or on that of If-Match.
func (s *Server) changeOrg(ctx context.Context, q *request, action string, apply func(*object.Organisation) error) (ident.ObjectVersion, error) {
	key := object.Key{Kind: object.KindOrganisation, Name: q.r.PathValue("id")}
	cur, err := s.objects.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	cond := store.Match(cur.Version)
	if q.r.Header.Get("If-Match") != "" {
		if cond, err = condition(q.r); err != nil {
			return 0, err
		}
	}
	var org object.Organisation
	if err := json.Unmarshal(cur.Value, &org); err != nil {
		return 0, err
	}
	if err := apply(&org); err != nil {
		return 0, err
	}
	if faults := org.Validate(); len(faults) > 0 {
		return 0, invalid(faults)
	}
	raw, err := json.Marshal(org)
	if err != nil {
		return 0, err
	}
	var v ident.ObjectVersion
	err = s.audited(ctx, q, action, key, func() error {
		v, err = s.objects.PutResolved(ctx, key, raw, cond)
		return err
	})
	return v, err
}
