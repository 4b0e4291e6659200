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

// callerClient sends requests to a router as a caller does.
type callerClient struct {
	http http.Client
	base string
	key  string
}

func (f *Fleet) caller(r *Router, key string) *callerClient {
	return &callerClient{base: "http://" + r.Node.CallerAddr(), key: key}
}

// reply is what a caller got.
type reply struct {
	Status  int
	ID      ident.RequestID
	Outcome ident.Outcome
	Body    []byte
	// Text and Usage are those of a chat completion.
	Text  string
	Usage usage
	Code  string
	// Whole says that a stream ended with its final marker.
	Whole bool
}

type usage struct {
	Total ident.Tokens `json:"total_tokens"`
}

func (c *callerClient) send(ctx context.Context, method, path, key string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return c.http.Do(req)
}

func (c *callerClient) do(ctx context.Context, method, path, key string, body []byte) (reply, error) {
	resp, err := c.send(ctx, method, path, key, body)
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
		r.Text, r.Whole = v.Choices[0].Message.Content, true
	}
}

func chatBody(prompt string, maxTokens int, stream bool) []byte {
	return fmt.Appendf(nil, `{"model":"demo-chat","messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":%t,"stream_options":{"include_usage":true}}`,
		prompt, maxTokens, stream)
}

func (c *callerClient) chat(ctx context.Context, prompt string, maxTokens int, key string) (reply, error) {
	return c.do(ctx, http.MethodPost, "/v1/chat/completions", key, chatBody(prompt, maxTokens, false))
}

// stream sends a streamed chat completion. The function each is told the number of chunks after each chunk.
func (c *callerClient) stream(ctx context.Context, prompt string, maxTokens int, key string, each func(n int)) (reply, error) {
	resp, err := c.send(ctx, http.MethodPost, "/v1/chat/completions", key, chatBody(prompt, maxTokens, true))
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
	err = r.readEvents(resp.Body, each)
	return r, err
}

func (r *reply) readEvents(body io.Reader, each func(n int)) error {
	lines := newLines(body)
	n := 0
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Whole = true
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
		if each != nil {
			each(n)
		}
	}
	return lines.Err()
}
