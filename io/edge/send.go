package edge

import (
	"context"
	"errors"
	"net/http"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/place"
	"geraniumsaddle/io/conns"
	"geraniumsaddle/io/engine/send"
	"geraniumsaddle/io/gate"
	"geraniumsaddle/io/relay"
	"geraniumsaddle/platform"
)

// maxTargets is the maximum number of targets that a request is offered to, including the ones that refuse it without
// running it.
const maxTargets = 4

// errUnsigned means that a success lacks the target's signature, so that anything at its address may have sent it.
var errUnsigned = errors.New("success without the signature of the target")

// errTargetLeaving means that the chosen target became unusable between the choice and the send.
var errTargetLeaving = errors.New("target is leaving or asks for no requests")

// sentRequest is a request that a target has answered. Its owner must end it exactly once, by endSend, or by closing
// the answer and failSend.
type sentRequest struct {
	choice        *place.Choice
	answer        *relay.Response
	answerHeaders platform.ResponseHeaders
}

// send sends the request to the chosen target. A non-empty lastEvent is the ID of the event after which a stream is to
// resume.
func (x *exchange) send(ctx context.Context, c *place.Choice, lastEvent string) (*sentRequest, error) {
	x.triedTargets = append(x.triedTargets, c.Target.ID)
	x.sendEvents = 0
	if x.quarantined() {
		return nil, &send.Error{Class: send.ErrNotSent, Err: errQuarantined}
	}
	if !x.s.targets.Usable(c.Target, x.s.deps.Clock.Now()) {
		return nil, &send.Error{Class: send.ErrNotSent, Err: errTargetLeaving}
	}
	var org ident.OrgID
	if x.org != nil {
		org = x.org.ID
	}
	header := platform.ForwardHeaders(x.r.Header, platform.TargetHeaders{
		Target:      c.Target.ID,
		Timeout:     x.deadline.Sub(x.s.deps.Clock.Now()),
		Org:         org,
		Priority:    x.enginePriority(),
		LastEventID: lastEvent,
	})
	a, err := x.s.pool.Send(ctx, relay.Request{
		PoolKey:  string(c.Target.ID) + "@" + c.Target.Addr,
		Addr:     c.Target.Addr,
		Method:   x.r.Method,
		URI:      x.r.RequestURI,
		Host:     x.r.Host,
		Header:   header,
		Body:     x.body,
		HoldHead: x.holdAnswerHead,
		Owner:    func(status int, h http.Header) relay.Owner { return x.ownerOfAnswer(c.Target, status, h) },
	})
	if err != nil {
		if !errors.Is(err, send.ErrNotSent) {
			x.recordArrival()
			x.billable = x.billable || x.ctx.Err() == nil
		}
		return nil, err
	}
	answerHeaders := platform.ReadResponseHeaders(a.Status, a.Header)
	if answerHeaders.HasLoad {
		x.s.targets.ReportLoad(c.Target.ID, answerHeaders.Load, x.s.deps.Clock.Now())
	}
	if !answerHeaders.NotRun {
		x.recordArrival()
		x.s.gates.Taken(x.service)
	}
	if !answerHeaders.Signed && a.Status < http.StatusMultipleChoices {
		a.Close(0)
		x.billable = x.billable || x.ctx.Err() == nil
		return nil, &send.Error{Class: send.ErrOutcomeUnknown, Status: a.Status, Err: errUnsigned}
	}
	return &sentRequest{choice: c, answer: a, answerHeaders: answerHeaders}, nil
}

// recordArrival records that a target may have run the request.
func (x *exchange) recordArrival() {
	x.sends++
	x.mayHaveRun = true
}

// ownerOfAnswer reports whether an answer belongs to this request. Only refusals may lack the request ID. What the target
// says about itself counts in any answer.
func (x *exchange) ownerOfAnswer(t place.Target, status int, h http.Header) relay.Owner {
	headers := platform.ReadResponseHeaders(status, h)
	x.heedNotices(t, headers)
	switch {
	case headers.ID == x.requestHeaders.ID:
		return relay.OwnerThis
	case headers.ID == "" && headers.NotRun:
		return relay.OwnerUnnamed
	}
	return relay.OwnerOther
}

