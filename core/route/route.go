// Package route holds one version of the fleet's configuration and finds the route and the organisation of a request.
//
// A Table is immutable. Traffic goroutines read the newest one without a lock.
package route

import (
	"time"

	"geraniumsaddle/core/ident"
)

// Kind says how often a request of a route may run.
type Kind uint8

// The kinds of routes.
const (
	// Unsafe requests run at most once. It is the zero value, so that an unknown kind is never repeated.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Stream requests answer with a series of events and run at most once, unless the route is resumable.
	Stream
)

// String returns the name of the kind for logs.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Stream:
		return "stream"
	}
	return "unsafe"
}

// Split is the share of one service in the requests of a route.
type Split struct {
	Service ident.ServiceID
	// Weight is relative to the other splits of the route.
	Weight int
}

// Route says how the requests of a host and path prefix are served.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Splits has at least one entry.
	Splits []Split
	// Timeout bounds a request from its arrival to its final answer.
	Timeout time.Duration
	// TargetLatency is the latency within which an answer has its full value; for a stream, that of the first event.
	TargetLatency time.Duration
	// MaxEventGap is the longest pause between the events of a stream that callers accept.
	MaxEventGap time.Duration
	// Priority orders requests; zero is the most urgent.
	Priority int
	// MaxAttempts is the number of targets that may run one request.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// UsesEngine says that the requests are served by model engines and name their prompt.
	UsesEngine bool
	// Resumable says that a stream may go on at another target.
	Resumable bool
}

// Repeatable reports whether a request whose fate is unknown may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// KVCapacity is the number of tokens that an engine keeps for running requests and cached prompts.
	KVCapacity ident.Tokens
	// EventTokens is the largest number of output tokens in one event of a stream.
	EventTokens ident.Tokens
}

// Service is a set of interchangeable targets.
type Service struct {
	ID ident.ServiceID
	// HealthPath answers health checks.
	HealthPath string
	// MaxConns is the number of connections that one target accepts from all callers.
	MaxConns int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeader     ident.Bytes
	MaxBody       ident.Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Org is an organisation with its API keys and its prepaid tokens.
type Org struct {
	ID   ident.OrgID
	Keys []string
	// Priority replaces that of the route when it is set.
	Priority *int
	// Prepaid is what the organisation may use. Metered is false when the configuration names no such bound.
	Prepaid ident.Tokens
	Metered bool
}

// Config is one version of the configuration, complete.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Orgs is empty when requests need no API key.
	Orgs []Org
}
