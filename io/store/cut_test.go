package store_test

import (
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"geraniumsaddle/core/object"
	"geraniumsaddle/io/engine/send"
	"geraniumsaddle/io/store"
	"geraniumsaddle/platform/fakes"
)

// TestCutResponse guards against taking a response of the platform for whole whose head or body ends early, and against an
// error that says that a write had no effect, or that a watch got an invalid event, when its response was cut.
func TestCutResponse(t *testing.T) {
	t.Parallel()
	const (
		head   = "HTTP/1.1 200 OK\r\n"
		stored = `{"kind":"ledgers","name":"a","version":3,"value":{"n":1}}`
		change = `{"type":"put","object":` + stored + "}\n"
	)
	watch := func(c *store.Client) error {
		_, err := c.Watch(ctx, object.KindLedger, 1, func(store.Event) error { return nil })
		return err
	}
	calls := []struct {
		name, body string
		want       error
		call       func(*store.Client) error
	}{
		{"get", stored, store.ErrUnavailable, func(c *store.Client) error { _, err := c.Get(ctx, key("a")); return err }},
		{"list", `{"version":7,"objects":[` + stored + `],"next":"a"}`, store.ErrUnavailable,
			func(c *store.Client) error { _, err := c.List(ctx, object.KindLedger, "", 0); return err }},
		{"put", stored, store.ErrUnknown, func(c *store.Client) error { _, err := c.Put(ctx, key("a"), []byte("{}"), store.Any()); return err }},
		{"delete", stored, store.ErrUnknown, func(c *store.Client) error { _, err := c.Delete(ctx, key("a"), store.Any()); return err }},
		{"watch", change, store.ErrUnavailable, watch},
	}
	for _, call := range calls {
		for _, f := range fakes.Framings {
			t.Run(call.name+", "+f.Name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				server, err := fakes.NewRawServer()
				is.NoErr(err)
				defer server.Close()
				response := f.Response(head, call.body)
				for n := range len(response) + 1 {
					for _, reset := range []bool{false, true} {
						server.Set(fakes.RawResponse{Bytes: response[:n], Reset: reset})
						transport := send.New(send.Config{DialTimeout: 30 * time.Second})
						c, err := store.New(store.Config{URL: "http://" + server.Addr(), Transport: transport}, clockwork.NewRealClock())
						is.NoErr(err)
						err = call.call(c)
						transport.CloseIdle()
						if err == nil && (n < len(response) || !f.Sound) || err != nil && !errors.Is(err, call.want) {
							t.Fatalf("cut after %d of %d bytes, reset %v: %v", n, len(response), reset, err)
						}
					}
				}
			})
		}
	}
}
