// Package send sends HTTP/1.1 requests to targets and reports whether a failed request may have reached its target.
//
// It never retries a request. net/http retries a request on its own when a kept-alive connection fails and the request
// has no body or a body that can be read again, so every request sent by this package has a body that can be read only
// once.
package send

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/jonboulle/clockwork"
)

// Error classes, to be tested with errors.Is.
var (
	// ErrNotSent means that the target cannot have received the request, or refused it before running it.
	ErrNotSent = errors.New("request was not sent")
	// ErrOutcomeUnknown means that the target may have received the request.
	ErrOutcomeUnknown = errors.New("request may have reached the target")
	// ErrRejected means that the target responded with an error status.
	ErrRejected = errors.New("request was rejected by the target")
)

// ErrStatus means that the status of a response is outside of the range that HTTP defines, as a target in trouble may send.
var ErrStatus = errors.New("status of the response is out of range")

// The range of the statuses of responses.
const (
	minStatus = 100
	maxStatus = 599
)

// ValidStatus reports whether the status of a response is in the range that HTTP defines.
func ValidStatus(status int) bool { return status >= minStatus && status <= maxStatus }

// Error is the failure of one request.
type Error struct {
	// Class is ErrNotSent, ErrOutcomeUnknown or ErrRejected.
	Class error
	// Status is the HTTP status of the response, or zero if there was none.
	Status int
	// Code is the target's error code, if the response has one.
	Code string
	// RetryAfter is the delay requested by the target, or zero.
	RetryAfter time.Duration
	// Err is the cause, or nil.
	Err error
}

// Error returns the class with the status, the code and the cause.
func (e *Error) Error() string {
	s := e.Class.Error()
	if e.Status != 0 {
		s += fmt.Sprintf(": status %d", e.Status)
	}
	if e.Code != "" {
		s += ": " + e.Code
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the class and the cause.
func (e *Error) Unwrap() []error {
	if e.Err == nil {
		return []error{e.Class}
	}
	return []error{e.Class, e.Err}
}

// Config holds the settings of a transport. A zero field takes the default stated in its comment.
type Config struct {
	// DialTimeout bounds the connection setup; 2 s.
	DialTimeout time.Duration
	// HeaderTimeout bounds the wait for the response headers after the request was written; 30 s.
	HeaderTimeout time.Duration
	// MaxIdlePerHost is the number of idle connections kept for each target; 256.
	MaxIdlePerHost int
	// IdleTimeout closes an idle connection; 20 s. It should be less than the idle timeout of the targets, because
	// a request written to a connection that the target is closing has an unknown outcome.
	IdleTimeout time.Duration
	// MaxHeaderBytes bounds the headers of a response; 16 KB.
	MaxHeaderBytes int64
	// Dial opens the connections; nil is a dialer with DialTimeout.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// ReceiveBuffer is the size in bytes of a connection's receive buffer in the kernel; 32 KB. Without this limit the
	// kernel lets the buffer grow to megabytes while a slow caller blocks reading.
	ReceiveBuffer int
	// Clock dates the writing of requests; nil is the real clock.
	Clock clockwork.Clock
}

// Transport sends requests over pooled connections. It is safe for concurrent use.
type Transport struct {
	http  *http.Transport
	clock clockwork.Clock
}

// New returns a transport with the given settings.
func New(cfg Config) *Transport {
	setDefault := func(d *time.Duration, def time.Duration) {
		if *d <= 0 {
			*d = def
		}
	}
	setDefault(&cfg.DialTimeout, 2*time.Second)
	setDefault(&cfg.HeaderTimeout, 30*time.Second)
	setDefault(&cfg.IdleTimeout, 20*time.Second)
	if cfg.MaxIdlePerHost <= 0 {
		cfg.MaxIdlePerHost = 256
	}
	if cfg.MaxHeaderBytes <= 0 {
		cfg.MaxHeaderBytes = 16 << 10
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: cfg.DialTimeout, KeepAlive: 15 * time.Second}).DialContext
	}
	if cfg.ReceiveBuffer <= 0 {
		cfg.ReceiveBuffer = 32 << 10
	}
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	return &Transport{clock: cfg.Clock, http: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := cfg.Dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			if tcp, ok := c.(*net.TCPConn); ok {
				if err := tcp.SetReadBuffer(cfg.ReceiveBuffer); err != nil {
					return nil, errors.Join(err, c.Close())
				}
			}
			return &conn{Conn: c}, nil
		},
		MaxIdleConnsPerHost:    cfg.MaxIdlePerHost,
		IdleConnTimeout:        cfg.IdleTimeout,
		ResponseHeaderTimeout:  cfg.HeaderTimeout,
		MaxResponseHeaderBytes: cfg.MaxHeaderBytes,
		DisableCompression:     true,
	}}
}

// CloseIdle closes the idle connections.
func (t *Transport) CloseIdle() { t.http.CloseIdleConnections() }

// Do sends one request with the given body and returns the response, whatever its status. It follows no redirects.
// An error is an *Error of class ErrNotSent or ErrOutcomeUnknown. The caller must close the response body.
func (t *Transport) Do(r *http.Request, body []byte) (*http.Response, error) {
	write := NewWriteResult(len(body), t.clock)
	use := connUse{write: write}
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn:      use.gotConn,
		WroteRequest: func(info httptrace.WroteRequestInfo) { write.Finish(info.Err) },
	})
	r = r.WithContext(ctx)
	r.Body = &onceBody{unread: body}
	r.GetBody = nil
	r.ContentLength = int64(len(body))
	resp, err := t.http.RoundTrip(r)
	if err == nil && !ValidStatus(resp.StatusCode) {
		_ = resp.Body.Close()
		return nil, &Error{Class: ErrOutcomeUnknown, Status: resp.StatusCode, Err: ErrStatus}
	}
	if err == nil {
		if isUnframed(resp) {
			use.setUnframed()
		}
		return resp, nil
	}
	if use.end() {
		return nil, &Error{Class: ErrOutcomeUnknown, Err: err}
	}
	return nil, &Error{Class: ErrNotSent, Err: err}
}
