package caller

import (
	"context"
	"net/http"
	"time"

	"geraniumsaddle/core/ident"
)

// Backend runs the requests of authenticated callers. Its methods return a *Refusal for every
// request that they do not answer.
type Backend interface {
	// Authenticate returns the identity that belongs to an API key.
	Authenticate(ctx context.Context, secret string) (Identity, error)
	// Chat runs a chat completion and writes the answer to w.
	Chat(ctx context.Context, r ChatRequest, w ChatWriter) error
	// CallService runs one call of a plain service.
	CallService(ctx context.Context, r ServiceRequest) (ServiceAnswer, error)
	// Models lists the models that have a version in service, sorted by name.
	Models(ctx context.Context) []ident.ModelID
	// Budget returns the balance of the organisation as this router knows it.
	Budget(ctx context.Context, org ident.OrgID) (Balance, error)
	// Bill returns the bill record of a request of the organisation.
	Bill(ctx context.Context, org ident.OrgID, id ident.RequestID) (any, error)
	// MintOperation returns a new operation token, to be used as an idempotency key.
	MintOperation(ctx context.Context, org ident.OrgID) (string, error)
}

// Identity is the result of authentication.
type Identity struct {
	Org   ident.OrgID
	Key   ident.KeyID
	Class ident.Class
}

// ChatRequest is a checked chat completion.
type ChatRequest struct {
	ID             ident.RequestID
	Caller         Identity
	Model          ident.ModelID
	IdempotencyKey string
	// BodyHash is the xxhash of the body, to detect another body under the same idempotency key.
	BodyHash uint64
	// Body is the body to send to the target. It asks for a stream with usage.
	Body []byte
	// Prefix is the part of the prompt that identifies the conversation for prefix affinity.
	Prefix []byte
	// PromptBytes is the size of the messages in bytes.
	PromptBytes int
	// MaxTokens is the bound on output tokens; zero means that the caller set none.
	MaxTokens ident.Tokens
	Priority  int
	Deadline  time.Time
}

// Usage is the number of tokens of a finished chat completion.
type Usage struct {
	PromptTokens     ident.Tokens `json:"prompt_tokens"`
	CompletionTokens ident.Tokens `json:"completion_tokens"`
	TotalTokens      ident.Tokens `json:"total_tokens"`
}

// ChatWriter receives the answer to a chat completion. Begin is called once, when the first chunk has
// arrived; then Chunk for each chunk; then End once for a complete answer. A Backend that returns an
// error instead of calling End ends the answer with that error.
type ChatWriter interface {
	Begin(id ident.RequestID) error
	// Chunk takes the data of one server-sent event. The data is not kept.
	Chunk(data []byte) error
	// Flush sends what Chunk has buffered.
	Flush() error
	// End takes the event with the usage, or nil if the target sent none.
	End(usageEvent []byte, u Usage) error
}

// ServiceRequest is a call of a plain service.
type ServiceRequest struct {
	ID             ident.RequestID
	Caller         Identity
	Service        ident.ServiceID
	Method         string
	Path           string
	Query          string
	Header         http.Header
	IdempotencyKey string
	BodyHash       uint64
	Body           []byte
	Deadline       time.Time
}

// ServiceAnswer is the answer of a plain service.
type ServiceAnswer struct {
	ID      ident.RequestID
	Status  int
	Header  http.Header
	Body    []byte
	Outcome ident.Outcome
}

// Balance is the state of an organisation's budgets, in tokens, as one router knows it.
type Balance struct {
	PaidTokens      ident.Tokens `json:"paid_tokens"`
	BilledTokens    ident.Tokens `json:"billed_tokens"`
	HeldTokens      ident.Tokens `json:"held_tokens"`
	AvailableTokens ident.Tokens `json:"available_tokens"`
	AsOf            time.Time    `json:"as_of"`
}
