package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"geraniumsaddle/platform/fakes"
)

const (
	// crowdSize is the number of connections of a crowd.
	crowdSize = 500
	// crowdRedialPause is the time before a closed connection of a crowd is replaced.
	crowdRedialPause = 2 * time.Second
	// trickleInterval is the time between two bytes of a slow caller.
	trickleInterval = 250 * time.Millisecond
	// crowdBody is the largest legal body and crowdHead the largest legal head in bytes.
	crowdBody = 1 << 20
	crowdHead = 32 << 10
)

// place is where a crowd sends its requests: a head without its framing and its empty line, at the callers' address or at
// that of readiness checks.
type place struct {
	head  string
	ready bool
}

// fields returns how many short fields a head at the place may have.
func (p place) fields() int {
	if p.ready {
		return 1200
	}
	return 4000
}

// The places of crowds.
var (
	keyed     = place{head: fakes.BookHead}
	public    = place{head: fakes.LookPostHead}
	streaming = place{head: fakes.ChatHead}
	files     = place{head: fakes.FileHead}
	noKey     = place{head: fakes.NoKeyHead}
	noRoute   = place{head: fakes.NoRouteHead}
	readiness = place{head: "GET /readyz HTTP/1.1\r\nHost: r\r\n", ready: true}
	metrics   = place{head: "GET /metrics HTTP/1.1\r\nHost: r\r\n", ready: true}
)

// placeGroup is a set of places that a crowd uses at the same time.
type placeGroup struct {
	name   string
	places []place
}

var (
	onRoutes    = placeGroup{"routes", []place{keyed, public, streaming}}
	onRefusals  = placeGroup{"refusals", []place{noKey, noRoute}}
	onReadiness = placeGroup{"readiness", []place{readiness, metrics}}
	onStreams   = placeGroup{"streams", []place{streaming}}
	onFiles     = placeGroup{"files", []place{files}}
	everywhere  = []placeGroup{onRoutes, onRefusals, onReadiness}
)

// behaviour is what each connection of a crowd does with requests at a place. It returns once the connection is of no
// more use to it.
type behaviour func(c net.Conn, p place, stop <-chan struct{})

// crowd keeps connections open that misbehave, until it is stopped. Closed ones are replaced.
type crowd struct {
	behave behaviour
	stop   chan struct{}
	once   sync.Once
	wg     sync.WaitGroup
}

// startCrowd starts a crowd whose connections use the places in turn.
func startCrowd(r *router, b behaviour, places []place) *crowd {
	cr := &crowd{behave: b, stop: make(chan struct{})}
	for n := range crowdSize {
		p := places[n%len(places)]
		addr := r.callerAddr
		if p.ready {
			addr = r.readyAddr
		}
		cr.wg.Go(func() { cr.hold(addr, p) })
	}
	return cr
}

// end closes all connections of the crowd.
func (cr *crowd) end() {
	cr.once.Do(func() { close(cr.stop) })
	cr.wg.Wait()
}

func (cr *crowd) hold(addr string, p place) {
	for {
		if c, err := net.Dial("tcp", addr); err == nil {
			done := make(chan struct{})
			go func() {
				select {
				case <-cr.stop:
				case <-done:
				}
				abort(c)
			}()
			cr.behave(c, p, cr.stop)
			close(done)
		}
		select {
		case <-cr.stop:
			return
		case <-time.After(crowdRedialPause):
		}
	}
}

// payload is what large bodies are made of.
var payload = bytes.Repeat([]byte{'x'}, crowdBody)

// drain reads until the connection ends.
func drain(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

// sendThenWait sends bytes and keeps the connection until the router closes it.
func sendThenWait(c net.Conn, parts ...[]byte) {
	for _, b := range parts {
		if _, err := c.Write(b); err != nil {
			break // The router may answer before it has read everything.
		}
	}
	drain(c)
}

// repeat sends the same bytes until the connection ends.
func repeat(c net.Conn, b []byte) {
	for {
		if _, err := c.Write(b); err != nil {
			return
		}
	}
}

// trickle sends the bytes one at a time until the connection ends.
func trickle(c net.Conn, b []byte) {
	for i := range b {
		if _, err := c.Write(b[i : i+1]); err != nil {
			return
		}
		time.Sleep(trickleInterval)
	}
}

const chunked = "Transfer-Encoding: chunked\r\n\r\n"

// shortLines returns n header lines of different names without values.
func shortLines(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString("h" + strconv.FormatInt(int64(i), 36) + ":\n")
	}
	return b.String()
}

