package edge

import (
	"errors"
	"io"
	"net/http"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/place"
	"geraniumsaddle/io/engine/reach"
	"geraniumsaddle/io/relay"
	"geraniumsaddle/platform"
)

// feed is the stream of events to the caller, over all targets that contribute to it.
type feed struct {
	x       *exchange
	started bool
	// lastID is the id of the last event that was passed on.
	lastID string
	last   int64
	broken bool
}

// serveStream passes a stream of events on. Where the route allows it, a stream that breaks goes on at another target
// after the last event.
func (x *exchange) serveStream() {
	f := &feed{x: x, last: -1}
	resume := ""
	if x.route.Resumable {
		resume = x.call.LastEventID
	}
	for {
		c, err := x.choose()
		if err != nil {
			f.giveUp(nil, err)
			return
		}
		done, arrived, last, err := f.from(c, resume)
		if done {
			return
		}
		if f.lastID != "" {
			resume = f.lastID
		}
		if f.broken || !f.resumable() || !x.again(arrived) {
			f.giveUp(last, err)
			return
		}
	}
}

// resumable reports whether another target can go on where the stream is. Without an id on the last event it would
// begin anew.
func (f *feed) resumable() bool { return !f.started || f.lastID != "" }

// from passes the events of one target on. Done says that the caller has its whole answer.
func (f *feed) from(c *place.Choice, resume string) (done, arrived bool, last *whole, err error) {
	x := f.x
	s, err := x.send(x.ctx, c, resume)
	if err != nil {
		x.fail(c, err)
		return false, !errors.Is(err, reach.ErrNotSent), nil, err
	}
	if s.head.NotRun {
		x.refusedBy(s)
		return false, true, nil, place.ErrFull
	}
	if s.answer.Status != http.StatusOK {
		return f.other(s)
	}
	err = f.events(s)
	x.billable = x.billable || x.ctx.Err() == nil
	if err == nil {
		x.end(s, place.OK)
		f.finish(s.answer)
		return true, true, nil, nil
	}
	s.answer.Close(0)
	x.fail(c, err)
	return false, true, nil, err
}

// other takes an answer that is no stream, such as an error of the target.
func (f *feed) other(s *sent) (done, arrived bool, last *whole, err error) {
	x := f.x
	body, err := io.ReadAll(io.LimitReader(s.answer.Body, maxAnswer))
	if err != nil {
		s.answer.Close(0)
		x.fail(s.choice, err)
		return false, true, nil, err
	}
	x.billable = true
	a := &whole{s.answer.Status, s.answer.Header, body}
	if !retryable(a) && !f.started {
		x.end(s, place.OK)
		x.pass(a)
		return true, true, nil, nil
	}
	x.end(s, place.Failed)
	return false, true, a, nil
}

// events passes events on until the stream ends. It returns nil when the stream is complete.
func (f *feed) events(s *sent) error {
	x := f.x
	r := newEventReader(s.answer.Body)
	defer r.release()
	for {
		e, err := r.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		x.billable = true
		pass, err := f.inOrder(e)
		if err != nil {
			return err
		}
		if !pass {
			continue
		}
		if !f.started {
			s.choice.PrefillDone()
		}
		if err := f.pass(s.answer, e); err != nil {
			f.broken = true
			return err
		}
		x.countOutput()
	}
}

var errOrder = errors.New("event is out of order")

// inOrder reports whether an event is the next one. Events that were passed on before are left out.
func (f *feed) inOrder(e event) (bool, error) {
	if !e.numbered {
		return true, nil
	}
	switch {
	case f.last < 0 || e.number == f.last+1:
		f.last, f.lastID = e.number, e.id
		return true, nil
	case e.number <= f.last:
		return false, nil
	}
	return false, errOrder
}

// pass writes one whole event.
func (f *feed) pass(a *relay.Response, e event) error {
	x := f.x
	if !f.started {
		f.begin(a)
	}
	if _, err := x.w.Write(e.raw); err != nil {
		return err
	}
	return http.NewResponseController(x.w).Flush()
}

// begin writes the head of the first target's answer.
func (f *feed) begin(a *relay.Response) {
	x := f.x
	f.started = true
	x.status = a.Status
	x.first = x.s.deps.Clock.Since(x.started)
	platform.CopyResponseHeaders(x.w.Header(), a.Header)
	x.w.WriteHeader(a.Status)
}

// finish ends the answer, also one without events.
func (f *feed) finish(a *relay.Response) {
	if !f.started {
		f.begin(a)
	}
}

// giveUp ends a stream that no target continues. An answer that has begun is broken off so that it cannot look
// complete.
func (f *feed) giveUp(last *whole, err error) {
	x := f.x
	if !f.started {
		x.giveUp(last, err)
		return
	}
	x.reason = "stream broken off"
	if err != nil {
		x.reason += ": " + err.Error()
	}
	panic(http.ErrAbortHandler)
}

// countOutput counts the tokens of one event as delivered, up to the request's bound.
func (x *exchange) countOutput() {
	n := ident.Tokens(1)
	if svc := x.table.Service(x.service); svc != nil && svc.Engine != nil {
		n = svc.Engine.EventTokens
	}
	x.output += n
}
