package caller

import (
	"context"
	"net/http"
	"time"

	"geraniumsaddle/core/ident"
)

// Backend runs the requests of authenticated callers. Its methods return a *Refusal for every request that they do not
// answer.
type Backend interface {
	// Authenticate returns the identity to which an API key belongs.
	Authenticate(ctx context.Context, secret string) (Identity, error)
	// Chat runs a chat completion and writes the answer to w.
	Chat(ctx context.Context, r ChatRequest, w ChatWriter) error
	// CallService runs one call to a plain service.
	CallService(ctx context.Context, r ServiceRequest) (ServiceAnswer, error)
	// Models lists the models that have a version in service, sorted by name.
	Models(ctx context.Context) []ident.ModelID
	// Budget returns the balance of the organisation as known to this router.
	Budget(ctx context.Context, org ident.OrgID) (Balance, error)
	// Bill returns the bill record of a request of the organisation.
	Bill(ctx context.Context, org ident.OrgID, id ident.RequestID) (any, error)
	// MintOperation returns a new operation token, to be used as an idempotency key.
	MintOperation(ctx context.Context, org ident.OrgID) (string, error)
}

// Identity is an authenticated caller: its organisation, its API key and its traffic class.
type Identity struct {
	Org   ident.OrgID
	Key   ident.KeyID
	Class ident.Class
}

// ChatRequest is a validated chat completion request.
type ChatRequest struct {
	ID             ident.RequestID
	Caller         Identity
	Model          ident.ModelID
	IdempotencyKey string
	// BodyHash is the xxhash of the body. It detects an idempotency key that is reused with another body.
	BodyHash uint64
	// Body is the body to send to the target. It always requests a stream with usage.
	Body []byte
	// Prefix is the start of the prompt, which identifies the conversation for prefix affinity.
	Prefix []byte
	// PromptBytes is the size in bytes of the messages, tools, functions and response format.
	PromptBytes int
	// MaxTokens bounds the output tokens; zero means that the caller set no bound.
	MaxTokens ident.Tokens
	Priority  int
	Deadline  time.Time
}

// Usage holds the token counts of a finished chat completion.
type Usage struct {
	PromptTokens     ident.Tokens `json:"prompt_tokens"`
	CompletionTokens ident.Tokens `json:"completion_tokens"`
	TotalTokens      ident.Tokens `json:"total_tokens"`
}

// ChatWriter receives the answer to a chat completion. Begin is called once, when the first chunk has arrived, then
// Chunk for each chunk, then End once if the answer is complete. If the Backend returns an error without calling End,
// the answer ends with that error.
type ChatWriter interface {
	Begin(id ident.RequestID) error
	// Chunk writes the data of one server-sent event. It does not retain data.
	Chunk(data []byte) error
	// Flush sends the data buffered by Chunk.
	Flush() error
	// End completes the answer. usageEvent is the event with the usage, or nil if the target sent none.
	End(usageEvent []byte, u Usage) error
}

// ServiceRequest is a call to a plain service.
type ServiceRequest struct {
	ID             ident.RequestID
	Caller         Identity
	Service        ident.ServiceID
	Method         string
	Path           string
	Query          string
	Header         http.Header
	IdempotencyKey string
	// BodyHash is the xxhash of the method, the request URI and the body.
	BodyHash uint64
	Body     []byte
	Deadline time.Time
}

// ServiceAnswer is the answer of a plain service.
type ServiceAnswer struct {
	ID      ident.RequestID
	Status  int
	Header  http.Header
	Body    []byte
	Outcome ident.Outcome
}

// Balance is the state of an organisation's budgets in tokens, as known to one router.
type Balance struct {
	PaidTokens      ident.Tokens `json:"paid_tokens"`
	BilledTokens    ident.Tokens `json:"billed_tokens"`
	HeldTokens      ident.Tokens `json:"held_tokens"`
	AvailableTokens ident.Tokens `json:"available_tokens"`
	AsOf            time.Time    `json:"as_of"`
}
