package main

import (
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/platform/fakes"
)

// seeds are run by each run of the tests. Add every seed that has failed, with a comment on the cause.
var seeds = []uint64{1}

// TestGuaranteesUnderFaults checks the guarantees of routers while processes and connections fail: no request with
// atMostOnce runs twice, a router does not reject a request as not run that has run, a response that ends as complete
// has all parts and belongs to its request, and no more tokens are delivered than are prepaid.
func TestGuaranteesUnderFaults(t *testing.T) {
	is := is.New(t)
	binary := buildRouter(t)
	for _, seed := range seeds {
		for _, claims := range []bool{false, true} {
			result, err := run(config{Binary: binary, Seed: seed, Length: 4 * time.Second, Routers: 3, Callers: 4, Dir: t.TempDir(), Claims: claims})
			is.NoErr(err)
			is.Equal(result.Broken, nil)
			is.True(result.Answers["200"] > 0)
		}
	}
}

// TestPlannedWork guards against requests that run and get no answer while routers are stopped and started and the idle
// timeout changes, beside callers that send slowly and keep idle connections.
func TestPlannedWork(t *testing.T) {
	is := is.New(t)
	binary := buildRouter(t)
	result, err := run(config{Binary: binary, Seed: 1, Length: 4 * time.Second, Routers: 3, Callers: 16, Dir: t.TempDir(), Planned: true})
	is.NoErr(err)
	is.Equal(result.Broken, nil)
	is.True(result.Answers["200"] > 0)
}

// TestStarts guards against processes that end by themselves or take too much memory, and against changed settings that
// are not read, while routers are started and stopped beside signals, held ports, lost readers of the log and partial
// requests.
func TestStarts(t *testing.T) {
	is := is.New(t)
	cfg := config{Binary: buildRouter(t), Seed: 1, Length: 2 * time.Second, Routers: 4, Callers: 4, Dir: t.TempDir(), Starts: true}
	cfg.Partial, cfg.MemoryMB = 300, smallVMMB
	result, err := run(cfg)
	is.NoErr(err)
	for _, violation := range result.Broken {
		t.Error(violation)
	}
	is.True(result.Answers["200"] > 0)
}

// TestLossOfPower guards against routers that do not all start again at once, and against tokens that are delivered twice,
// after the loss of all processes.
func TestLossOfPower(t *testing.T) {
	is := is.New(t)
	cfg := config{Binary: buildRouter(t), Seed: 1, Length: 2 * time.Second, Routers: 6, Callers: 4, Dir: t.TempDir(), Herd: true, MemoryMB: smallVMMB}
	result, err := run(cfg)
	is.NoErr(err)
	is.Equal(result.Broken, nil)
	is.True(result.Answers["200"] > 0)
}

// TestRepeatedTerm guards against a second SIGTERM that cuts off the requests of a router that is shutting down.
func TestRepeatedTerm(t *testing.T) {
	is := is.New(t)
	env := &testEnv{
		cfg: config{Binary: buildRouter(t), Routers: 1, Dir: t.TempDir(), Planned: true}, store: fakes.NewStore(5), faults: make(map[string]int),
	}
	storeServer := httptest.NewServer(env.store)
	defer storeServer.Close()
	defer env.store.Close()
	defer env.close()
	is.NoErr(env.start(storeServer.Listener.Addr().String()))
	load := &loadGenerator{routers: env.routers}
	chat := func(id string) outcome {
		return load.send(http.DefaultClient, env.routers[0].callerAddr, requestKinds[2], id, strings.NewReader("body"))
	}
	for deadline := time.Now().Add(startTimeout); chat("first").label() != "200"; {
		is.True(time.Now().Before(deadline)) // The router has tokens.
	}
	for _, e := range env.engines {
		e.EventInterval = 300 * time.Millisecond
	}
	before := env.runCount()
	outcomes := make(chan outcome)
	go func() { outcomes <- chat("second") }()
	for deadline := time.Now().Add(startTimeout); env.runCount() == before; runtime.Gosched() {
		is.True(time.Now().Before(deadline))
	}
	env.routers[0].signal(syscall.SIGTERM)
	for deadline := time.Now().Add(startTimeout); env.allReady(); {
		is.True(time.Now().Before(deadline)) // The shutdown begins.
	}
	env.routers[0].signal(syscall.SIGTERM)
	o := <-outcomes
	is.Equal(o.label(), "200")
}

