// Package plain is a client for plain services. It sends each call at most once.
package plain

import (
	"context"
	"net/http"
	"net/url"

	"github.com/gravitational/trace"

	"geraniumsaddle/io/engine/send"
)

// Error classes, shared with the engine client.
var (
	// ErrNotSent means that the call is invalid, that the service cannot have received it, or that the service refused
	// it before running it.
	ErrNotSent = send.ErrNotSent
	// ErrOutcomeUnknown means that the service may have run the call.
	ErrOutcomeUnknown = send.ErrOutcomeUnknown
	// ErrRejected means that the service returned no valid load report.
	ErrRejected = send.ErrRejected
	// ErrTooLarge is the cause of an ErrOutcomeUnknown if the response body exceeds Config.MaxBodyBytes.
	ErrTooLarge = send.ErrTooLarge
)

// Error is the failure of one call.
type Error = send.Error

// Config holds the address of a plain service and the limits of its client.
type Config struct {
	// URL is the base URL of the service.
	URL string
	// Transport may be shared between targets; nil creates one for this client.
	Transport *send.Transport
	// MaxBodyBytes bounds a response body; zero means 1 MB.
	MaxBodyBytes int64
}

// Client calls one plain service. It is safe for concurrent use.
type Client struct {
	base      *url.URL
	transport *send.Transport
	maxBody   int64
}

// Response is a complete response of the service, whatever its status.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// New returns a client for the service at cfg.URL.
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
		c.transport = send.New(send.Config{})
	}
	if c.maxBody <= 0 {
		c.maxBody = 1 << 20
	}
	return c, nil
}

// Call sends one call and returns the complete response, whatever its status. requestTarget is an absolute path with an
// optional query. Hop-by-hop headers are dropped in both directions. An error is an *Error. Only ctx limits the time of
// the call.
func (c *Client) Call(ctx context.Context, method, requestTarget string, header http.Header, body []byte) (*Response, error) {
	r, err := c.newRequest(ctx, method, requestTarget, header)
	if err != nil {
		return nil, &Error{Class: ErrNotSent, Err: err}
	}
	resp, err := c.transport.Do(r, body) //nolint:bodyclose // ReadBody closes the body.
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		return c.readUnavailable(resp)
	}
	b, err := send.ReadBody(resp, c.maxBody)
	if err != nil {
		return nil, err
	}
	return &Response{Status: resp.StatusCode, Header: endToEndHeaders(resp.Header), Body: b}, nil
}

func (c *Client) newRequest(ctx context.Context, method, requestTarget string, header http.Header) (*http.Request, error) {
	parsed, err := url.ParseRequestURI(requestTarget)
	if err != nil {
		return nil, trace.BadParameter("path: %v", err)
	}
	if parsed.Host != "" || parsed.Scheme != "" || parsed.Path == "" || parsed.Path[0] != '/' {
		return nil, trace.BadParameter("path %q: must be absolute and without a host", requestTarget)
	}
	u := c.base.JoinPath(parsed.EscapedPath())
	u.RawQuery = parsed.RawQuery
	r, err := http.NewRequestWithContext(ctx, method, u.String(), nil)
	if err != nil {
		return nil, trace.BadParameter("request: %v", err)
	}
	r.Header = endToEndHeaders(header)
	return r, nil
}
