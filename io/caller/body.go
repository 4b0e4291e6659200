package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"unicode/utf8"

	"geraniumsaddle/core/ident"
)

// maxOutputTokens bounds the output that one request may ask for.
const maxOutputTokens = 1 << 20

// chatBody has the fields of a chat completion that the router accepts. Fields that the router does not
// read are passed on as they are.
type chatBody struct {
	Model               string          `json:"model"`
	Messages            []chatMessage   `json:"messages"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options,omitempty"`
	MaxTokens           *int64          `json:"max_tokens,omitempty"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens,omitempty"`
	N                   *int64          `json:"n,omitempty"`
	Audio               json.RawMessage `json:"audio,omitempty"`
	FrequencyPenalty    json.RawMessage `json:"frequency_penalty,omitempty"`
	FunctionCall        json.RawMessage `json:"function_call,omitempty"`
	Functions           json.RawMessage `json:"functions,omitempty"`
	LogitBias           json.RawMessage `json:"logit_bias,omitempty"`
	Logprobs            json.RawMessage `json:"logprobs,omitempty"`
	Metadata            json.RawMessage `json:"metadata,omitempty"`
	Modalities          json.RawMessage `json:"modalities,omitempty"`
	ParallelToolCalls   json.RawMessage `json:"parallel_tool_calls,omitempty"`
	Prediction          json.RawMessage `json:"prediction,omitempty"`
	PresencePenalty     json.RawMessage `json:"presence_penalty,omitempty"`
	PromptCacheKey      json.RawMessage `json:"prompt_cache_key,omitempty"`
	ReasoningEffort     json.RawMessage `json:"reasoning_effort,omitempty"`
	ResponseFormat      json.RawMessage `json:"response_format,omitempty"`
	SafetyIdentifier    json.RawMessage `json:"safety_identifier,omitempty"`
	Seed                json.RawMessage `json:"seed,omitempty"`
	ServiceTier         json.RawMessage `json:"service_tier,omitempty"`
	Stop                json.RawMessage `json:"stop,omitempty"`
	Store               json.RawMessage `json:"store,omitempty"`
	Temperature         json.RawMessage `json:"temperature,omitempty"`
	ToolChoice          json.RawMessage `json:"tool_choice,omitempty"`
	Tools               json.RawMessage `json:"tools,omitempty"`
	TopLogprobs         json.RawMessage `json:"top_logprobs,omitempty"`
	TopP                json.RawMessage `json:"top_p,omitempty"`
	User                json.RawMessage `json:"user,omitempty"`
	Verbosity           json.RawMessage `json:"verbosity,omitempty"`
}

type streamOptions struct {
	IncludeUsage       bool            `json:"include_usage"`
	IncludeObfuscation json.RawMessage `json:"include_obfuscation,omitempty"`
}

type chatMessage struct {
	Role         string          `json:"role"`
	Content      json.RawMessage `json:"content,omitempty"`
	Name         json.RawMessage `json:"name,omitempty"`
	Refusal      json.RawMessage `json:"refusal,omitempty"`
	Audio        json.RawMessage `json:"audio,omitempty"`
	ToolCalls    json.RawMessage `json:"tool_calls,omitempty"`
	ToolCallID   json.RawMessage `json:"tool_call_id,omitempty"`
	FunctionCall json.RawMessage `json:"function_call,omitempty"`
}

// parsedChat is a decoded chat completion with the body for the target.
type parsedChat struct {
	request      ChatRequest
	stream       bool
	includeUsage bool
}

// readBody reads at most limit bytes and refuses truncated and larger bodies.
func readBody(w http.ResponseWriter, r *http.Request, limit ident.Bytes) ([]byte, error) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, Refuse(CodeTooLarge, ident.OutcomeNotRun, "the body is larger than %d bytes", limit)
	case err != nil:
		return nil, Refuse(CodeInvalidRequest, ident.OutcomeNotRun, "the body could not be read whole")
	}
	return b, nil
}

func invalid(format string, args ...any) *Refusal {
	return Refuse(CodeInvalidRequest, ident.OutcomeNotRun, format, args...)
}

// decodeChat decodes and checks the body of a chat completion.
func decodeChat(raw []byte) (*parsedChat, error) {
	if !utf8.Valid(raw) {
		return nil, invalid("the body is not valid UTF-8")
	}
	var b chatBody
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&b); err != nil {
		return nil, invalid("the body is not a valid chat completion: %s", jsonProblem(err))
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, invalid("the body has data after the JSON value")
	}
	if err := b.check(); err != nil {
		return nil, err
	}
	p := &parsedChat{stream: b.Stream}
	p.includeUsage = b.StreamOptions != nil && b.StreamOptions.IncludeUsage
	p.request.Model = ident.ModelID(b.Model)
	p.request.MaxTokens = b.outputBound()
	p.request.Prefix, p.request.PromptBytes = b.prompt()
	if len(b.Tools) > 0 || len(b.Functions) > 0 || len(b.ResponseFormat) > 0 {
		p.request.PromptBytes += len(b.Tools) + len(b.Functions) + len(b.ResponseFormat)
	}
	b.Stream = true
	b.StreamOptions = &streamOptions{IncludeUsage: true}
	out, err := json.Marshal(&b)
	if err != nil {
		return nil, invalid("the body cannot be encoded")
	}
	p.request.Body = out
	return p, nil
}

// jsonProblem describes a decoding error without quoting the body.
func jsonProblem(err error) string {
	var typ *json.UnmarshalTypeError
	var syn *json.SyntaxError
	switch {
	case errors.As(err, &typ):
		return "field " + typ.Field + " has the wrong type"
	case errors.As(err, &syn):
		return "malformed JSON"
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return "the JSON is truncated"
	case strings.HasPrefix(err.Error(), "json: unknown field "):
		return "unknown field " + strings.TrimPrefix(err.Error(), "json: unknown field ")
	}
	return "malformed JSON"
}

func (b *chatBody) check() error {
	if b.Model == "" {
		return invalid("model is required")
	}
	if len(b.Messages) == 0 {
		return invalid("messages must not be empty")
	}
	for i, m := range b.Messages {
		if m.Role == "" {
			return invalid("messages[%d].role is required", i)
		}
	}
	if b.N != nil && *b.N != 1 {
		return invalid("n must be 1")
	}
	if bad(b.MaxTokens) {
		return invalid("max_tokens must be between 1 and %d", maxOutputTokens)
	}
	if bad(b.MaxCompletionTokens) {
		return invalid("max_completion_tokens must be between 1 and %d", maxOutputTokens)
	}
	return nil
}

func bad(n *int64) bool { return n != nil && (*n < 1 || *n > maxOutputTokens) }

func (b *chatBody) outputBound() ident.Tokens {
	var n int64
	if b.MaxTokens != nil {
		n = *b.MaxTokens
	}
	if b.MaxCompletionTokens != nil && (n == 0 || *b.MaxCompletionTokens < n) {
		n = *b.MaxCompletionTokens
	}
	return ident.Tokens(n)
}
