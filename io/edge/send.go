package edge

import (
	"context"
	"errors"
	"net/http"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/place"
	"geraniumsaddle/io/engine/reach"
	"geraniumsaddle/io/relay"
	"geraniumsaddle/platform"
)

// maxTries bounds the targets that a request is offered to, also those that refuse it without running it.
const maxTries = 4

// errLeaving means that the chosen target left between the choice and the send.
var errLeaving = errors.New("target is leaving")

// sent is an answer with its choice. The owner ends it once.
type sent struct {
	choice *place.Choice
	answer *relay.Response
	head   platform.ResponseHeaders
}

// send offers the request to the chosen target once.
func (x *exchange) send(ctx context.Context, c *place.Choice, lastEvent string) (*sent, error) {
	x.tried = append(x.tried, c.Target.ID)
	if !x.s.fleet.Usable(c.Target) {
		return nil, &reach.Error{Class: reach.ErrNotSent, Err: errLeaving}
	}
	var org ident.OrgID
	if x.org != nil {
		org = x.org.ID
	}
	header := platform.ForwardHeaders(x.r.Header, platform.TargetHeaders{
		Target:      c.Target.ID,
		Timeout:     x.deadline.Sub(x.s.deps.Clock.Now()),
		Org:         org,
		Priority:    x.urgency(),
		LastEventID: lastEvent,
	})
	a, err := x.s.pool.Send(ctx, relay.Request{
		PoolKey: string(c.Target.ID) + "@" + c.Target.Addr,
		Addr:    c.Target.Addr,
		Method:  x.r.Method,
		URI:     x.r.RequestURI,
		Host:    x.r.Host,
		Header:  header,
		Body:    x.body,
		Matches: x.belongs,
	})
	if err != nil {
		if !errors.Is(err, reach.ErrNotSent) {
			x.sends++
			x.maybeRun = true
			x.billable = x.billable || x.ctx.Err() == nil
		}
		return nil, err
	}
	head := platform.ReadResponseHeaders(a.Status, a.Header)
	if head.HasLoad {
		x.s.fleet.ReportLoad(c.Target.ID, head.Load, x.s.deps.Clock.Now())
	}
	if !head.NotRun {
		x.sends++
		x.maybeRun = true
	}
	return &sent{choice: c, answer: a, head: head}, nil
}

// belongs reports whether an answer is that of this request. Refusals may come without an id.
func (x *exchange) belongs(status int, h http.Header) bool {
	a := platform.ReadResponseHeaders(status, h)
	return a.ID == x.call.ID || a.ID == "" && a.NotRun
}

// end gives the connection back and records the result at the target.
func (x *exchange) end(s *sent, r place.Result) {
	s.answer.Close(s.head.IdleTimeout)
	s.choice.Done(r, x.s.deps.Clock.Now())
	x.judge(s.choice, r)
}

// fail records a send that got no answer.
func (x *exchange) fail(c *place.Choice, err error) {
	r := place.Failed
	switch {
	case x.ctx.Err() != nil || errors.Is(err, errLeaving):
		r = place.Neutral
	case errors.Is(err, reach.ErrNotSent):
		r = place.Unreachable
	}
	c.Done(r, x.s.deps.Clock.Now())
	x.judge(c, r)
	x.s.deps.Log.Info("send failed", "id", x.call.ID, "target", c.Target.ID, "addr", c.Target.Addr, "result",
		resultNames[r], "error", err)
}

// judge counts a result for the metrics and for the release of the target's version.
func (x *exchange) judge(c *place.Choice, r place.Result) {
	x.s.deps.Metrics.send(x.service, resultNames[r])
	switch r {
	case place.OK, place.Failed:
		latency := x.first
		if latency == 0 {
			latency = x.s.deps.Clock.Since(x.started)
		}
		slow := x.route.TargetLatency > 0 && latency > x.route.TargetLatency
		x.s.releases.record(x.service, c.Target.Version, r == place.Failed, slow)
	}
}

var resultNames = map[place.Result]string{
	place.Neutral: "neutral", place.OK: "ok", place.Full: "full", place.Failed: "failed", place.Unreachable: "unreachable",
}

// again reports whether the request may be offered to one more target, and counts it against the fleet's bound when
// the last send has reached one.
func (x *exchange) again(arrived bool) bool {
	if x.ctx.Err() != nil || len(x.tried) >= maxTries || x.sends >= x.route.MaxAttempts {
		return false
	}
	if x.maybeRun && !x.route.Repeatable() {
		return false
	}
	if !arrived && x.s.shed.Full() {
		// Another target is behind the same full link, while another router may have room.
		return false
	}
	return !arrived || x.s.retryAllowed(x.service)
}

// none returns the refusal for a request that no target takes any more.
func (x *exchange) none(err error) refusal {
	switch {
	case x.maybeRun && x.ctx.Err() != nil:
		return refuseTimeout
	case x.maybeRun:
		return refuseFailed
	case x.ctx.Err() != nil:
		return refuseLate
	case errors.Is(err, place.ErrNoTarget):
		return refuseNoTarget
	case x.s.shed.Full():
		return refuseLink
	}
	return refuseFull
}
