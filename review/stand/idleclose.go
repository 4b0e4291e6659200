//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The case idleclose: the operator lowers idle_timeout_ms while clients with kept connections send requests.
const (
	idleClients = 1200
	idleRounds  = 8
	// longIdle and shortIdle are the values of idle_timeout_ms.
	longIdle  = 15000
	shortIdle = 2000
	// shortHold and longHold are how long each stays in force.
	shortHold = 3 * time.Second
	longHold  = 7 * time.Second
	// configTime is config_ms: clients know a limit this long after its acknowledgement.
	configTime = 2 * time.Second
	// deskWork is how long a server works on a request.
	deskWork = 60 * time.Millisecond
	// minPause and pauseSpread are the pauses of a client between two requests.
	minPause    = 4 * time.Second
	pauseSpread = 2 * time.Second
)

// runDeskServer serves requests as an engine of a plain service at an address. Its id is the second argument.
func runDeskServer(args []string) error {
	ln, err := net.Listen("tcp", args[0])
	if err != nil {
		return err
	}
	for {
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		go serveDesk(c, args[1])
	}
}

func serveDesk(c net.Conn, instance string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("Attempt-Id")
		if req.Header.Get("Expect-Instance") != instance {
			_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: "+id+"\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		fmt.Println("note runs", id)
		time.Sleep(deskWork)
		body := "booked " + id
		_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nEngine-Stamp: stamp.%s.%s\r\nContent-Length: %d\r\n\r\n%s", id, instance, id, len(body), body)
		if err != nil {
			return
		}
	}
}

