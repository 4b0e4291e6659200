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

// maxResponseBytes limits the size of a response. A page of platform objects has at most 4 MB plus one value of 1 MB.
const maxResponseBytes = 16 << 20

// ClientConfig configures a Client.
type ClientConfig struct {
	// URL is the base URL, such as "http://127.0.0.1:8090".
	URL string
	// Token is the operator token.
	Token string
	// Timeout limits each call; zero means 30 s.
	Timeout time.Duration
}

// Client calls the administration API. Error responses of the server are returned as *Problem.
type Client struct {
	base  *url.URL
	token string
	http  *http.Client
}

// NewClient returns a client for the API at cfg.URL.
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

// apiRequest describes a request to the API. The path holds the unescaped segments after /admin/v1.
type apiRequest struct {
	method string
	path   []string
	query  url.Values
	header http.Header
	body   []byte
}

// send sends a request and returns the body of a successful response.
func (c *Client) send(ctx context.Context, req apiRequest) ([]byte, error) {
	parts := []string{"admin", "v1"}
	for _, p := range req.path {
		parts = append(parts, url.PathEscape(p))
	}
	u := c.base.JoinPath(parts...)
	u.RawQuery = req.query.Encode()
	r, err := http.NewRequestWithContext(ctx, req.method, u.String(), bytes.NewReader(req.body))
	if err != nil {
		return nil, trace.BadParameter("build the request to the administration API: %v", err)
	}
	for k, v := range req.header {
		r.Header[k] = v
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	if len(req.body) > 0 {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, transportError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return nil, transportError(err)
	}
	if len(body) > maxResponseBytes {
		return nil, trace.LimitExceeded("the response is larger than %d bytes", maxResponseBytes)
	}
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return nil, decodeProblem(resp, body)
	}
	return body, nil
}

// transportError returns the error of a call without a complete response. A change may have taken effect.
func transportError(err error) error {
	var u *url.Error
	if errors.As(err, &u) {
		err = u.Err
	}
	return trace.ConnectionProblem(err, "the administration API gave no complete answer: %v", err)
}

// decodeProblem converts a response with an error status into a *Problem.
func decodeProblem(resp *http.Response, raw []byte) error {
	var parsed problemBody
	if json.Unmarshal(raw, &parsed) != nil || parsed.Error == nil || parsed.Error.Code == "" {
		parsed.Error = newProblem(0, "http_"+strconv.Itoa(resp.StatusCode), "the response is not from the administration API")
	}
	p := parsed.Error
	p.Status = resp.StatusCode
	if v, ok := parseVersion(resp.Header.Get("ETag")); ok {
		p.Version = v
	}
	if n, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && n > 0 {
		p.RetryAfter = time.Duration(n) * time.Second
	}
	return p
}

// call sends a request and decodes the response into out, unless out is nil.
func (c *Client) call(ctx context.Context, req apiRequest, out any) error {
	body, err := c.send(ctx, req)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(body, out); err != nil {
		return trace.BadParameter("the response of the administration API is not valid: %v", err)
	}
	return nil
}

// Precondition is the object version that a change requires. The zero value requires that the object does not exist.
type Precondition struct {
	// IfMatch is the required version, or zero.
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
