package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"geraniumsaddle/platform/fakes"
)

// partialKind is a kind of request that never becomes whole.
type partialKind int

// The kinds of partial requests.
const (
	noBytes partialKind = iota
	// headLine is a head whose last line does not end.
	headLine
	// headLines is a head of many short lines.
	headLines
	// bodyPart is a request whose body ends before its length.
	bodyPart

	partialKinds = 4
)

const (
	// partialSize is the size in bytes of a partial head or body. It is below the 64 KB up to which a router reads a head.
	partialSize = 60 << 10
	// partialWave is how long all connections to a router have partial requests of the same kind.
	partialWave = 3 * time.Second
	// redialPause is the time before a closed connection is replaced.
	redialPause = 50 * time.Millisecond
)

// data returns what the caller sends.
func (k partialKind) data() string {
	const start = "POST /book/1 HTTP/1.1\r\nHost: " + fakes.Host + "\r\n"
	switch k {
	case headLine:
		return start + "X-Long: " + strings.Repeat("a", partialSize)
	case headLines:
		return start + strings.Repeat("a:\r\n", partialSize/4)
	case bodyPart:
		return start + fmt.Sprintf("Content-Length: %d\r\n\r\n", partialSize+1) + strings.Repeat("a", partialSize)
	default:
		return ""
	}
}

// partialLoad keeps connections with partial requests open at a router until stop is closed.
type partialLoad struct {
	addr  string
	kinds []partialKind // of each wave, repeated
	stop  <-chan struct{}
}

func newPartialLoad(addr string, seed uint64, stop <-chan struct{}) *partialLoad {
	l := &partialLoad{addr: addr, stop: stop}
	for _, k := range rand.New(rand.NewPCG(seed, 2)).Perm(partialKinds) {
		l.kinds = append(l.kinds, partialKind(k))
	}
	return l
}

func (l *partialLoad) run(conns int) {
	began := time.Now()
	var wg sync.WaitGroup
	for range conns {
		wg.Go(func() {
			for !l.stopped() {
				wave := int(time.Since(began)/partialWave) % len(l.kinds)
				l.hold(l.kinds[wave], began.Add((time.Since(began)/partialWave+1)*partialWave))
				time.Sleep(redialPause)
			}
		})
	}
	wg.Wait()
}

func (l *partialLoad) stopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

// hold sends one partial request and keeps its connection until the router closes it, the wave ends or the load stops.
func (l *partialLoad) hold(k partialKind, end time.Time) {
	c, err := net.Dial("tcp", l.addr)
	if err != nil {
		return
	}
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-l.stop:
		case <-done:
		}
		abort(c)
	}()
	_ = c.SetDeadline(end)
	if _, err := io.WriteString(c, k.data()); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c)
}
