package edge

import (
	"net/http"
	"time"

	"geraniumsaddle/platform"
)

// refusal is an answer of the router itself.
type refusal struct {
	status int
	reason string
	// after is when the caller may come back; zero leaves it out.
	after time.Duration
}

// The refusals. 408, 421, 429 and 503 promise that no target has run the request or will run it; 502 and 504 promise
// nothing.
var (
	refuseStarting  = refusal{http.StatusServiceUnavailable, "no configuration is known yet", 300 * time.Millisecond}
	refuseNoID      = refusal{http.StatusBadRequest, "request id is missing", 0}
	refuseHeader    = refusal{http.StatusBadRequest, "a header is malformed", 0}
	refuseNoRoute   = refusal{http.StatusNotFound, "no route matches", 0}
	refuseKey       = refusal{http.StatusUnauthorized, "API key is unknown", 0}
	refuseHeaders   = refusal{http.StatusRequestHeaderFieldsTooLarge, "headers exceed the limit", 0}
	refuseBody      = refusal{http.StatusRequestEntityTooLarge, "body exceeds the limit", 0}
	refuseBodyRead  = refusal{http.StatusBadRequest, "body cannot be read", 0}
	refuseExhausted = refusal{http.StatusPaymentRequired, "prepaid tokens do not cover the request", 0}
	refuseShort     = refusal{http.StatusServiceUnavailable, "prepaid tokens are held by other routers", time.Second}
	refuseNoTarget  = refusal{http.StatusServiceUnavailable, "no target serves the request", 500 * time.Millisecond}
	refuseFull      = refusal{http.StatusServiceUnavailable, "every target is full", 300 * time.Millisecond}
	refuseLink      = refusal{http.StatusServiceUnavailable, "the link of this router is full", 300 * time.Millisecond}
	refuseLate      = refusal{http.StatusServiceUnavailable, "the deadline passed before the request was sent", 0}
	refuseFailed    = refusal{http.StatusBadGateway, "the target failed after the request was sent", 0}
	refuseTimeout   = refusal{http.StatusGatewayTimeout, "the deadline passed while the target worked", 0}
)

// refuse writes a refusal.
func (x *exchange) refuse(r refusal) {
	x.status, x.reason = r.status, r.reason
	h := x.w.Header()
	platform.SetErrorHeaders(h, x.call.ID, r.after)
	body := r.reason + "\n"
	h["Content-Type"] = []string{"text/plain; charset=utf-8"}
	x.w.WriteHeader(r.status)
	if _, err := x.w.Write([]byte(body)); err != nil {
		x.reason += "; the caller did not take the refusal"
	}
}
