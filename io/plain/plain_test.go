package plain_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	fake "geraniumsaddle/io/fakes/plain"
	"geraniumsaddle/io/plain"
)

// TestCallFaults guards against a wrong error class and against a reservation that runs twice. Each call reuses the
// connection of an earlier call, since net/http retries requests only on reused connections.
func TestCallFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults fake.Faults
		body   string
		status int
		err    error
		runs   int
	}{
		{"none", fake.Faults{}, `{"item":"a","quantity":1}`, 201, nil, 1},
		{"out of stock", fake.Faults{}, `{"item":"a","quantity":9}`, 409, nil, 1},
		{"invalid body", fake.Faults{}, `{`, 400, nil, 0},
		{"error before effect", fake.Faults{ErrorRate: 1}, `{"item":"a","quantity":1}`, 500, nil, 0},
		{"reply lost after effect", fake.Faults{LoseReply: 1}, `{"item":"a","quantity":1}`, 0, plain.ErrOutcomeUnknown, 1},
		{"connection lost before effect", fake.Faults{LoseRequest: 1}, `{"item":"a","quantity":1}`, 0, plain.ErrOutcomeUnknown, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			svc := fake.New(fake.Config{DefaultStock: 5}, clockwork.NewRealClock())
			srv := httptest.NewServer(svc)
			defer srv.Close()
			c, err := plain.New(plain.Config{URL: srv.URL})
			is.NoErr(err)
			ctx := context.Background()
			_, err = c.Call(ctx, http.MethodGet, "/stock/a", nil, nil)
			is.NoErr(err)
			svc.SetFaults(tc.faults)
			resp, err := c.Call(ctx, http.MethodPost, "/reservations", http.Header{"Idempotency-Key": {"k"}}, []byte(tc.body))
			if tc.err != nil {
				is.True(errors.Is(err, tc.err))
			} else {
				is.NoErr(err)
				is.Equal(resp.Status, tc.status)
			}
			is.Equal(svc.Stats().Runs["k"], tc.runs)
		})
	}
}

// TestCallOverCapacity guards against reporting an unknown outcome for a call refused over capacity, and against
// reporting a call to a paused service as not sent.
func TestCallOverCapacity(t *testing.T) {
	is := is.New(t)
	svc := fake.New(fake.Config{Capacity: 1, DefaultStock: 5}, clockwork.NewRealClock())
	arrived := make(chan struct{}, 2)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		svc.ServeHTTP(w, r)
	}))
	defer srv.Close()
	c, err := plain.New(plain.Config{URL: srv.URL})
	is.NoErr(err)
	svc.SetFaults(fake.Faults{Pause: true})
	ctx, cancel := context.WithCancel(context.Background())
	blocked := make(chan error, 1)
	go func() {
		_, err := c.Call(ctx, http.MethodGet, "/stock/a", nil, nil)
		blocked <- err
	}()
	<-arrived
	for svc.Stats().Held == 0 {
		select {
		case err := <-blocked:
			t.Fatal(err)
		default:
		}
	}
	_, err = c.Call(context.Background(), http.MethodGet, "/stock/a", nil, nil)
	is.True(errors.Is(err, plain.ErrNotSent))
	cancel()
	is.True(errors.Is(<-blocked, plain.ErrOutcomeUnknown))
	is.Equal(svc.Stats().Breaches, 1)
	is.Equal(svc.Stats().Peak, 1)
}

// TestCallRejectsForeignPath guards against a caller's path that directs the call to another host.
func TestCallRejectsForeignPath(t *testing.T) {
	c, err := plain.New(plain.Config{URL: "http://127.0.0.1:1"})
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{"http://127.0.0.2/x", "//127.0.0.2/x", "x", ""} {
		_, err := c.Call(context.Background(), http.MethodGet, path, nil, nil)
		if !errors.Is(err, plain.ErrNotSent) {
			t.Errorf("path %q: got %v", path, err)
		}
	}
}
