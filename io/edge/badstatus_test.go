package edge

import (
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/platform/fakes"
)

// endingsOfAnswers are what follows the head of an answer, by how it says where its body ends.
var endingsOfAnswers = map[string]string{
	"with a body":      framed("", "x"),
	"of length zero":   framed("", ""),
	"without a length": "\r\nx",
	"in chunks":        chunked("", "x"),
}

// TestUnknownStatus guards against passing on an answer whose status no HTTP response can have, with and without a body,
// and against a second run of the request at the same target.
func TestUnknownStatus(t *testing.T) {
	t.Parallel()
	for _, req := range []testRequest{book, look, chat, resume} {
		t.Run(req.path, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			first, service := req.firstTarget()
			for _, status := range []string{"000", "000 OK", "001 Odd", "099 Odd", "600 Odd", "999 Odd"} {
				for ending, rest := range endingsOfAnswers {
					t.Run(status+" "+ending, func(t *testing.T) {
						is := is.New(t)
						env.targets[first].SetScript(fakes.AnswerHeadWith(status) + rest)
						a := env.doViaFaultyTarget(req, first, service, false)
						is.Equal(env.classify(a, req), "unknown")
						is.Equal(env.runCount(a.id), 1)
					})
				}
			}
		})
	}
}

// TestUnknownStatusTriesAnother guards against giving up a request that may run again because one target answers with a
// status that no HTTP response can have.
func TestUnknownStatusTriesAnother(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"000 OK", "600 Odd"} {
		for _, req := range []testRequest{look, resume} {
			t.Run(status+" "+req.path, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				env := newTestEnv(t)
				first, service := req.firstTarget()
				env.targets[first].SetScript(framed(fakes.AnswerHeadWith(status), "x"))
				a := env.doViaFaultyTarget(req, first, service, true)
				is.Equal(env.classify(a, req), "whole")
			})
		}
	}
}
