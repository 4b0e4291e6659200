package edge

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"geraniumsaddle/core/budget"
	"geraniumsaddle/core/place"
	"geraniumsaddle/io/engine/send"
	"geraniumsaddle/io/relay"
	"geraniumsaddle/platform"
)

const (
	// maxAnswerSize is the maximum size in bytes of an answer that is buffered before it is passed on.
	maxAnswerSize = 8 << 20
	// maxErrorSize is the maximum size in bytes of a server error or a refusal of a target.
	maxErrorSize = 1 << 20
)

var errAnswerTooLarge = errors.New("answer exceeds the size limit")

// bufferedAnswer is a complete answer of a target.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// serveBuffered serves a request whose answer is buffered before it is passed on. After a failure it tries another
// target if that is allowed.
func (x *exchange) serveBuffered() {
	var lastAnswer *bufferedAnswer
	for {
		c, err := x.chooseTarget()
		if err != nil {
			x.giveUp(lastAnswer, err)
			return
		}
		answer, arrived, err := x.tryTarget(c)
		if err == nil && !retryable(answer) {
			x.writeAnswer(answer)
			return
		}
		if err == nil {
			lastAnswer = answer
		}
		if !x.mayTryAnother(arrived) {
			x.giveUp(lastAnswer, err)
			return
		}
	}
}

// retryable reports whether the answer is a server error, which another target may not have.
func retryable(a *bufferedAnswer) bool {
	return a.status >= http.StatusInternalServerError
}

// giveUp passes on the last answer of a target if there is one, and refuses the request otherwise.
func (x *exchange) giveUp(lastAnswer *bufferedAnswer, err error) {
	if lastAnswer != nil {
		x.writeAnswer(lastAnswer)
		return
	}
	if x.r.Context().Err() != nil && !x.cutOff() {
		x.reason = "the caller disconnected"
		panic(http.ErrAbortHandler)
	}
	x.refuse(x.finalRefusal(err))
}

// tryTarget sends the request to a target and reads the complete answer. arrived says that the target may have received
// the request. An answer that refuses the request without running it is returned as place.ErrFull.
func (x *exchange) tryTarget(c *place.Choice) (a *bufferedAnswer, arrived bool, err error) {
	sent, err := x.send(x.ctx, c, "")
	if err != nil {
		x.failSend(c, err)
		return nil, !errors.Is(err, send.ErrNotSent), err
	}
	if sent.answerHeaders.NotRun {
		return nil, true, x.endRefusedSend(sent)
	}
	a, err = x.readAnswer(sent)
	if err != nil {
		return nil, true, err
	}
	if retryable(a) {
		x.endSend(sent, place.ResultFailed)
		return a, true, nil
	}
	x.endSend(sent, place.ResultOK)
	return a, true, nil
}

// readAnswer reads the complete answer of a target. If that fails, or the answer is too large, it ends the send.
func (x *exchange) readAnswer(sent *sentRequest) (*bufferedAnswer, error) {
	limit := int64(maxAnswerSize)
	if sent.answer.Status >= http.StatusInternalServerError {
		limit = maxErrorSize
	}
	buffer := x.newBuffer(budget.Answers)
	body, err := io.ReadAll(&bufferedReader{r: io.LimitReader(sent.answer.Body, limit+1), buffer: buffer})
	switch {
	case err == nil && int64(len(body)) > limit:
		err = errAnswerTooLarge
	case err == nil && len(body) == 0 && x.needsBody(sent.answer):
		err = errNoBody
	}
	if err != nil {
		buffer.release()
		sent.answer.Close(0)
		x.failSend(sent.choice, err)
		return nil, err
	}
	x.billable = true
	return &bufferedAnswer{sent.answer.Status, sent.answer.Header, body}, nil
}

// errNoBody means that a target ended its connection in order after the head of a success without a length.
var errNoBody = fmt.Errorf("answer without a length has no body: %w", io.ErrUnexpectedEOF)

// needsBody reports whether an answer with an empty body cannot be taken for whole. A success whose end is that of its
// connection looks the same if the target crashes after the head, and a target that means it to be empty can say so.
func (x *exchange) needsBody(a *relay.Response) bool {
	return a.Unframed && a.Status < http.StatusMultipleChoices && x.r.Method != http.MethodHead
}

// endRefusedSend ends a send that the target refused without running the request, and returns place.ErrFull. A refusal
// that is too large is no answer, so that the request may have run.
func (x *exchange) endRefusedSend(sent *sentRequest) error {
	n, err := io.Copy(io.Discard, io.LimitReader(sent.answer.Body, maxErrorSize+1))
	if n > maxErrorSize {
		x.recordArrival()
		sent.answer.Close(0)
		x.failSend(sent.choice, errAnswerTooLarge)
		return errAnswerTooLarge
	}
	if err != nil {
		x.s.deps.Log.Debug("body of the target's refusal not read", "id", x.requestHeaders.ID, "error", err)
	}
	x.s.deps.Log.Info("target refused the request", "id", x.requestHeaders.ID, "target", sent.choice.Target.ID,
		"status", sent.answer.Status, "misdirected", sent.answerHeaders.Misdirected,
		"busy", int(sent.choice.EstimatedRequests), "running", sent.answerHeaders.Load.Running,
		"waiting", sent.answerHeaders.Load.Waiting, "slots", sent.answerHeaders.Load.Slots)
	if sent.answerHeaders.Misdirected {
		x.endSend(sent, place.ResultGone)
		return place.ErrFull
	}
	x.endSend(sent, place.ResultFull)
	return place.ErrFull
}

// writeAnswer passes a buffered answer on to the caller.
func (x *exchange) writeAnswer(a *bufferedAnswer) {
	x.status = a.status
	x.timeToFirstByte = x.s.deps.Clock.Since(x.started)
	h := x.w.Header()
	platform.CopyResponseHeaders(h, a.header)
	if len(a.body) > 0 {
		// A caller of HTTP/1.0 gets no chunks, and without a length it would take a cut answer for whole.
		h["Content-Length"] = []string{strconv.Itoa(len(a.body))}
	}
	x.w.WriteHeader(a.status)
	if x.r.Method == http.MethodHead {
		return
	}
	if _, err := x.w.Write(a.body); err != nil {
		x.reason = "the answer could not be written to the caller"
		panic(http.ErrAbortHandler)
	}
}
