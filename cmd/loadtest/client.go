package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"time"

	"geraniumsaddle/core/ident"
)

// conn is a caller's connection. It counts tokens without decoding the events, so that the load uses little CPU.
type conn struct {
	net.Conn
	direct       bool // to an engine or a byte copy, not to the router
	model        ident.ModelID
	prompt       string
	requestCount int
	buf          []byte
}

// response describes a streamed response.
type response struct {
	FirstToken time.Duration // time to the first token
	Total      time.Duration
	Tokens     int
}

var (
	errNotOK      = errors.New("response status is not 200")
	errIncomplete = errors.New("stream failed before its final chunk")

	tokenMark  = []byte(`"content":"`)
	doneMark   = []byte("[DONE]")
	finalChunk = []byte("\r\n0\r\n\r\n")
)

// readTimeout is the timeout of each read.
const readTimeout = 30 * time.Second

func dial(addr string, direct bool, prompt string) (*conn, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, direct: direct, model: modelPaced, prompt: prompt, buf: make([]byte, 16<<10)}, nil
}

// send writes a request for a stream of at most the given number of tokens.
func (c *conn) send(tokens int) error {
	c.requestCount++
	prompt := fmt.Sprintf("%s %d", c.prompt, c.requestCount)
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":true,"stream_options":{"include_usage":true}}`,
		c.model, prompt, tokens)
	auth := "Authorization: Bearer " + callerKey
	if c.direct {
		auth = "X-Request-Id: " + c.LocalAddr().String() + "-" + fmt.Sprint(c.requestCount)
	}
	_, err := fmt.Fprintf(c.Conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: load\r\nContent-Type: application/json\r\n%s\r\nContent-Length: %d\r\n\r\n%s",
		auth, len(body), body)
	return err
}

// stream sends a request and reads the response. It calls onTokens, if not nil, with the number of tokens in each read.
func (c *conn) stream(tokens int, onTokens func(n int)) (response, error) {
	start := time.Now()
	if err := c.send(tokens); err != nil {
		return response{}, err
	}
	return c.receive(start, onTokens)
}

// carryOverBytes is the number of bytes that are kept from one read to the next, in which a mark may have begun. It
// must be longer than each of the marks.
const carryOverBytes = 16

func (c *conn) receive(start time.Time, onTokens func(n int)) (response, error) {
	var r response
	carried, firstRead, done := 0, true, false
	for {
		if err := c.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
			return r, err
		}
		n, err := c.Read(c.buf[carried:])
		if err != nil {
			return r, errors.Join(errIncomplete, err)
		}
		b := c.buf[:carried+n]
		if firstRead && !bytes.HasPrefix(b, []byte("HTTP/1.1 200")) {
			return r, fmt.Errorf("%w: %.400s", errNotOK, b)
		}
		firstRead = false
		tokens := bytes.Count(b, tokenMark)
		if tokens > 0 && r.Tokens == 0 {
			r.FirstToken = time.Since(start)
		}
		r.Tokens += tokens
		if onTokens != nil && tokens > 0 {
			onTokens(tokens)
		}
		done = done || bytes.Contains(b, doneMark)
		if done && bytes.HasSuffix(b, finalChunk) {
			r.Total = time.Since(start)
			return r, nil
		}
		carried = c.carryOver(b)
	}
}

// carryOver moves the end of b, in which a mark may have begun, to the start of the buffer, and returns its length.
func (c *conn) carryOver(b []byte) int {
	from := max(0, len(b)-carryOverBytes)
	// A complete token mark has been counted and must not be counted again.
	if i := bytes.LastIndex(b, tokenMark); i >= 0 {
		from = max(from, i+len(tokenMark))
	}
	return copy(c.buf, b[from:])
}
