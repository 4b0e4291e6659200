package admin

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/store"
)

// CreateKeyRequest is the body of a request for an API key. The server makes the secret.
type CreateKeyRequest struct {
	ID          ident.KeyID  `json:"id"`
	Class       ident.Class  `json:"class,omitempty"`
	LimitTokens ident.Tokens `json:"limit_tokens,omitempty"`
}

func (k CreateKeyRequest) validate() object.Faults {
	var f object.Faults
	if !object.ValidID(string(k.ID)) {
		f = append(f, object.Fault{Path: "id", Message: "must be 1 to 64 letters, digits, '.', '_' or '-'"})
	}
	if k.Class != "" && !object.ValidID(string(k.Class)) {
		f = append(f, object.Fault{Path: "class", Message: "must be 1 to 64 letters, digits, '.', '_' or '-'"})
	}
	if k.LimitTokens < 0 || k.LimitTokens > object.MaxTokens {
		f = append(f, object.Fault{Path: "limit_tokens", Message: "must be between 0 and 2^50"})
	}
	return f
}

// CreatedKey is the only answer that shows the secret of an API key.
type CreatedKey struct {
	ID      ident.KeyID         `json:"id"`
	Secret  string              `json:"secret"`
	Version ident.ObjectVersion `json:"version"`
	// Pending says why the key's limit is not in the ledger yet. The key is of no use until the organisation is put again.
	Pending string `json:"pending,omitempty"`
}

func newSecret() string {
	var b [24]byte
	_, _ = rand.Read(b[:])
	return "gs-" + hex.EncodeToString(b[:])
}

func (s *Server) createKey(ctx context.Context, q *request) error {
	var in CreateKeyRequest
	faults, err := decodeStrict(q.body, &in)
	if err != nil {
		return err
	}
	if faults = join(faults, in.validate()); len(faults) > 0 {
		return invalid(faults)
	}
	out := CreatedKey{ID: in.ID, Secret: newSecret()}
	row := object.APIKey{ID: in.ID, SHA256: HashSecret(out.Secret), Class: in.Class, LimitTokens: in.LimitTokens}
	out.Version, err = s.changeOrg(ctx, q, "create_key", in.ID, func(o *object.Organisation) error {
		for _, k := range o.Keys {
			if k.ID == in.ID {
				return problem(http.StatusConflict, "exists", "the organisation has a key %q", in.ID)
			}
		}
		o.Keys = append(o.Keys, row)
		return nil
	})
	var p *Problem
	if errors.As(err, &p) && p.Code == codePending {
		// The key exists. A refusal would lose its secret.
		out.Version, out.Pending, err = p.Version, p.Message, nil
	}
	if err != nil {
		return err
	}
	q.w.Header().Set("ETag", etag(out.Version))
	writeJSON(q.w, http.StatusCreated, out)
	return nil
}

func (s *Server) revokeKey(ctx context.Context, q *request) error {
	id := ident.KeyID(q.r.PathValue("key"))
	_, err := s.changeOrg(ctx, q, "revoke_key", id, func(o *object.Organisation) error {
		for i := range o.Keys {
			if o.Keys[i].ID == id {
				o.Keys[i].Revoked = true
				return nil
			}
		}
		return problem(http.StatusNotFound, codeAbsent, "the organisation has no key %q", id)
	})
	if err != nil {
		return err
	}
	q.w.WriteHeader(http.StatusNoContent)
	return nil
}

// changeOrg changes the keys of an organisation by a conditional update. Without If-Match it repeats the change on the
// organisation as another operator left it, because a change of one key does not depend on the rest.
func (s *Server) changeOrg(ctx context.Context, q *request, action string, id ident.KeyID, apply func(*object.Organisation) error) (ident.ObjectVersion, error) {
	pre, err := readPrecondition(q.r.Header)
	if err != nil {
		return 0, err
	}
	key := object.Key{Kind: object.KindOrganisation, Name: q.r.PathValue("id")}
	if _, err := s.objects.Get(ctx, key); err != nil {
		return 0, err
	}
	var v ident.ObjectVersion
	err = s.audited(ctx, q, act{name: action, key: key, detail: "key " + string(id)}, func(ctx context.Context) (err error) {
		for range maxAttempts {
			v, err = s.tryOrg(ctx, key, pre, apply)
			if pre.named || !errors.Is(err, store.ErrConflict) {
				return err
			}
		}
		return err
	})
	return v, err
}

func (s *Server) tryOrg(ctx context.Context, key object.Key, pre precondition, apply func(*object.Organisation) error) (ident.ObjectVersion, error) {
	cur, err := s.objects.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	if pre.named && pre.version != cur.Version {
		return 0, stale(cur.Version)
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
	v, err := s.objects.PutResolved(ctx, key, raw, store.Match(cur.Version))
	if err != nil {
		return 0, err
	}
	return v, pending(v, s.syncLedger(ctx, &org))
}