// buildRouter builds the program and returns its path.
func buildRouter(t testing.TB) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "geraniumsaddle")
	out, err := exec.Command("go", "build", "-o", binary, "geraniumsaddle/cmd/geraniumsaddle").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	return binary
}

// TestCheckAnswered guards against a check that misses a request that ran without a complete answer, and against one that
// counts answers of the router or requests that never ran.
func TestCheckAnswered(t *testing.T) {
	is := is.New(t)
	outcomes := []outcome{
		{id: "answered", status: 200, complete: true}, {id: "cut", status: 200}, {id: "none"}, {id: "not run"}, {id: "unknown", status: 504, complete: true},
	}
	runs := map[string]int{"answered": 1, "cut": 1, "none": 1, "unknown": 1}
	is.Equal(len(checkAnswered(outcomes, runs)), 2)
}

// TestCheckOutcomes guards against violations that the checks miss, and against false ones.
func TestCheckOutcomes(t *testing.T) {
	book, chat := requestKinds[0], requestKinds[2]
	good := outcome{id: "a", kind: book, status: 200, signed: true, body: "answer of t to a", complete: true}
	modified := func(change func(*outcome)) outcome {
		o := good
		change(&o)
		return o
	}
	cases := []struct {
		name   string
		o      outcome
		runs   int
		broken int
	}{
		{"good", good, 1, 0},
		{"ran twice", good, 2, 1},
		{"rejected and not run", modified(func(o *outcome) { o.status, o.signed = 503, false }), 0, 0},
		{"rejected but run", modified(func(o *outcome) { o.status, o.signed = 503, false }), 1, 1},
		{"503 from the target", modified(func(o *outcome) { o.status = 503 }), 1, 0},
		{"unsigned success", modified(func(o *outcome) { o.signed = false }), 1, 1},
		{"response to another request", modified(func(o *outcome) { o.body = "answer of t to b" }), 1, 1},
		{"truncated response", modified(func(o *outcome) { o.body, o.complete = "answer", false }), 1, 0},
		{"truncated stream that ends as complete", modified(func(o *outcome) { o.kind, o.body = chat, "id: 0\ndata: a part 0\n\n" }), 1, 1},
		{"truncated stream", modified(func(o *outcome) { o.kind, o.body, o.complete = chat, "id: 0\ndata: a part 0\n\n", false }), 1, 0},
		{"stream out of order", modified(func(o *outcome) { o.kind, o.body, o.complete = chat, "id: 1\ndata: a part 1\n\n", false }), 1, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(len(checkOutcomes([]outcome{c.o}, map[string]int{"a": c.runs}, eventsPerStream, prepaidTokens)), c.broken)
		})
	}
}

// TestCheckPrepaidTokens guards against a check that misses tokens delivered beyond the prepaid ones.
func TestCheckPrepaidTokens(t *testing.T) {
	is := is.New(t)
	chat := requestKinds[2]
	var outcomes []outcome
	for range prepaidTokens/(chat.inputTokens+1) + 1 {
		outcomes = append(outcomes, outcome{id: "a", kind: chat, status: 200, signed: true, body: "id: 0\ndata: a part 0\n\n"})
	}
	is.Equal(len(checkOutcomes(outcomes, nil, eventsPerStream, prepaidTokens)), 1)
	is.Equal(len(checkOutcomes(outcomes[1:], nil, eventsPerStream, prepaidTokens)), 0)
}
