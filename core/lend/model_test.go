package lend

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumsaddle/core/ident"
)

const modelOrg = ident.OrgID("org")

// modelSafeguards are the safeguards of a holder and a borrower that the model can switch off.
type modelSafeguards struct {
	// reserveFirst reserves the tokens before the answer, fullOnExpiry counts a hold without a settlement as used in full,
	// answerOnly lets a borrower spend only after an answer, and cancelLost settles a hold whose answer was lost.
	reserveFirst, fullOnExpiry, answerOnly, cancelLost bool
}

var allSafeguards = modelSafeguards{true, true, true, true}

// modelRequest is a request of a borrower. Its borrower may spend up to its tokens, at any later time, once it is held.
type modelRequest struct {
	id     ID
	tokens ident.Tokens
	held   bool
	ended  bool
	spent  ident.Tokens
}

// model plays one holder and its borrowers over a network that loses, delays and repeats messages.
type model struct {
	t     *rapid.T
	safe  modelSafeguards
	book  *Book
	now   time.Duration
	total ident.Tokens
	// reserved and spent are the holder's account.
	reserved, spent ident.Tokens
	requests        []*modelRequest
	// network holds messages that are under way.
	network []func()
}

func (m *model) send(deliver func()) {
	switch rapid.SampledFrom([]string{"now", "now", "late", "twice", "lost"}).Draw(m.t, "message") {
	case "now":
		deliver()
	case "late":
		m.network = append(m.network, deliver)
	case "twice":
		deliver()
		m.network = append(m.network, deliver)
	}
}

// ask sends a hold and its answer. A borrower without an answer settles the hold with nothing used.
func (m *model) ask() {
	r := &modelRequest{
		id:     ID{Borrower: "b.1", Request: ident.RequestID(fmt.Sprint(len(m.requests)))},
		tokens: rapid.SampledFrom([]ident.Tokens{10, 30, 90}).Draw(m.t, "tokens"),
	}
	m.requests = append(m.requests, r)
	waiting := true
	if !m.safe.answerOnly {
		r.held = true
	}
	m.send(func() {
		if !m.serve(r) {
			return
		}
		m.send(func() { r.held = r.held || waiting })
	})
	waiting = false
	if !r.held {
		r.ended = true
		if m.safe.cancelLost {
			m.settle(r, 0)
		}
	}
}

// serve handles a hold at the holder and reports whether the tokens are held.
func (m *model) serve(r *modelRequest) bool {
	switch m.book.Check(r.id) {
	case OpenRepeated:
		return true
	case OpenRefused:
		return false
	}
	if m.spent+m.reserved+r.tokens > m.total {
		return false
	}
	if m.safe.reserveFirst {
		m.reserved += r.tokens
	}
	return m.book.Record(r.id, Hold{Org: modelOrg, Tokens: r.tokens, Until: m.now + 5*time.Second})
}

func (m *model) settle(r *modelRequest, used ident.Tokens) {
	m.send(func() {
		if s, open := m.book.Settle(r.id, used, m.now); open {
			m.apply(s)
		}
	})
}

func (m *model) apply(s Settlement) {
	if m.safe.reserveFirst {
		m.reserved -= s.Tokens
	}
	m.spent += s.Used
}

// finish spends some of a held request's tokens. Its borrower may have been paused beyond the end of the hold, and may
// end without a settlement.
func (m *model) finish() {
	for _, r := range m.requests {
		if r.held && !r.ended {
			r.ended = true
			r.spent = r.tokens * rapid.SampledFrom([]ident.Tokens{0, 1, 2}).Draw(m.t, "half") / 2
			if rapid.Bool().Draw(m.t, "settles") {
				m.settle(r, r.spent)
			}
			return
		}
	}
}

func (m *model) advance() {
	m.now += time.Duration(rapid.SampledFrom([]int{100, 2000, 6000}).Draw(m.t, "ms")) * time.Millisecond
	for _, s := range m.book.Expire(m.now) {
		if !m.safe.fullOnExpiry {
			s.Used = 0
		}
		m.apply(s)
	}
}

// deliver delivers a message that was under way.
func (m *model) deliver() {
	if len(m.network) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.network)-1).Draw(m.t, "late message")
	f := m.network[i]
	m.network = append(m.network[:i:i], m.network[i+1:]...)
	f()
}

// overspent returns what requests have spent or may still spend beyond the total.
func (m *model) overspent() ident.Tokens {
	var n ident.Tokens
	for _, r := range m.requests {
		switch {
		case r.ended:
			n += r.spent
		case r.held:
			n += r.tokens
		}
	}
	return n - m.total
}

// play runs random steps and returns the largest overspend, and the tokens that lost answers have wasted.
func (m *model) play() (overspend, wasted ident.Tokens) {
	steps := map[string]func(){"ask": m.ask, "finish": m.finish, "time": m.advance, "late": m.deliver}
	names := []string{"ask", "ask", "ask", "finish", "finish", "time", "late"}
	for range rapid.IntRange(50, 150).Draw(m.t, "steps") {
		steps[rapid.SampledFrom(names).Draw(m.t, "step")]()
		overspend = max(overspend, m.overspent())
	}
	for _, r := range m.requests {
		if _, open := m.book.holds[r.id]; open && r.ended && !r.held {
			wasted += r.tokens
		}
	}
	return overspend, wasted
}

func newModel(t *rapid.T, safe modelSafeguards) *model {
	return &model{t: t, safe: safe, book: New(), total: 600, now: time.Hour}
}

// TestNeverOverspends guards against a borrower that spends tokens that its holder gives to another request, when
// messages are lost, late or repeated and borrowers are paused or end.
func TestNeverOverspends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if n, _ := newModel(t, allSafeguards).play(); n > 0 {
			t.Fatalf("%d tokens too many are spent", n)
		}
	})
}

// TestSafeguardsAreNeeded guards against a model that would not notice the loss of a safeguard.
func TestSafeguardsAreNeeded(t *testing.T) {
	cases := []struct {
		name string
		safe modelSafeguards
		// wasteOnly says that without the safeguard tokens are wasted and not overspent.
		wasteOnly bool
	}{
		{"reserve first", modelSafeguards{false, true, true, true}, false},
		{"full on expiry", modelSafeguards{true, false, true, true}, false},
		{"answer only", modelSafeguards{true, true, false, true}, false},
		{"cancel lost", modelSafeguards{true, true, true, false}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range 500 {
				overspend, wasted := ident.Tokens(0), ident.Tokens(0)
				rapid.Custom(func(rt *rapid.T) int {
					overspend, wasted = newModel(rt, c.safe).play()
					return 0
				}).Example(seed)
				if c.wasteOnly && wasted > 0 || overspend > 0 {
					return
				}
			}
			t.Fatal("the model did not notice")
		})
	}
}

// TestSettlementBeforeHold guards against tokens that stay held because a hold arrives after its settlement.
func TestSettlementBeforeHold(t *testing.T) {
	b := New()
	id := ID{Borrower: "b.1", Request: "r"}
	if _, open := b.Settle(id, 0, 0); open {
		t.Fatal("settled a hold that had not arrived")
	}
	if b.Check(id) != OpenRefused || b.Record(id, Hold{Tokens: 1}) {
		t.Fatal("a settled hold was opened")
	}
	b.Expire(settledMemory)
	if b.Check(id) != OpenNew {
		t.Fatal("the settlement is remembered for longer than needed")
	}
}
