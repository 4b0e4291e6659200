package edge

import (
	"net/http"
	"time"

	"geraniumsaddle/io/conns"
	"geraniumsaddle/platform"
)

// refusal is an error answer of the router itself.
type refusal struct {
	status int
	reason string
	// retryAfter is the time after which the caller may retry; zero sends none.
	retryAfter time.Duration
}

// The refusals. The statuses 408, 421, 429 and 503 guarantee that no target has run the request or will run it; 502 and
// 504 guarantee nothing.
var (
	refuseStarting        = refusal{http.StatusServiceUnavailable, "no configuration is known yet", 300 * time.Millisecond}
	refuseNoID            = refusal{http.StatusBadRequest, "request id is missing", 0}
	refuseMalformedHeader = refusal{http.StatusBadRequest, "a header is malformed", 0}
	refuseNoRoute         = refusal{http.StatusNotFound, "no route matches", 0}
	refuseUnknownKey      = refusal{http.StatusUnauthorized, "API key is unknown", 0}
	refuseHeadersTooLarge = refusal{http.StatusRequestHeaderFieldsTooLarge, "headers exceed the limit", 0}
	refuseBodyTooLarge    = refusal{http.StatusRequestEntityTooLarge, "body exceeds the limit", 0}
	refuseUnreadableBody  = refusal{http.StatusBadRequest, "body cannot be read", 0}
	refuseBodyTimeout     = refusal{http.StatusRequestTimeout, "the body was not received before the deadline", 0}
	refuseTokensExhausted = refusal{http.StatusPaymentRequired, "prepaid tokens do not cover the request", 0}
	refuseTokensHeld      = refusal{http.StatusServiceUnavailable, "prepaid tokens are held by other routers", time.Second}
	refuseNoTarget        = refusal{http.StatusServiceUnavailable, "no target serves the request", 500 * time.Millisecond}
	refuseTargetsFull     = refusal{http.StatusServiceUnavailable, "every target is full", 300 * time.Millisecond}
	refuseTargetsCold     = refusal{http.StatusServiceUnavailable, "every free target is cold", 300 * time.Millisecond}
	// A repeat of the request would be refused too, so the caller is not told to come back.
	refuseQuarantined    = refusal{http.StatusServiceUnavailable, "a part of the prompt has crashed several targets", 0}
	refuseNoMemory       = refusal{http.StatusServiceUnavailable, "the memory of this router is used up", 300 * time.Millisecond}
	refuseLinkFull       = refusal{http.StatusServiceUnavailable, "the link of this router is full", 300 * time.Millisecond}
	refuseDeadlinePassed = refusal{http.StatusServiceUnavailable, "the deadline passed before the request was sent", 0}
	refuseTargetFailed   = refusal{http.StatusBadGateway, "the target failed after the request was sent", 0}
	refuseAnswerMemory   = refusal{http.StatusBadGateway, "the memory of this router is used up after the request was sent", 0}
	// A router that shuts down refuses what it can't finish. Its caller is sent to another router.
	refuseShuttingDown = refusal{http.StatusServiceUnavailable, "the router is shutting down", 100 * time.Millisecond}
	refuseCutOff       = refusal{http.StatusGatewayTimeout, "the router shut down while the target worked", 0}
	refuseTimeout      = refusal{http.StatusGatewayTimeout, "the deadline passed while the target worked", 0}
)

// refuse answers the request with a refusal.
func (x *exchange) refuse(r refusal) {
	x.status, x.reason = r.status, r.reason
	h := x.w.Header()
	if r == refuseShuttingDown || r == refuseNoMemory {
		// Otherwise the server reads the rest of the body before it sends the answer.
		h["Connection"] = []string{"close"}
	}
	platform.SetErrorHeaders(h, x.requestHeaders.ID, r.retryAfter)
	x.limitRefusal()
	body := r.reason + "\n"
	h["Content-Type"] = []string{"text/plain; charset=utf-8"}
	x.w.WriteHeader(r.status)
	if _, err := x.w.Write([]byte(body)); err != nil {
		x.reason += "; the refusal could not be written to the caller"
	}
}

// limitRefusal sets the deadlines of a refusal. The server reads the rest of a short body before it sends the answer. The
// connection may be evicted meanwhile, and the answer is sent nevertheless.
func (x *exchange) limitRefusal() {
	control := http.NewResponseController(x.w)
	until := x.s.deps.Clock.Now().Add(refusalTime)
	_ = control.SetWriteDeadline(until.Add(refusalTime))
	if x.bodyRead || x.r.ContentLength == 0 {
		return
	}
	if x.deadline.IsZero() || until.Before(x.deadline) {
		_ = control.SetReadDeadline(until)
	}
	conns.RequestOf(x.r.Context()).BodyBegins(0)
}
