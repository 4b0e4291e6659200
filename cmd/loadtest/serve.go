package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"geraniumsaddle/io/fakes/engine"
)

// streamRetention is the time for which an engine keeps a stream without readers. It is longer than any measurement.
const streamRetention = 10 * time.Minute

// serveEngine serves a fake engine whose answers have at least the given number of tokens, unless max_tokens is
// smaller: it adds min_tokens to each request. The engine command of geraniumsaddle generates at most 64 tokens for the
// requests that a router accepts.
func serveEngine(interval time.Duration, tokens int) error {
	listener, err := listenAndPrint()
	if err != nil {
		return err
	}
	fake := engine.New(engine.Config{Capacity: engineCapacity, TokenInterval: interval, StreamRetention: streamRetention}, clockwork.NewRealClock())
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.URL.Path == "/v1/chat/completions" {
			firstByte := make([]byte, 1)
			if _, err := io.ReadFull(r.Body, firstByte); err != nil {
				return
			}
			r.Body = io.NopCloser(io.MultiReader(strings.NewReader(fmt.Sprintf(`{"min_tokens":%d,`, tokens)), r.Body))
		}
		fake.ServeHTTP(w, r)
	})
	return (&http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}).Serve(listener)
}

// serveCopy forwards each connection that it accepts to a new connection to addr, in both directions.
func serveCopy(addr string) error {
	listener, err := listenAndPrint()
	if err != nil {
		return err
	}
	for {
		in, err := listener.Accept()
		if err != nil {
			return err
		}
		out, err := net.Dial("tcp", addr)
		if err != nil {
			_ = in.Close()
			continue
		}
		go copyBytes(in, out)
		go copyBytes(out, in)
	}
}

// copyBytes copies through a buffer of the size that net/http uses. io.Copy would splice in the kernel, which a router
// that reads the events cannot do.
func copyBytes(dst, src net.Conn) {
	defer func() { _ = dst.Close() }()
	buf := make([]byte, 4<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// listenAndPrint listens on a free port and prints the address as a line of JSON, as the commands of geraniumsaddle do.
func listenAndPrint() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return l, json.NewEncoder(os.Stdout).Encode(map[string]string{"addr": l.Addr().String()})
}
