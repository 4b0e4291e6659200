// Package store is the client of the platform: objects with versions, watches, the VM list and the weight store.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/engine/reach"
)

// MaxValue is the largest value of an object in bytes.
const MaxValue = 1 << 20

// maxAnswer bounds an answer in bytes. A page holds at most 4 MB and one more value.
const maxAnswer = 8 << 20

// Config describes the platform.
type Config struct {
	// URL is the base URL of the platform.
	URL string
	// Timeout bounds each call but a watch; zero means 5 s.
	Timeout time.Duration
	// Transport is the transport to use. Nil makes one for this client alone.
	Transport *reach.Transport
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	base      *url.URL
	timeout   time.Duration
	transport *reach.Transport
	clock     clockwork.Clock
}

// New returns a client.
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
		c.transport = reach.New(reach.Config{MaxIdlePerHost: 32})
	}
	return c, nil
}

// Object is a stored object with its version. A deleted object has no value.
type Object struct {
	Key     object.Key
	Version ident.ObjectVersion
	Value   json.RawMessage
	// Status is the part that the system writes beside the operator's value, on platforms that keep it apart.
	Status json.RawMessage
}

// wireObject is the platform's form of an object.
type wireObject struct {
	Kind    object.Kind         `json:"kind"`
	Name    string              `json:"name"`
	Version ident.ObjectVersion `json:"version"`
	Value   json.RawMessage     `json:"value"`
}

func (o wireObject) object() Object {
	return Object{Key: object.Key{Kind: o.Kind, Name: o.Name}, Version: o.Version, Value: o.Value}
}

// call is one call of the platform.
type call struct {
	name   string
	method string
	path   []string
	query  url.Values
	header http.Header
	body   []byte
	write  bool
}

// send sends a call and returns the answer if its status is 200.
func (c *Client) send(ctx context.Context, k call) (*http.Response, error) {
	escaped := make([]string, 0, len(k.path))
	for _, p := range k.path {
		escaped = append(escaped, url.PathEscape(p))
	}
	u := c.base.JoinPath(escaped...)
	u.RawQuery = k.query.Encode()
	r, err := http.NewRequestWithContext(ctx, k.method, u.String(), nil)
	if err != nil {
		return nil, &Error{Kind: ErrInvalid, Call: k.name, Err: err}
	}
	if k.header != nil {
		r.Header = k.header
	}
	resp, err := c.transport.Do(r, k.body)
	if err != nil {
		return nil, lost(k.name, k.write, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, refusal(k, resp)
	}
	return resp, nil
}

// refusal turns an answer with an error status into an error.
func refusal(k call, resp *http.Response) error {
	retry := reach.RetryAfter(resp.Header)
	status := resp.StatusCode
	b, err := reach.ReadBody(resp, 64<<10)
	if err != nil {
		b = nil // The status alone decides the kind of error.
	}
	kind, ok := kinds[status]
	if !ok && k.write {
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
	return &Error{Kind: kind, Call: k.name, RetryAfter: retry, Version: body.Error.Version, Err: cause}
}

// do sends a call within the timeout and decodes its answer.
func (c *Client) do(ctx context.Context, k call, out any) error {
	ctx, cancel := clockwork.WithTimeout(ctx, c.clock, c.timeout)
	defer cancel()
	resp, err := c.send(ctx, k) //nolint:bodyclose // ReadBody closes the body.
	if err != nil {
		return err
	}
	b, err := reach.ReadBody(resp, maxAnswer)
	if err != nil {
		if errors.Is(err, reach.ErrTooLarge) && !k.write {
			return &Error{Kind: ErrTooLarge, Call: k.name, Err: err}
		}
		return lost(k.name, k.write, err)
	}
	if err := json.NewDecoder(bytes.NewReader(b)).Decode(out); err != nil {
		if k.write {
			return lost(k.name, true, err)
		}
		return &Error{Kind: ErrInvalid, Call: k.name, Err: err}
	}
	return nil
}