// endSend returns the connection to the pool and records the result of the send.
func (x *exchange) endSend(sent *sentRequest, r place.Result) {
	sent.answer.Close(sent.answerHeaders.IdleTimeout)
	sent.choice.Done(r, x.s.deps.Clock.Now())
	x.recordResult(sent.choice, r)
	if r == place.ResultOK && sent.answer.Status < http.StatusMultipleChoices {
		x.clearPrompt()
	}
}

// failSend records a send without a complete answer. The result does not count against the target if the context of the
// request has ended or the target is leaving.
func (x *exchange) failSend(c *place.Choice, err error) {
	r := place.ResultFailed
	switch {
	case x.ctx.Err() != nil || errors.Is(err, errTargetLeaving) || errors.Is(err, errQuarantined) || errors.Is(err, conns.ErrFull):
		r = place.ResultNeutral
	case errors.Is(err, send.ErrNotSent):
		r = place.ResultUnreachable
	}
	c.Done(r, x.s.deps.Clock.Now())
	x.recordResult(c, r)
	x.suspectTarget(c.Target, err)
	x.s.deps.Log.Info("send to target failed", "id", x.requestHeaders.ID, "target", c.Target.ID, "addr", c.Target.Addr,
		"result", resultNames[r], "events", x.sendEvents, "prompt_parts", x.loggedParts(), "error", err)
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// loggedParts returns the IDs of the first parts of the prompt for the log.
func (x *exchange) loggedParts() []string {
	p := x.requestHeaders.Prompt
	if p == nil {
		return nil
	}
	ids := make([]string, 0, maxLoggedParts)
	for part := range p.Parts.All() {
		if len(ids) == maxLoggedParts {
			break
		}
		ids = append(ids, part.ID)
	}
	return ids
}

// recordResult counts a result in the metrics. A result that depends on the target's version also counts in the
// evidence of the service's release.
func (x *exchange) recordResult(c *place.Choice, r place.Result) {
	x.s.deps.Metrics.countSend(x.service, resultNames[r])
	switch r {
	case place.ResultOK, place.ResultFailed:
		latency := x.timeToFirstByte
		if latency == 0 {
			latency = x.s.deps.Clock.Since(x.started)
		}
		slow := x.route.TargetLatency > 0 && latency > x.route.TargetLatency
		x.s.releases.recordAnswer(x.service, c.Target.Version, r == place.ResultFailed, slow)
	}
}

var resultNames = map[place.Result]string{
	place.ResultNeutral: "neutral", place.ResultOK: "ok", place.ResultFull: "full", place.ResultGone: "gone", place.ResultFailed: "failed", place.ResultUnreachable: "unreachable",
}

// mayTryAnother reports whether the request may be offered to another target. If the last send may have arrived, the
// next one counts against the retry budget.
func (x *exchange) mayTryAnother(arrived bool) bool {
	if x.ctx.Err() != nil || len(x.triedTargets) >= maxTargets || x.sends >= x.route.MaxAttempts {
		return false
	}
	if x.mayHaveRun && !x.route.Repeatable() {
		return false
	}
	if !arrived && x.s.shedder.Full() {
		// Another target would be reached over the same full link, while another router may have free capacity.
		return false
	}
	return !arrived || x.s.retryAllowed(x.service)
}

// finalRefusal returns the refusal of a request for which no further target is tried.
func (x *exchange) finalRefusal(err error) refusal {
	switch {
	case x.cutOff() && x.mayHaveRun:
		return refuseCutOff
	case !x.mayHaveRun && (x.cutOff() || errors.Is(err, errShuttingDown)):
		return refuseShuttingDown
	case x.mayHaveRun && x.ctx.Err() != nil:
		return refuseTimeout
	case x.mayHaveRun && errors.Is(err, conns.ErrFull):
		return refuseAnswerMemory
	case x.mayHaveRun:
		return refuseTargetFailed
	case x.ctx.Err() != nil:
		return refuseDeadlinePassed
	case errors.Is(err, errQuarantined):
		return refuseQuarantined
	case place.AsQuiet(err) != nil:
		return x.refuseQuiet(place.AsQuiet(err))
	case gate.AsRefused(err) != nil:
		return refuseFull(gate.AsRefused(err))
	case errors.Is(err, place.ErrNoTarget):
		return refuseNoTarget
	case errors.Is(err, place.ErrCold):
		return refuseTargetsCold
	case x.s.shedder.Full():
		return refuseLinkFull
	}
	return refuseTargetsFull
}
