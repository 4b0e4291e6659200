package main

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// seeds are played on each run of the tests. A seed that ever failed joins them with a line on its cause.
var seeds = []uint64{1}

// TestSeeds guards against a broken promise under faults from outside: a request that runs twice, a false refusal, an
// answer that is not whole or of another request, tokens beyond what is prepaid.
func TestGuaranteesUnderFaults(t *testing.T) {
	is := is.New(t)
	binary := filepath.Join(t.TempDir(), "geraniumsaddle")
	out, err := exec.Command("go", "build", "-o", binary, "geraniumsaddle/cmd/geraniumsaddle").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	for _, seed := range seeds {
		for _, claims := range []bool{false, true} {
			result, err := run(config{Binary: binary, Seed: seed, Length: 4 * time.Second, Routers: 3, Callers: 4, Dir: t.TempDir(), Claims: claims})
			is.NoErr(err)
			is.Equal(result.Broken, nil)
			is.True(result.Answers["200"] > 0)
		}
	}
}

// TestCheck guards against a soak that overlooks a broken promise.
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
		{"twice", good, 2, 1},
		{"true refusal", modified(func(o *outcome) { o.status, o.signed = 503, false }), 0, 0},
		{"false refusal", modified(func(o *outcome) { o.status, o.signed = 503, false }), 1, 1},
		{"a target's own 503", modified(func(o *outcome) { o.status = 503 }), 1, 0},
		{"unsigned success", modified(func(o *outcome) { o.signed = false }), 1, 1},
		{"answer of another request", modified(func(o *outcome) { o.body = "answer of t to b" }), 1, 1},
		{"broken answer", modified(func(o *outcome) { o.body, o.complete = "answer", false }), 1, 0},
		{"stream cut that looks whole", modified(func(o *outcome) { o.kind, o.body = chat, "id: 0\ndata: a part 0\n\n" }), 1, 1},
		{"stream cut", modified(func(o *outcome) { o.kind, o.body, o.complete = chat, "id: 0\ndata: a part 0\n\n", false }), 1, 0},
		{"stream out of order", modified(func(o *outcome) { o.kind, o.body, o.complete = chat, "id: 1\ndata: a part 1\n\n", false }), 1, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(len(checkOutcomes([]outcome{c.o}, map[string]int{"a": c.runs}, eventsPerStream)), c.broken)
		})
	}
}

// TestCheckTokens guards against a soak that overlooks overspending.
func TestCheckPrepaidTokens(t *testing.T) {
	is := is.New(t)
	chat := requestKinds[2]
	var outcomes []outcome
	for range prepaidTokens/(chat.inputTokens+1) + 1 {
		outcomes = append(outcomes, outcome{id: "a", kind: chat, status: 200, signed: true, body: "id: 0\ndata: a part 0\n\n"})
	}
	is.Equal(len(checkOutcomes(outcomes, nil, eventsPerStream)), 1)
	is.Equal(len(checkOutcomes(outcomes[1:], nil, eventsPerStream)), 0)
}
