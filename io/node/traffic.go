package node

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/stream"
	"geraniumsaddle/io/caller"
)

// traffic holds the state of running requests. It is safe for concurrent use.
type traffic struct {
	n *Node
	// leaving asks the balancer to turn away; draining refuses requests.
	leaving  atomic.Bool
	draining atomic.Bool
	running  sync.WaitGroup
	count    atomic.Int64
	// waiting is the number of requests that wait for tokens or slots.
	waiting atomic.Int64
	streams streamSet
}

func newTraffic(n *Node) *traffic {
	return &traffic{
		n: n, streams: newStreamSet(stream.NewLimiter(ident.Bytes(n.cfg.OrgStreamBytes), ident.Bytes(n.cfg.ProcessStreamBytes))),
	}
}

// freshWait is the longest time that a request waits for a control goroutine that has just resumed.
const freshWait = time.Second

// admit counts a request in. A router that was paused lets no request through until its control goroutine has run.
func (t *traffic) admit(ctx context.Context) (func(), error) {
	t.running.Add(1)
	t.count.Add(1)
	done := func() { t.count.Add(-1); t.running.Done() }
	if t.draining.Load() {
		done()
		return nil, caller.Refuse(caller.CodeUnavailable, ident.OutcomeNotRun, "the router is shutting down")
	}
	ctx, cancel := context.WithTimeout(ctx, freshWait)
	defer cancel()
	if err := t.n.refresh(ctx); err != nil {
		done()
		return nil, caller.Refuse(caller.CodeUnavailable, ident.OutcomeNotRun, "the router's configuration is not current")
	}
	return done, nil
}

// refresh lets the control goroutine run once if the process was paused.
func (n *Node) refresh(ctx context.Context) error {
	if n.fresh() {
		return nil
	}
	return n.ask(ctx, func() { n.tick(n.clock.Now()) })
}

// Authenticate implements caller.Backend.
func (n *Node) Authenticate(_ context.Context, secret string) (caller.Identity, error) {
	sum := sha256.Sum256([]byte(secret))
	v := n.view.Load()
	row, ok := v.keys[hex.EncodeToString(sum[:])]
	if !ok && !n.loaded.Load() {
		return caller.Identity{}, notLoaded()
	}
	if !ok {
		return caller.Identity{}, caller.Refuse(caller.CodeInvalidKey, ident.OutcomeNotRun, "the API key is not known or is revoked")
	}
	class := row.key.Class
	if class == "" {
		class = v.orgs[row.org].Class
	}
	return caller.Identity{Org: row.org, Key: row.key.ID, Class: class}, nil
}

// reservation is a reservation with the account that has its tokens.
type reservation struct {
	escrow.Reservation
	nth uint64 // number of the account of the budget at this router
}

// reserved adds the number of the account to a reservation of the wallet.
func reserved(w *escrow.Wallet, res escrow.Reservation) reservation {
	for i := range w.Budgets {
		if b := &w.Budgets[i]; b.Budget == res.Budget {
			return reservation{res, accountNumber(b.Account.Holder())}
		}
	}
	return reservation{Reservation: res}
}

// reserve holds tokens for a request. It waits a bounded time for settlements, transfers and refills.
func (n *Node) reserve(ctx context.Context, who caller.Identity, need ident.Tokens) (reservation, error) {
	w := n.accounts.wallet(n.view.Load(), who.Org)
	if res, ok := w.Hold(who.Key, who.Class, need); ok {
		return reserved(w, res), nil
	}
	n.traffic.waiting.Add(1)
	defer n.traffic.waiting.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, n.cfg.BudgetWait)
	defer cancel()
	res, err := w.HoldWait(ctx, who.Key, who.Class, need)
	if next := n.accounts.wallet(n.view.Load(), who.Org); err != nil && next != w {
		// An account of the wallet was closed in between, because it was idle or by recovery.
		w = next
		res, err = w.HoldWait(ctx, who.Key, who.Class, need)
	}
	if err == nil {
		return reserved(w, res), nil
	}
	var ref *escrow.Refusal
	if !errors.As(err, &ref) {
		return reservation{}, err
	}
	return reservation{}, n.budgetRefusal(ref, need)
}

// budgetRefusal says what was missing. Tokens that other routers hold, or that the platform has but does not answer
// for, may come later, so those refusals name a time to retry.
func (n *Node) budgetRefusal(ref *escrow.Refusal, need ident.Tokens) *caller.Refusal {
	if ref.Entry == "" && !n.loaded.Load() {
		return notLoaded() // The budget may not have come yet.
	}
	if ref.Entry == "" {
		return caller.Refuse(caller.CodeBudgetExhausted, ident.OutcomeNotRun, "the organisation has no usable budget; %d tokens are needed", need)
	}
	code := caller.CodeBudgetExhausted
	if strings.Contains(string(ref.Entry), "/") {
		code = caller.CodeKeyLimitReached // The entry is the limit of a key or of a class.
	}
	r := caller.Refuse(code, ident.OutcomeNotRun,
		"the request needs %d tokens and %s has %d free at this router", need, ref.Entry, ref.Free)
	if !n.platformReachable() {
		r.Message += "; the platform is not reachable, so no more can be allotted now"
		return r.After(5 * time.Second)
	}
	return r
}

// platformSilence is the time without an answer after which the platform counts as not reachable.
const platformSilence = 5 * time.Second

func (n *Node) platformReachable() bool {
	return n.clock.Now().UnixNano()-n.lastReply.Load() < int64(platformSilence)
}

// Models implements caller.Backend.
func (n *Node) Models(context.Context) []ident.ModelID { return n.view.Load().models }

// Budget implements caller.Backend.
func (n *Node) Budget(_ context.Context, org ident.OrgID) (caller.Balance, error) {
	v := n.view.Load()
	b := caller.Balance{AsOf: n.clock.Now().UTC()}
	w := n.accounts.wallet(v, org)
	for i := range w.Budgets {
		row := &w.Budgets[i]
		b.HeldTokens += row.Account.Held()
		free := row.Account.Free()
		e := n.ledgerEntry(row.Budget)
		if e == nil {
			b.AvailableTokens += free
			continue
		}
		settled := e.Settled()
		if h := e.Holder(row.Account.Holder()); h != nil {
			settled += row.Account.Settled() - h.Settled
		}
		b.PaidTokens += e.Paid - e.Refunded
		b.BilledTokens += settled
		b.AvailableTokens += free + max(0, e.Unallotted())
	}
	return b, nil
}
