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
const maxAnswer = 8 << 20

var errTooLong = errors.New("answer exceeds the bound")

// whole is a complete answer of a target.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// servePlain answers a request whose answer is passed on as a whole. A failure is repeated at another target where
// that is allowed.
func (x *exchange) servePlain() {
	var last *whole
	for {
		c, err := x.choose()
		if err != nil {
			x.giveUp(last, err)
			return
		}
		got, arrived, err := x.offer(c)
		if err == nil && !retryable(got) {
			x.pass(got)
			return
		}
		if err == nil {
			last = got
		}
		if !x.again(arrived) {
			x.giveUp(last, err)
			return
		}
	}
}

// retryable reports whether another target may do better.
func retryable(a *whole) bool {
	return a.status >= http.StatusInternalServerError
}

// giveUp passes on the last answer of a target, or refuses the request.
func (x *exchange) giveUp(last *whole, err error) {
	if last != nil {
		x.pass(last)
		return
	}
	if x.r.Context().Err() != nil {
		x.reason = "the caller left"
		panic(http.ErrAbortHandler)
	}
	x.refuse(x.none(err))
}

// offer sends the request to a target and reads the whole answer. Arrived says that the target got the request. An
// answer that refuses the request without running it is an error.
func (x *exchange) offer(c *place.Choice) (a *whole, arrived bool, err error) {
	s, err := x.send(x.ctx, c, "")
	if err != nil {
		x.fail(c, err)
		return nil, !errors.Is(err, reach.ErrNotSent), err
	}
	if s.head.NotRun {
		x.refusedBy(s)
		return nil, true, place.ErrFull
	}
	body, err := io.ReadAll(io.LimitReader(s.answer.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = errTooLong
	}
	if err != nil {
		s.answer.Close(0)
		x.fail(c, err)
		return nil, true, err
	}
	x.billable = true
	a = &whole{s.answer.Status, s.answer.Header, body}
	if a.status >= http.StatusInternalServerError {
		x.end(s, place.Failed)
		return a, true, nil
	}
	x.end(s, place.OK)
	return a, true, nil
}

// refusedBy ends a send that the target refused without running it.
func (x *exchange) refusedBy(s *sent) {
	if _, err := io.Copy(io.Discard, io.LimitReader(s.answer.Body, maxAnswer)); err != nil {
		x.s.deps.Log.Debug("refusal not read", "id", x.call.ID, "error", err)
	}
	x.s.deps.Log.Info("target refused", "id", x.call.ID, "target", s.choice.Target.ID, "status", s.answer.Status,
		"misdirected", s.head.Misdirected)
	x.end(s, place.Full)
}

// pass passes a whole answer on.
func (x *exchange) pass(a *whole) {
	x.status = a.status
	x.first = x.s.deps.Clock.Since(x.started)
	h := x.w.Header()
	platform.CopyResponseHeaders(h, a.header)
	x.w.WriteHeader(a.status)
	if x.r.Method == http.MethodHead {
		return
	}
	if _, err := x.w.Write(a.body); err != nil {
		x.reason = "the caller did not take the answer"
		panic(http.ErrAbortHandler)
	}
}
