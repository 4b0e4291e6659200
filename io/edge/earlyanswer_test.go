package edge

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/platform/fakes"
)

// TestEarlyAnswerToUpload guards against a part of an answer that the caller takes for a whole one: the target answers
// before it has read a long body, sends a part of its answer, and resets or closes the connection while the upload is
// still being written.
func TestEarlyAnswerToUpload(t *testing.T) {
	t.Parallel()
	requests := []struct {
		req        testRequest
		head, body string
	}{
		{book, fakes.AnswerHead, strings.Repeat("a line of the answer\n", 200)},
		{chat, streamHead, "id: 0\ndata: x\n\n" + "id: 1\ndata: y\n\n"},
	}
	for _, c := range requests {
		for _, chunks := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, chunks %t", c.req.path, chunks), func(t *testing.T) {
				t.Parallel()
				env := newTestEnv(t)
				env.store.Put("config", "main", strings.Replace(fakes.Config(2, 20_000, 1_000_000),
					`"max_body_bytes":100000`, `"max_body_bytes":4194304`, 1))
				env.waitFor("the limit", func() bool { return env.server.table.Load().Limits().MaxBody > 1<<20 })
				target := env.replaceByRaw(c.req)
				for _, framing := range fakes.Framings {
					if framing.Sound {
						whole := framing.Response(c.head, c.body)
						env.checkEarlyAnswers(t, target, c.req, framing.Name, whole[:len(whole)-len(c.body)/2], chunks)
					}
				}
			})
		}
	}
}

// checkEarlyAnswers uploads long bodies to a target that sends a part of an answer at once, and checks that no caller gets
// that part as a whole answer.
func (env *testEnv) checkEarlyAnswers(t *testing.T, target *fakes.RawServer, req testRequest, framing, part string, chunks bool) {
	const rounds = 4
	ends := map[string]fakes.RawResponse{
		"reset":                   {Early: true, Reset: true},
		"reset during the upload": {Early: true, Reset: true, EarlyRead: 128 << 10},
		"closed, upload unread":   {Early: true},
		"closed amid the upload":  {Early: true, EarlyRead: 128 << 10},
	}
	for end, response := range ends {
		for _, size := range []int{300 << 10, 3 << 20} {
			t.Run(fmt.Sprintf("%s, %s, %d bytes", end, framing, size), func(t *testing.T) {
				is := is.New(t)
				for range rounds {
					r, id := env.newUpload(req, size, chunks)
					response.Bytes = strings.ReplaceAll(part, "ID", id)
					target.Set(response)
					a := env.receive(r, id)
					is.True(a.err != nil || env.classify(a, req) == "unknown")
				}
			})
		}
	}
}

// replaceByRaw replaces the target of the request's service by a server of raw responses.
func (env *testEnv) replaceByRaw(req testRequest) *fakes.RawServer {
	raw, err := fakes.NewRawServer()
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(raw.Close)
	first, service := req.firstTarget()
	serving := func(n int) func() bool {
		return func() bool { return env.server.targets.ServingCount(ident.ServiceID(service)) == n }
	}
	env.store.Put("servers", "raw", raw.RegistryEntry(service, "a"))
	env.waitFor("the raw target", serving(2))
	env.store.Put("servers", first, env.targets[first].RegistryEntry(service, "a", "draining"))
	env.waitFor("the raw target alone", serving(1))
	return raw
}

// newUpload returns a request with a body of the given size, sent in chunks or with a length, and its ID.
func (env *testEnv) newUpload(req testRequest, size int, chunks bool) (*http.Request, string) {
	req.body = strings.Repeat("x", size)
	r, id := env.newRequest(context.Background(), req)
	if chunks {
		r.ContentLength, r.GetBody = -1, nil
		r.Body = io.NopCloser(strings.NewReader(req.body))
	}
	return r, id
}

// receive sends a request and reads its answer.
func (env *testEnv) receive(r *http.Request, id string) answer {
	resp, err := env.client.Do(r)
	if err != nil {
		return answer{err: err, id: id}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(body), err, id, resp.Close}
}
