package edge

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"

	"geraniumsaddle/core/budget"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/place"
	"geraniumsaddle/io/engine/send"
	"geraniumsaddle/io/relay"
	"geraniumsaddle/platform"
)

// callerStream is the event stream to a caller. Several targets may contribute to it, one after the other.
type callerStream struct {
	x           *exchange
	headWritten bool
	// lastID is the ID of the last numbered event that was passed on, and lastNumber its number, or -1. A caller that
	// resumes a stream itself sets lastNumber alone.
	lastID     string
	lastNumber int64
	// unnumbered says that an event without a number was passed on.
	unnumbered   bool
	callerFailed bool
	// events is the number of events that were passed on, and sendEvents the number of those of the last target that are
	// not comments only.
	events, sendEvents int
}

// serveStream passes on a stream of events. If the route allows it, an interrupted stream resumes at another target
// after the last event.
func (x *exchange) serveStream() {
	stream := &callerStream{x: x, lastNumber: -1}
	lastEvent := ""
	if x.route.Resumable {
		lastEvent = x.requestHeaders.LastEventID
		if n, err := strconv.ParseInt(lastEvent, 10, 64); err == nil {
			stream.lastNumber = n
		}
	}
	for {
		c, err := x.chooseTarget()
		if err != nil {
			stream.giveUp(nil, err)
			return
		}
		done, arrived, lastAnswer, err := stream.relayFrom(c, lastEvent)
		if done {
			return
		}
		if stream.lastID != "" {
			lastEvent = stream.lastID
		}
		if stream.callerFailed || !stream.resumable() || !x.mayTryAnother(arrived) {
			stream.giveUp(lastAnswer, err)
			return
		}
	}
}

// resumable reports whether another target can continue the stream. If events without a number have been passed on, the
// target would start again from the first event.
func (stream *callerStream) resumable() bool { return !stream.unnumbered }

// relayFrom sends the request to one target and passes on its events. done says that the answer to the caller is
// complete, arrived that the target may have received the request. lastAnswer is an answer that is no stream and was
// not passed on.
func (stream *callerStream) relayFrom(c *place.Choice, lastEvent string) (
	done, arrived bool, lastAnswer *bufferedAnswer, err error,
) {
	x := stream.x
	sent, err := x.send(x.ctx, c, lastEvent)
	if err != nil {
		x.failSend(c, err)
		return false, !errors.Is(err, send.ErrNotSent), nil, err
	}
	if sent.answerHeaders.NotRun {
		return false, true, nil, x.endRefusedSend(sent)
	}
	if sent.answer.Status != http.StatusOK || !sent.answerHeaders.EventStream {
		return stream.relayNonStream(sent)
	}
	err = stream.relayEvents(sent)
	if err == nil && stream.lacksEvents(sent.answer, lastEvent) {
		err = errNoEvents
	}
	x.billable = x.billable || x.ctx.Err() == nil
	if err == nil {
		x.endSend(sent, place.ResultOK)
		stream.ensureHead(sent.answer)
		return true, true, nil, nil
	}
	sent.answer.Close(0)
	x.failSend(c, err)
	return false, true, nil, err
}

// errNoEvents means that a target ended its stream in order, but before an event, although it has to send one.
var errNoEvents = fmt.Errorf("stream ends before its first event: %w", io.ErrUnexpectedEOF)

// lacksEvents reports whether a stream that ended in order cannot be taken for whole because no event of the last target
// was passed on. Without a length or chunks, such a stream looks the same as one whose target crashed after the head. With
// them, it is whole if it continues one after the event lastEvent, which may have been the last, or if no model engine
// sends it. The first run of an engine that is asked for output has at least one event.
func (stream *callerStream) lacksEvents(a *relay.Response, lastEvent string) bool {
	x := stream.x
	if stream.sendEvents > 0 || x.r.Method == http.MethodHead {
		return false
	}
	p := x.requestHeaders.Prompt
	wantsOutput := x.route.UsesEngine && (p == nil || p.MaxOutput > 0)
	return a.Unframed || lastEvent == "" && wantsOutput
}

// relayNonStream handles an answer that is no stream, such as an error of the target. It passes on an answer that is
// not retryable unless events have been passed on before.
func (stream *callerStream) relayNonStream(sent *sentRequest) (
	done, arrived bool, lastAnswer *bufferedAnswer, err error,
) {
	x := stream.x
	a, err := x.readAnswer(sent)
	if err != nil {
		return false, true, nil, err
	}
	if !retryable(a) && !stream.headWritten {
		x.endSend(sent, place.ResultOK)
		x.writeAnswer(a)
		return true, true, nil, nil
	}
	x.endSend(sent, place.ResultFailed)
	return false, true, a, nil
}

