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

// auditIDTimeFormat starts the ID of an audit record. IDs sort by time, because all its parts have a fixed width.
const auditIDTimeFormat = "20060102T150405.000000000Z"

// withAudit writes an audit record, runs change and updates the record with the result. If the record cannot be
// written, the change is not made. A record that stays "started" means that the router stopped before it could write
// the result, or that this write failed.
//
// The change is not cancelled when the operator's connection is lost, so that its result can be recorded.
func (s *Server) withAudit(ctx context.Context, req *request, a auditAction, change func(ctx context.Context) error) error {
	ctx = context.WithoutCancel(ctx)
	now := s.clock.Now().UTC()
	var nonce [4]byte
	_, _ = rand.Read(nonce[:])
	rec := object.Audit{
		Format: object.Format, ID: now.Format(auditIDTimeFormat) + "-" + hex.EncodeToString(nonce[:]),
		At: now, Who: req.operator.ID, Action: a.name, Object: a.key, Detail: a.detailWith("started"),
	}
	version, err := s.putAudit(ctx, rec, store.Absent())
	if err != nil {
		p := newProblem(http.StatusServiceUnavailable, "audit_unavailable", "the audit record could not be written, so nothing was changed")
		p.RetryAfter = platformRetryAfter
		return p
	}
	changeErr := change(ctx)
	rec.Detail = a.detailWith("done")
	if changeErr != nil {
		rec.Detail = a.detailWith(failureResult(asProblem(changeErr)))
	}
	if _, err := s.putAudit(ctx, rec, store.Match(version)); err != nil {
		s.log.Warn("result of an audited change could not be recorded", "audit", rec.ID, "error", err)
	}
	s.log.Info("operator change", "operator", rec.Who, "action", a.name, "kind", a.key.Kind, "object", a.key.Name, "result", rec.Detail)
	return changeErr
}

// auditAction describes a change in an audit record.
type auditAction struct {
	name   string
	key    object.Key
	detail string
}

// detailWith returns the detail of the audit record for a result.
func (a auditAction) detailWith(result string) string {
	if a.detail == "" {
		return result
	}
	return result + ": " + a.detail
}

// failureResult returns the audit result of a failed change: "refused" with the code, or only the code if the change
// may have taken effect.
func failureResult(p *Problem) string {
	switch p.Code {
	case codeOutcomeUnknown, codeLedgerPending:
		return p.Code
	}
	return "refused " + p.Code
}

func (s *Server) putAudit(ctx context.Context, rec object.Audit, cond store.Condition) (ident.ObjectVersion, error) {
	raw, err := json.Marshal(rec)
	if err != nil {
		return 0, err
	}
	return s.objects.PutResolved(ctx, rec.Key(), raw, cond)
}

func (s *Server) listAudit(ctx context.Context, req *request) error {
	return s.listObjects(ctx, req, object.KindAudit)
}

func (s *Server) getStatus(ctx context.Context, req *request) error {
	writeJSON(req.w, http.StatusOK, s.fleet.Status(ctx))
	return nil
}
