package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode is the fault that a proxy injects.
type proxyMode int

// The modes of a proxy.
const (
	modePass proxyMode = iota
	// modeDelay delays each chunk of data by chunkDelay.
	modeDelay
	// modeReset resets open and new connections.
	modeReset
	// modeSilent reads data and drops it.
	modeSilent
	// modeOneWay forwards data to the target and drops data from it.
	modeOneWay
)

var modeNames = map[proxyMode]string{modePass: "pass", modeDelay: "delay", modeReset: "reset", modeSilent: "silent", modeOneWay: "one_way"}

// chunkDelay is the delay of each chunk of data in modeDelay.
const chunkDelay = 60 * time.Millisecond

// proxy forwards TCP connections to a target and injects faults into them.
type proxy struct {
	ln         net.Listener
	targetAddr string

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]bool
}

func newProxy(targetAddr string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, targetAddr: targetAddr, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.ln.Addr().String() }

func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != modeReset {
		return
	}
	for c := range p.conns {
		abort(c)
	}
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// abort resets a connection.
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
		if p.currentMode() == modeReset {
			abort(c)
			continue
		}
		go p.forward(c)
	}
}

func (p *proxy) forward(client net.Conn) {
	target, err := net.Dial("tcp", p.targetAddr)
	if err != nil {
		abort(client)
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[target] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copyData(target, client, false) })
	wg.Go(func() { p.copyData(client, target, true) })
	wg.Wait()
	_ = client.Close()
	_ = target.Close()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, target)
	p.mu.Unlock()
}

// copyData forwards data in one direction. If a read or write fails, it resets the connection on the other side, which
// ends both directions. The end of the data closes only this direction.
func (p *proxy) copyData(dst, src net.Conn, toClient bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if m := p.currentMode(); n > 0 && m != modeSilent && (m != modeOneWay || !toClient) {
			if m == modeDelay {
				time.Sleep(chunkDelay)
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
