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
	// leaving makes readiness checks fail, so that the load balancer sends new requests elsewhere. draining refuses
	// requests.
	leaving  atomic.Bool
	draining atomic.Bool
	wg       sync.WaitGroup
	inFlight atomic.Int64
	// waiting is the number of requests that wait for tokens or slots.
	waiting atomic.Int64
	streams streamSet
}

func newTraffic(n *Node) *traffic {
	return &traffic{
		n: n, streams: newStreamSet(stream.NewLimiter(ident.Bytes(n.cfg.OrgStreamBytes), ident.Bytes(n.cfg.ProcessStreamBytes))),
	}
}

// controlWaitTimeout bounds the wait of a request for the control goroutine after the process was paused.
const controlWaitTimeout = time.Second

// admit registers a running request and returns the function that ends it. After a pause of the process, no request is
// admitted until the control goroutine has run.
func (t *traffic) admit(ctx context.Context) (func(), error) {
	t.wg.Add(1)
	t.inFlight.Add(1)
	done := func() { t.inFlight.Add(-1); t.wg.Done() }
	if t.draining.Load() {
		done()
		return nil, caller.Refuse(caller.CodeUnavailable, ident.OutcomeNotRun, "the router is shutting down")
	}
	ctx, cancel := context.WithTimeout(ctx, controlWaitTimeout)
	defer cancel()
	if err := t.n.waitForControl(ctx); err != nil {
		done()
		return nil, caller.Refuse(caller.CodeUnavailable, ident.OutcomeNotRun, "the router's configuration is not current")
	}
	return done, nil
}

// waitForControl makes the control goroutine tick, and waits for it, if the last tick is too old, as it is after a pause
// of the process.
func (n *Node) waitForControl(ctx context.Context) error {
	if n.controlIsCurrent() {
		return nil
	}
	return n.runOnControl(ctx, func() { n.tick(n.clock.Now()) })
}

// Authenticate implements caller.Backend.
func (n *Node) Authenticate(_ context.Context, secret string) (caller.Identity, error) {
	sum := sha256.Sum256([]byte(secret))
	v := n.view.Load()
	apiKey, ok := v.apiKeys[hex.EncodeToString(sum[:])]
	if !ok && !n.configLoaded.Load() {
		return caller.Identity{}, notLoadedRefusal()
	}
	if !ok {
		return caller.Identity{}, caller.Refuse(caller.CodeInvalidKey, ident.OutcomeNotRun, "the API key is not known or is revoked")
	}
	class := apiKey.key.Class
	if class == "" {
		class = v.orgs[apiKey.org].Class
	}
	return caller.Identity{Org: apiKey.org, Key: apiKey.key.ID, Class: class}, nil
}

// reservation is a token reservation with the number of the account that holds the tokens.
type reservation struct {
	escrow.Reservation
	accountNumber uint64 // of the budget's account at this router
}

// newReservation adds the account number to a reservation of the wallet.
func newReservation(w *escrow.Wallet, res escrow.Reservation) reservation {
	for i := range w.Budgets {
		if b := &w.Budgets[i]; b.Budget == res.Budget {
			return reservation{res, accountNumber(b.Account.Holder())}
		}
	}
	return reservation{Reservation: res}
}

// reserveTokens holds tokens for a request. It waits a bounded time for settlements, transfers and refills.
func (n *Node) reserveTokens(ctx context.Context, identity caller.Identity, need ident.Tokens) (reservation, error) {
	w := n.accounts.wallet(n.view.Load(), identity.Org)
	if res, ok := w.Hold(identity.Key, identity.Class, need); ok {
		return newReservation(w, res), nil
	}
	n.traffic.waiting.Add(1)
	defer n.traffic.waiting.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, n.cfg.BudgetWait)
	defer cancel()
	res, err := w.HoldWait(ctx, identity.Key, identity.Class, need)
	if next := n.accounts.wallet(n.view.Load(), identity.Org); err != nil && next != w {
		// An account of the wallet was closed meanwhile, because it was idle or by a recovery.
		w = next
		res, err = w.HoldWait(ctx, identity.Key, identity.Class, need)
	}
	if err == nil {
		return newReservation(w, res), nil
	}
	var refusal *escrow.Refusal
	if !errors.As(err, &refusal) {
		return reservation{}, err
	}
	return reservation{}, n.budgetRefusal(refusal, need)
}

// budgetRefusal returns the refusal of a request for which tokens are missing. It names a time to retry while the
// configuration is not loaded or the platform is not reachable, because more tokens may become available then.
func (n *Node) budgetRefusal(refusal *escrow.Refusal, need ident.Tokens) *caller.Refusal {
	if refusal.Entry == "" && !n.configLoaded.Load() {
		return notLoadedRefusal() // The budget may not be loaded yet.
	}
	if refusal.Entry == "" {
		return caller.Refuse(caller.CodeBudgetExhausted, ident.OutcomeNotRun, "the organisation has no usable budget; %d tokens are needed", need)
	}
	code := caller.CodeBudgetExhausted
	if strings.Contains(string(refusal.Entry), "/") {
		code = caller.CodeKeyLimitReached // The entry is the limit of a key or of a class.
	}
	r := caller.Refuse(code, ident.OutcomeNotRun,
		"the request needs %d tokens and %s has %d free at this router", need, refusal.Entry, refusal.Free)
	if !n.platformReachable() {
		r.Message += "; the platform is not reachable, so no more can be allotted now"
		return r.After(5 * time.Second)
	}
	return r
}

// platformTimeout is the time since the platform's last reply after which it counts as unreachable.
const platformTimeout = 5 * time.Second

func (n *Node) platformReachable() bool {
	return n.clock.Now().UnixNano()-n.lastPlatformReply.Load() < int64(platformTimeout)
}

// Models implements caller.Backend.
func (n *Node) Models(context.Context) []ident.ModelID { return n.view.Load().models }

// Budget implements caller.Backend.
func (n *Node) Budget(_ context.Context, org ident.OrgID) (caller.Balance, error) {
	v := n.view.Load()
	b := caller.Balance{AsOf: n.clock.Now().UTC()}
	w := n.accounts.wallet(v, org)
	for i := range w.Budgets {
		budget := &w.Budgets[i]
		b.HeldTokens += budget.Account.Held()
		free := budget.Account.Free()
		e := n.budgetEntry(budget.Budget)
		if e == nil {
			b.AvailableTokens += free
			continue
		}
		settled := e.Settled()
		if h := e.Holder(budget.Account.Holder()); h != nil {
			settled += budget.Account.Settled() - h.Settled
		}
		b.PaidTokens += e.Paid - e.Refunded
		b.BilledTokens += settled
		b.AvailableTokens += free + max(0, e.Unallotted())
	}
	return b, nil
}
