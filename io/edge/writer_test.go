package edge

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/core/quota"
	"geraniumsaddle/platform/fakes"
)

// TestWriterChecksStore guards against a writer that accepts claims while it cannot reach the store, which restricts
// what their senders may spend, and against a store call for each router that probes it.
func TestWriterChecksStore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	env := newTestEnvWith(t, peerSettings(30, 0))
	probe := &quota.Claim{Router: "vm-9.1", Probe: true}
	var calls atomic.Int64
	var silent atomic.Bool
	env.store.SetFault(func(r *http.Request) fakes.Fault {
		if !strings.Contains(r.URL.Path, "layouts") {
			return fakes.NoFault
		}
		calls.Add(1)
		if silent.Load() {
			return fakes.DropRequest
		}
		return fakes.NoFault
	})
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			if _, err := env.server.writer.submit(context.Background(), probe); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	is.True(calls.Load() >= 1)
	is.True(calls.Load() < 20)
	silent.Store(true)
	env.waitFor("refusal", func() bool {
		_, err := env.server.writer.submit(context.Background(), probe)
		return errors.Is(err, errRefused)
	})
}
