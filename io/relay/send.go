package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"geraniumsaddle/io/engine/send"
)

const (
	// maxResponses bounds the responses read for one request, including informational ones and those to other requests.
	maxResponses = 4
	// maxInlineBody is the size up to which a body is written before the response is read. Socket buffers take this
	// much even if the target doesn't read. A longer body is written concurrently, because a target may respond before
	// it has read the body.
	maxInlineBody = 16 << 10
)

var errUnmatched = errors.New("responses on the connection belong to other requests")

// Request is a request to one target.
type Request struct {
	// PoolKey identifies the target whose connections may be reused. An address alone doesn't, as it may pass from one
	// target to another.
	PoolKey, Addr string
	Method        string
	// URI is the path and the query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Owner reports whose response it is.
	Owner func(status int, h http.Header) Owner
	// HoldHead reserves memory for the bytes and the lines of a response's head while it is read. It may block, and an error
	// ends the request. It may be nil.
	HoldHead func(size, lines int) error
}

// Owner says which request a response belongs to.
type Owner uint8

// The owners of a response. One to another request is skipped. One that names no request belongs to this one only if it is
// the first on its connection: a faulty target may write an earlier response once more.
const (
	OwnerOther Owner = iota
	OwnerThis
	OwnerUnnamed
)

// Response is the response of a target. The receiver reads Body and must call Close.
type Response struct {
	Status int
	Header http.Header
	// Length is the size of the body in bytes, or -1 if unknown.
	Length int64
	// Body returns io.EOF only at the end of a complete response.
	Body io.Reader
	// Unframed says that the end of the connection ends the body, so that an orderly end of a crashed target looks complete.
	Unframed bool

	pool          *Pool
	key           string
	conn          *conn
	body          io.ReadCloser
	reusable      bool
	complete      bool
	write         *send.WriteResult
	detachContext func() bool
}

// Send sends a request at most once and returns once the response headers have arrived. Cancelling the context closes
// the connection, also while the body is read. An error is a *send.Error of class ErrNotSent or ErrOutcomeUnknown.
func (p *Pool) Send(ctx context.Context, r Request) (*Response, error) {
	c, err := p.getConn(ctx, r.PoolKey, r.Addr)
	if err != nil {
		return nil, &send.Error{Class: send.ErrNotSent, Err: err}
	}
	return p.sendOn(ctx, c, r)
}

// sendOn sends a request on a connection.
func (p *Pool) sendOn(ctx context.Context, c *conn, r Request) (*Response, error) {
	detachContext := context.AfterFunc(ctx, func() { _ = c.Close() })
	write := send.NewWriteResult(len(r.Body), p.cfg.Clock)
	written, err := writeRequest(c, r, write)
	if err != nil && written == 0 {
		detachContext()
		_ = c.Close()
		return nil, &send.Error{Class: send.ErrNotSent, Err: err}
	}
	resp, readErr := p.readResponse(c, r)
	if readErr != nil {
		detachContext()
		_ = c.Close()
		return nil, &send.Error{Class: send.ErrOutcomeUnknown, Err: errors.Join(err, readErr)}
	}
	resp.write, resp.detachContext = write, detachContext
	return resp, nil
}

// writeRequest writes the headers and the body, and returns the bytes written so far. A body longer than maxInlineBody
// is still being written when it returns. write receives the final result.
func writeRequest(c *conn, r Request, write *send.WriteResult) (int64, error) {
	head := encodeHead(r)
	defer headBuffers.Put(head)
	if len(r.Body) <= maxInlineBody {
		head.Write(r.Body)
		n, err := c.Write(head.Bytes())
		write.Finish(err)
		return int64(n), err
	}
	n, err := c.Write(head.Bytes())
	if err != nil {
		write.Finish(err)
		return int64(n), err
	}
	go func() {
		_, err := c.Write(r.Body)
		write.Finish(err)
	}()
	return int64(n), nil
}

// headBuffers holds buffers for encoded requests.
var headBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func encodeHead(r Request) *bytes.Buffer {
	b := headBuffers.Get().(*bytes.Buffer)
	b.Reset()
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	_ = r.Header.Write(b) // Writes to a buffer never fail.
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	return b
}

// readResponse returns the first response that belongs to the request. The bytes read up to the end of its head are
// bounded, and the receiver of the response bounds its body.
func (p *Pool) readResponse(c *conn, r Request) (*Response, error) {
	req := &http.Request{Method: r.Method}
	discardLimit := maxDiscardedSize
	first := !c.reused
	c.headLines = 0
	defer func() { c.holdHead = nil }()
	for range maxResponses {
		c.readLimit, c.holdHead = maxHeadSize, r.HoldHead
		resp, err := http.ReadResponse(c.r, req) //nolint:bodyclose // Response.Close reuses or closes the connection.
		if err != nil {
			return nil, err
		}
		if !send.ValidStatus(resp.StatusCode) {
			return nil, fmt.Errorf("%w: %03d", send.ErrStatus, resp.StatusCode)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		owner := r.Owner(resp.StatusCode, resp.Header)
		if owner == OwnerThis || owner == OwnerUnnamed && first {
			c.readLimit = noReadLimit
			return p.newResponse(c, r, resp), nil
		}
		first = false
		if resp.Close || owner == OwnerUnnamed {
			return nil, errUnmatched
		}
		c.readLimit, c.holdHead = discardLimit, nil
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
		discardLimit = c.readLimit
	}
	return nil, errUnmatched
}

func (p *Pool) newResponse(c *conn, r Request, resp *http.Response) *Response {
	out := &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		pool: p, key: r.PoolKey, conn: c, body: resp.Body, reusable: !resp.Close,
		Unframed: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0,
	}
	out.Body = (*bodyReader)(out)
	return out
}

// bodyReader reads the body of a response and records whether it was read to the end.
type bodyReader Response

func (b *bodyReader) Read(buf []byte) (int, error) {
	n, err := b.body.Read(buf)
	if errors.Is(err, io.EOF) && b.Unframed {
		if endErr := send.AwaitEnd(b.conn.Conn, b.write); endErr != nil {
			return n, endErr
		}
	}
	if errors.Is(err, io.EOF) {
		b.complete = true
	}
	return n, err
}

// Close releases the connection. It is kept for reuse if the body was read to its end, no bytes follow it and the
// request was written completely. Otherwise it is closed, which also makes most targets stop working on the request.
// targetIdleTimeout is the time after which the target closes an idle connection, or zero if unknown.
func (r *Response) Close(targetIdleTimeout time.Duration) {
	alive := r.detachContext()
	if alive && r.complete && r.reusable && r.write.Succeeded() && r.conn.r.Buffered() == 0 {
		r.conn.targetIdleTimeout = targetIdleTimeout
		r.pool.putIdle(r.key, r.conn)
		return
	}
	_ = r.conn.Close()
}
