//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that an engine has begun to work on.
type run struct {
	id, path string
	at       time.Time
	input    int
}

// reply says what an engine does with a request that it runs.
type reply uint8

const (
	replyWhole  reply = iota // a whole answer
	replySilent              // nothing: the answer is lost on the way
	replyCrash               // the engine crashes as it begins to write the answer
)

// engine is a stand-in of a model engine or of a plain service.
type engine struct {
	service, zone, addr string
	stride              int
	// work is how long a run takes until its first event or its answer, gap the pause between events.
	work, gap time.Duration
	events    int
	slots     int32
	// decide says what happens to a request that is run.
	decide func(r *http.Request) reply
	// onCrash is called after the engine has crashed.
	onCrash func()

	running atomic.Int32
	mu      sync.Mutex
	id      string
	born    int64
	server  *http.Server
	runs    []run
	arrived []run
}

func (e *engine) entry(state string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold_remaining_ms":0,"seq":1,"born":%d}`,
		e.service, e.addr, e.zone, e.slots, state, e.born)
}

// start starts an incarnation of the engine, at the address that it had before if there is one.
func (e *engine) start(id string) error {
	addr := e.addr
	if addr == "" {
		addr = loopbackIP() + ":0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addr, e.id, e.born = ln.Addr().String(), id, time.Now().UnixMilli()
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), IdleTimeout: 10 * time.Second}
	go func(s *http.Server) { _ = s.Serve(ln) }(e.server)
	return nil
}

// stop ends the engine and resets its connections.
func (e *engine) stop() {
	e.mu.Lock()
	s := e.server
	e.mu.Unlock()
	_ = s.Close()
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Now()
	e.mu.Lock()
	id := e.id
	e.mu.Unlock()
	h := w.Header()
	h.Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/healthz" {
		h.Set("Instance-Id", id)
		w.WriteHeader(http.StatusOK)
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	h.Set("Attempt-Id", attempt)
	refuse := func(status int) {
		h.Set("Not-Run", "1")
		w.WriteHeader(status)
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	if attempt == "" {
		refuse(http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	input, _, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	n, _ := strconv.Atoi(input)
	e.mu.Lock()
	e.arrived = append(e.arrived, run{attempt, r.URL.Path, arrivedAt, n})
	e.mu.Unlock()
	if e.running.Add(1) > e.slots {
		e.running.Add(-1)
		refuse(http.StatusServiceUnavailable)
		return
	}
	defer e.running.Add(-1)
	streams := strings.HasPrefix(r.URL.Path, "/chat/")
	if !streams {
		e.recordRun(run{attempt, r.URL.Path, time.Now(), n})
	}
	if !sleep(r, e.work) {
		return // dropped, as its connection was closed; a model engine has not begun to run it before its first token
	}
	if streams {
		e.recordRun(run{attempt, r.URL.Path, time.Now(), n})
	}
	what := replyWhole
	if e.decide != nil {
		what = e.decide(r)
	}
	switch what {
	case replySilent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case replyCrash:
		e.crash()
		return
	}
	h.Set("Engine-Stamp", "stamp-"+attempt)
	if !streams {
		_, _ = io.WriteString(w, "done "+attempt+"\n")
		return
	}
	h.Set("Content-Type", "text/event-stream")
	h.Set("Weight-Versions", "1")
	for i := range e.events {
		if i > 0 && !sleep(r, e.gap) {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s part %d\n\n", i, attempt, i); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// crash ends the engine while it begins to write an answer.
func (e *engine) crash() {
	e.mu.Lock()
	s := e.server
	e.server = nil
	e.mu.Unlock()
	if s == nil {
		panic(http.ErrAbortHandler) // another request has crashed it already
	}
	_ = s.Close()
	if e.onCrash != nil {
		go e.onCrash()
	}
	panic(http.ErrAbortHandler)
}

// sleep waits, and returns false if the connection of the request is closed before.
func sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return r.Context().Err() == nil
	case <-r.Context().Done():
		return false
	}
}

func (e *engine) recordRun(r run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, r)
}

func (e *engine) copyRuns() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]run(nil), e.runs...)
}

func (e *engine) copyArrived() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]run(nil), e.arrived...)
}
