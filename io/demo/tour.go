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
	tourTimeout = 3 * time.Minute
	readyWait   = 15 * time.Second
	pollEvery   = 50 * time.Millisecond
)

// Step is the result of one step of the tour.
type Step struct {
	Step   string `json:"step"`
	OK     bool   `json:"ok"`
	Detail string `json:"detail,omitempty"`
	// MS is the duration in milliseconds.
	MS int64 `json:"ms"`
}

// Summary is the last line of the tour.
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

// tour is the state of the scripted tour.
type tour struct {
	f   *Fleet
	out io.Writer

	mu       sync.Mutex
	answered ident.Tokens // usage that callers of the organisation demo were told, reservations included
	steps    int
	failed   int
}

// Tour runs the scripted tour, prints a JSON line a step and reports whether every invariant held.
func (f *Fleet) Tour(ctx context.Context, out io.Writer) bool {
	ctx, cancel := context.WithTimeout(ctx, tourTimeout)
	defer cancel()
	t := &tour{f: f, out: out}
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
		{"router_crash", t.crash},
		{"platform_outage", t.outage},
	} {
		t.step(ctx, row.name, row.run)
	}
	return t.summary(ctx)
}

func (t *tour) step(ctx context.Context, name string, run func(ctx context.Context) (string, error)) {
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

// count adds what a caller was told to be billed.
func (t *tour) count(n ident.Tokens) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answered += n
}

// until polls a condition.
func until(ctx context.Context, limit time.Duration, ok func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !ok() {
		select {
		case <-time.After(pollEvery):
		case <-ctx.Done():
			return fmt.Errorf("not reached within %s", limit)
		}
	}
	return nil
}

// ready waits until each router has a configuration, peers and an allotment.
func (t *tour) ready(ctx context.Context) (string, error) {
	for _, r := range t.f.Routers {
		c := t.f.caller(r, demoKey)
		err := until(ctx, readyWait, func() bool {
			rep, err := c.do(ctx, http.MethodGet, "/v1/budget", "", nil)
			return err == nil && rep.Status == http.StatusOK && r.Node.Provisioned()
		})
		if err != nil {
			return "", fmt.Errorf("%s: %w", r.Name, err)
		}
	}
	return fmt.Sprintf("%d routers in %d failure domains", len(t.f.Routers), len(t.f.domains)), nil
}

// expect returns an error unless the reply is the whole answer to the prompt.
func expect(r reply, prompt string, maxTokens int) error {
	want, err := engine.Expect(chatBody(prompt, maxTokens, false))
	if err != nil {
		return err
	}
	if r.Status != http.StatusOK || r.Outcome != ident.OutcomeRun || !r.Whole || r.Text != want.Text {
		return fmt.Errorf("status %d, outcome %s, whole %t, %d of %d bytes: %.300s", r.Status, r.Outcome, r.Whole, len(r.Text), len(want.Text), r.Body)
	}
	return nil
}

func (t *tour) answer(ctx context.Context) (string, error) {
	r, err := t.f.caller(t.f.Routers[0], demoKey).chat(ctx, "How many briquettes are left?", 20, "")
	if err != nil {
		return "", err
	}
	t.count(r.Usage.Total)
	return fmt.Sprintf("%d tokens", r.Usage.Total), expect(r, "How many briquettes are left?", 20)
}

func (t *tour) stream(ctx context.Context) (string, error) {
	r, err := t.f.caller(t.f.Routers[len(t.f.Routers)-1], demoKey).stream(ctx, "Draft a plan for the depot", 30, "", nil)
	if err != nil {
		return "", err
	}
	t.count(r.Usage.Total)
	return fmt.Sprintf("%d tokens", r.Usage.Total), expect(r, "Draft a plan for the depot", 30)
}

func (t *tour) refusal(ctx context.Context) (string, error) {
	r, err := t.f.caller(t.f.Routers[0], demoKey).chat(ctx, "more than the budget", int(demoBudget)+1, "")
	if err != nil {
		return "", err
	}
	if r.Status != http.StatusPaymentRequired || r.Outcome != ident.OutcomeNotRun || r.Code != "budget_exhausted" {
		return "", fmt.Errorf("status %d, outcome %s, code %q", r.Status, r.Outcome, r.Code)
	}
	return "402 budget_exhausted, not_run", nil
}

