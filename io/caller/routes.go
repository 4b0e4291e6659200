package caller

import (
	"context"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"geraniumsaddle/core/ident"
)

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      ident.ModelID `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	OwnedBy string        `json:"owned_by"`
}

type operationToken struct {
	IdempotencyKey string `json:"idempotency_key"`
}

// respondJSON writes the JSON answer of a route that the router serves itself.
func respondJSON(x *exchange, v any) error {
	x.w.Header().Set("Request-Outcome", string(ident.OutcomeRun))
	_ = writeJSON(x.w, http.StatusOK, v)
	return nil
}

func (s *Server) handleModels(ctx context.Context, x *exchange) error {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range s.backend.Models(ctx) {
		list.Data = append(list.Data, modelItem{ID: m, Object: "model", OwnedBy: "geraniumsaddle"})
	}
	return respondJSON(x, list)
}

func (s *Server) handleBudget(ctx context.Context, x *exchange) error {
	b, err := s.backend.Budget(ctx, x.caller.Org)
	if err != nil {
		return err
	}
	return respondJSON(x, b)
}

func (s *Server) handleBill(ctx context.Context, x *exchange) error {
	b, err := s.backend.Bill(ctx, x.caller.Org, ident.RequestID(x.r.PathValue("id")))
	if err != nil {
		return err
	}
	return respondJSON(x, b)
}

func (s *Server) handleNewOperation(ctx context.Context, x *exchange) error {
	tok, err := s.backend.MintOperation(ctx, x.caller.Org)
	if err != nil {
		return err
	}
	return respondJSON(x, operationToken{IdempotencyKey: tok})
}

// forwardedHeaders are the request headers passed on to a plain service.
var forwardedHeaders = []string{"Accept", "Content-Type", "If-Match", "If-None-Match"}

// returnedHeaders are the response headers of a plain service passed on to the caller.
var returnedHeaders = []string{"Content-Type", "Etag", "Location", "Retry-After"}

func (s *Server) handleService(ctx context.Context, x *exchange) error {
	body, err := readBody(x.w, x.r, s.limits.MaxBodyBytes)
	if err != nil {
		return err
	}
	key, err := idempotencyKey(x.r)
	if err != nil {
		return err
	}
	req := ServiceRequest{
		ID:             x.id,
		Caller:         x.caller,
		Service:        ident.ServiceID(x.r.PathValue("service")),
		Method:         x.r.Method,
		Path:           "/" + x.r.PathValue("path"),
		Query:          x.r.URL.RawQuery,
		Header:         selectHeaders(x.r.Header, forwardedHeaders),
		IdempotencyKey: key,
		BodyHash:       xxhash.Sum64String(x.r.Method + " " + x.r.URL.RequestURI() + "\n" + string(body)),
		Body:           body,
	}
	req.Deadline, _ = ctx.Deadline()
	ans, err := s.backend.CallService(ctx, req)
	if err != nil {
		return err
	}
	writeServiceAnswer(x.w, ans)
	return nil
}

func writeServiceAnswer(w http.ResponseWriter, a ServiceAnswer) {
	h := w.Header()
	for k, v := range selectHeaders(a.Header, returnedHeaders) {
		h[k] = v
	}
	h.Set("X-Request-Id", string(a.ID))
	h.Set("Request-Outcome", string(a.Outcome))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// selectHeaders returns the headers with the given names.
func selectHeaders(h http.Header, names []string) http.Header {
	out := make(http.Header, len(names))
	for _, n := range names {
		if v := h.Values(n); len(v) > 0 {
			out[http.CanonicalHeaderKey(n)] = v
		}
	}
	return out
}