// chunksOf returns the body in chunks of the given size, without the chunk that ends it.
func chunksOf(body []byte, size int) []byte {
	var b bytes.Buffer
	for len(body) > 0 {
		n := min(size, len(body))
		_, _ = fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n]) // A bytes.Buffer takes everything.
		body = body[n:]
	}
	return b.Bytes()
}

var (
	bodyInChunks    = chunksOf(payload[:crowdBody-1], 4<<10)
	bodyInBytes     = chunksOf(payload[:crowdBody/16], 1)
	overLimitLength = fmt.Sprintf("Content-Length: %d\r\n\r\n", 64*crowdBody)
	bodyLength      = fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBody)
)

// The behaviours of the crowds.

func bodyInOnePiece(c net.Conn, p place, _ <-chan struct{}) {
	sendThenWait(c, []byte(p.head+bodyLength), payload[:crowdBody-1])
}

func bodyInSmallPieces(c net.Conn, p place, _ <-chan struct{}) {
	const piece = 4 << 10
	parts := [][]byte{[]byte(p.head + bodyLength)}
	for rest := payload[:crowdBody-1]; len(rest) > 0; {
		n := min(piece, len(rest))
		parts = append(parts, rest[:n])
		rest = rest[n:]
	}
	sendThenWait(c, parts...)
}

func chunkedBody(c net.Conn, p place, _ <-chan struct{}) {
	sendThenWait(c, []byte(p.head+chunked), bodyInChunks)
}

func oneByteChunks(c net.Conn, p place, _ <-chan struct{}) {
	sendThenWait(c, []byte(p.head+chunked), bodyInBytes)
}

func bodyOverLimit(c net.Conn, p place, _ <-chan struct{}) {
	sendThenWait(c, []byte(p.head+overLimitLength), payload, payload)
}

func chunkedOverLimit(c net.Conn, p place, _ <-chan struct{}) {
	sendThenWait(c, []byte(p.head+chunked), bodyInChunks, bodyInChunks, bodyInChunks)
}

func manyFields(c net.Conn, p place, _ <-chan struct{}) {
	sendThenWait(c, []byte(p.head+shortLines(p.fields())+"Content-Length: 0\r\n\r\n"))
}

func manyTrailers(c net.Conn, p place, _ <-chan struct{}) {
	sendThenWait(c, []byte(p.head+chunked+"1\r\nx\r\n0\r\n"+shortLines(600)+"\r\n"))
}

func chunkExtensions(c net.Conn, p place, _ <-chan struct{}) {
	extension := []byte("1;" + strings.Repeat("a=b;", 500) + "\r\nx\r\n")
	sendThenWait(c, []byte(p.head+chunked), bytes.Repeat(extension, 400))
}

func manyPromptParts(c net.Conn, p place, _ <-chan struct{}) {
	sendThenWait(c, []byte(p.head+fakes.PromptPrefix(4000)+"Content-Length: 0\r\n\r\n"))
}

// pipelinedRequests sends requests without reading the answers.
func pipelinedRequests(c net.Conn, p place, _ <-chan struct{}) {
	repeat(c, []byte(strings.Repeat(p.head+"Content-Length: 0\r\n\r\n", 16)))
}

func trickledHead(c net.Conn, p place, _ <-chan struct{}) {
	trickle(c, []byte(p.head+shortLines(100)))
}

func stoppedHead(c net.Conn, p place, _ <-chan struct{}) {
	sendThenWait(c, []byte(p.head+shortLines(p.fields())))
}

func trickledBody(c net.Conn, p place, _ <-chan struct{}) {
	if _, err := c.Write([]byte(p.head + bodyLength)); err == nil {
		trickle(c, payload)
	}
}

func idle(c net.Conn, _ place, _ <-chan struct{}) { drain(c) }

// stoppedReader sends a request and reads nothing of the answer.
func stoppedReader(c net.Conn, p place, stop <-chan struct{}) {
	if sendRequest(c, p.head) {
		<-stop
	}
}

// slowReader sends a request and reads its answer one byte at a time.
func slowReader(c net.Conn, p place, _ <-chan struct{}) {
	if !sendRequest(c, p.head) {
		return
	}
	for b := make([]byte, 1); ; time.Sleep(trickleInterval) {
		if _, err := c.Read(b); err != nil {
			return
		}
	}
}

// sendRequest sends a whole request on a connection whose kernel buffers little of the answer.
func sendRequest(c net.Conn, head string) bool {
	const receiveBuffer = 4 << 10
	_ = c.(*net.TCPConn).SetReadBuffer(receiveBuffer) // A larger buffer only eases the router's task.
	_, err := io.WriteString(c, head+"Content-Length: 0\r\n\r\n")
	return err == nil
}
