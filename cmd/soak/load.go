package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"geraniumsaddle/platform/stand"
)

// kind is a kind of request.
type kind struct {
	name, method, path string
	// in and out are tokens; zero makes it a plain request.
	in, out int
	// once says that the request may run at most once.
	once bool
}

var kinds = []kind{
	{"book", http.MethodPost, "/book/1", 0, 0, true},
	{"look", http.MethodGet, "/look/1", 0, 0, false},
	{"chat", http.MethodPost, "/chat/1", 100, 40, true},
	{"resume", http.MethodPost, "/resume/1", 100, 40, false},
}

// outcome is what a caller saw of one request.
type outcome struct {
	id     string
	kind   kind
	status int
	signed bool
	body   string
	// whole says that the answer ended as complete.
	whole bool
}

// name returns the outcome as the summary counts it.
func (o outcome) name() string {
	switch {
	case o.status == 0:
		return "none"
	case !o.whole:
		return "broken"
	}
	return fmt.Sprint(o.status)
}

// load sends requests to the routers until it is stopped and keeps what callers see.
type load struct {
	fleet []*router
	stop  chan struct{}

	mu       sync.Mutex
	outcomes []outcome
}

func (l *load) run(callers int, seed uint64) {
	var all sync.WaitGroup
	for n := range callers {
		all.Go(func() { l.caller(n, rand.New(rand.NewPCG(seed, uint64(n)+100))) })
	}
	all.Wait()
}

// caller sends one request after the other, on connections that it keeps.
func (l *load) caller(n int, rnd *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: 6 * time.Second}
	defer client.CloseIdleConnections()
	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		case <-time.After(time.Duration(rnd.IntN(20)) * time.Millisecond):
		}
		k := kinds[rnd.IntN(len(kinds))]
		o := l.ask(client, l.fleet[rnd.IntN(len(l.fleet))].callers, k, fmt.Sprintf("%s-%d-%d", k.name, n, i))
		l.mu.Lock()
		l.outcomes = append(l.outcomes, o)
		l.mu.Unlock()
	}
}

func (l *load) ask(client *http.Client, addr string, k kind, id string) outcome {
	o := outcome{id: id, kind: k}
	r, err := http.NewRequest(k.method, "http://"+addr+k.path, strings.NewReader("body"))
	if err != nil {
		return o
	}
	// A body that can be read once keeps the client from repeating the request by itself.
	r.GetBody = nil
	r.Host = stand.Host
	r.Header = stand.CallerHeader(id, "key1", k.in, k.out)
	stand.SetDeadline(r.Header, 4000)
	resp, err := client.Do(r)
	if err != nil {
		return o
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	o.status, o.signed, o.body, o.whole = resp.StatusCode, stand.EngineStamp(resp.Header) != "", string(body), err == nil
	return o
}
