package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// mode is how a proxy treats connections.
type mode int

// The modes of a proxy.
const (
	pass mode = iota
	// delay adds a pause to each piece of data.
	delay
	// reset closes connections, the open ones too, with a reset.
	reset
	// silent takes data and passes nothing on.
	silent
	// oneWay passes data to the target and nothing back.
	oneWay
)

var modeNames = map[mode]string{pass: "pass", delay: "delay", reset: "reset", silent: "silent", oneWay: "one_way"}

// pause is the delay of each piece of data in mode delay.
const pause = 60 * time.Millisecond

// proxy passes connections on to a target.
type proxy struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.ln.Addr().String() }

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != reset {
		return
	}
	for c := range p.conns {
		abort(c)
	}
}

func (p *proxy) get() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) close() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		abort(c)
	}
}

func (p *proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		if p.get() == reset {
			abort(c)
			continue
		}
		go p.join(c)
	}
}

func (p *proxy) join(in net.Conn) {
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		abort(in)
		return
	}
	p.mu.Lock()
	p.conns[in], p.conns[out] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(out, in, false) })
	both.Go(func() { p.copy(in, out, true) })
	both.Wait()
	_ = in.Close()
	_ = out.Close()
	p.mu.Lock()
	delete(p.conns, in)
	delete(p.conns, out)
	p.mu.Unlock()
}

// copy passes data on in one direction. A failed read ends both directions, as a reset does.
func (p *proxy) copy(dst, src net.Conn, back bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if m := p.get(); n > 0 && m != silent && (m != oneWay || !back) {
			if m == delay {
				time.Sleep(pause)
			}
			if _, werr := dst.Write(buf[:n]); werr != nil {
				abort(src)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if t, ok := dst.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		case err != nil:
			abort(dst)
			return
		}
	}
}
