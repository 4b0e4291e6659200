package cmds

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/platform"
	"geraniumsaddle/platform/fakes"
)

// TestEndlessStoreResponse guards against reading a response of the store without end.
func TestEndlessStoreResponse(t *testing.T) {
	const (
		endlessCap = 64 << 20 // ends a test whose reader has no bound
		readBuffer = 64 << 10 // what the HTTP client may read ahead
	)
	cases := []struct {
		name, start, pattern string
		maxRead              int
	}{
		{"status line", "HTTP/1.1 200 ", "x", maxStoreHeadSize},
		{"headers", "HTTP/1.1 200 OK\r\n", "A: b\r\n", maxStoreHeadSize},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", maxStoreHeadSize},
		{"body", "HTTP/1.1 200 OK\r\n\r\n", "[", 8 << 20},
		{"body of an error", "HTTP/1.1 503 Service Unavailable\r\n\r\n", "x", 1 << 20},
		{"body of a conflict", "HTTP/1.1 409 Conflict\r\n\r\n", "x", 8 << 20},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = ln.Close() }()
			sent := make(chan int, 1)
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					sent <- endlessCap
					return
				}
				_, _ = conn.Read(make([]byte, 4096))
				total, err := io.WriteString(conn, c.start)
				pattern := strings.Repeat(c.pattern, 1+4096/len(c.pattern))
				for err == nil && total < endlessCap {
					var n int
					n, err = io.WriteString(conn, pattern)
					total += n
				}
				sent <- total
			}()
			var counter fakes.ReadCounter
			transport := newStoreTransport()
			dial := transport.DialContext
			transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
				conn, err := dial(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				return counter.Conn(conn), nil
			}
			_, err = newPlatformStore(platform.StoreSettings{Addr: ln.Addr().String()}, transport).Get(context.Background(), platform.ConfigKey)
			is.True(err != nil)
			is.True(<-sent < endlessCap) // the connection was closed
			is.True(counter.Bytes() <= c.maxRead+readBuffer)
		})
	}
}
