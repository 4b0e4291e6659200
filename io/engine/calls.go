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

// Cancel ends a request and frees its slot. It returns false when the engine does not know the request.
func (c *Client) Cancel(ctx context.Context, id ident.RequestID) (bool, error) {
	err := c.do(ctx, call{method: http.MethodDelete, path: []string{"v1", "streams", string(id)}}, nil)
	if rejectedWith(err, http.StatusNotFound) {
		return false, nil
	}
	return err == nil, err
}

// RequestState is what an engine knows of a request.
type RequestState string

// The states of a request.
const (
	RequestRunning RequestState = "running"
	RequestDone    RequestState = "done"
	RequestAbsent  RequestState = "absent"
)

// Status is the state of a request at an engine.
type Status struct {
	State        RequestState `json:"state"`
	PromptTokens ident.Tokens `json:"prompt_tokens"`
	OutputTokens ident.Tokens `json:"output_tokens"`
	// FinishReason is set on a request that is done; it is "cancelled" on a cancelled one.
	FinishReason string `json:"finish_reason"`
}

// Status returns the state of a request.
func (c *Client) Status(ctx context.Context, id ident.RequestID) (Status, error) {
	var out Status
	err := c.do(ctx, call{method: http.MethodGet, path: []string{"v1", "requests", string(id)}}, &out)
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
	err := c.do(ctx, call{method: http.MethodGet, path: []string{"v1", "load"}}, &out)
	return out, err
}

// CacheEvent says that a block entered or left an engine's prompt-prefix cache.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Type   string `json:"type"` // "stored" or "evicted"
	Prefix string `json:"prefix"`
}

// CacheEvents is a part of the sequence of cache events.
type CacheEvents struct {
	Events []CacheEvent
	// Next is the sequence number to ask after next time.
	Next uint64
	// Gap says that events are missing, so that knowledge of the cache from before is void.
	Gap bool
}

// CacheEvents returns the cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, after uint64) (CacheEvents, error) {
	var in struct {
		Events []CacheEvent `json:"events"`
		Next   uint64       `json:"next"`
	}
	q := url.Values{"after": {strconv.FormatUint(after, 10)}}
	if err := c.do(ctx, call{method: http.MethodGet, path: []string{"v1", "cache", "events"}, query: q}, &in); err != nil {
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

// OrderKind is what an order changes.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad    OrderKind = "load"
	OrderAdapter OrderKind = "adapter"
	OrderVersion OrderKind = "version"
	OrderRole    OrderKind = "role"
)

// Order is an order to an engine. An engine carries out an order id once.
type Order struct {
	ID      string          `json:"order_id"`
	Fence   uint64          `json:"fence"`
	Kind    OrderKind       `json:"kind"`
	Version ident.VersionID `json:"version,omitempty"`
	// Replaces is a loaded version that the engine may drop to make room. It drops no other one.
	Replaces ident.VersionID `json:"replaces,omitempty"`
	Role     string          `json:"role,omitempty"`
}

// State is what orders have changed at an engine.
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

// Order gives an order and returns the state after it. The error is ErrRejected with status 409 when the engine
// checks fencing numbers and has seen a newer one, and ErrUnknown when the order may take effect.
func (c *Client) Order(ctx context.Context, o Order) (State, error) {
	var out State
	b, err := json.Marshal(o)
	if err != nil {
		return out, &Error{Class: ErrNotSent, Err: err}
	}
	err = c.do(ctx, call{method: http.MethodPost, path: []string{"v1", "orders"}, body: b}, &out)
	return out, err
}

// State returns what orders have changed.
func (c *Client) State(ctx context.Context) (State, error) {
	var out State
	err := c.do(ctx, call{method: http.MethodGet, path: []string{"v1", "state"}}, &out)
	return out, err
}

// ExportKV returns the engine's own form of the cached blocks up to a prefix, at most 4 MB. The error is ErrRejected
// with status 404 when the prefix is not cached.
func (c *Client) ExportKV(ctx context.Context, prefix string) ([]byte, error) {
	return c.fetch(ctx, call{method: http.MethodGet, path: []string{"v1", "kv", prefix}})
}

// ImportKV stores exported blocks at this engine.
func (c *Client) ImportKV(ctx context.Context, prefix string, b []byte) error {
	return c.do(ctx, call{method: http.MethodPut, path: []string{"v1", "kv", prefix}, body: b}, nil)
}
