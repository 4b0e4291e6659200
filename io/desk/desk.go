// Package desk calls plain services. It sends each call at most once.
package desk

import (
	"context"
	"net/http"
	"net/url"

	"github.com/gravitational/trace"

	"geraniumsaddle/io/engine/reach"
)

// The classes of errors, shared with the engine client.
var (
	// ErrNotSent means that the service cannot have received the call or has refused it before running it.
	ErrNotSent = reach.ErrNotSent
	// ErrOutcomeUnknown means that the service may have run the call.
	ErrOutcomeUnknown = reach.ErrOutcomeUnknown
	// ErrRejected means that the call is invalid and was refused by this client, or that a load report failed.
	ErrRejected = reach.ErrRejected
	// ErrTooLarge is the cause of an ErrUnknown when the answer exceeds Config.MaxBody.
	ErrTooLarge = reach.ErrTooLarge
)

// Error is the failure of one call.
type Error = reach.Error

// Config describes one plain service.
type Config struct {
	// URL is the base URL of the service.
	URL string
	// Transport is shared between targets. Nil makes a transport for this client alone.
	Transport *reach.Transport
	// MaxBodyBytes bounds the body of an answer in bytes; zero means 1 MB.
	MaxBodyBytes int64
}

// Client calls one plain service. It is safe for concurrent use.
type Client struct {
	base      *url.URL
	transport *reach.Transport
	maxBody   int64
}

// Response is a complete answer of the service, whatever its status.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// New returns a client.
func New(cfg Config) (*Client, error) {
	u, err := url.Parse(cfg.URL)
	if err != nil {
		return nil, trace.BadParameter("service URL: %v", err)
	}
	if u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, trace.BadParameter("service URL %q: must be an http or https URL", cfg.URL)
	}
	c := &Client{base: u, transport: cfg.Transport, maxBody: cfg.MaxBodyBytes}
	if c.transport == nil {
		c.transport = reach.New(reach.Config{})
	}
	if c.maxBody <= 0 {
		c.maxBody = 1 << 20
	}
	return c, nil
}

// Call sends one call and returns the complete answer, whatever its status. The target is an absolute path with an
// optional query. Hop-by-hop headers are dropped in both directions. An error is an *Error; the bound on time is the
// context's.
func (c *Client) Call(ctx context.Context, method, target string, header http.Header, body []byte) (*Response, error) {
	r, err := c.request(ctx, method, target, header)
	if err != nil {
		return nil, &Error{Class: ErrNotSent, Err: err}
	}
	resp, err := c.transport.Do(r, body) //nolint:bodyclose // ReadBody closes the body.
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		return c.refused(resp)
	}
	b, err := reach.ReadBody(resp, c.maxBody)
	if err != nil {
		return nil, err
	}
	return &Response{Status: resp.StatusCode, Header: endToEnd(resp.Header), Body: b}, nil
}

func (c *Client) request(ctx context.Context, method, target string, header http.Header) (*http.Request, error) {
	ref, err := url.ParseRequestURI(target)
	if err != nil {
		return nil, trace.BadParameter("path: %v", err)
	}
	if ref.Host != "" || ref.Scheme != "" || ref.Path == "" || ref.Path[0] != '/' {
		return nil, trace.BadParameter("path %q: must be absolute and without a host", target)
	}
	u := c.base.JoinPath(ref.EscapedPath())
	u.RawQuery = ref.RawQuery
	r, err := http.NewRequestWithContext(ctx, method, u.String(), nil)
	if err != nil {
		return nil, trace.BadParameter("request: %v", err)
	}
	r.Header = endToEnd(header)
	return r, nil
}
