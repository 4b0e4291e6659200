package claim

import (
	"time"

	"geraniumsaddle/core/ident"
)

// Handle takes an event and returns what the attempt does next. An event of an attempt that no longer holds its call
// changes nothing.
func (r *Registry) Handle(e Event, now time.Time) Decision {
	r.advance(now)
	switch e := e.(type) {
	case HomeAnswered:
		return homeDecision(e)
	case HomeUnreachable:
		return Refuse{ident.OutcomeUnknown, ReasonHomeUnreachable}
	}
	ref := e.ref()
	c := r.calls[ref.ID]
	if c == nil || c.request != ref.Request {
		return Refuse{ident.OutcomeUnknown, ReasonSuperseded}
	}
	switch e := e.(type) {
	case Created:
		return r.handleCreated(c)
	case Exists:
		return r.handleExists(c, e)
	case PlatformUnavailable:
		return r.handlePlatformUnavailable(c)
	case Dispatching:
		return r.handleDispatching(c)
	case NotSent:
		return r.handleNotSent(c)
	case Finished:
		return r.handleFinished(c, e)
	case LostReply:
		return r.handleLostReply(c)
	}
	return None{}
}

func homeDecision(e HomeAnswered) Decision {
	switch d := e.Decision.(type) {
	case Replay, Conflict, Refuse:
		return d
	}
	return Refuse{ident.OutcomeUnknown, ReasonHomeRefused}
}

func (r *Registry) handleCreated(c *call) Decision {
	if c.phase != claiming {
		return None{}
	}
	c.phase = granted
	return Run{Ref{c.id, c.request}}
}

func (r *Registry) handleExists(c *call, e Exists) Decision {
	if c.phase != claiming {
		return None{}
	}
	if e.Holder == r.self && e.ClaimRequest == c.claimRequest {
		// The reply to this call's own creation was lost. Nothing was sent, because the call never left claiming.
		return r.handleCreated(c)
	}
	if e.Holder == r.self {
		// An earlier entry of this incarnation expired, so its result is no longer known.
		c.phase = lostReply
		return Refuse{ident.OutcomeUnknown, ReasonForgotten}
	}
	c.phase, c.home = foreign, e.Holder
	return AskHome{e.Ref, e.Holder}
}

func (r *Registry) handlePlatformUnavailable(c *call) Decision {
	if c.phase != claiming {
		return None{}
	}
	c.phase = claimUnknown
	return Refuse{ident.OutcomeUnknown, ReasonPlatformUnavailable}
}

func (r *Registry) handleDispatching(c *call) Decision {
	if c.phase != granted {
		return Refuse{ident.OutcomeUnknown, ReasonSuperseded}
	}
	c.phase = sent
	return Send{Ref{c.id, c.request}}
}

func (r *Registry) handleNotSent(c *call) Decision {
	if c.phase != granted && c.phase != sent {
		return None{}
	}
	c.phase = notSent
	return Refuse{ident.OutcomeNotRun, ReasonNotDispatched}
}

func (r *Registry) handleLostReply(c *call) Decision {
	if c.phase != sent {
		return None{}
	}
	c.phase = lostReply
	return Refuse{ident.OutcomeUnknown, ReasonLostReply}
}

func (r *Registry) handleFinished(c *call, e Finished) Decision {
	if c.phase != sent && c.phase != lostReply {
		return None{}
	}
	c.phase, c.answer = finished, e.Answer
	r.storeAnswer(c)
	return Replay{c.request, e.Answer}
}

// storeAnswer keeps the answer of a call and drops the oldest answers above the byte limit. An answer above a
// sixteenth of the limit is not kept. The outcome of a call stays known without its answer.
func (r *Registry) storeAnswer(c *call) {
	if c.answer == nil {
		return
	}
	if c.size() > r.limits.AnswerBytes/16 {
		c.answer = nil
		return
	}
	r.answerBytes += c.size()
	r.answered = append(r.answered, c)
	for r.answerBytes > r.limits.AnswerBytes || len(r.answered) > 0 && r.answered[0].answer == nil {
		r.dropAnswer(r.answered[0])
		r.answered = r.answered[1:]
	}
}

func (r *Registry) dropAnswer(c *call) {
	if c.answer == nil {
		return
	}
	r.answerBytes -= c.size()
	c.answer = nil
}

func (c *call) size() ident.Bytes { return ident.Bytes(len(c.answer.Body) + len(c.answer.Type)) }
