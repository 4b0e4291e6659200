package engine

import (
	"encoding/json"
	"errors"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// defaultMax is the bound on output tokens of a request that names none.
const defaultMax = 256

// chatBody is the part of a chat completion request that the stand-in reads.
type chatBody struct {
	Model         string        `json:"model"`
	Messages      []chatMessage `json:"messages"`
	Stream        bool          `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	MaxTokens           int `json:"max_tokens"`
	MaxCompletionTokens int `json:"max_completion_tokens"`
	// MinTokens prolongs an answer that would be shorter.
	MinTokens int `json:"min_tokens"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// text returns the content, which is a string or a list of parts.
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

// prompt returns the text that the engine reads: each role and content on lines of their own.
func (c chatBody) prompt() (string, error) {
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

// bound returns the largest number of output tokens.
func (c chatBody) bound() int {
	switch {
	case c.MaxCompletionTokens > 0:
		return c.MaxCompletionTokens
	case c.MaxTokens > 0:
		return c.MaxTokens
	}
	return defaultMax
}

// PromptTokens returns the number of tokens of a prompt: one for each four bytes or part of them.
func PromptTokens(prompt string) int { return (len(prompt) + 3) / 4 }

// Reply is what the stand-in answers to a request.
type Reply struct {
	Prompt       string
	PromptTokens int
	Text         string
	OutputTokens int
	// FinishReason is "stop", or "length" when the bound cut the answer.
	FinishReason string
}

// Expect returns the answer to a chat completion request body, so that a test can compare it.
func Expect(body []byte) (Reply, error) {
	var c chatBody
	if err := json.Unmarshal(body, &c); err != nil {
		return Reply{}, err
	}
	prompt, err := c.prompt()
	if err != nil {
		return Reply{}, err
	}
	seed := xxhash.Sum64String(prompt)
	n, finish := c.length(seed)
	var b []byte
	for i := range n {
		b = appendToken(b, seed, i)
	}
	return Reply{Prompt: prompt, PromptTokens: PromptTokens(prompt), Text: string(b), OutputTokens: n, FinishReason: finish}, nil
}

// length returns the number of output tokens, which is between 8 and 64 unless the request bounds it.
func (c chatBody) length(seed uint64) (n int, finish string) {
	n = max(8+int(seed%57), c.MinTokens)
	if bound := c.bound(); n > bound {
		return bound, "length"
	}
	return n, "stop"
}

// appendToken appends token i of the answer with the given seed: eight letters and a space.
func appendToken(b []byte, seed uint64, i int) []byte {
	// The constants mix the bits of the seed and the position (the finalizer of splitmix64).
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
