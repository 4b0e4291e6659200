package engine

import (
	"encoding/json"
	"errors"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// defaultMaxTokens is the bound on output tokens of a request that sets none.
const defaultMaxTokens = 256

// chatRequest is the part of a chat completion request that the fake engine reads.
type chatRequest struct {
	Model         string        `json:"model"`
	Messages      []chatMessage `json:"messages"`
	Stream        bool          `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	MaxTokens           int `json:"max_tokens"`
	MaxCompletionTokens int `json:"max_completion_tokens"`
	// MinTokens is a lower bound on output tokens. The upper bound takes precedence.
	MinTokens int `json:"min_tokens"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// text returns the text of the content, which is a string or a list of parts.
func (m chatMessage) text() (string, error) {
	var s string
	if json.Unmarshal(m.Content, &s) == nil {
		return s, nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(m.Content, &parts); err != nil {
		return "", errors.New("content must be a string or a list of parts")
	}
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(p.Text)
	}
	return b.String(), nil
}

// prompt returns the prompt text: each role and each content, followed by a newline.
func (c chatRequest) prompt() (string, error) {
	if len(c.Messages) == 0 {
		return "", errors.New("messages must not be empty")
	}
	var b strings.Builder
	for _, m := range c.Messages {
		s, err := m.text()
		if err != nil {
			return "", err
		}
		b.WriteString(m.Role + "\n" + s + "\n")
	}
	return b.String(), nil
}

// maxOutputTokens returns the upper bound on output tokens.
func (c chatRequest) maxOutputTokens() int {
	switch {
	case c.MaxCompletionTokens > 0:
		return c.MaxCompletionTokens
	case c.MaxTokens > 0:
		return c.MaxTokens
	}
	return defaultMaxTokens
}

// PromptTokens returns the number of tokens of a prompt: its length in bytes divided by four, rounded up.
func PromptTokens(prompt string) int { return (len(prompt) + 3) / 4 }

// Reply is the answer of the fake engine to a request.
type Reply struct {
	Prompt       string
	PromptTokens int
	Text         string
	OutputTokens int
	// FinishReason is "stop", or "length" when the bound on output tokens truncated the answer.
	FinishReason string
}

// Expect returns the answer that the fake engine gives to the body of a chat completion request.
func Expect(body []byte) (Reply, error) {
	var c chatRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return Reply{}, err
	}
	prompt, err := c.prompt()
	if err != nil {
		return Reply{}, err
	}
	seed := xxhash.Sum64String(prompt)
	n, finish := c.outputLength(seed)
	var b []byte
	for i := range n {
		b = appendToken(b, seed, i)
	}
	return Reply{Prompt: prompt, PromptTokens: PromptTokens(prompt), Text: string(b), OutputTokens: n, FinishReason: finish}, nil
}

// outputLength returns the number of output tokens, which is between 8 and 64 unless the request sets other bounds, and
// the finish reason.
func (c chatRequest) outputLength(seed uint64) (n int, finish string) {
	n = max(8+int(seed%57), c.MinTokens)
	if limit := c.maxOutputTokens(); n > limit {
		return limit, "length"
	}
	return n, "stop"
}

// appendToken appends token i of the answer with the given seed: eight letters from a to p and a space.
func appendToken(b []byte, seed uint64, i int) []byte {
	// Mix the bits of the seed and the position with the increment and the finalizer of splitmix64.
	x := seed + uint64(i+1)*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	x ^= x >> 31
	for range 8 {
		b = append(b, 'a'+byte(x%16))
		x >>= 4
	}
	return append(b, ' ')
}
