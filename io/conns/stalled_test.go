package conns

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"geraniumsaddle/core/budget"
)

// TestStalledReaders guards against callers that don't read their answers and keep all memory for connections until the
// deadline of the answers.
func TestStalledReaders(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const most = 4
	set := New(Config{Clock: clockwork.NewRealClock(), Memory: budget.New(most * budget.ConnectionCost)})
	addr := serveWith(t, set, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		RequestOf(r.Context()).Begin()
		if r.URL.Path == "/short" {
			return
		}
		for b := make([]byte, 1<<20); ; {
			if _, err := w.Write(b); err != nil {
				panic(http.ErrAbortHandler)
			}
		}
	}))
	for range most {
		c := dial(t, addr)
		is.NoErr(c.Conn.(*net.TCPConn).SetReadBuffer(4 << 10))
		_, err := io.WriteString(c, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
	}
	is.NoErr(waitFor(func() error { return askOnce("http://" + addr + "/short") }))
	is.True(set.Evictions(budget.Stalled) > 0)
}

// waitFor repeats a call until it succeeds, for longer than a busy machine needs.
func waitFor(call func() error) error {
	err := call()
	for deadline := time.Now().Add(30 * time.Second); err != nil && time.Now().Before(deadline); err = call() {
		time.Sleep(50 * time.Millisecond)
	}
	return err
}

// askOnce sends a request on a new connection.
func askOnce(url string) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
