package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/io/fakes/engine"
	fakestore "geraniumsaddle/io/fakes/store"
)

const (
	tourTimeout  = 3 * time.Minute
	readyTimeout = 15 * time.Second
	pollInterval = 50 * time.Millisecond
)

// Step is the result of one step of the tour, which is printed as a JSON line.
type Step struct {
	Step   string `json:"step"`
	OK     bool   `json:"ok"`
	Detail string `json:"detail,omitempty"`
	// MS is the duration in milliseconds.
	MS int64 `json:"ms"`
}

// Summary is the result of the tour, which is printed as the last JSON line.
type Summary struct {
	Step       string       `json:"step"`
	OK         bool         `json:"ok"`
	Steps      int          `json:"steps"`
	Failed     int          `json:"failed"`
	Paid       ident.Tokens `json:"paid_tokens"`
	Billed     ident.Tokens `json:"billed_tokens"`
	Answered   ident.Tokens `json:"answered_tokens"`
	Overspend  ident.Tokens `json:"overspend_tokens"`
	Breaches   int          `json:"capacity_breaches"`
	DoubleRuns int          `json:"double_runs"`
}

// tour holds the state of a running tour.
type tour struct {
	fleet *Fleet
	out   io.Writer

	mu sync.Mutex
	// answered is the usage that answers to the organisation demo reported, plus the cost of its reservations.
	answered ident.Tokens
	steps    int
	failed   int
}

// Tour runs the scripted tour, prints a JSON line for each step and reports whether all steps succeeded and all
// invariants held.
func (f *Fleet) Tour(ctx context.Context, out io.Writer) bool {
	ctx, cancel := context.WithTimeout(ctx, tourTimeout)
	defer cancel()
	t := &tour{fleet: f, out: out}
	for _, row := range []struct {
		name string
		run  func(ctx context.Context) (string, error)
	}{
		{"ready", t.ready},
		{"answer", t.answer},
		{"stream", t.stream},
		{"refusal", t.refusal},
		{"reservation_repeated", t.reservation},
		{"good_release", t.goodRelease},
		{"bad_release", t.badRelease},
		{"router_crash", t.routerCrash},
		{"platform_outage", t.platformOutage},
	} {
		t.runStep(ctx, row.name, row.run)
	}
	return t.summary(ctx)
}

func (t *tour) runStep(ctx context.Context, name string, run func(ctx context.Context) (string, error)) {
	start := time.Now()
	detail, err := run(ctx)
	s := Step{Step: name, OK: err == nil, Detail: detail, MS: time.Since(start).Milliseconds()}
	t.steps++
	if err != nil {
		t.failed++
		s.Detail = err.Error()
	}
	t.print(s)
}

func (t *tour) print(v any) {
	b, err := json.Marshal(v)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintln(t.out, string(b))
}

// addAnswered adds tokens that an answer reported as billed.
func (t *tour) addAnswered(n ident.Tokens) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answered += n
}

// waitUntil polls a condition and returns an error if it does not hold within the limit.
func waitUntil(ctx context.Context, limit time.Duration, ok func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !ok() {
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fmt.Errorf("not reached within %s", limit)
		}
	}
	return nil
}

// ready waits until each router answers a request for the budget and reports that it has joined the fleet.
func (t *tour) ready(ctx context.Context) (string, error) {
	for _, r := range t.fleet.Routers {
		c := t.fleet.caller(r, demoKey)
		err := waitUntil(ctx, readyTimeout, func() bool {
			rep, err := c.do(ctx, http.MethodGet, "/v1/budget", "", nil)
			return err == nil && rep.Status == http.StatusOK && r.Node.Provisioned()
		})
		if err != nil {
			return "", fmt.Errorf("%s: %w", r.Name, err)
		}
	}
	return fmt.Sprintf("%d routers in %d failure domains", len(t.fleet.Routers), len(t.fleet.domains)), nil
}

// checkAnswer returns an error unless the reply is the complete answer of the engine stand-in to the prompt.
func checkAnswer(r reply, prompt string, maxTokens int) error {
	want, err := engine.Expect(chatBody(prompt, maxTokens, false))
	if err != nil {
		return err
	}
	if r.Status != http.StatusOK || r.Outcome != ident.OutcomeRun || !r.Complete || r.Text != want.Text {
		return fmt.Errorf("status %d, outcome %s, complete %t, %d of %d bytes: %.300s", r.Status, r.Outcome, r.Complete, len(r.Text), len(want.Text), r.Body)
	}
	return nil
}

func (t *tour) answer(ctx context.Context) (string, error) {
	r, err := t.fleet.caller(t.fleet.Routers[0], demoKey).chat(ctx, "How many briquettes are left?", 20, "")
	if err != nil {
		return "", err
	}
	t.addAnswered(r.Usage.Total)
	return fmt.Sprintf("%d tokens", r.Usage.Total), checkAnswer(r, "How many briquettes are left?", 20)
}

func (t *tour) stream(ctx context.Context) (string, error) {
	r, err := t.fleet.caller(t.fleet.Routers[len(t.fleet.Routers)-1], demoKey).stream(ctx, "Draft a plan for the depot", 30, "", nil)
	if err != nil {
		return "", err
	}
	t.addAnswered(r.Usage.Total)
	return fmt.Sprintf("%d tokens", r.Usage.Total), checkAnswer(r, "Draft a plan for the depot", 30)
}

