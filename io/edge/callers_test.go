package edge

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/platform/fakes"
)

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
