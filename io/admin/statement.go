package admin

import (
	"context"
	"net/http"
	"time"

	"geraniumsaddle/core/ident"
)

// getStatement serves the statement of an organisation for a month as JSON or CSV.
func (s *Server) getStatement(ctx context.Context, req *request) error {
	at := s.clock.Now()
	if v := req.r.URL.Query().Get("month"); v != "" {
		t, err := time.Parse("2006-01", v)
		if err != nil {
			return newProblem(http.StatusBadRequest, "malformed", "month must have the form 2006-01")
		}
		at = t
	}
	statement, err := s.fleet.Statement(ctx, ident.OrgID(req.r.PathValue("id")), at)
	if err != nil {
		return err
	}
	switch req.r.URL.Query().Get("format") {
	case "", "json":
		writeJSON(req.w, http.StatusOK, statement)
		return nil
	case "csv":
		req.w.Header().Set("Content-Type", "text/csv; charset=utf-8")
		return statement.WriteCSV(req.w)
	}
	return newProblem(http.StatusBadRequest, "malformed", "format must be json or csv")
}