// reservation sends one reservation to every router with the same key.
func (t *tour) reservation(ctx context.Context) (string, error) {
	const key = "bay-7"
	var first string
	for i, r := range t.f.Routers {
		rep, err := t.f.caller(r, demoKey).do(ctx, http.MethodPost, "/v1/services/demo-orders/reservations", key, []byte(`{"item":"bay-7","quantity":1}`))
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
			return "", fmt.Errorf("router %d: another answer", i+1)
		}
	}
	t.count(1)
	if n := t.runs(key); n != 1 {
		return "", fmt.Errorf("the reservation ran %d times", n)
	}
	return "ran once, answered at every router", nil
}

// runs returns how often the services have run a key.
func (t *tour) runs(key string) int {
	n := 0
	for _, d := range t.f.desks {
		n += d.Stats().Runs[key]
	}
	return n
}

// crash stops a router in the middle of a stream. The caller repeats the request at another router.
func (t *tour) crash(ctx context.Context) (string, error) {
	const prompt, key, tokens = "A long plan for the winter", "plan-1", 400
	t.f.setFaults(engine.Faults{SlowMS: 5})
	defer t.f.setFaults(engine.Faults{})
	victim, other := t.f.Routers[0], t.f.Routers[len(t.f.Routers)-1]
	got := make(chan int, 1)
	crashed := make(chan error, 1)
	go func() {
		<-got
		crashed <- t.f.Crash(victim)
	}()
	partial, _ := t.f.caller(victim, demoKey).stream(ctx, prompt, tokens, key, func(n int) {
		if n == 20 {
			got <- n
		}
	})
	if err := <-crashed; err != nil {
		return "", err
	}
	if partial.Whole {
		return "", fmt.Errorf("the router answered whole before it stopped")
	}
	var r reply
	err := until(ctx, readyWait, func() bool {
		var err error
		r, err = t.f.caller(other, demoKey).stream(ctx, prompt, tokens, key, nil)
		return err == nil && r.Status == http.StatusOK
	})
	if err != nil {
		return "", fmt.Errorf("retry: %w (code %q)", err, r.Code)
	}
	t.count(r.Usage.Total)
	return fmt.Sprintf("retried at %s, %d tokens", other.Name, r.Usage.Total), expect(r, prompt, tokens)
}

// outage takes the platform away, serves requests and brings it back.
func (t *tour) outage(ctx context.Context) (string, error) {
	t.f.platform.SetFaults(fakestore.Faults{Outage: true})
	defer t.f.platform.SetFaults(fakestore.Faults{})
	r := t.f.Routers[len(t.f.Routers)-1]
	c := t.f.caller(r, demoKey)
	for i := range 10 {
		prompt := fmt.Sprintf("stock question %d", i)
		rep, err := c.chat(ctx, prompt, 10, "")
		if err != nil {
			return "", err
		}
		t.count(rep.Usage.Total)
		if err := expect(rep, prompt, 10); err != nil {
			return "", err
		}
	}
	rep, err := c.do(ctx, http.MethodPost, "/v1/services/demo-orders/reservations", "bay-8", []byte(`{"item":"bay-8","quantity":1}`))
	if err != nil {
		return "", err
	}
	if rep.Outcome != ident.OutcomeUnknown || t.runs("bay-8") != 0 {
		return "", fmt.Errorf("reservation under a key of the caller: outcome %s, runs %d", rep.Outcome, t.runs("bay-8"))
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
	if rep.Status != http.StatusCreated || t.runs(op.Key) != 1 {
		return "", fmt.Errorf("reservation under an operation token: status %d, code %q, runs %d", rep.Status, rep.Code, t.runs(op.Key))
	}
	t.count(1)
	return "10 answers and a reservation under an operation token while the platform was away", nil
}

func (f *Fleet) setFaults(faults engine.Faults) {
	for _, e := range f.engines {
		e.SetFaults(faults)
	}
}
