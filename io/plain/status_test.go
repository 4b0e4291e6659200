package plain_test

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/io/plain"
	"geraniumsaddle/platform/fakes"
)

// TestCallUnknownStatus guards against taking a response for an answer whose status no HTTP response can have. The server
// of the callers' connections panics on a status below 100.
func TestCallUnknownStatus(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"000", "000 OK", "099 Odd", "600 Odd", "999 Odd"} {
		for _, rest := range []string{"Content-Length: 1\r\n\r\nx", "Content-Length: 0\r\n\r\n", "\r\nx"} {
			t.Run(status, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				server, err := fakes.NewRawServer()
				is.NoErr(err)
				defer server.Close()
				server.Set(fakes.RawResponse{Bytes: "HTTP/1.1 " + status + "\r\n" + rest})
				c, err := plain.New(plain.Config{URL: "http://" + server.Addr()})
				is.NoErr(err)
				_, err = c.Call(context.Background(), "POST", "/x", nil, []byte("{}"))
				is.True(errors.Is(err, plain.ErrOutcomeUnknown))
			})
		}
	}
}
