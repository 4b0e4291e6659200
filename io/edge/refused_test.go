package edge

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// withoutID is the begin of a request that the router refuses.
const withoutID = " / HTTP/1.1\r\nHost: h\r\n"

// TestCallersThatKeepConnections guards against connections that stay open because the caller neither sends the rest of a
// refused request nor reads answers.
func TestCallersThatKeepConnections(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	callers, ready := env.server.CallerAddr(), env.server.ReadyAddr()
	cases := []struct {
		name, addr, data string
		repeat           int
	}{
		{"body that does not come", callers, "POST" + withoutID + "Content-Length: 100000\r\n\r\n", 1},
		{"answers that are not read", callers, "GET" + withoutID + "\r\n", 400_000},
		{"readiness check without its body", ready, "GET /readyz HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n", 1},
		{"long head to the readiness check", ready, "GET /readyz HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 64<<10), 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			conn, err := net.Dial("tcp", c.addr)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			is.NoErr(conn.SetDeadline(time.Now().Add(waitTimeout)))
			chunk := strings.Repeat(c.data, min(c.repeat, 100))
			for n := 0; n < c.repeat && err == nil; n += 100 {
				_, err = io.WriteString(conn, chunk)
			}
			if err == nil {
				_, err = io.Copy(io.Discard, conn)
			}
			is.True(!errors.Is(err, os.ErrDeadlineExceeded)) // The router ends the connection.
		})
	}
}
