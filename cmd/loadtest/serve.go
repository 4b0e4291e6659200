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

// keep is the time for which an engine keeps a stream without readers, longer than any run.
const streamRetention = 10 * time.Minute

// serveEngine serves the stand-in of an engine whose answers have a fixed number of tokens. The program's own engine
// command makes answers of at most 64 tokens for the bodies that a router accepts.
func serveEngine(interval time.Duration, tokens int) error {
	listener, err := listenAndPrint()
	if err != nil {
		return err
	}
	fake := engine.New(engine.Config{Capacity: engineCapacity, TokenInterval: interval, Keep: streamRetention}, clockwork.NewRealClock())
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

// serveCopy accepts connections and copies the bytes of each to and from a new connection to an address.
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

// copyBytes reads and writes through a buffer of the size that net/http uses. io.Copy would splice in the kernel,
// which a router that reads the events cannot do.
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

// listen opens a free port and prints its address as the other programs do.
func listenAndPrint() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return l, json.NewEncoder(os.Stdout).Encode(map[string]string{"addr": l.Addr().String()})
}
