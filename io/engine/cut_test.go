package engine_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"geraniumsaddle/io/engine"
	"geraniumsaddle/io/engine/send"
	"geraniumsaddle/platform/fakes"
)

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"

// newRawServer starts a server that sends raw responses.
func newRawServer(t *testing.T) *fakes.RawServer {
	t.Helper()
	server, err := fakes.NewRawServer()
	is.New(t).NoErr(err)
	t.Cleanup(server.Close)
	return server
}

// callRaw calls a client without connections that sets the response of the server before.
func callRaw(t *testing.T, server *fakes.RawServer, r fakes.RawResponse, call func(*engine.Client) error) error {
	t.Helper()
	server.Set(r)
	transport := send.New(send.Config{DialTimeout: 30 * time.Second})
	defer transport.CloseIdle()
	c, err := engine.New(engine.Config{URL: "http://" + server.Addr(), Transport: transport}, clockwork.NewRealClock())
	is.New(t).NoErr(err)
	return call(c)
}

// TestCutStream guards against taking a stream for whole whose head or events end early, or that has no event.
func TestCutStream(t *testing.T) {
	t.Parallel()
	var events strings.Builder
	for i, text := range []string{"a", "b"} {
		fmt.Fprintf(&events, "id: %d\ndata: {\"id\":\"r\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", i, text)
	}
	whole := events.String() + "id: 2\ndata: [DONE]\n\n"
	for _, f := range fakes.Framings {
		for _, body := range []string{whole, ""} {
			t.Run(fmt.Sprintf("%s, %d bytes", f.Name, len(body)), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				server := newRawServer(t)
				response := f.Response(streamHead, body)
				complete := 0
				for n := range len(response) + 1 {
					for _, reset := range []bool{false, true} {
						var a received
						err := callRaw(t, server, fakes.RawResponse{Bytes: response[:n], Reset: reset}, func(c *engine.Client) error {
							s, err := c.Start(ctx, engine.Request{ID: "r", Body: chatBody("p", 0)})
							if err != nil {
								return err
							}
							return a.readStream(s)
						})
						if err != nil {
							if !errors.Is(err, engine.ErrOutcomeUnknown) {
								t.Fatalf("cut after %d of %d bytes, reset %v: %v", n, len(response), reset, err)
							}
							continue
						}
						complete++
						is.Equal(a.text, "ab")
						is.True(strings.Contains(response[:n], "[DONE]\n\n"))
					}
				}
				is.Equal(complete > 0, body != "" && (f.Sound || f.Name == "length too long"))
			})
		}
	}
}

// TestCutState guards against taking the JSON response to a call for whole whose head or body ends early.
func TestCutState(t *testing.T) {
	t.Parallel()
	const head, body = "HTTP/1.1 200 OK\r\n", `{"fence":12,"serving":"v1"}`
	for _, f := range fakes.Framings {
		t.Run(f.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server := newRawServer(t)
			response := f.Response(head, body)
			for n := range len(response) + 1 {
				for _, reset := range []bool{false, true} {
					var state engine.State
					err := callRaw(t, server, fakes.RawResponse{Bytes: response[:n], Reset: reset}, func(c *engine.Client) error {
						var err error
						state, err = c.State(ctx)
						return err
					})
					if err != nil {
						is.True(errors.Is(err, engine.ErrOutcomeUnknown))
						is.True(reset || n < len(response) || !f.Sound)
						continue
					}
					is.True(f.Sound && n == len(response))
					is.Equal(state.Fence, uint64(12))
				}
			}
		})
	}
}
