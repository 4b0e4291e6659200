package edge

import (
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/platform/fakes"
)

// TestEmptyAnswer guards against passing on the head alone of an answer without a length, whose target ended right after
// it, as a complete, empty answer. An answer says that it is empty by its length, its chunks or its status.
func TestEmptyAnswer(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name     string
		req      testRequest
		response string
		second   bool
		want     string
	}{
		{"booking without length", book, fakes.AnswerHead + "\r\n", true, "unknown"},
		{"look-up without length", look, fakes.AnswerHead + "\r\n", false, "unknown"},
		{"look-up without length, another target", look, fakes.AnswerHead + "\r\n", true, "whole"},
		{"failure without length", look, fakes.FailureHead + "\r\n", true, "whole"},
		{"chat without stream or length", chat, fakes.AnswerHead + "\r\n", true, "unknown"},
		{"booking of length zero", book, framed(fakes.AnswerHead, ""), true, `200 ""`},
		{"booking in no chunks", book, fakes.AnswerHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true, `200 ""`},
		{"booking without content", book, fakes.NoContent, true, `204 ""`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			env := newTestEnv(t)
			first, service := c.req.firstTarget()
			env.targets[first].SetScript(c.response)
			a := env.doViaFaultyTarget(c.req, first, service, c.second)
			is.Equal(env.classify(a, c.req), c.want)
		})
	}
}
