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

// callerStream is the event stream to a caller. Several targets may contribute to it, one after the other.
type callerStream struct {
	x           *exchange
	headWritten bool
	// lastID is the ID of the last numbered event that was passed on, and lastNumber its number, or -1.
	lastID       string
	lastNumber   int64
	callerFailed bool
}

// serveStream passes on a stream of events. If the route allows it, an interrupted stream resumes at another target
// after the last event.
func (x *exchange) serveStream() {
	f := &callerStream{x: x, lastNumber: -1}
	lastEvent := ""
	if x.route.Resumable {
		lastEvent = x.call.LastEventID
	}
	for {
		c, err := x.chooseTarget()
		if err != nil {
			f.giveUp(nil, err)
			return
		}
		done, arrived, lastAnswer, err := f.relayFrom(c, lastEvent)
		if done {
			return
		}
		if f.lastID != "" {
			lastEvent = f.lastID
		}
		if f.callerFailed || !f.resumable() || !x.mayTryAnother(arrived) {
			f.giveUp(lastAnswer, err)
			return
		}
	}
}

// resumable reports whether another target can continue the stream. If events have been passed on and none had a
// number, the target would start again from the first event.
func (f *callerStream) resumable() bool { return !f.headWritten || f.lastID != "" }

// relayFrom passes on the events of one target. Done says that the answer to the caller is complete.
func (f *callerStream) relayFrom(c *place.Choice, lastEvent string) (
	done, arrived bool, lastAnswer *bufferedAnswer, err error,
) {
	x := f.x
	s, err := x.send(x.ctx, c, lastEvent)
	if err != nil {
		x.failSend(c, err)
		return false, !errors.Is(err, reach.ErrNotSent), nil, err
	}
	if s.head.NotRun {
		x.endRefusedSend(s)
		return false, true, nil, place.ErrFull
	}
	if s.answer.Status != http.StatusOK {
		return f.relayNonStream(s)
	}
	err = f.relayEvents(s)
	x.billable = x.billable || x.ctx.Err() == nil
	if err == nil {
		x.endSend(s, place.ResultOK)
		f.ensureHead(s.answer)
		return true, true, nil, nil
	}
	s.answer.Close(0)
	x.failSend(c, err)
	return false, true, nil, err
}

// relayNonStream handles an answer that is no stream, such as an error of the target. It passes on an answer that is
// not retryable unless events have been passed on before.
func (f *callerStream) relayNonStream(s *sentRequest) (done, arrived bool, lastAnswer *bufferedAnswer, err error) {
	x := f.x
	body, err := io.ReadAll(io.LimitReader(s.answer.Body, maxAnswerSize))
	if err != nil {
		s.answer.Close(0)
		x.failSend(s.choice, err)
		return false, true, nil, err
	}
	x.billable = true
	a := &bufferedAnswer{s.answer.Status, s.answer.Header, body}
	if !retryable(a) && !f.headWritten {
		x.endSend(s, place.ResultOK)
		x.writeAnswer(a)
		return true, true, nil, nil
	}
	x.endSend(s, place.ResultFailed)
	return false, true, a, nil
}

// relayEvents passes on events until the stream ends. It returns nil if the stream is complete.
func (f *callerStream) relayEvents(s *sentRequest) error {
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
		isNew, err := f.checkOrder(e)
		if err != nil {
			return err
		}
		if !isNew {
			continue
		}
		if !f.headWritten {
			s.choice.PrefillDone()
		}
		if err := f.writeEvent(s.answer, e); err != nil {
			f.callerFailed = true
			return err
		}
		x.countOutput()
	}
}

var errEventOrder = errors.New("event is out of order")

// checkOrder reports whether an event is to be passed on, and records its number if so. An event that has been passed on
// before is not. A gap in the numbers is an error.
func (f *callerStream) checkOrder(e event) (bool, error) {
	if !e.numbered {
		return true, nil
	}
	switch {
	case f.lastNumber < 0 || e.number == f.lastNumber+1:
		f.lastNumber, f.lastID = e.number, e.id
		return true, nil
	case e.number <= f.lastNumber:
		return false, nil
	}
	return false, errEventOrder
}

// writeEvent writes one event to the caller, after the head of the answer if it is the first.
func (f *callerStream) writeEvent(a *relay.Response, e event) error {
	x := f.x
	if !f.headWritten {
		f.writeHead(a)
	}
	if _, err := x.w.Write(e.raw); err != nil {
		return err
	}
	return http.NewResponseController(x.w).Flush()
}

// writeHead passes on the status and the headers of a target's answer.
func (f *callerStream) writeHead(a *relay.Response) {
	x := f.x
	f.headWritten = true
	x.status = a.Status
	x.timeToFirstByte = x.s.deps.Clock.Since(x.started)
	platform.CopyResponseHeaders(x.w.Header(), a.Header)
	x.w.WriteHeader(a.Status)
}

// ensureHead writes the head of a complete answer that has no events.
func (f *callerStream) ensureHead(a *relay.Response) {
	if !f.headWritten {
		f.writeHead(a)
	}
}

// giveUp ends a stream that no target continues. An answer that has begun is aborted, so that the caller cannot take it
// for complete.
func (f *callerStream) giveUp(lastAnswer *bufferedAnswer, err error) {
	x := f.x
	if !f.headWritten {
		x.giveUp(lastAnswer, err)
		return
	}
	x.reason = "stream broken off"
	if err != nil {
		x.reason += ": " + err.Error()
	}
	panic(http.ErrAbortHandler)
}

// countOutput counts the tokens of one delivered event. The service's configuration says how many tokens an event of
// its engine holds; settleTokens applies the limit of the request.
func (x *exchange) countOutput() {
	n := ident.Tokens(1)
	if svc := x.table.Service(x.service); svc != nil && svc.Engine != nil {
		n = svc.Engine.EventTokens
	}
	x.outputTokens += n
}
