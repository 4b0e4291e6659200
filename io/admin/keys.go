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

// CreateKeyRequest is the body of a request that creates an API key. The server generates the secret.
type CreateKeyRequest struct {
	ID          ident.KeyID  `json:"id"`
	Class       ident.Class  `json:"class,omitempty"`
	LimitTokens ident.Tokens `json:"limit_tokens,omitempty"`
}

func (k CreateKeyRequest) validate() object.Faults {
	var faults object.Faults
	if !object.ValidID(string(k.ID)) {
		faults = append(faults, object.Fault{Path: "id", Message: "must be 1 to 64 letters, digits, '.', '_' or '-'"})
	}
	if k.Class != "" && !object.ValidID(string(k.Class)) {
		faults = append(faults, object.Fault{Path: "class", Message: "must be 1 to 64 letters, digits, '.', '_' or '-'"})
	}
	if k.LimitTokens < 0 || k.LimitTokens > object.MaxTokens {
		faults = append(faults, object.Fault{Path: "limit_tokens", Message: "must be between 0 and 2^50"})
	}
	return faults
}

// CreatedKey is the response to CreateKeyRequest, the only one that contains the secret of an API key.
type CreatedKey struct {
	ID      ident.KeyID         `json:"id"`
	Secret  string              `json:"secret"`
	Version ident.ObjectVersion `json:"version"`
	// Pending is the reason why the key's limit is not in the ledger yet, if any. The key cannot be used until the
	// organisation is put again.
	Pending string `json:"pending,omitempty"`
}

func newSecret() string {
	var b [24]byte
	_, _ = rand.Read(b[:])
	return "gs-" + hex.EncodeToString(b[:])
}

func (s *Server) createKey(ctx context.Context, req *request) error {
	var in CreateKeyRequest
	faults, err := decodeStrict(req.body, &in)
	if err != nil {
		return err
	}
	if faults = mergeFaults(faults, in.validate()); len(faults) > 0 {
		return invalidFields(faults)
	}
	out := CreatedKey{ID: in.ID, Secret: newSecret()}
	stored := object.APIKey{ID: in.ID, SHA256: HashSecret(out.Secret), Class: in.Class, LimitTokens: in.LimitTokens}
	out.Version, err = s.changeOrg(ctx, req, "create_key", in.ID, func(o *object.Organisation) error {
		for _, k := range o.Keys {
			if k.ID == in.ID {
				return newProblem(http.StatusConflict, "exists", "the organisation has a key %q", in.ID)
			}
		}
		o.Keys = append(o.Keys, stored)
		return nil
	})
	var p *Problem
	if errors.As(err, &p) && p.Code == codeLedgerPending {
		// The key is stored. An error response would lose its secret.
		out.Version, out.Pending, err = p.Version, p.Message, nil
	}
	if err != nil {
		return err
	}
	req.w.Header().Set("ETag", etag(out.Version))
	writeJSON(req.w, http.StatusCreated, out)
	return nil
}

func (s *Server) revokeKey(ctx context.Context, req *request) error {
	keyID := ident.KeyID(req.r.PathValue("key"))
	_, err := s.changeOrg(ctx, req, "revoke_key", keyID, func(o *object.Organisation) error {
		for i := range o.Keys {
			if o.Keys[i].ID == keyID {
				o.Keys[i].Revoked = true
				return nil
			}
		}
		return newProblem(http.StatusNotFound, codeNotFound, "the organisation has no key %q", keyID)
	})
	if err != nil {
		return err
	}
	req.w.WriteHeader(http.StatusNoContent)
	return nil
}

// changeOrg changes an API key of an organisation by a conditional update. On a conflict without an explicit
// precondition it applies the change again to the latest version, because a change of one key does not depend on the
// other fields.
func (s *Server) changeOrg(ctx context.Context, req *request, action string, keyID ident.KeyID, apply func(*object.Organisation) error) (ident.ObjectVersion, error) {
	precondition, err := parsePrecondition(req.r.Header)
	if err != nil {
		return 0, err
	}
	key := object.Key{Kind: object.KindOrganisation, Name: req.r.PathValue("id")}
	if _, err := s.objects.Get(ctx, key); err != nil {
		return 0, err
	}
	var version ident.ObjectVersion
	err = s.withAudit(ctx, req, auditAction{name: action, key: key, detail: "key " + string(keyID)}, func(ctx context.Context) (err error) {
		for range maxUpdateAttempts {
			version, err = s.tryChangeOrg(ctx, key, precondition, apply)
			if precondition.explicit || !errors.Is(err, store.ErrConflict) {
				return err
			}
		}
		return err
	})
	return version, err
}

// tryChangeOrg makes one attempt to update an organisation and then its ledger entries.
func (s *Server) tryChangeOrg(ctx context.Context, key object.Key, precondition requestPrecondition, apply func(*object.Organisation) error) (ident.ObjectVersion, error) {
	current, err := s.objects.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	if precondition.explicit && precondition.version != current.Version {
		return 0, staleVersion(current.Version)
	}
	var org object.Organisation
	if err := json.Unmarshal(current.Value, &org); err != nil {
		return 0, err
	}
	if err := apply(&org); err != nil {
		return 0, err
	}
	if faults := org.Validate(); len(faults) > 0 {
		return 0, invalidFields(faults)
	}
	raw, err := json.Marshal(org)
	if err != nil {
		return 0, err
	}
	v, err := s.objects.PutResolved(ctx, key, raw, store.Match(current.Version))
	if err != nil {
		return 0, err
	}
	return v, ledgerPending(v, s.syncLedger(ctx, &org))
}
