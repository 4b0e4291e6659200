package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"geraniumsaddle/core/ident"
)

// Cancel cancels a request and frees its slot. It returns false if the engine does not know the request.
func (c *Client) Cancel(ctx context.Context, id ident.RequestID) (bool, error) {
	err := c.doJSON(ctx, apiCall{method: http.MethodDelete, path: []string{"v1", "streams", string(id)}}, nil)
	if isRejectedWith(err, http.StatusNotFound) {
		return false, nil
	}
	return err == nil, err
}

// RequestState is the state of a request as known to an engine.
type RequestState string

// The states of a request.
const (
	RequestRunning RequestState = "running"
	RequestDone    RequestState = "done"
	RequestAbsent  RequestState = "absent"
)

// Status is the state of a request at an engine with its token counts.
type Status struct {
	State        RequestState `json:"state"`
	PromptTokens ident.Tokens `json:"prompt_tokens"`
	OutputTokens ident.Tokens `json:"output_tokens"`
	// FinishReason is set once the request is done. It is "cancelled" for a cancelled request.
	FinishReason string `json:"finish_reason"`
}

// Status returns the state of a request.
func (c *Client) Status(ctx context.Context, id ident.RequestID) (Status, error) {
	var out Status
	err := c.doJSON(ctx, apiCall{method: http.MethodGet, path: []string{"v1", "requests", string(id)}}, &out)
	return out, err
}

// Load is a load report. It lags behind the engine's state.
type Load struct {
	Running  int       `json:"running"`
	Queued   int       `json:"queued"`
	Capacity int       `json:"capacity"`
	AsOf     time.Time `json:"as_of"`
}

// Load returns the latest load report.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var out Load
	err := c.doJSON(ctx, apiCall{method: http.MethodGet, path: []string{"v1", "load"}}, &out)
	return out, err
}

// CacheEvent reports that a block was added to or evicted from an engine's prompt-prefix cache.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Type   string `json:"type"`   // "stored" or "evicted"
	Prefix string `json:"prefix"` // hash of the prompt up to the end of the block, see PrefixHashes
}

// CacheEvents is a page of an engine's cache events.
type CacheEvents struct {
	Events []CacheEvent
	// Next is the sequence number to pass to the next call.
	Next uint64
	// Gap reports that events are missing, so that the cache content known from earlier events is no longer valid.
	Gap bool
}

// CacheEvents returns the cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, after uint64) (CacheEvents, error) {
	var in struct {
		Events []CacheEvent `json:"events"`
		Next   uint64       `json:"next"`
	}
	q := url.Values{"after": {strconv.FormatUint(after, 10)}}
	if err := c.doJSON(ctx, apiCall{method: http.MethodGet, path: []string{"v1", "cache", "events"}, query: q}, &in); err != nil {
		return CacheEvents{}, err
	}
	out := CacheEvents{Events: in.Events, Next: max(in.Next, after)}
	last := after
	for _, e := range in.Events {
		out.Gap = out.Gap || e.Seq != last+1
		last = e.Seq
	}
	return out, nil
}

// OrderKind selects what an order changes.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad    OrderKind = "load"
	OrderAdapter OrderKind = "adapter"
	OrderVersion OrderKind = "version"
	OrderRole    OrderKind = "role"
)

// Order is a control command to an engine. An engine executes each order id at most once.
type Order struct {
	ID      string          `json:"order_id"`
	Fence   uint64          `json:"fence"`
	Kind    OrderKind       `json:"kind"`
	Version ident.VersionID `json:"version,omitempty"`
	// Replaces is a loaded version that the engine may unload to make room. It unloads no other version.
	Replaces ident.VersionID `json:"replaces,omitempty"`
	Role     string          `json:"role,omitempty"`
}

// State is the state of an engine that orders change.
type State struct {
	Fence uint64 `json:"fence"`
	// Loaded is nil for an engine that accepts any version.
	Loaded   []ident.VersionID `json:"loaded"`
	Adapters []ident.VersionID `json:"adapters"`
	Serving  ident.VersionID   `json:"serving"`
	Role     string            `json:"role"`
	// Orders are the ids of the applied orders that the engine remembers.
	Orders []string `json:"orders"`
}

// Order sends an order and returns the state after it. The error is ErrRejected with status 409 if the engine checks
// fencing numbers and has seen a newer one, and ErrOutcomeUnknown if the order may still take effect.
func (c *Client) Order(ctx context.Context, o Order) (State, error) {
	var out State
	b, err := json.Marshal(o)
	if err != nil {
		return out, &Error{Class: ErrNotSent, Err: err}
	}
	err = c.doJSON(ctx, apiCall{method: http.MethodPost, path: []string{"v1", "orders"}, body: b}, &out)
	return out, err
}

// State returns the state that orders change.
func (c *Client) State(ctx context.Context) (State, error) {
	var out State
	err := c.doJSON(ctx, apiCall{method: http.MethodGet, path: []string{"v1", "state"}}, &out)
	return out, err
}

// ExportKV returns the cached blocks up to a prefix in the engine's own encoding, at most 4 MB. The error is
// ErrRejected with status 404 if the prefix is not cached.
func (c *Client) ExportKV(ctx context.Context, prefix string) ([]byte, error) {
	return c.fetchBody(ctx, apiCall{method: http.MethodGet, path: []string{"v1", "kv", prefix}})
}

// ImportKV stores exported blocks at this engine.
func (c *Client) ImportKV(ctx context.Context, prefix string, b []byte) error {
	return c.doJSON(ctx, apiCall{method: http.MethodPut, path: []string{"v1", "kv", prefix}, body: b}, nil)
}
