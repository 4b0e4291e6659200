//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// uploadSize is the size of a long body, below max_body_bytes (4,194,304). An engine answers it before it has read it.
	uploadSize = 600_000
	longBody   = 64 << 10
	// linkRate is the bandwidth of the link to an engine in bytes per second (32 Mbit/s), linkChunk what is sent at once, and
	// linkDelay its delay.
	linkRate  = 4_000_000
	linkChunk = 8 << 10
	linkDelay = 1400 * time.Microsecond
	// crashes is the number of engines that are killed, one at a time, crashAfter when after a long request has arrived, and
	// awayTime how long an engine is away.
	crashes    = 6
	crashAfter = 60 * time.Millisecond
	awayTime   = 2 * time.Second
	uploadStep = 700 * time.Millisecond
)

// answerOf returns the whole answer to a request.
func answerOf(id string) string {
	return "sacks reserved for " + id + strings.Repeat(".", 700) + "END\n"
}

// serveEngine is the process of an engine of the plain service. It prints the ids of long requests.
func serveEngine(id, addr string) int {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for {
		c, err := ln.Accept()
		if err != nil {
			return 2
		}
		go serveEngineConn(id, c)
	}
}

func serveEngineConn(id string, c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		attempt := req.Header.Get("Attempt-Id")
		head := "Attempt-Id: " + attempt + "\r\n"
		if want := req.Header.Get("Expect-Instance"); want != "" && want != id {
			_, _ = io.Copy(io.Discard, req.Body)
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%sNot-Run: 1\r\nContent-Length: 0\r\n\r\n", head)
			continue
		}
		head += "Engine-Stamp: stamp-" + attempt + "\r\n"
		answer := answerOf(attempt)
		if req.ContentLength < longBody {
			_, _ = io.Copy(io.Discard, req.Body)
			time.Sleep(20 * time.Millisecond)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(answer), answer)
			continue
		}
		// The answer begins before the body is read, has no length, and ends with the connection.
		fmt.Println(attempt)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\n%s", head, answer[:len(answer)/2])
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		_, _ = io.WriteString(c, answer[len(answer)/2:])
		return
	}
}

// linkedEngine is an engine process behind a link.
type linkedEngine struct {
	f             *fleet
	n, generation int
	private       string
	link          net.Listener
	uploads       chan string

	mu  sync.Mutex
	cmd *exec.Cmd
}

func (e *linkedEngine) id() string { return fmt.Sprintf("i-desk-%d-%d", e.n, e.generation) }

