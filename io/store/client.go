// Package store is a client of the platform's HTTP API: versioned objects, watches, the VM list and the weight store.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/engine/send"
)

// MaxValue is the maximum size of an object value in bytes.
const MaxValue = 1 << 20

// maxResponse is the maximum size of a response in bytes. A page of a list holds at most 4 MB and one more value.
const maxResponse = 8 << 20

// Config holds the settings of a Client.
type Config struct {
	// URL is the base URL of the platform.
	URL string
	// Timeout limits each call except watches. Zero means 5 s.
	Timeout time.Duration
	// Transport sends the HTTP requests. If it is nil, New creates one for this client.
	Transport *send.Transport
}

// Client calls the platform API. It is safe for concurrent use.
type Client struct {
	base      *url.URL
	timeout   time.Duration
	transport *send.Transport
	clock     clockwork.Clock
}

// New returns a client. The clock measures the timeout of calls.
func New(cfg Config, clock clockwork.Clock) (*Client, error) {
	u, err := url.Parse(cfg.URL)
	if err != nil {
		return nil, trace.BadParameter("platform URL: %v", err)
	}
	if u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, trace.BadParameter("platform URL %q: must be an http or https URL", cfg.URL)
	}
	c := &Client{base: u, timeout: cfg.Timeout, transport: cfg.Transport, clock: clock}
	if c.timeout <= 0 {
		c.timeout = 5 * time.Second
	}
	if c.transport == nil {
		c.transport = send.New(send.Config{MaxIdlePerHost: 32})
	}
	return c, nil
}

// Object is a stored object and its version. A deleted object has no value.
type Object struct {
	Key     object.Key
	Version ident.ObjectVersion
	Value   json.RawMessage
	// Status is the part that the system writes. It is set only on platforms that store it apart from the operator's
	// value.
	Status json.RawMessage
}

// wireObject is the JSON form of an object in the platform API.
type wireObject struct {
	Kind    object.Kind         `json:"kind"`
	Name    string              `json:"name"`
	Version ident.ObjectVersion `json:"version"`
	Value   json.RawMessage     `json:"value"`
}

func (o wireObject) object() Object {
	return Object{Key: object.Key{Kind: o.Kind, Name: o.Name}, Version: o.Version, Value: o.Value}
}

// request describes one API call. Its name appears in errors. A request with write set may change the platform's state.
type request struct {
	name   string
	method string
	path   []string
	query  url.Values
	header http.Header
	body   []byte
	write  bool
}

// send sends a request. It returns the response if its status is 200, and an error otherwise.
func (c *Client) send(ctx context.Context, req request) (*http.Response, error) {
	escaped := make([]string, 0, len(req.path))
	for _, p := range req.path {
		escaped = append(escaped, url.PathEscape(p))
	}
	u := c.base.JoinPath(escaped...)
	u.RawQuery = req.query.Encode()
	httpReq, err := http.NewRequestWithContext(ctx, req.method, u.String(), nil)
	if err != nil {
		return nil, &Error{Kind: ErrInvalid, Call: req.name, Err: err}
	}
	if req.header != nil {
		httpReq.Header = req.header
	}
	resp, err := c.transport.Do(httpReq, req.body)
	if err != nil {
		return nil, noReplyError(req.name, req.write, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, statusError(req, resp)
	}
	return resp, nil
}

// statusError returns the error for a response whose status is not 200, and closes its body.
func statusError(req request, resp *http.Response) error {
	retry := send.RetryAfter(resp.Header)
	status := resp.StatusCode
	b, err := send.ReadBody(resp, 64<<10)
	if err != nil {
		b = nil // the status alone determines the kind of error
	}
	kind, ok := kindByStatus[status]
	if !ok && req.write {
		kind = ErrUnknown
	} else if !ok {
		kind = ErrUnavailable
	}
	var body struct {
		Error struct {
			Message string              `json:"message"`
			Version ident.ObjectVersion `json:"version"`
		} `json:"error"`
	}
	cause := fmt.Errorf("status %d", status)
	if json.Unmarshal(b, &body) == nil && body.Error.Message != "" {
		cause = fmt.Errorf("status %d: %.200s", status, body.Error.Message)
	}
	return &Error{Kind: kind, Call: req.name, RetryAfter: retry, Version: body.Error.Version, Err: cause}
}

// do sends a request, within the timeout, and decodes the response into out.
func (c *Client) do(ctx context.Context, req request, out any) error {
	ctx, cancel := clockwork.WithTimeout(ctx, c.clock, c.timeout)
	defer cancel()
	resp, err := c.send(ctx, req) //nolint:bodyclose // ReadBody closes the body.
	if err != nil {
		return err
	}
	b, err := send.ReadBody(resp, maxResponse)
	if err != nil {
		if errors.Is(err, send.ErrTooLarge) && !req.write {
			return &Error{Kind: ErrTooLarge, Call: req.name, Err: err}
		}
		return noReplyError(req.name, req.write, err)
	}
	if err := json.NewDecoder(bytes.NewReader(b)).Decode(out); err != nil {
		isCut := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
		if req.write || isCut {
			return noReplyError(req.name, req.write, err)
		}
		return &Error{Kind: ErrInvalid, Call: req.name, Err: err}
	}
	return nil
}
