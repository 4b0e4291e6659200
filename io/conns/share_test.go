package conns

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"geraniumsaddle/core/budget"
	"geraniumsaddle/core/ident"
)

// TestReserveShare guards against bodies that hardly arrive and keep an organisation's share of the memory from others, and
// against evicting a body that arrives.
func TestReserveShare(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	set := New(Config{Clock: clockwork.NewRealClock(), Memory: budget.New(16 << 20)})
	var held atomic.Int32
	begun := make(chan struct{}, 2)
	addr := serveWith(t, set, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := RequestOf(r.Context())
		request.Begin()
		request.BodyBegins(0)
		request.HoldShare(ident.OrgID(r.URL.Path))
		held.Add(1)
		defer held.Add(-1)
		begun <- struct{}{}
		if _, err := io.ReadAll(r.Body); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	for _, org := range []string{"a", "b"} {
		c := dial(t, addr)
		_, err := fmt.Fprintf(c, "POST /%s HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n", org)
		is.NoErr(err)
		<-begun
	}
	errHeld := errors.New("share is held")
	reserve := func() error {
		if held.Load() > 1 {
			return errHeld
		}
		return nil
	}
	began := time.Now()
	err := set.ReserveShare(context.Background(), "/b", errHeld, reserve)
	if time.Since(began) < bodyStall/2 { // A busy machine may be slower.
		is.Equal(err, errHeld) // Both bodies have just begun.
	}
	time.Sleep(bodyStall)
	is.NoErr(waitFor(func() error { return set.ReserveShare(context.Background(), "/b", errHeld, reserve) }))
	for _, c := range set.all() {
		c.mu.Lock()
		if c.memory.share == "/a" {
			is.Equal(c.memory.stage, budget.ReadingBody) // The other organisation's body goes on.
		}
		c.mu.Unlock()
	}
}