// start starts the process and writes its entry.
func (e *linkedEngine) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	cmd := exec.Command(os.Args[0], "engine", e.id(), e.private)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	e.cmd = cmd
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			e.uploads <- lines.Text()
		}
		_ = cmd.Wait()
	}()
	for i := 0; i < 100; i++ {
		c, err := net.Dial("tcp", e.private)
		if err == nil {
			_ = c.Close()
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	e.f.store.Put("servers", e.id(), fmt.Sprintf(`{"service":"desk","address":%q,"zone":"z%d","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"seq":1,"born":%d}`,
		e.link.Addr().String(), e.n%3+1, time.Now().UnixMilli()))
	return nil
}

// kill ends the process, and starts another one when it has been away.
func (e *linkedEngine) kill() {
	e.mu.Lock()
	_ = e.cmd.Process.Kill()
	old := e.id()
	e.generation++
	e.mu.Unlock()
	time.AfterFunc(3600*time.Millisecond, func() { e.f.store.Delete("servers", old) })
	time.Sleep(awayTime)
	if err := e.start(); err != nil {
		e.f.record.say("engine %s does not start: %v", e.id(), err)
	}
}

// serveLink carries bytes between the routers and the engine, with a bandwidth and a delay.
func (e *linkedEngine) serveLink() {
	for {
		c, err := e.link.Accept()
		if err != nil {
			return
		}
		go e.carry(c.(*net.TCPConn))
	}
}

func (e *linkedEngine) carry(router *net.TCPConn) {
	raw, err := net.Dial("tcp", e.private)
	if err != nil {
		_ = router.SetLinger(0)
		_ = router.Close()
		return
	}
	target := raw.(*net.TCPConn)
	reset := func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { // to the engine
		defer wg.Done()
		b := make([]byte, linkChunk)
		for {
			n, err := router.Read(b)
			if n > 0 {
				time.Sleep(time.Duration(n) * time.Second / linkRate)
				if _, err := target.Write(b[:n]); err != nil {
					time.Sleep(linkDelay)
					reset(router) // the engine's kernel has reset the connection
					return
				}
			}
			if err == io.EOF {
				_ = target.CloseWrite()
				return
			}
			if err != nil {
				reset(target)
				return
			}
		}
	}()
	go func() { // from the engine
		defer wg.Done()
		b := make([]byte, 32<<10)
		for {
			n, err := target.Read(b)
			time.Sleep(linkDelay)
			if n > 0 {
				if _, err := router.Write(b[:n]); err != nil {
					reset(target)
					return
				}
			}
			if err == io.EOF {
				_ = router.CloseWrite()
				return
			}
			if err != nil {
				reset(router)
				return
			}
		}
	}()
	wg.Wait()
	_ = router.Close()
	_ = target.Close()
}

// runEarly sends long requests that are answered early. With trouble engines crash under them.
func runEarly(f *fleet, trouble bool) (broken bool, err error) {
	var engines []*linkedEngine
	for n := range 4 {
		private, err := freeAddr()
		if err != nil {
			return false, err
		}
		releaseAddrs() // the engine listens there at once
		e := &linkedEngine{f: f, n: n, private: private, uploads: make(chan string, 64)}
		if e.link, err = listen(); err != nil {
			return false, err
		}
		go e.serveLink()
		if err := e.start(); err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	defer func() {
		for _, e := range engines {
			e.mu.Lock()
			_ = e.cmd.Process.Kill()
			e.mu.Unlock()
		}
	}()
	f.store.Put("config", "main", drainConfig)
	if err := f.start(fleetConfig{routers: 3, memoryMB: 284, maxFDs: 4100, graceS: 8, zones: []string{"z1", "z2", "z3"}}); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	killed, busy := 0, false
	done := make(chan struct{})
	for _, e := range engines {
		go func() {
			for id := range e.uploads {
				mu.Lock()
				strike := trouble && !busy && killed < crashes
				if strike {
					killed++
					busy = true
				}
				mu.Unlock()
				if !strike {
					continue
				}
				go func() {
					time.Sleep(crashAfter)
					f.record.say("engine %s crashes while it reads request %s", e.id(), id)
					e.kill()
					time.Sleep(time.Second)
					mu.Lock()
					defer mu.Unlock()
					busy = false
					if killed == crashes {
						close(done)
					}
				}()
			}
		}()
	}
	if !trouble {
		time.AfterFunc(35*time.Second, func() { close(done) })
	}
	cut, whole, failed, short := 0, 0, 0, 0
	var wg sync.WaitGroup
	send := func(r *router, id string, size int) {
		status, body, complete := reserve(r, id, size)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case status == http.StatusOK && complete && body != answerOf(id):
			cut++
			f.record.say("request %s: 200, a complete answer of %d bytes; the engine's has %d and was cut", id, len(body), len(answerOf(id)))
		case status == http.StatusOK && complete && size >= longBody:
			whole++
		case status == http.StatusOK && complete:
			short++
		default:
			failed++
		}
		f.record.printf("request %s of %d bytes: %d, complete: %v, %d bytes", id, size, status, complete, len(body))
	}
	for c := range 9 { // ordinary requests, of which long ones are under 5 in 100
		r := f.routers[c%3]
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(100 * time.Millisecond):
				}
				send(r, fmt.Sprintf("s%d-%d", c, n), 600)
			}
		})
	}
	limit := time.After(90 * time.Second)
	for n := 0; ; n++ {
		wg.Go(func() { send(f.routers[n%3], fmt.Sprint("u", n), uploadSize) })
		select {
		case <-done:
		case <-limit:
			return false, fmt.Errorf("only %d engines have crashed", killed)
		case <-time.After(uploadStep):
			continue
		}
		break
	}
	wg.Wait()
	f.record.say("%d crashes; %d long requests answered whole, %d cut answers that look complete, %d requests failed; %d short requests answered", killed, whole, cut, failed, short)
	return cut > 0, nil
}

// reserve sends a request that may not be repeated, and returns the status, the body and whether the answer is complete.
func reserve(r *router, id string, size int) (status int, body string, complete bool) {
	req, err := http.NewRequest(http.MethodPost, "http://"+r.front+"/book/1", bytes.NewReader(make([]byte, size)))
	if err != nil {
		return 0, "", false
	}
	req.Host = "desk.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", "3000")
	client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", false
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err == nil
}
