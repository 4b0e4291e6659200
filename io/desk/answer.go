package desk

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"geraniumsaddle/io/engine/reach"
)

// hopByHop lists the headers that belong to one connection (RFC 9110, section 7.6.1) and those that net/http sets.
var hopByHop = []string{
	"Connection", "Content-Length", "Expect", "Host", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns a copy of h without the hop-by-hop headers and those that its Connection header names.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		return http.Header{}
	}
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}

// refused tells a refusal over capacity, which ran nothing, from an answer of the service with status 503.
func (c *Client) refused(resp *http.Response) (*Response, error) {
	b, err := reach.ReadBody(resp, c.maxBody)
	if err != nil {
		return nil, err
	}
	copied := *resp
	copied.Body = io.NopCloser(bytes.NewReader(b))
	if e, ok := reach.ReadRejection(&copied).(*Error); ok && e.Class == ErrNotSent { //nolint:errorlint // Rejection returns it unwrapped.
		return nil, e
	}
	return &Response{Status: resp.StatusCode, Header: endToEnd(resp.Header), Body: b}, nil
}

// Load is a load report. It lags behind the service's state.
type Load struct {
	Running  int       `json:"running"`
	Queued   int       `json:"queued"`
	Capacity int       `json:"capacity"`
	AsOf     time.Time `json:"as_of"`
}

// Load returns the latest load report.
func (c *Client) Load(ctx context.Context) (Load, error) {
	resp, err := c.Call(ctx, http.MethodGet, "/v1/load", nil, nil)
	if err != nil {
		return Load{}, err
	}
	var l Load
	if resp.Status != http.StatusOK {
		return l, &Error{Class: ErrRejected, Status: resp.Status}
	}
	if err := json.Unmarshal(resp.Body, &l); err != nil {
		return l, &Error{Class: ErrRejected, Status: resp.Status, Err: err}
	}
	return l, nil
}
