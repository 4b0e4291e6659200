package edge

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/platform/fakes"
)

const comment = ": keep-alive\n\n"

// TestEmptyStream guards against passing on a stream without an event as a complete one. An engine that ends right after
// the head sends the same bytes as one whose stream without a length is empty.
func TestEmptyStream(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name     string
		req      testRequest
		response string
		second   bool
		want     string
	}{
		{"no length", chat, streamHead + "\r\n", true, "unknown"},
		{"chunks", chat, chunkedEmpty, true, "unknown"},
		{"length", chat, framed(streamHead, ""), true, "unknown"},
		{"no length, comment", chat, streamHead + "\r\n" + comment, true, "broken"},
		{"chunks, comment", chat, chunked(streamHead, comment), true, "broken"},
		{"no length, resumable", resume, streamHead + "\r\n", false, "unknown"},
		{"no length, resumable, another target", resume, streamHead + "\r\n", true, "whole"},
		{"chunks, resumable, another target", resume, chunkedEmpty, true, "whole"},
		{"length, resumable, another target", resume, framed(streamHead, ""), true, "whole"},
		{"no length, comment, resumable", resume, streamHead + "\r\n" + comment, true, "whole"},
		{"an event and no length", chat, streamHead + "\r\nid: 1\ndata: x\n\n", true, `200 "id: 1\ndata: x\n\n"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			env := newTestEnv(t)
			first, service := c.req.firstTarget()
			env.targets[first].SetScript(c.response)
			a := env.doViaFaultyTarget(c.req, first, service, c.second)
			a.body = strings.TrimPrefix(a.body, comment)
			is.Equal(env.classify(a, c.req), c.want)
		})
	}
}

// chunkedEmpty is a whole event stream without an event.
const chunkedEmpty = streamHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"

// TestEmptyContinuation guards against ending a broken stream as complete because the target that is to go on with it ends
// right after the head, and against breaking one whose last event had been passed on. Only a continuation with a length or
// chunks tells the two apart.
func TestEmptyContinuation(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name, second string
		complete     bool
	}{
		{"no length", streamHead + "\r\n", false},
		{"no length, comment", streamHead + "\r\n" + comment, false},
		{"no length, an old event", streamHead + "\r\nid: 1\ndata: ID part 1\n\n", false},
		{"no length, an event", streamHead + "\r\n" + event2, true},
		{"chunks", chunkedEmpty, true},
		{"length", framed(streamHead, ""), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			env := newTestEnv(t)
			a := env.resumeBroken(c.second)
			is.Equal(a.err == nil, c.complete)
			is.True(strings.HasPrefix(a.body, eventStream(a.id, 2)))
		})
	}
}

// resumeBroken returns the answer to a stream that the first target breaks off after two events, and that the second one
// is to go on with.
func (env *testEnv) resumeBroken(second string) answer {
	env.targets["llm-1"].SetMode(fakes.Truncate)
	e := env.addTarget("llm-2", "llm")
	e.SetScript(second)
	env.waitFor("the second target", func() bool { return env.server.targets.ServingCount("llm") == 2 })
	var a answer
	env.waitFor("a broken stream", func() bool {
		seen := e.RequestCount()
		env.requests = 1 // The length of the ID stays that of chunked.
		a = env.do(resume)
		return strings.HasPrefix(a.body, eventStream(a.id, 2)) && e.RequestCount() > seen
	})
	return a
}

// TestCallerResumesFinishedStream guards against breaking a stream that a caller resumes after its last event.
func TestCallerResumesFinishedStream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	env := newTestEnv(t)
	req := resume
	req.header = http.Header{}
	fakes.SetLastEvent(req.header, 2)
	a := env.do(req)
	is.NoErr(a.err)
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.body, "")
}

// TestHeadOfStream guards against taking the answer to a HEAD request, which has no events, for a cut stream.
func TestHeadOfStream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	env := newTestEnv(t)
	env.targets["llm-1"].SetScript(streamHead + "\r\n")
	req := chat
	req.method = http.MethodHead
	a := env.do(req)
	is.NoErr(a.err)
	is.Equal(a.status, http.StatusOK)
}
