package cmds

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/platform"
)

// TestEndlessStoreResponse guards against reading a response of the store without end.
func TestEndlessStoreResponse(t *testing.T) {
	const (
		endlessCap    = 64 << 20 // ends a test whose reader has no bound
		socketBuffers = 8 << 20  // bounds what the kernel takes of a connection that is not read
	)
	cases := []struct {
		name, start, pattern string
		maxRead              int
	}{
		{"status line", "HTTP/1.1 200 ", "x", maxStoreHeadSize},
		{"headers", "HTTP/1.1 200 OK\r\n", "A: b\r\n", maxStoreHeadSize},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", maxStoreHeadSize},
		{"body", "HTTP/1.1 200 OK\r\n\r\n", "[", 8 << 20},
		{"body of an error", "HTTP/1.1 503 Service Unavailable\r\n\r\n", "x", 8 << 20},
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
					sent <- 0
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
			_, err = newPlatformStore(platform.StoreSettings{Addr: ln.Addr().String()}).Get(context.Background(), platform.ConfigKey)
			is.True(err != nil)
			is.True(<-sent <= c.maxRead+socketBuffers)
		})
	}
}
