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

	"geraniumsaddle/io/engine/reach"
)

const (
	// maxStray bounds the answers to other requests that are skipped on one connection.
	maxStray = 4
	// inlineBody is the size up to which a body is written before the answer is read. Targets take this much without
	// reading. A longer body is written beside the reading, because a target may answer early and read on later.
	inlineBody = 16 << 10
)

var errStray = errors.New("answers on the connection belong to other requests")

// Request is a request to one target.
type Request struct {
	// Key tells the target apart from others that have had its address.
	Key, Addr string
	Method    string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Belongs reports whether an answer is that of this request. Others are skipped.
	Belongs func(status int, h http.Header) bool
}

// Answer is the answer of a target. The owner reads Body and calls Close.
type Answer struct {
	Status int
	Header http.Header
	// Length is the size of the body in bytes, or -1 if it is not known in advance.
	Length int64
	// Body ends with io.EOF only when the answer is complete.
	Body io.Reader

	pool     *Pool
	key      string
	conn     *conn
	body     io.ReadCloser
	reusable bool
	complete bool
	written  chan error
	stop     func() bool
}

// Send sends a request once and returns the answer's head. The end of the context closes the connection, also while
// the body is read. An error is a *reach.Error of class ErrNotSent or ErrUnknown.
func (p *Pool) Send(ctx context.Context, r Request) (*Answer, error) {
	c, err := p.get(ctx, r.Key, r.Addr)
	if err != nil {
		return nil, &reach.Error{Class: reach.ErrNotSent, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	written := make(chan error, 1)
	sent, err := write(c, r, written)
	if err != nil && sent == 0 {
		stop()
		_ = c.Close()
		return nil, &reach.Error{Class: reach.ErrNotSent, Err: err}
	}
	a, readErr := p.read(c, r)
	if readErr != nil {
		stop()
		_ = c.Close()
		return nil, &reach.Error{Class: reach.ErrOutcomeUnknown, Err: errors.Join(err, readErr)}
	}
	a.written, a.stop = written, stop
	return a, nil
}

// write sends the head and the body. Written gets the result once all is sent, which may be after the return.
func write(c *conn, r Request, written chan<- error) (int64, error) {
	head := encodeHead(r)
	defer heads.Put(head)
	if len(r.Body) <= inlineBody {
		head.Write(r.Body)
		n, err := c.Write(head.Bytes())
		written <- err
		return int64(n), err
	}
	n, err := c.Write(head.Bytes())
	if err != nil {
		written <- err
		return int64(n), err
	}
	go func() {
		_, err := c.Write(r.Body)
		written <- err
	}()
	return int64(n), nil
}

// heads keeps the buffers of request heads.
var heads = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func encodeHead(r Request) *bytes.Buffer {
	b := heads.Get().(*bytes.Buffer)
	b.Reset()
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	_ = r.Header.Write(b) // A buffer takes every write.
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	return b
}

// read returns the first answer that belongs to the request.
func (p *Pool) read(c *conn, r Request) (*Answer, error) {
	method := &http.Request{Method: r.Method}
	for range maxStray {
		resp, err := http.ReadResponse(c.r, method) //nolint:bodyclose // Answer.Close ends the body with the connection.
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.Belongs(resp.StatusCode, resp.Header) {
			return p.answer(c, r, resp), nil
		}
		if resp.Close {
			return nil, errStray
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
	return nil, errStray
}

func (p *Pool) answer(c *conn, r Request, resp *http.Response) *Answer {
	a := &Answer{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		pool: p, key: r.Key, conn: c, body: resp.Body, reusable: !resp.Close,
	}
	a.Body = (*bodyReader)(a)
	return a
}

// bodyReader reads the body of an answer and notes its end.
type bodyReader Answer

func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err == io.EOF {
		b.complete = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept if the answer is complete, nothing follows it and the request was
// written whole; otherwise it is closed, which also ends the work of most targets. IdleFor is the time after which the
// target closes the connection, or zero.
func (a *Answer) Close(idleFor time.Duration) {
	alive := a.stop()
	if alive && a.complete && a.reusable && a.wasWritten() && a.conn.r.Buffered() == 0 {
		a.conn.idleFor = idleFor
		a.pool.put(a.key, a.conn)
		return
	}
	_ = a.conn.Close()
}

func (a *Answer) wasWritten() bool {
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}
