package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
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

// TestLengthForOldCaller guards against a long answer without a length to a caller of HTTP/1.0, which would take a part of it
// for whole.
func TestLengthForOldCaller(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	env := newTestEnv(t)
	const size = 1 << 20
	env.targets["desk-1"].SetScript(framed(fakes.AnswerHead, strings.Repeat("x", size)))
	conn, err := net.Dial("tcp", env.server.CallerAddr())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, strings.Replace(fakes.LookHead, "HTTP/1.1", "HTTP/1.0", 1)+"\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	is.Equal(resp.ContentLength, int64(size))
}