// refusal sends a request whose output limit exceeds the budget.
func (t *tour) refusal(ctx context.Context) (string, error) {
	r, err := t.fleet.caller(t.fleet.Routers[0], demoKey).chat(ctx, "more than the budget", int(demoBudget)+1, "")
	if err != nil {
		return "", err
	}
	if r.Status != http.StatusPaymentRequired || r.Outcome != ident.OutcomeNotRun || r.Code != "budget_exhausted" {
		return "", fmt.Errorf("status %d, outcome %s, code %q", r.Status, r.Outcome, r.Code)
	}
	return "402 budget_exhausted, not_run", nil
}

// reservation sends the same reservation with the same idempotency key to every router.
func (t *tour) reservation(ctx context.Context) (string, error) {
	const key = "bay-7"
	var first string
	for i, r := range t.fleet.Routers {
		rep, err := t.fleet.caller(r, demoKey).do(ctx, http.MethodPost, "/v1/services/demo-orders/reservations", key, []byte(`{"item":"bay-7","quantity":1}`))
		if err != nil {
			return "", err
		}
		if rep.Status != http.StatusCreated || rep.Outcome != ident.OutcomeRun {
			return "", fmt.Errorf("router %d: status %d, outcome %s, code %q", i+1, rep.Status, rep.Outcome, rep.Code)
		}
		if i == 0 {
			first = string(rep.Body)
		}
		if string(rep.Body) != first {
			return "", fmt.Errorf("router %d: answer differs from that of router 1", i+1)
		}
	}
	t.addAnswered(1)
	if n := t.reservationRuns(key); n != 1 {
		return "", fmt.Errorf("the reservation ran %d times", n)
	}
	return "ran once, answered at every router", nil
}

// reservationRuns returns how often the services ran reservations with an idempotency key.
func (t *tour) reservationRuns(key string) int {
	n := 0
	for _, d := range t.fleet.services {
		n += d.Stats().Runs[key]
	}
	return n
}

// routerCrash crashes a router in the middle of a stream. The caller then retries the request at another router.
func (t *tour) routerCrash(ctx context.Context) (string, error) {
	const prompt, key, tokens = "A long plan for the winter", "plan-1", 400
	t.fleet.setFaults(engine.Faults{SlowMS: 5})
	defer t.fleet.setFaults(engine.Faults{})
	victim, other := t.fleet.Routers[0], t.fleet.Routers[len(t.fleet.Routers)-1]
	midStream := make(chan int, 1)
	crashed := make(chan error, 1)
	go func() {
		<-midStream
		crashed <- t.fleet.Crash(victim)
	}()
	partial, _ := t.fleet.caller(victim, demoKey).stream(ctx, prompt, tokens, key, func(n int) {
		if n == 20 {
			midStream <- n
		}
	})
	if err := <-crashed; err != nil {
		return "", err
	}
	if partial.Complete {
		return "", fmt.Errorf("the answer was complete before the router crashed")
	}
	var r reply
	err := waitUntil(ctx, readyTimeout, func() bool {
		var err error
		r, err = t.fleet.caller(other, demoKey).stream(ctx, prompt, tokens, key, nil)
		return err == nil && r.Status == http.StatusOK
	})
	if err != nil {
		return "", fmt.Errorf("retry: %w (code %q)", err, r.Code)
	}
	t.addAnswered(r.Usage.Total)
	return fmt.Sprintf("retried at %s, %d tokens", other.Name, r.Usage.Total), checkAnswer(r, prompt, tokens)
}

// platformOutage sends requests during an outage of the platform. Chat completions must be answered. A reservation with
// a key that the caller chose must not run, and its outcome is unknown; a reservation with an operation token must run.
func (t *tour) platformOutage(ctx context.Context) (string, error) {
	t.fleet.platform.SetFaults(fakestore.Faults{Outage: true})
	defer t.fleet.platform.SetFaults(fakestore.Faults{})
	r := t.fleet.Routers[len(t.fleet.Routers)-1]
	c := t.fleet.caller(r, demoKey)
	for i := range 10 {
		prompt := fmt.Sprintf("stock question %d", i)
		rep, err := c.chat(ctx, prompt, 10, "")
		if err != nil {
			return "", err
		}
		t.addAnswered(rep.Usage.Total)
		if err := checkAnswer(rep, prompt, 10); err != nil {
			return "", err
		}
	}
	rep, err := c.do(ctx, http.MethodPost, "/v1/services/demo-orders/reservations", "bay-8", []byte(`{"item":"bay-8","quantity":1}`))
	if err != nil {
		return "", err
	}
	if rep.Outcome != ident.OutcomeUnknown || t.reservationRuns("bay-8") != 0 {
		return "", fmt.Errorf("reservation with a key of the caller: outcome %s, runs %d", rep.Outcome, t.reservationRuns("bay-8"))
	}
	tok, err := c.do(ctx, http.MethodPost, "/v1/operations", "", nil)
	if err != nil {
		return "", err
	}
	var op struct {
		Key string `json:"idempotency_key"`
	}
	if err := json.Unmarshal(tok.Body, &op); err != nil {
		return "", err
	}
	rep, err = c.do(ctx, http.MethodPost, "/v1/services/demo-orders/reservations", op.Key, []byte(`{"item":"bay-9","quantity":1}`))
	if err != nil {
		return "", err
	}
	if rep.Status != http.StatusCreated || t.reservationRuns(op.Key) != 1 {
		return "", fmt.Errorf("reservation with an operation token: status %d, code %q, runs %d", rep.Status, rep.Code, t.reservationRuns(op.Key))
	}
	t.addAnswered(1)
	return "10 answers and a reservation with an operation token during the outage", nil
}

func (f *Fleet) setFaults(faults engine.Faults) {
	for _, e := range f.engines {
		e.SetFaults(faults)
	}
}
