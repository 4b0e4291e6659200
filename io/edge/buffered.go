package edge

import (
	"errors"
	"io"
	"net/http"

	"geraniumsaddle/core/place"
	"geraniumsaddle/io/engine/reach"
	"geraniumsaddle/platform"
)

// maxAnswer bounds a whole answer that is kept in memory before it is passed on, in bytes.
const maxAnswerSize = 8 << 20

var errAnswerTooLarge = errors.New("answer exceeds the bound")

// whole is a complete answer of a target.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// servePlain answers a request whose answer is passed on as a whole. A failure is repeated at another target where
// that is allowed.
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

// retryable reports whether another target may do better.
func retryable(a *bufferedAnswer) bool {
	return a.status >= http.StatusInternalServerError
}

// giveUp passes on the last answer of a target, or refuses the request.
func (x *exchange) giveUp(lastAnswer *bufferedAnswer, err error) {
	if lastAnswer != nil {
		x.writeAnswer(lastAnswer)
		return
	}
	if x.r.Context().Err() != nil {
		x.reason = "the caller left"
		panic(http.ErrAbortHandler)
	}
	x.refuse(x.finalRefusal(err))
}

// offer sends the request to a target and reads the whole answer. Arrived says that the target got the request. An
// answer that refuses the request without running it is an error.
func (x *exchange) tryTarget(c *place.Choice) (a *bufferedAnswer, arrived bool, err error) {
	s, err := x.send(x.ctx, c, "")
	if err != nil {
		x.failSend(c, err)
		return nil, !errors.Is(err, reach.ErrNotSent), err
	}
	if s.head.NotRun {
		x.endRefusedSend(s)
		return nil, true, place.ErrFull
	}
	body, err := io.ReadAll(io.LimitReader(s.answer.Body, maxAnswerSize+1))
	if err == nil && len(body) > maxAnswerSize {
		err = errAnswerTooLarge
	}
	if err != nil {
		s.answer.Close(0)
		x.failSend(c, err)
		return nil, true, err
	}
	x.billable = true
	a = &bufferedAnswer{s.answer.Status, s.answer.Header, body}
	if a.status >= http.StatusInternalServerError {
		x.endSend(s, place.Failed)
		return a, true, nil
	}
	x.endSend(s, place.OK)
	return a, true, nil
}

// refusedBy ends a send that the target refused without running it.
func (x *exchange) endRefusedSend(s *sentRequest) {
	if _, err := io.Copy(io.Discard, io.LimitReader(s.answer.Body, maxAnswerSize)); err != nil {
		x.s.deps.Log.Debug("refusal not read", "id", x.call.ID, "error", err)
	}
	x.s.deps.Log.Info("target refused", "id", x.call.ID, "target", s.choice.Target.ID, "status", s.answer.Status,
		"misdirected", s.head.Misdirected)
	x.endSend(s, place.Full)
}

// pass passes a whole answer on.
func (x *exchange) writeAnswer(a *bufferedAnswer) {
	x.status = a.status
	x.timeToFirstByte = x.s.deps.Clock.Since(x.started)
	h := x.w.Header()
	platform.CopyAnswer(h, a.header)
	x.w.WriteHeader(a.status)
	if x.r.Method == http.MethodHead {
		return
	}
	if _, err := x.w.Write(a.body); err != nil {
		x.reason = "the caller did not take the answer"
		panic(http.ErrAbortHandler)
	}
}
