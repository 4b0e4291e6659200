package edge

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/platform/fakes"
)

// socketBuffers bounds what the kernel takes of a connection to a target that is not read: its receive buffer has a fixed
// size, the send buffer of the target may grow to 4 MB.
const socketBuffers = 8 << 20

// TestEndlessAnswers guards against reading an answer of a target without end, and against an outcome other than
// unknown for a request that was sent to such a target.
func TestEndlessAnswers(t *testing.T) {
	t.Parallel()
	const length = "Content-Length: 9999999999\r\n\r\n"
	cases := []struct {
		name     string
		response fakes.EndlessResponse
		req      testRequest
		want     string
		maxRead  int
	}{
		{"header of a booking", fakes.EndlessResponse{Start: fakes.AnswerHead + "X: ", Pattern: "x"}, book, "unknown", 64 << 10},
		{"body of a booking", fakes.EndlessResponse{Start: fakes.AnswerHead + length, Pattern: "x"}, book, "unknown", maxAnswerSize},
		{"error of a booking", fakes.EndlessResponse{Start: fakes.FailureHead + length, Pattern: "x"}, book, "unknown", maxErrorSize},
		{"refusal of a booking", fakes.EndlessResponse{Start: fakes.RefusalHead + length, Pattern: "x"}, book, "unknown", maxErrorSize},
		{"error of a look-up", fakes.EndlessResponse{Start: fakes.FailureHead + length, Pattern: "x"}, look, "whole", maxErrorSize},
		{"refusal of a look-up", fakes.EndlessResponse{Start: fakes.RefusalHead + length, Pattern: "x"}, look, "whole", maxErrorSize},
		{"error of a chat", fakes.EndlessResponse{Start: fakes.NotFoundHead + length, Pattern: "x"}, chat, "unknown", maxAnswerSize},
		{"event", fakes.EndlessResponse{Start: streamHead + "\r\nid: 0\ndata: ", Pattern: "x"}, chat, "unknown", maxEventSize},
		{"repeated event", fakes.EndlessResponse{Start: streamHead + "\r\n", Pattern: "id: 0\ndata: x\n\n"}, chat, "broken", maxErrorSize},
		{"events without number", fakes.EndlessResponse{Start: streamHead + "\r\n", Pattern: "data: x\n\n"}, chat, "broken", maxErrorSize},
		{"event of a resumable stream", fakes.EndlessResponse{Start: streamHead + "\r\nid: 0\ndata: ", Pattern: "x"}, resume, "whole", maxEventSize},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			env := newTestEnv(t)
			first, service := c.req.firstTarget()
			env.targets[first].SetEndless(c.response)
			a := env.doViaFaultyTarget(c.req, first, service, true)
			is.Equal(env.classify(a, c.req), c.want)
			is.True(env.targets[first].EndlessSent() <= c.maxRead+socketBuffers)
		})
	}
}

// TestEndlessRequests guards against reading a request without end, and against a caller that keeps a request beyond
// its deadline by not sending the body.
func TestEndlessRequests(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	var counter fakes.ReadCounter
	callers := env.server.callerServer()
	go func() { _ = callers.Serve(counter.Listener(ln)) }()
	t.Cleanup(func() { _ = callers.Close() })
	cases := []struct {
		name, start, pattern string
		status               int // 0: the connection is closed without an answer
		maxRead              int
	}{
		{"header", fakes.BookHead + "X: ", "x", http.StatusRequestHeaderFieldsTooLarge, 128 << 10},
		{"headers", fakes.BookHead, "X: y\r\n", http.StatusRequestHeaderFieldsTooLarge, 128 << 10},
		{"chunked body", fakes.BookHead + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n",
			http.StatusRequestEntityTooLarge, 5 << 20},
		{"chunk line", fakes.BookHead + "Transfer-Encoding: chunked\r\n\r\n", "0", http.StatusBadRequest, 5 << 20},
		{"body that does not come", fakes.BookHead + fakes.ShortDeadline + "Content-Length: 10\r\n\r\nx", "", http.StatusRequestTimeout, 1 << 20},
		{"chunk that does not come", fakes.BookHead + fakes.ShortDeadline + "Transfer-Encoding: chunked\r\n\r\n5\r\nx", "",
			http.StatusRequestTimeout, 1 << 20},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			before := counter.Bytes()
			conn, err := net.Dial("tcp", ln.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			is.NoErr(conn.SetDeadline(time.Now().Add(waitTimeout)))
			sent := make(chan int, 1)
			go func() { sent <- sendEndless(conn, c.start, c.pattern) }()
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil {
				defer func() { _ = resp.Body.Close() }()
				is.Equal(resp.StatusCode, c.status)
			} else {
				t.Log("the answer was lost when the connection was closed:", err)
				is.True(c.pattern != "")
			}
			is.True(<-sent < endlessCap) // the connection was closed
			is.True(counter.Bytes()-before <= c.maxRead)
		})
	}
}

// endlessCap ends an endless request whose reader has no bound.
const endlessCap = 64 << 20

// sendEndless writes start and then repeats a pattern until the connection is closed. It returns the bytes written.
func sendEndless(w io.Writer, start, pattern string) int {
	total, err := io.WriteString(w, start)
	if pattern == "" {
		return total
	}
	pattern = strings.Repeat(pattern, 1+4096/len(pattern))
	for err == nil && total < endlessCap {
		var n int
		n, err = io.WriteString(w, pattern)
		total += n
	}
	return total
}
