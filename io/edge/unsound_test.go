package edge

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/platform"
	"geraniumsaddle/platform/fakes"
)

// framed returns an answer with a length.
func framed(head, body string) string {
	return head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// chunked returns an answer in one chunk, in which ID has the length of the IDs of the test's requests.
func chunked(head, body string) string {
	const sampleID = "attempt-2"
	size := len(strings.ReplaceAll(body, "ID", sampleID))
	return head + "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(size), 16) + "\r\n" + body + "\r\n0\r\n\r\n"
}

const (
	failureText = "the engine failed\n\n"
	streamHead  = fakes.AnswerHead + fakes.StreamType
	event2      = "id: 2\ndata: ID part 2\n\n"
	versionLine = platform.EventVersionField + ": 7\n"
)

// TestUnsoundContinuation guards against the text of a failure in the middle of a caller's stream, and against a stream that
// ends as if it was complete, when the target that is to go on with a broken stream sends something else.
func TestUnsoundContinuation(t *testing.T) {
	t.Parallel()
	cases := []struct{ name, second, want string }{
		{"the rest", chunked(streamHead, event2), "whole"},
		{"the rest with a version", chunked(streamHead, versionLine+event2), "with a version"},
		{"error without a stamp", framed(fakes.UnsignedHead+"Content-Type: text/plain\r\n", failureText), "broken"},
		{"nothing, without a stamp", framed(fakes.UnsignedHead, ""), "broken"},
		{"events without a stamp", chunked(fakes.UnsignedHead+fakes.StreamType, event2), "broken"},
		{"no event stream", framed(fakes.AnswerHead+"Content-Type: text/plain\r\n", failureText), "broken"},
		{"no event stream, without a length", fakes.AnswerHead + "\r\n" + failureText, "broken"},
		{"a failure inside the stream", chunked(streamHead, fakes.FailureHead+"Content-Type: text/plain\r\n\r\n"+failureText), "broken"},
		{"a failure after an event", chunked(streamHead, event2+failureText), "broken"},
		{"an event without a number", chunked(streamHead, "data: x\n\n"), "broken"},
		{"an event with a number that jumps", chunked(streamHead, strings.Replace(event2, "id: 2", "id: 3", 1)), "broken"},
		{"an event with an id that is no number", chunked(streamHead, strings.Replace(event2, "id: 2", "id: two", 1)), "broken"},
		{"not found", framed(fakes.NotFoundHead, failureText), "broken"},
		{"failure", framed(fakes.FailureHead, failureText), "broken"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			env := newTestEnv(t)
			env.targets["llm-1"].SetMode(fakes.Truncate)
			second := env.addTarget("llm-2", "llm")
			env.waitFor("the second target", func() bool { return env.server.targets.ServingCount("llm") == 2 })
			env.targets["llm-2"].SetScript(c.second)
			var a answer
			env.waitFor("a broken stream", func() bool {
				seen := env.targets["llm-1"].RequestCount()
				env.requests = 1 // The length of the ID stays that of chunked.
				a = env.do(resume)
				return env.targets["llm-1"].RequestCount() > seen && second.RequestCount() > 0
			})
			is.True(strings.HasPrefix(a.body, eventStream(a.id, 2)))
			rest := strings.TrimPrefix(a.body, eventStream(a.id, 2))
			switch c.want {
			case "whole":
				is.Equal(env.classify(a, resume), c.want)
			case "broken":
				is.True(a.err != nil)
				is.True(rest == "" || rest == strings.ReplaceAll(event2, "ID", a.id))
			default:
				is.NoErr(a.err)
				is.Equal(rest, strings.ReplaceAll(versionLine+event2, "ID", a.id))
			}
		})
	}
}

// TestUnsignedAnswer guards against passing on a success without the target's signature, which may come from anything
// that listens at its address.
func TestUnsignedAnswer(t *testing.T) {
	t.Parallel()
	stream := chunked(fakes.UnsignedHead+fakes.StreamType, "id: 0\ndata: x\n\n")
	cases := []struct {
		name     string
		req      testRequest
		response string
		second   bool
		want     string
	}{
		{"booking", book, framed(fakes.UnsignedHead, "ok"), true, "unknown"},
		{"look-up, another target", look, framed(fakes.UnsignedHead, "ok"), true, "whole"},
		{"look-up", look, framed(fakes.UnsignedHead, "ok"), false, "unknown"},
		{"chat", chat, stream, true, "unknown"},
		{"resumable stream, another target", resume, stream, true, "whole"},
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

// TestPlainAnswerToStream guards against treating a target's own plain answer to a streaming request as events.
func TestPlainAnswerToStream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	env := newTestEnv(t)
	env.targets["llm-1"].SetScript(framed(fakes.AnswerHead+"Content-Type: application/json\r\n", "{}"))
	a := env.do(chat)
	is.NoErr(a.err)
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.body, "{}")
}
