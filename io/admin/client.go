package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"geraniumsaddle/core/ident"
)

// maxAnswer bounds an answer in bytes. A page of the platform holds at most 4 MB and one more value of 1 MB.
const maxAnswer = 16 << 20

// ClientConfig describes the administration API that a client calls.
type ClientConfig struct {
	// URL is the base URL, such as "http://127.0.0.1:8090".
	URL string
	// Token is the operator token.
	Token string
	// Timeout bounds each call; zero means 30 s.
	Timeout time.Duration
}

// Client calls the administration API. A refusal by the server is a *Problem.
type Client struct {
	base  *url.URL
	token string
	http  *http.Client
}

// NewClient returns a client.
func NewClient(cfg ClientConfig) (*Client, error) {
	u, err := url.Parse(cfg.URL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, trace.BadParameter("admin URL: must be an http or https URL")
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = 30 * time.Second
	}
	return &Client{base: u, token: cfg.Token, http: &http.Client{
		Timeout: cfg.Timeout,
		// The bearer token must not follow a redirect to another host.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}, nil
}

// exchangeSpec is one call of the API.
type exchangeSpec struct {
	method string
	path   []string
	query  url.Values
	header http.Header
	body   []byte
}

// send makes a call and returns the body of a successful answer.
func (c *Client) send(ctx context.Context, x exchangeSpec) ([]byte, error) {
	parts := []string{"admin", "v1"}
	for _, p := range x.path {
		parts = append(parts, url.PathEscape(p))
	}
	u := c.base.JoinPath(parts...)
	u.RawQuery = x.query.Encode()
	r, err := http.NewRequestWithContext(ctx, x.method, u.String(), bytes.NewReader(x.body))
	if err != nil {
		return nil, trace.BadParameter("admin call: %v", err)
	}
	for k, v := range x.header {
		r.Header[k] = v
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	if len(x.body) > 0 {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, unreached(err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return nil, unreached(err)
	}
	if len(b) > maxAnswer {
		return nil, trace.LimitExceeded("the answer is larger than %d bytes", maxAnswer)
	}
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return nil, decodeProblem(resp, b)
	}
	return b, nil
}

// unreached describes a call without a complete answer. A change may have had its effect.
func unreached(err error) error {
	var u *url.Error
	if errors.As(err, &u) {
		err = u.Err
	}
	return trace.ConnectionProblem(err, "the administration API gave no complete answer: %v", err)
}

// decodeProblem turns an answer with an error status into a problem.
func decodeProblem(resp *http.Response, b []byte) error {
	var body problemBody
	if json.Unmarshal(b, &body) != nil || body.Error == nil || body.Error.Code == "" {
		body.Error = problem(0, "http_"+strconv.Itoa(resp.StatusCode), "the answer is not from the administration API")
	}
	p := body.Error
	p.Status = resp.StatusCode
	if v, ok := parseVersion(resp.Header.Get("ETag")); ok {
		p.Version = v
	}
	if n, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && n > 0 {
		p.RetryAfter = time.Duration(n) * time.Second
	}
	return p
}

// call makes a call and decodes the answer.
func (c *Client) call(ctx context.Context, x exchangeSpec, out any) error {
	b, err := c.send(ctx, x)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(b, out); err != nil {
		return trace.BadParameter("the answer of the administration API is not valid: %v", err)
	}
	return nil
}

// Precondition is the version of an object that a change demands. The zero value demands that there is no object.
type Precondition struct {
	// IfMatch is the demanded version, or zero.
	IfMatch ident.ObjectVersion
}

func (p Precondition) header() http.Header {
	h := http.Header{}
	if p.IfMatch == 0 {
		h.Set("If-None-Match", "*")
	} else {
		h.Set("If-Match", etag(p.IfMatch))
	}
	return h
}
