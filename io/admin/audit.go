package admin

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/http"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/store"
)

// auditTime sorts as text.
const auditTime = "20060102T150405.000000000Z"

// audited writes an audit record, makes the change and adds the result to the record. A change that
// cannot be recorded is not made. A record without a result means that the router stopped in between.
func (s *Server) audited(ctx context.Context, q *request, action string, key object.Key, change func() error) error {
	now := s.clock.Now().UTC()
	var nonce [4]byte
	_, _ = rand.Read(nonce[:])
	rec := object.Audit{
		Format: object.Format, ID: now.Format(auditTime) + "-" + hex.EncodeToString(nonce[:]),
		At: now, Who: q.who.ID, Action: action, Object: key,
	}
	version, err := s.putAudit(ctx, rec, store.Absent())
	if err != nil {
		return err
	}
	changeErr := change()
	rec.Detail = "done"
	if changeErr != nil {
		rec.Detail = "refused: " + asProblem(changeErr).Code
	}
	if _, err := s.putAudit(ctx, rec, store.Match(version)); err != nil {
		s.log.Warn("result of an audited change could not be recorded", "audit", rec.ID, "error", err)
	}
	s.log.Info("operator change", "operator", rec.Who, "action", action, "kind", key.Kind, "object", key.Name, "result", rec.Detail)
	return changeErr
}

func (s *Server) putAudit(ctx context.Context, rec object.Audit, cond store.Condition) (ident.ObjectVersion, error) {
	raw, err := json.Marshal(rec)
	if err != nil {
		return 0, err
	}
	return s.objects.PutResolved(ctx, rec.Key(), raw, cond)
}

func (s *Server) listAudit(ctx context.Context, q *request) error {
	return s.list(ctx, q, object.KindAudit)
}

func (s *Server) status(ctx context.Context, q *request) error {
	writeJSON(q.w, http.StatusOK, s.fleet.Status(ctx))
	return nil
}
