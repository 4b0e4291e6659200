package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"geraniumsaddle/platform/fakes"
)

// requestKind is a kind of request.
type requestKind struct {
	name, method, path string
	// inputTokens and outputTokens are 0 for a request to the plain service.
	inputTokens, outputTokens int
	// atMostOnce is set if the request must not run twice.
	atMostOnce bool
}

var requestKinds = []requestKind{
	{"book", http.MethodPost, "/book/1", 0, 0, true},
	{"look", http.MethodGet, "/look/1", 0, 0, false},
	{"chat", http.MethodPost, "/chat/1", 100, 40, true},
	{"resume", http.MethodPost, "/resume/1", 100, 40, false},
}

// outcome is the result of one request as the caller sees it.
type outcome struct {
	id     string
	kind   requestKind
	status int  // 0 without a response
	signed bool // the response has the signature of a target
	body   string
	// complete is set if the body could be read to its end.
	complete bool

	routerAddr   string
	began, ended time.Time
}

// label returns the key under which the summary counts the outcome.
func (o outcome) label() string {
	switch {
	case o.status == 0:
		return "none"
	case !o.complete:
		return "broken"
	}
	return fmt.Sprint(o.status)
}

// loadGenerator sends requests to the routers until stop is closed, and records their outcomes.
type loadGenerator struct {
	routers []*router
	// slow makes half of the callers send bodies slowly, and lets their connections be idle for seconds.
	slow bool
	stop chan struct{}

	mu       sync.Mutex
	outcomes []outcome
}

func (g *loadGenerator) run(callers int, seed uint64) {
	var wg sync.WaitGroup
	for n := range callers {
		wg.Go(func() { g.runCaller(n, rand.New(rand.NewPCG(seed, uint64(n)+100))) })
	}
	wg.Wait()
}

// runCaller sends one request at a time over persistent connections.
func (g *loadGenerator) runCaller(n int, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: 6 * time.Second}
	defer client.CloseIdleConnections()
	slow := g.slow && n%2 == 1
	maxPause := 20 * time.Millisecond
	if slow {
		maxPause = 1500 * time.Millisecond
	}
	for i := 0; ; i++ {
		select {
		case <-g.stop:
			return
		case <-time.After(time.Duration(rng.Int64N(int64(maxPause)))):
		}
		k := requestKinds[rng.IntN(len(requestKinds))]
		var body io.Reader = strings.NewReader("body")
		if slow && k.method == http.MethodPost {
			body = &slowBody{rest: "body", pause: time.Duration(rng.Int64N(int64(maxBodyPause)))}
		}
		o := g.send(client, g.routers[rng.IntN(len(g.routers))].callerAddr, k, fmt.Sprintf("%s-%d-%d", k.name, n, i), body)
		g.mu.Lock()
		g.outcomes = append(g.outcomes, o)
		g.mu.Unlock()
	}
}

// maxBodyPause bounds the pause before each byte of a slow body, which is to end well before the deadline.
const maxBodyPause = 700 * time.Millisecond

// slowBody is a body whose bytes come with pauses.
type slowBody struct {
	rest  string
	pause time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.rest == "" {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	p[0], b.rest = b.rest[0], b.rest[1:]
	return 1, nil
}

func (g *loadGenerator) send(client *http.Client, addr string, k requestKind, id string, body io.Reader) (o outcome) {
	o = outcome{id: id, kind: k, routerAddr: addr, began: time.Now()}
	defer func() { o.ended = time.Now() }()
	req, err := http.NewRequest(k.method, "http://"+addr+k.path, body)
	if err != nil {
		return o
	}
	// Without GetBody, the client cannot send the body again, so it does not retry a request that it has begun to send.
	req.GetBody = nil
	req.Host = fakes.Host
	req.Header = fakes.CallerHeader(id, "key1", k.inputTokens, k.outputTokens)
	fakes.SetDeadline(req.Header, 4000)
	resp, err := client.Do(req)
	if err != nil {
		return o
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	o.status, o.signed, o.body, o.complete = resp.StatusCode, fakes.EngineStamp(resp.Header) != "", string(answer), err == nil
	return o
}
