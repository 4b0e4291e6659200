// Package engine is a client for model engines: chat completions as event streams, load reports, cache events, orders
// and state. It never retries a request.
package engine

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/io/engine/send"
)

// Error classes, shared with the client for plain services.
var (
	// ErrNotSent means that the engine cannot have received the request, or was over capacity and did not run it.
	ErrNotSent = send.ErrNotSent
	// ErrOutcomeUnknown means that the engine may have run the request.
	ErrOutcomeUnknown = send.ErrOutcomeUnknown
	// ErrRejected means that the engine responded with an error status, which is in Error.Status.
	ErrRejected = send.ErrRejected
)

// Error is the failure of one call.
type Error = send.Error

// Config holds the address of an engine and the limits of its client.
type Config struct {
	// URL is the base URL of the engine.
	URL string
	// Transport may be shared between targets; nil creates one for this client.
	Transport *send.Transport
	// Timeout bounds each call except streams; zero means 5 s.
	Timeout time.Duration
	// IdleTimeout bounds the wait for the next bytes of a stream; zero means 30 s.
	IdleTimeout time.Duration
	// MaxEventBytes bounds one event of a stream in bytes; zero means 32 KB.
	MaxEventBytes int
}

// Client calls one engine. It is safe for concurrent use.
type Client struct {
	cfg   Config
	base  *url.URL
	clock clockwork.Clock
}

// New returns a client for the engine at cfg.URL.
func New(cfg Config, clock clockwork.Clock) (*Client, error) {
	u, err := url.Parse(cfg.URL)
	if err != nil {
		return nil, trace.BadParameter("engine URL: %v", err)
	}
	if u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, trace.BadParameter("engine URL %q: must be an http or https URL", cfg.URL)
	}
	if cfg.Transport == nil {
		cfg.Transport = send.New(send.Config{})
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = 5 * time.Second
	}
	if cfg.IdleTimeout <= 0 {
		cfg.IdleTimeout = 30 * time.Second
	}
	if cfg.MaxEventBytes <= 0 {
		cfg.MaxEventBytes = 32 << 10
	}
	return &Client{cfg: cfg, base: u, clock: clock}, nil
}

// Request is one chat completion.
type Request struct {
	ID      ident.RequestID
	Version ident.VersionID
	// Route is the route of the caller's request, by which the evidence for a release is grouped.
	Route string
	// Priority orders the requests queued at the engine; lower numbers are served first.
	Priority int
	// Body is the JSON request body of the OpenAI API. Its member "stream" must be true. The stream contains the usage
	// only if "stream_options" sets "include_usage".
	Body []byte
}

// Start starts a chat completion and returns its stream. The stream ends when ctx does.
func (c *Client) Start(ctx context.Context, req Request) (*Stream, error) {
	h := http.Header{}
	h.Set("Content-Type", "application/json")
	h.Set("X-Request-Id", string(req.ID))
	h.Set("X-Model-Version", string(req.Version))
	h.Set("X-Priority", strconv.Itoa(req.Priority))
	if req.Route != "" {
		h.Set("X-Route", req.Route)
	}
	return c.openStream(ctx, apiCall{method: http.MethodPost, path: []string{"v1", "chat", "completions"}, header: h, body: req.Body}, req.ID, 0)
}

// Resume returns the stream of an earlier request, starting at the given chunk. The error is ErrRejected with status
// 404 if the engine no longer keeps the stream.
func (c *Client) Resume(ctx context.Context, id ident.RequestID, offset int64) (*Stream, error) {
	q := url.Values{"offset": {strconv.FormatInt(offset, 10)}}
	return c.openStream(ctx, apiCall{method: http.MethodGet, path: []string{"v1", "streams", string(id)}, query: q}, id, offset)
}

// apiCall describes one HTTP request to the engine.
type apiCall struct {
	method string
	path   []string
	query  url.Values
	header http.Header
	body   []byte
}

// send sends a call and returns the response if its status is 2xx.
func (c *Client) send(ctx context.Context, call apiCall) (*http.Response, error) {
	escaped := make([]string, 0, len(call.path))
	for _, p := range call.path {
		escaped = append(escaped, url.PathEscape(p))
	}
	u := c.base.JoinPath(escaped...)
	u.RawQuery = call.query.Encode()
	r, err := http.NewRequestWithContext(ctx, call.method, u.String(), nil)
	if err != nil {
		return nil, &Error{Class: ErrNotSent, Err: err}
	}
	if call.header != nil {
		r.Header = call.header
	}
	resp, err := c.cfg.Transport.Do(r, call.body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return nil, send.ReadRejection(resp)
	}
	return resp, nil
}

func (c *Client) openStream(ctx context.Context, call apiCall, id ident.RequestID, offset int64) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	resp, err := c.send(ctx, call) //nolint:bodyclose // Stream.Close closes the body.
	if err != nil {
		cancel(nil)
		return nil, err
	}
	s := &Stream{resp: resp, ctx: ctx, cancel: cancel, idleTimeout: c.cfg.IdleTimeout, clock: c.clock, offset: offset}
	s.dec = newDecoder(s, string(id), c.cfg.MaxEventBytes)
	return s, nil
}

// maxResponseBytes bounds a response other than a stream.
const maxResponseBytes = 4 << 20

// doJSON sends a call within the timeout and decodes the JSON response into out unless out is nil.
func (c *Client) doJSON(ctx context.Context, call apiCall, out any) error {
	b, err := c.fetchBody(ctx, call)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(b, out); err != nil {
		return &Error{Class: ErrOutcomeUnknown, Err: err}
	}
	return nil
}

func (c *Client) fetchBody(ctx context.Context, call apiCall) ([]byte, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, c.clock, c.cfg.Timeout)
	defer cancel()
	resp, err := c.send(ctx, call) //nolint:bodyclose // ReadBody closes the body.
	if err != nil {
		return nil, err
	}
	return send.ReadBody(resp, maxResponseBytes)
}

// isRejectedWith reports whether err is a rejection with the given status.
func isRejectedWith(err error, status int) bool {
	var e *Error
	return errors.As(err, &e) && errors.Is(e.Class, ErrRejected) && e.Status == status
}