// relayEvents passes on events until the stream ends. It returns nil if the stream is complete.
func (stream *callerStream) relayEvents(sent *sentRequest) error {
	x := stream.x
	buffer := x.newBuffer(budget.Answers)
	defer buffer.release()
	r := newEventReader(sent.answer.Body, buffer.grow)
	defer r.release()
	discarded := 0
	stream.sendEvents = 0
	for {
		e, err := r.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		x.billable = true
		if x.sendEvents++; x.sendEvents == beginningEvents {
			x.clearPrompt()
		}
		isNew, err := stream.checkOrder(e)
		if err != nil {
			return err
		}
		if !isNew {
			if discarded += len(e.raw); discarded > maxErrorSize {
				return errAnswerTooLarge
			}
			continue
		}
		if stream.events++; x.exceedsMaxOutput(stream.events) {
			return errAnswerTooLarge
		}
		if !e.empty {
			stream.sendEvents++
		}
		if !e.empty {
			sent.choice.FirstOutput(x.s.deps.Clock.Now())
		}
		if err := stream.writeEvent(sent.answer, e); err != nil {
			stream.callerFailed = true
			return err
		}
		sent.choice.Output += x.countOutput()
	}
}

var errEventOrder = errors.New("event is out of order")

// checkOrder reports whether an event is to be passed on, and records its number if so. An event that has been passed
// on before is not. A gap in the numbers is an error, and so is an event without a number beside numbered ones: a target
// numbers all events of a stream or none.
func (stream *callerStream) checkOrder(e event) (bool, error) {
	switch {
	case e.empty:
		return true, nil
	case !e.numbered && stream.lastNumber < 0:
		stream.unnumbered = true
		return true, nil
	case !e.numbered || stream.unnumbered:
		return false, errEventOrder
	}
	switch {
	case stream.lastNumber < 0 || e.number == stream.lastNumber+1:
		stream.lastNumber, stream.lastID = e.number, e.id
		return true, nil
	case e.number <= stream.lastNumber:
		return false, nil
	}
	return false, errEventOrder
}

// writeEvent writes one event to the caller, after the head of the answer if it is the first.
func (stream *callerStream) writeEvent(a *relay.Response, e event) error {
	x := stream.x
	if !stream.headWritten {
		stream.writeHead(a)
	}
	if _, err := x.w.Write(e.raw); err != nil {
		return err
	}
	return http.NewResponseController(x.w).Flush()
}

// writeHead passes on the status and the headers of a target's answer.
func (stream *callerStream) writeHead(a *relay.Response) {
	x := stream.x
	stream.headWritten = true
	x.status = a.Status
	x.timeToFirstByte = x.s.deps.Clock.Since(x.started)
	platform.CopyResponseHeaders(x.w.Header(), a.Header)
	x.w.WriteHeader(a.Status)
}

// ensureHead writes the head of a complete answer that has no events.
func (stream *callerStream) ensureHead(a *relay.Response) {
	if !stream.headWritten {
		stream.writeHead(a)
	}
}

// giveUp ends a stream that no target continues. An answer that has begun is aborted, so that the caller cannot take it
// for complete.
func (stream *callerStream) giveUp(lastAnswer *bufferedAnswer, err error) {
	x := stream.x
	if !stream.headWritten {
		x.giveUp(lastAnswer, err)
		return
	}
	x.reason = "stream aborted"
	if err != nil {
		x.reason += ": " + err.Error()
	}
	if !x.r.ProtoAtLeast(1, 1) {
		x.resetCaller()
	}
	panic(http.ErrAbortHandler)
}

// resetCaller resets the caller's connection. HTTP/1.0 has no chunks, so that an orderly end would complete the answer.
func (x *exchange) resetCaller() {
	conn, _, err := http.NewResponseController(x.w).Hijack()
	if err != nil {
		x.s.deps.Log.Warn("connection of an aborted answer not reset", "id", x.requestHeaders.ID, "error", err)
		return
	}
	raw := conn
	if wrapped, ok := raw.(interface{ NetConn() net.Conn }); ok {
		raw = wrapped.NetConn()
	}
	if tcp, ok := raw.(*net.TCPConn); ok {
		err = tcp.SetLinger(0)
	}
	if err := errors.Join(err, conn.Close()); err != nil {
		x.s.deps.Log.Warn("connection of an aborted answer not reset", "id", x.requestHeaders.ID, "error", err)
	}
}

// exceedsMaxOutput reports whether a stream has more events than an answer to the request can have. Each event of an
// engine holds at least one token; extraEvents allows for events without output, such as the one that ends a stream.
func (x *exchange) exceedsMaxOutput(events int) bool {
	const extraEvents = 64
	p := x.requestHeaders.Prompt
	return p != nil && x.route.UsesEngine && ident.Tokens(events) > p.MaxOutput+extraEvents
}

// countOutput counts the tokens of one delivered event, and returns them. The service's configuration says how many tokens an event of
// its engine holds; settleTokens applies the limit of the request.
func (x *exchange) countOutput() ident.Tokens {
	n := ident.Tokens(1)
	if svc := x.table.Service(x.service); svc != nil && svc.Engine != nil {
		n = svc.Engine.EventTokens
	}
	x.outputTokens += n
	return n
}
