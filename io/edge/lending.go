package edge

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"geraniumsaddle/core/elect"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/lend"
	"geraniumsaddle/core/quota"
	"geraniumsaddle/io/peer"
)

const (
	// holdTimeout bounds a call for tokens beyond the time that the holder may wait for them. Holders are a few
	// milliseconds away.
	holdTimeout = 200 * time.Millisecond
	// holdMargin is the time after the deadline of a request at which its hold counts as used in full. It leaves time to
	// repeat a settlement.
	holdMargin = 4 * time.Second
	// settleTimeout bounds one call that settles a hold. The pause before the next attempt doubles from settleBackoff on.
	settleTimeout = 500 * time.Millisecond
	settleBackoff = 100 * time.Millisecond
	// settleWait is how long a router that stops waits for the settlements under way.
	settleWait = 150 * time.Millisecond
)

// lending lets the routers of a large fleet spend prepaid tokens through the holders of each organisation.
type lending struct {
	s       *Server
	members []elect.Member
	// settlements counts the settlements under way.
	settlements sync.WaitGroup
	// settleMu guards settleClosed, after which no settlement begins.
	settleMu     sync.Mutex
	settleClosed bool

	mu      sync.Mutex
	holders map[ident.OrgID]lend.Holders
	// failures keeps the members that did not answer from being asked for a while.
	failures *elect.Selector
	book     *lend.Book
}

func newLending(s *Server, members []elect.Member) *lending {
	self := s.selfMember()
	if !slices.Contains(members, self) {
		members = append(slices.Clone(members), self)
	}
	return &lending{
		s: s, members: members, holders: make(map[ident.OrgID]lend.Holders), failures: elect.New(members), book: lend.New(),
	}
}

// startLending makes the fleet spend tokens through holders from now on.
func (s *Server) startLending(members []elect.Member) {
	l := newLending(s, members)
	s.lending.Store(l)
	if t := s.table.Load(); t != nil {
		for _, o := range t.Orgs() {
			if o.Metered {
				l.holdersOf(o.ID)
			}
		}
	}
}

// holdersOf returns the holders of an organisation.
func (l *lending) holdersOf(org ident.OrgID) lend.Holders {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.holders[org]
	if !ok {
		h = lend.HoldersOf(org, l.members, l.s.selfMember())
		l.holders[org] = h
		l.s.accounts.SetHolders(org, h.Count, h.Self)
	}
	return h
}

// candidates returns the holders to ask for tokens of an organisation. Those that did not answer lately come last.
func (l *lending) candidates(org ident.OrgID) []elect.Member {
	asked := slices.Clone(l.holdersOf(org).Asked)
	now := l.s.deps.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	avoided := make(map[ident.VMID]int, len(asked))
	for _, m := range asked {
		if l.failures.Avoided(m.VM, now) {
			avoided[m.VM] = 1
		}
	}
	slices.SortStableFunc(asked, func(a, b elect.Member) int { return avoided[a.VM] - avoided[b.VM] })
	return asked
}

// recordAnswer records whether a member answered.
func (l *lending) recordAnswer(vm ident.VMID, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answered {
		l.failures.RecordSuccess(vm)
		return
	}
	l.failures.RecordFailure(vm, l.s.deps.Clock.Now())
}

// errHoldAnswer means that the answer to a call for tokens has an unexpected type.
var errHoldAnswer = errors.New("answer to a call for tokens has an unexpected type")

// borrow asks a holder for the tokens of a request. If the answer is lost, it settles the hold with nothing used.
func (l *lending) borrow(ctx context.Context, holder elect.Member, m peer.TokenHold) (peer.TokenHeld, error) {
	callCtx, cancel := context.WithTimeout(ctx, m.Wait+holdTimeout)
	defer cancel()
	answer, err := l.s.peerTransport.Call(callCtx, holder.Addr, m)
	l.s.deps.Metrics.countHold("borrow", err)
	held, ok := answer.(peer.TokenHeld)
	if err == nil && !ok {
		err = trace.Wrap(errHoldAnswer)
	}
	var failure peer.Failure
	if isRefused := errors.As(err, &failure); err != nil && !isRefused && !errors.Is(err, peer.ErrUnreachable) {
		l.settle(holder, m.Request, 0, m.TTL)
	}
	if ctx.Err() == nil {
		l.recordAnswer(holder.VM, err == nil)
	}
	return held, err
}

