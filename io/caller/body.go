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

// maxOutputTokens is the largest number of output tokens that a request may ask for.
const maxOutputTokens = 1 << 20

// chatBody holds the accepted fields of a chat completion request. Fields that the router does not interpret are passed
// on unchanged.
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

// parsedChat is a decoded chat completion request and the form of answer that the caller asked for.
type parsedChat struct {
	request      ChatRequest
	stream       bool
	includeUsage bool
}

// readBody reads the body of a request. It refuses a body that is truncated or larger than limit.
func readBody(w http.ResponseWriter, r *http.Request, limit ident.Bytes) ([]byte, error) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, Refuse(CodeTooLarge, ident.OutcomeNotRun, "the body is larger than %d bytes", limit)
	case err != nil:
		return nil, Refuse(CodeInvalidRequest, ident.OutcomeNotRun, "the body could not be read whole")
	}
	return b, nil
}

func invalid(format string, args ...any) *Refusal {
	return Refuse(CodeInvalidRequest, ident.OutcomeNotRun, format, args...)
}

// decodeChat decodes and validates the body of a chat completion request.
func decodeChat(raw []byte) (*parsedChat, error) {
	if !utf8.Valid(raw) {
		return nil, invalid("the body is not valid UTF-8")
	}
	var b chatBody
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&b); err != nil {
		return nil, invalid("the body is not a valid chat completion: %s", describeJSONError(err))
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, invalid("the body has data after the JSON value")
	}
	if err := b.validate(); err != nil {
		return nil, err
	}
	parsed := &parsedChat{stream: b.Stream}
	parsed.includeUsage = b.StreamOptions != nil && b.StreamOptions.IncludeUsage
	parsed.request.Model = ident.ModelID(b.Model)
	parsed.request.MaxTokens = b.outputLimit()
	parsed.request.Prefix, parsed.request.PromptBytes = b.promptPrefix()
	if len(b.Tools) > 0 || len(b.Functions) > 0 || len(b.ResponseFormat) > 0 {
		parsed.request.PromptBytes += len(b.Tools) + len(b.Functions) + len(b.ResponseFormat)
	}
	b.Stream = true
	b.StreamOptions = &streamOptions{IncludeUsage: true}
	out, err := json.Marshal(&b)
	if err != nil {
		return nil, invalid("the body cannot be encoded")
	}
	parsed.request.Body = out
	return parsed, nil
}

// describeJSONError describes a decoding error without quoting the body.
func describeJSONError(err error) string {
	var typeErr *json.UnmarshalTypeError
	var syntaxErr *json.SyntaxError
	switch {
	case errors.As(err, &typeErr):
		return "field " + typeErr.Field + " has the wrong type"
	case errors.As(err, &syntaxErr):
		return "malformed JSON"
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return "the JSON is truncated"
	case strings.HasPrefix(err.Error(), "json: unknown field "):
		return "unknown field " + strings.TrimPrefix(err.Error(), "json: unknown field ")
	}
	return "malformed JSON"
}

func (b *chatBody) validate() error {
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
	if outOfRange(b.MaxTokens) {
		return invalid("max_tokens must be between 1 and %d", maxOutputTokens)
	}
	if outOfRange(b.MaxCompletionTokens) {
		return invalid("max_completion_tokens must be between 1 and %d", maxOutputTokens)
	}
	return nil
}

func outOfRange(n *int64) bool { return n != nil && (*n < 1 || *n > maxOutputTokens) }

// outputLimit returns the smaller one of max_tokens and max_completion_tokens, or zero if neither is set.
func (b *chatBody) outputLimit() ident.Tokens {
	var n int64
	if b.MaxTokens != nil {
		n = *b.MaxTokens
	}
	if b.MaxCompletionTokens != nil && (n == 0 || *b.MaxCompletionTokens < n) {
		n = *b.MaxCompletionTokens
	}
	return ident.Tokens(n)
}
