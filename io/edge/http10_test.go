package edge

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/platform/fakes"
)

// TestBrokenStreamToOldCaller guards against a broken stream that looks whole to a caller of HTTP/1.0, which has no chunks:
// its end is that of the connection, so that only a reset tells the two apart.
func TestBrokenStreamToOldCaller(t *testing.T) {
	t.Parallel()
	for _, broken := range []bool{false, true} {
		t.Run(fmt.Sprintf("broken %v", broken), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			env := newTestEnv(t)
			if broken {
				env.targets["llm-1"].SetMode(fakes.Truncate)
			}
			conn, err := net.Dial("tcp", env.server.CallerAddr())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, fakes.OldChat)
			is.NoErr(err)
			b, err := io.ReadAll(conn)
			is.Equal(err != nil, broken)
			is.True(broken || strings.HasSuffix(string(b), "\r\n\r\n"+eventStream("a", 3)))
		})
	}
}
