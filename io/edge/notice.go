package edge

import (
	"math/rand/v2"
	"net/http"
	"time"

	"geraniumsaddle/core/place"
	"geraniumsaddle/platform"
)

// heedNotices records what a target says about itself in an answer: that it is leaving, wants no requests for a while, or is
// cold.
func (x *exchange) heedNotices(t place.Target, headers platform.ResponseHeaders) {
	now := x.s.deps.Clock.Now()
	if headers.Leaving && x.s.targets.NoteLeaving(t, now) {
		x.s.deps.Metrics.countNotice(t.Service, "leaving")
		x.s.deps.Log.Info("target is leaving", "target", t.ID, "service", t.Service, "born", t.Born, "source", "answer",
			"id", x.requestHeaders.ID)
	}
	if headers.ColdRemaining > 0 {
		x.s.targets.NoteCold(t.ID, headers.ColdRemaining, now)
	}
	if headers.RetryAfter > 0 {
		x.s.targets.NoteQuiet(t, now.Add(headers.RetryAfter), now)
		x.s.deps.Metrics.countNotice(t.Service, "retry_after")
		x.s.deps.Log.Info("target asks for no requests", "target", t.ID, "service", t.Service,
			"retry_after_ms", headers.RetryAfter.Milliseconds(), "id", x.requestHeaders.ID)
	}
}

// refuseQuiet returns the refusal of a request while all targets ask for no requests. The time to come back is spread, so
// that callers don't return all at once.
func (x *exchange) refuseQuiet(e *place.QuietError) refusal {
	const spread = 0.25 // of the time
	wait := max(e.Until.Sub(x.s.deps.Clock.Now()), 0) + time.Millisecond
	wait += time.Duration(rand.Float64() * spread * float64(wait))
	return refusal{http.StatusServiceUnavailable, "every target asks for no requests for a while", wait}
}
