package plain

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"geraniumsaddle/io/engine/send"
)

// hopByHopHeaders lists the headers that apply to a single connection (RFC 9110, section 7.6.1) and those that net/http
// sets itself.
var hopByHopHeaders = []string{
	"Connection", "Content-Length", "Expect", "Host", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeaders returns a copy of h without the hop-by-hop headers and the headers named in its Connection header.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		return http.Header{}
	}
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	return out
}

// readUnavailable reads a response with status 503. It returns an error of class ErrNotSent if the service was over
// capacity and did not run the call, and otherwise the response of the call.
func (c *Client) readUnavailable(resp *http.Response) (*Response, error) {
	b, err := send.ReadBody(resp, c.maxBody)
	if err != nil {
		return nil, err
	}
	copied := *resp
	copied.Body = io.NopCloser(bytes.NewReader(b))
	if e, ok := send.ReadRejection(&copied).(*Error); ok && e.Class == ErrNotSent { //nolint:errorlint // ReadRejection returns it unwrapped.
		return nil, e
	}
	return &Response{Status: resp.StatusCode, Header: endToEndHeaders(resp.Header), Body: b}, nil
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
