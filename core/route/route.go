// Package route holds a version of the configuration and looks up the route and the organisation of a request.
//
// A Table is immutable. Traffic goroutines read the newest one without a lock.
package route

import (
	"time"

	"geraniumsaddle/core/ident"
)

// Kind says how often a request on a route may run.
type Kind uint8

// The kinds of routes.
const (
	// Unsafe requests run at most once. It is the zero value, so that requests of an unknown kind are never repeated.
	Unsafe Kind = iota
	// Safe requests are idempotent and may run more than once.
	Safe
	// Stream requests are answered with a stream of events. They run at most once unless the route is resumable.
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

// Split assigns a share of a route's requests to a service.
type Split struct {
	Service ident.ServiceID
	// Weight is relative to the other splits of the route.
	Weight int
}

// Route defines how requests with a given host and path prefix are served.
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
	// TargetLatency is the latency up to which an answer has its full value to the caller. For a stream it applies to
	// the first event.
	TargetLatency time.Duration
	// MaxEventGap is the longest gap between two events of a stream that callers accept.
	MaxEventGap time.Duration
	// Priority orders requests. Zero is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of targets that may run one request.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// UsesEngine says that model engines serve the requests, which then describe their prompt.
	UsesEngine bool
	// Regions holds the regions whose targets may get the requests. If it is empty, all may.
	Regions []ident.RegionID
	// Resumable says that an interrupted stream may continue at another target.
	Resumable bool
}

// Repeatable reports whether a request may be sent again if it is unknown whether it has run.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// KVCapacity is the number of tokens that fit in the KV cache of an engine, for running requests and cached
	// prompts.
	KVCapacity ident.Tokens
	// EventTokens is the maximum number of output tokens in one event of a stream.
	EventTokens ident.Tokens
}

// Service is a set of interchangeable targets.
type Service struct {
	ID ident.ServiceID
	// HealthPath is the path for health checks.
	HealthPath string
	// MaxConns is the maximum number of connections that one target accepts in total.
	MaxConns int
	// ColdTime is how long a target is cold after its start, and ColdPerSecond the number of requests per second that it
	// tolerates meanwhile. Zero means no limit.
	ColdTime      time.Duration
	ColdPerSecond float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bounds the size of callers' requests and the time that callers may take.
type Limits struct {
	MaxHeader     ident.Bytes
	MaxBody       ident.Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Org is an organisation with its API keys and its token budget.
type Org struct {
	ID   ident.OrgID
	Keys []string
	// Priority overrides the priority of the route if it is not nil.
	Priority *int
	// Prepaid is the number of tokens that the organisation may use. It applies only if Metered is set.
	Prepaid ident.Tokens
	// Regions holds the regions whose targets may get the organisation's requests. If it is empty, all may.
	Regions []ident.RegionID
	// Metered is set if the configuration limits the organisation's tokens.
	Metered bool
}

// Config is one complete version of the configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Orgs lists the organisations. If it is empty, requests need no API key.
	Orgs []Org
}