func idleConfig(version, idleMS int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"reserve","host":"%s","path_prefix":"/puxa403/","kind":"unsafe",
"timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":1}],
"services":[{"name":"desk","health_path":"/healthz","max_connections":1000}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":%d},
"tenants":[{"name":"hule930","api_keys":["%s"]}]}`, version, host, idleMS, key)
}

// idleOutcome is the end of one request: answered, or its connection ended without an answer.
type idleOutcome struct {
	id       string
	at       time.Time
	answered bool
}

// window is the time around a change of the configuration in which the rule counts: from its sending until config_ms and
// one second after its acknowledgement.
type window struct{ from, to time.Time }

// idlePlay is the state of the case.
type idlePlay struct {
	f       *fleet
	stop    chan struct{}
	limitMS atomic.Int64 // what clients know of idle_timeout_ms

	mu       sync.Mutex
	outcomes []idleOutcome
	windows  []window
}

// playIdleClose checks LOST: around a change of the configuration no connection on which a whole request was read, and
// passed on, ends without an answer.
func playIdleClose(f *fleet, trouble bool) (int, error) {
	if err := f.startStore(); err != nil {
		return 0, err
	}
	if err := f.write("config", "main", idleConfig(3, longIdle)); err != nil {
		return 0, err
	}
	var desks []*process
	for n := range servers {
		id, addr := fmt.Sprintf("i-%d", n), f.addr(20+n, 8120)
		p, err := f.spawn("server-"+id, nil, self("deskserver", addr, id)...)
		if err != nil {
			return 0, err
		}
		desks = append(desks, p)
		spec := fmt.Sprintf(`{"service":"desk","address":%q,"zone":"be-central-a","version":"v1","slots":200,"state":"ready","cold_remaining_ms":0,"seq":1,"born":%d}`, addr, time.Now().UnixMilli())
		if err := f.write("servers", id, spec); err != nil {
			return 0, err
		}
	}
	r, err := f.startRouter()
	if err != nil {
		return 0, err
	}
	n := 0
	err = waitFor("requests are served", 10*time.Second, func() bool {
		n++
		a := f.send(r, request{method: http.MethodPost, path: "/puxa403/2f", id: fmt.Sprintf("first-%d", n), body: []byte("x")})
		return a.status == http.StatusOK
	})
	if err != nil {
		return 0, err
	}
	p := &idlePlay{f: f, stop: make(chan struct{})}
	p.limitMS.Store(longIdle)
	var wg sync.WaitGroup
	for i := range idleClients {
		wg.Go(func() { p.client(i, r) })
	}
	err = p.operate(trouble)
	close(p.stop)
	wg.Wait()
	if err != nil {
		return 0, err
	}
	time.Sleep(500 * time.Millisecond)
	return p.judge(desks), nil
}

// operate lowers and raises the limit in turn.
func (p *idlePlay) operate(trouble bool) error {
	version := 3
	time.Sleep(longHold)
	for range idleRounds {
		for _, idle := range []int64{shortIdle, longIdle} {
			hold := longHold
			if idle == shortIdle {
				hold = shortHold
			}
			if !trouble {
				time.Sleep(hold)
				continue
			}
			version += 2
			from := time.Now()
			p.f.note("the operator changes idle_timeout_ms", "to", idle, "version", version)
			if err := p.f.write("config", "main", idleConfig(version, int(idle))); err != nil {
				return err
			}
			acked := time.Now()
			p.mu.Lock()
			p.windows = append(p.windows, window{from, acked.Add(configTime + time.Second)})
			p.mu.Unlock()
			time.AfterFunc(configTime, func() { p.limitMS.Store(idle) })
			time.Sleep(hold)
		}
	}
	return nil
}

// client sends one request after the other over a kept connection. It reuses one that has been idle for four fifths of the
// limit at most.
func (p *idlePlay) client(i int, r *router) {
	var c net.Conn
	var br *bufio.Reader
	defer func() {
		if c != nil {
			_ = c.Close()
		}
	}()
	var idleSince time.Time
	for n := 0; ; n++ {
		pause := minPause + time.Duration(rand.Int64N(int64(pauseSpread)))
		if n == 0 {
			pause = time.Duration(rand.Int64N(int64(minPause)))
		}
		select {
		case <-p.stop:
			return
		case <-time.After(pause):
		}
		if c != nil && time.Since(idleSince) > time.Duration(p.limitMS.Load())*time.Millisecond*4/5 {
			_ = c.Close()
			c = nil
		}
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", r.front, time.Second); err != nil {
				c = nil
				continue
			}
			br = bufio.NewReader(c)
		}
		id := fmt.Sprintf("c%d-%d", i, n)
		p.f.note("sent", "id", id)
		at := time.Now()
		answered := p.request(c, br, id)
		if !answered {
			p.f.note("the connection ended without an answer", "id", id)
			_ = c.Close()
			c = nil
		} else {
			p.f.note("answered", "id", id)
		}
		idleSince = time.Now()
		p.mu.Lock()
		p.outcomes = append(p.outcomes, idleOutcome{id, at, answered})
		p.mu.Unlock()
	}
}

// request sends a request and reports whether its whole answer came.
func (p *idlePlay) request(c net.Conn, br *bufio.Reader, id string) bool {
	_ = c.SetDeadline(time.Now().Add(4 * time.Second))
	_, err := fmt.Fprintf(c, "POST /puxa403/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 3000\r\nAuthorization: Token %s\r\nContent-Length: 4\r\n\r\nbook", host, id, key)
	if err != nil {
		return false
	}
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil
}

// judge returns the number of requests that a server ran and whose connection ended without an answer, around changes of
// the configuration. They count only if they are over three times as frequent then as at other times.
func (p *idlePlay) judge(desks []*process) int {
	ran := make(map[string]bool)
	for _, d := range desks {
		d.mu.Lock()
		for _, l := range d.lines {
			ran[l[len("runs "):]] = true
		}
		d.mu.Unlock()
	}
	inside, outside, insideAll, outsideAll, unread := 0, 0, 0, 0, 0
	for _, o := range p.outcomes {
		in := false
		for _, w := range p.windows {
			in = in || o.at.After(w.from) && o.at.Before(w.to)
		}
		cut := !o.answered && ran[o.id]
		if !o.answered && !ran[o.id] {
			unread++
		}
		switch {
		case in && cut:
			inside++
			p.f.note("LOST: a request was passed on, and its connection ended without an answer", "id", o.id)
		case cut:
			outside++
		}
		if in {
			insideAll++
		} else {
			outsideAll++
		}
	}
	p.f.note("requests", "around_changes", insideAll, "cut", inside, "at_other_times", outsideAll, "cut", outside,
		"crossed_a_close_and_not_passed_on", unread)
	fmt.Println("around changes:", insideAll, "requests,", inside, "lost; at other times:", outsideAll, "requests,", outside,
		"lost; not passed on:", unread)
	if float64(inside)*float64(max(outsideAll, 1)) <= 3*float64(outside)*float64(max(insideAll, 1)) {
		return 0
	}
	return inside
}
