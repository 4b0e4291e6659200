package edge

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"geraniumsaddle/core/link"
	"geraniumsaddle/platform/fakes"
)

// TestCallerConnHalfClose guards against a server that resets the connection of a caller that is still sending,
// because the wrapper hides CloseWrite.
func TestCallerConnHalfClose(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	callers := callerListener{l, new(link.Meter), clockwork.NewRealClock(), func() time.Duration { return 0 }}
	defer func() { is.NoErr(callers.Close()) }()
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = caller.Close() }()
	c, err := callers.Accept()
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	closer, ok := c.(interface{ CloseWrite() error })
	is.True(ok)
	is.NoErr(closer.CloseWrite())
	_, err = caller.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	_, err = caller.Write([]byte("x"))
	is.NoErr(err)
	n, err := c.Read(make([]byte, 1))
	is.NoErr(err)
	is.Equal(n, 1)
}

// TestSlowHead guards against a caller that keeps a connection beyond the configured time limit by not sending the rest
// of a head, in its first request or a later one, and against a limit that also ends a request that is running.
func TestSlowHead(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	const (
		limit = 3 * time.Second // of the configuration
		late  = time.Second
	)
	for _, first := range []string{"", fakes.LookHead + "\r\n"} {
		t.Run("after "+first, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			conn, err := net.Dial("tcp", env.server.CallerAddr())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, first+fakes.LookHead)
			is.NoErr(err)
			start := time.Now()
			is.NoErr(conn.SetReadDeadline(start.Add(limit + late)))
			_, err = io.Copy(io.Discard, conn)
			is.NoErr(err) // the connection is closed
			is.True(time.Since(start) > limit/2)
		})
	}
}
