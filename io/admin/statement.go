package admin

import (
	"context"
	"net/http"
	"time"

	"geraniumsaddle/core/ident"
)

// statement serves the statement of an organisation for a month as JSON or CSV.
func (s *Server) statement(ctx context.Context, q *request) error {
	at := s.clock.Now()
	if v := q.r.URL.Query().Get("month"); v != "" {
		t, err := time.Parse("2006-01", v)
		if err != nil {
			return problem(http.StatusBadRequest, "malformed", "month must have the form 2006-01")
		}
		at = t
	}
	st, err := s.fleet.Statement(ctx, ident.OrgID(q.r.PathValue("id")), at)
	if err != nil {
		return err
	}
	switch q.r.URL.Query().Get("format") {
	case "", "json":
		writeJSON(q.w, http.StatusOK, st)
		return nil
	case "csv":
		q.w.Header().Set("Content-Type", "text/csv; charset=utf-8")
		return st.WriteCSV(q.w)
	}
	return problem(http.StatusBadRequest, "malformed", "format must be json or csv")
}
