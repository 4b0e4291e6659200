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
// cannot be recorded is not made. A record that stays "started" means that the router stopped in between.
//
// The change runs to its end even if the operator's connection is lost, so that its result is recorded.
func (s *Server) audited(ctx context.Context, q *request, a act, change func(ctx context.Context) error) error {
	ctx = context.WithoutCancel(ctx)
	now := s.clock.Now().UTC()
	var nonce [4]byte
	_, _ = rand.Read(nonce[:])
	rec := object.Audit{
		Format: object.Format, ID: now.Format(auditTime) + "-" + hex.EncodeToString(nonce[:]),
		At: now, Who: q.who.ID, Action: a.name, Object: a.key, Detail: a.result("started"),
	}
	version, err := s.putAudit(ctx, rec, store.Absent())
	if err != nil {
		p := problem(http.StatusServiceUnavailable, "audit_unavailable", "the audit record could not be written, so nothing was changed")
		p.RetryAfter = platformRetry
		return p
	}
	changeErr := change(ctx)
	rec.Detail = a.result("done")
	if changeErr != nil {
		rec.Detail = a.result(failure(asProblem(changeErr)))
	}
	if _, err := s.putAudit(ctx, rec, store.Match(version)); err != nil {
		s.log.Warn("result of an audited change could not be recorded", "audit", rec.ID, "error", err)
	}
	s.log.Info("operator change", "operator", rec.Who, "action", a.name, "kind", a.key.Kind, "object", a.key.Name, "result", rec.Detail)
	return changeErr
}

// act is what an audit record says about a change.
type act struct {
	name   string
	key    object.Key
	detail string
}

func (a act) result(r string) string {
	if a.detail == "" {
		return r
	}
	return r + ": " + a.detail
}

// failure names the result of a change that was not confirmed.
func failure(p *Problem) string {
	switch p.Code {
	case codeUnknown, codePending:
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

func (s *Server) listAudit(ctx context.Context, q *request) error {
	return s.list(ctx, q, object.KindAudit)
}

func (s *Server) status(ctx context.Context, q *request) error {
	writeJSON(q.w, http.StatusOK, s.fleet.Status(ctx))
	return nil
}
