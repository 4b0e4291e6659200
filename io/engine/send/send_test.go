package send_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/io/engine/send"
)

// startClosingServer starts a server that answers the first request on each connection and closes the connection
// without an answer after reading the second one. It counts the requests read.
func startClosingServer(t *testing.T) (url string, reads *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	reads = new(atomic.Int64)
	read := func(r *bufio.Reader) bool {
		req, err := http.ReadRequest(r)
		if err != nil {
			return false
		}
		_, err = io.Copy(io.Discard, req.Body)
		reads.Add(1)
		return err == nil
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				if !read(r) {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				read(r)
			}()
		}
	}()
	return "http://" + l.Addr().String(), reads
}

// TestDoNeverRepeats guards against net/http retrying a request when a kept-alive connection is closed after the
// request was read. net/http retries each of these requests by default.
func TestDoNeverRepeats(t *testing.T) {
	cases := []struct {
		name, method, key string
		body              []byte
	}{
		{"get", http.MethodGet, "", nil},
		{"post with key", http.MethodPost, "k", []byte("{}")},
		{"post with key and no body", http.MethodPost, "k", nil},
		{"delete with key", http.MethodDelete, "k", nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			url, reads := startClosingServer(t)
			tr := send.New(send.Config{})
			do := func() error {
				r, err := http.NewRequestWithContext(context.Background(), tc.method, url, nil)
				is.NoErr(err)
				if tc.key != "" {
					r.Header.Set("Idempotency-Key", tc.key)
				}
				resp, err := tr.Do(r, tc.body)
				if err != nil {
					return err
				}
				_, err = send.ReadBody(resp, 10)
				return err
			}
			is.NoErr(do())
			err := do()
			is.True(errors.Is(err, send.ErrOutcomeUnknown)) // the request was read, so it may have run
			is.Equal(reads.Load(), int64(2))                // one read for each call
		})
	}
}

// TestDoNotSent guards against reporting an unknown outcome when the target cannot have received the request.
func TestDoNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused := "http://" + l.Addr().String()
	_ = l.Close()
	srv := httptest.NewServer(http.NotFoundHandler())
	defer srv.Close()
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	cases := []struct {
		name string
		ctx  context.Context
		url  string
	}{
		{"refused connection", context.Background(), refused},
		{"context ended before", cancelled, srv.URL},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r, err := http.NewRequestWithContext(tc.ctx, http.MethodPost, tc.url, nil)
			is.NoErr(err)
			_, err = send.New(send.Config{}).Do(r, []byte("{}"))
			is.True(errors.Is(err, send.ErrNotSent))
			is.True(!errors.Is(err, send.ErrOutcomeUnknown))
		})
	}
}

// TestReadBodyBounds guards against a response that is too large or truncated being returned as complete.
func TestReadBodyBounds(t *testing.T) {
	cases := []struct {
		name  string
		serve http.HandlerFunc
		want  error
	}{
		{"declared too large", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "11")
			_, _ = io.WriteString(w, "12345678901")
		}, send.ErrTooLarge},
		{"chunked too large", func(w http.ResponseWriter, _ *http.Request) {
			_ = http.NewResponseController(w).Flush()
			_, _ = io.WriteString(w, "12345678901")
		}, send.ErrTooLarge},
		{"truncated", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "5")
			_, _ = io.WriteString(w, "12")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, io.ErrUnexpectedEOF},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(tc.serve)
			defer srv.Close()
			r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, srv.URL, nil)
			is.NoErr(err)
			resp, err := send.New(send.Config{}).Do(r, nil)
			if err == nil {
				_, err = send.ReadBody(resp, 10)
			}
			is.True(errors.Is(err, tc.want))
			is.True(errors.Is(err, send.ErrOutcomeUnknown))
		})
	}
}

// The ends of a connection after a response without a length.
const (
	endInOrder   = "in order"
	endReset     = "reset"
	endResetLate = "in order, then reset" // a link has taken the request, and the target was closed before it was read
)

// TestUnframedResponse guards against taking a response without a length for complete that a reset has ended while a long
// request was written or was on its way, and against taking one for cut that ended in order before the request was read.
func TestUnframedResponse(t *testing.T) {
	t.Parallel()
	for _, end := range []string{endInOrder, endReset, endResetLate} {
		t.Run(end, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = ln.Close() }()
			go answerUnframed(ln, end)
			tr := send.New(send.Config{DialTimeout: 30 * time.Second})
			for range 20 {
				r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+ln.Addr().String(), nil)
				is.NoErr(err)
				resp, err := tr.Do(r, make([]byte, 4<<20))
				if err == nil {
					_, err = io.ReadAll(resp.Body)
					_ = resp.Body.Close()
				}
				t.Logf("response ended with %v", err)
				is.Equal(err == nil, end == endInOrder)
			}
		})
	}
}

// answerUnframed answers each connection's request before it has read it. It then reads the rest or only a part, and ends
// the connection.
func answerUnframed(ln net.Listener, end string) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nanswer")
			if end == endReset {
				_, _ = io.CopyN(io.Discard, req.Body, 64<<10)
			} else {
				_ = c.(*net.TCPConn).CloseWrite()
				_, _ = io.Copy(io.Discard, req.Body)
			}
		}
		if end == endResetLate {
			time.Sleep(5 * time.Millisecond) // the delay of the link
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}
}
