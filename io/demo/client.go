package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"geraniumsaddle/core/ident"
)

// callerClient sends requests with an API key to the caller address of a router.
type callerClient struct {
	http   http.Client
	base   string
	apiKey string
}

func (f *Fleet) caller(r *Router, apiKey string) *callerClient {
	return &callerClient{base: "http://" + r.Node.CallerAddr(), apiKey: apiKey}
}

// reply is the answer to a request.
type reply struct {
	Status  int
	ID      ident.RequestID
	Outcome ident.Outcome
	Body    []byte
	// Text and Usage are the content and the usage of a chat completion. Code is the code of an error.
	Text  string
	Usage usage
	Code  string
	// Complete reports whether a stream ended with [DONE], or whether a body has a choice.
	Complete bool
}

type usage struct {
	Total ident.Tokens `json:"total_tokens"`
}

func (c *callerClient) send(ctx context.Context, method, path, idempotencyKey string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.apiKey)
	req.Header.Set("Content-Type", "application/json")
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	return c.http.Do(req)
}

func (c *callerClient) do(ctx context.Context, method, path, idempotencyKey string, body []byte) (reply, error) {
	resp, err := c.send(ctx, method, path, idempotencyKey, body)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	r := newReply(resp)
	r.Body, err = io.ReadAll(resp.Body)
	r.decode()
	return r, err
}

func newReply(resp *http.Response) reply {
	return reply{
		Status: resp.StatusCode, ID: ident.RequestID(resp.Header.Get("X-Request-Id")),
		Outcome: ident.Outcome(resp.Header.Get("Request-Outcome")),
	}
}

func (r *reply) decode() {
	var v struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
		Usage usage `json:"usage"`
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(r.Body, &v) != nil {
		return
	}
	r.Usage, r.Code = v.Usage, v.Error.Code
	if len(v.Choices) > 0 {
		r.Text, r.Complete = v.Choices[0].Message.Content, true
	}
}

func chatBody(prompt string, maxTokens int, stream bool) []byte {
	return fmt.Appendf(nil, `{"model":"demo-chat","messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":%t,"stream_options":{"include_usage":true}}`,
		prompt, maxTokens, stream)
}

func (c *callerClient) chat(ctx context.Context, prompt string, maxTokens int, idempotencyKey string) (reply, error) {
	return c.do(ctx, http.MethodPost, "/v1/chat/completions", idempotencyKey, chatBody(prompt, maxTokens, false))
}

// stream sends a chat completion request with a streamed answer. After each chunk, onChunk is called with the number of
// chunks so far; it may be nil.
func (c *callerClient) stream(ctx context.Context, prompt string, maxTokens int, idempotencyKey string, onChunk func(n int)) (reply, error) {
	resp, err := c.send(ctx, http.MethodPost, "/v1/chat/completions", idempotencyKey, chatBody(prompt, maxTokens, true))
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	r := newReply(resp)
	if resp.StatusCode != http.StatusOK {
		r.Body, err = io.ReadAll(resp.Body)
		r.decode()
		return r, err
	}
	err = r.readEvents(resp.Body, onChunk)
	return r, err
}

func (r *reply) readEvents(body io.Reader, onChunk func(n int)) error {
	lines := newLineScanner(body)
	n := 0
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Complete = true
			continue
		}
		var e struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
			Usage *usage `json:"usage"`
			Error *struct {
				Code string `json:"code"`
			} `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return err
		}
		if len(e.Choices) > 0 {
			r.Text += e.Choices[0].Delta.Content
		}
		if e.Usage != nil {
			r.Usage = *e.Usage
		}
		if e.Error != nil {
			r.Code = e.Error.Code
		}
		n++
		if onChunk != nil {
			onChunk(n)
		}
	}
	return lines.Err()
}