// settle tells a holder what a request has used, and repeats that until the holder confirms it or the hold has ended.
func (l *lending) settle(holder elect.Member, id ident.RequestID, used ident.Tokens, ttl time.Duration) {
	l.settleMu.Lock()
	defer l.settleMu.Unlock()
	if l.settleClosed {
		l.s.deps.Log.Warn("hold of prepaid tokens not settled, as the router stops; it counts as used in full", "id", id, "holder", holder.VM)
		return
	}
	l.settlements.Go(func() {
		clock := l.s.deps.Clock
		end := clock.Now().Add(ttl)
		for pause := settleBackoff; ; pause *= 2 {
			ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
			_, err := l.s.peerTransport.Call(ctx, holder.Addr, peer.TokenSettle{Request: id, Used: used})
			cancel()
			l.s.deps.Metrics.countHold("settle", err)
			if err == nil {
				return
			}
			if !clock.Now().Add(pause).Before(end) || l.s.isDraining() {
				l.s.deps.Log.Warn("hold of prepaid tokens not settled; it counts as used in full", "id", id, "holder", holder.VM, "error", err)
				return
			}
			clock.Sleep(pause)
		}
	})
}

// waitSettled waits for the settlements under way, at most for settleWait. Requests that are cut off may end later; they
// begin no settlement, because a WaitGroup must not grow while it is waited for.
func (l *lending) waitSettled() {
	l.settleMu.Lock()
	l.settleClosed = true
	l.settleMu.Unlock()
	done := make(chan struct{})
	go func() {
		l.settlements.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-l.s.deps.Clock.After(settleWait):
	}
}

// serveHold holds tokens for the request of another router.
func (l *lending) serveHold(ctx context.Context, from ident.RouterID, m peer.TokenHold) (peer.Message, error) {
	if !l.knowsOrg(m.Org) || l.s.isDraining() || m.Tokens <= 0 || m.TTL <= 0 {
		return nil, peer.Failure{Code: codeRefused, Message: "this router does not hold the organisation's tokens"}
	}
	id := lend.ID{Borrower: from, Request: m.Request}
	held := peer.TokenHeld{Total: l.s.accounts.Balance(m.Org).Total, StoreUnreachable: l.s.storeMonitor.isUnreachable()}
	switch l.check(id) {
	case lend.OpenRepeated:
		return held, nil
	case lend.OpenRefused:
		held.Result.Verdict = quota.Insufficient
		return held, nil
	}
	held.Result = l.s.acquireTokens(ctx, m.Org, m.Tokens, m.Wait)
	if held.Result.Verdict != quota.Held {
		return held, nil
	}
	hold := lend.Hold{Org: m.Org, Tokens: m.Tokens, Until: l.s.deps.VMClock.Now().Uptime + m.TTL}
	if !l.record(id, hold) {
		l.s.accounts.Settle(m.Org, m.Tokens, 0)
		held.Result.Verdict = quota.Insufficient
	}
	return held, nil
}

// knowsOrg reports whether the configuration of this router has the organisation with prepaid tokens.
func (l *lending) knowsOrg(org ident.OrgID) bool {
	t := l.s.table.Load()
	if t == nil {
		return false
	}
	o := t.Org(org)
	return o != nil && o.Metered
}

func (l *lending) check(id lend.ID) lend.Open {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.book.Check(id)
}

func (l *lending) record(id lend.ID, h lend.Hold) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.book.Record(id, h)
}

// serveSettle ends the hold of another router's request.
func (l *lending) serveSettle(from ident.RouterID, m peer.TokenSettle) {
	l.mu.Lock()
	settlement, open := l.book.Settle(lend.ID{Borrower: from, Request: m.Request}, m.Used, l.s.deps.VMClock.Now().Uptime)
	l.mu.Unlock()
	if open {
		l.applySettlement(settlement)
	}
}

// expire counts the holds that nobody settled as used.
func (l *lending) expire() {
	l.mu.Lock()
	expired := l.book.Expire(l.s.deps.VMClock.Now().Uptime)
	l.mu.Unlock()
	for _, settlement := range expired {
		l.s.deps.Log.Warn("hold of prepaid tokens ended without a settlement", "organisation", settlement.Org, "tokens", settlement.Tokens)
		l.applySettlement(settlement)
	}
}

// close counts the holds that are open when the router stops as used.
func (l *lending) close() {
	l.mu.Lock()
	open := l.book.Close()
	l.mu.Unlock()
	for _, settlement := range open {
		l.applySettlement(settlement)
	}
}

func (l *lending) applySettlement(s lend.Settlement) {
	if s.Unknown {
		l.s.accounts.SettleUnknown(s.Org, s.Tokens)
		return
	}
	l.s.accounts.Settle(s.Org, s.Tokens, s.Used)
}
