package plain_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/io/engine/send"
	"geraniumsaddle/io/plain"
	"geraniumsaddle/platform/fakes"
)

// TestCallCutResponse guards against taking a response for whole whose head or body ends early. A body without a length
// that ends in order is the one cut that can't be seen, and one that is longer than its length loses the surplus.
func TestCallCutResponse(t *testing.T) {
	t.Parallel()
	const head, body = "HTTP/1.1 201 Created\r\nContent-Type: text/plain\r\n", "a whole answer"
	for _, f := range fakes.Framings {
		t.Run(f.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server, err := fakes.NewRawServer()
			is.NoErr(err)
			defer server.Close()
			response, headSize := f.Response(head, body), f.HeadSize(head, body)
			for n := range len(response) + 1 {
				for _, reset := range []bool{false, true} {
					server.Set(fakes.RawResponse{Bytes: response[:n], Reset: reset})
					transport := send.New(send.Config{DialTimeout: 30 * time.Second})
					c, err := plain.New(plain.Config{URL: "http://" + server.Addr(), Transport: transport})
					is.NoErr(err)
					got, err := c.Call(context.Background(), "POST", "/x", nil, []byte("{}"))
					transport.CloseIdle()
					switch {
					case err != nil:
						is.True(errors.Is(err, plain.ErrOutcomeUnknown))
						is.True(reset || n < len(response) || !f.Sound)
					case f.Sound && !f.Unframed:
						is.Equal(n, len(response))
						is.Equal(string(got.Body), body)
					default:
						is.True(n >= headSize)
						is.True(!f.Unframed || len(got.Body) > 0)
						is.True(!reset || !f.Unframed)
						is.True(len(got.Body) <= n-headSize)
						is.Equal(string(got.Body), body[:len(got.Body)])
					}
				}
			}
		})
	}
}
