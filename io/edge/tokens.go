package edge

import (
	"context"
	"time"

	"geraniumsaddle/core/elect"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/quota"
	"geraniumsaddle/io/peer"
)

const (
	// maxTokenWait limits the wait for tokens from the ledger. A write takes a few milliseconds.
	maxTokenWait = 400 * time.Millisecond
	// minTokenRetryAfter and maxTokenRetryAfter limit the Retry-After of a refusal for lack of tokens.
	minTokenRetryAfter = 200 * time.Millisecond
	maxTokenRetryAfter = 3 * time.Second
	// tokenWaitDivisor limits the wait for tokens to a fraction of the remaining time of the request:
	// 1/tokenWaitDivisor.
	tokenWaitDivisor = 4
)

// usesPrepaidTokens reports whether the request consumes prepaid tokens.
func (x *exchange) usesPrepaidTokens() bool {
	return x.org != nil && x.org.Metered && x.requestHeaders.Prompt != nil && x.route.UsesEngine
}

// holdTokens reserves the maximum number of tokens that the request can consume, at this router or, in a large fleet, at
// a holder of the organisation's tokens. If they are not available, it waits as tokenWait determines.
func (x *exchange) holdTokens() (refusal, bool) {
	if !x.usesPrepaidTokens() {
		return refusal{}, true
	}
	need := x.requestHeaders.Prompt.MaxTokens()
	start := x.s.deps.Clock.Now()
	wait := min(maxTokenWait, x.deadline.Sub(start)/tokenWaitDivisor)
	var result peer.TokenHeld
	if l := x.s.lending.Load(); l != nil {
		result = x.borrowTokens(l, need, wait)
	} else {
		result.Result = x.s.acquireTokens(x.ctx, x.org.ID, need, wait)
		result.StoreUnreachable = x.s.storeMonitor.isUnreachable()
	}
	if result.Result.Verdict == quota.Held {
		x.heldTokens = need
		x.tokenWaitTime = x.s.deps.Clock.Since(start)
		return refusal{}, true
	}
	if x.ctx.Err() != nil {
		return x.finalRefusal(x.ctx.Err()), false
	}
	x.logTokenShortage(need, result)
	if result.Result.Verdict == quota.Exhausted {
		return refuseTokensExhausted, false
	}
	return tokenShortage(result, x.s.lending.Load() != nil), false
}

// borrowTokens asks the holders of the organisation's tokens in turn. If none has them at hand, the one that expects them
// soonest is asked again and may wait for them.
func (x *exchange) borrowTokens(l *lending, need ident.Tokens, wait time.Duration) peer.TokenHeld {
	end := x.s.deps.Clock.Now().Add(wait)
	var waits *elect.Member
	best := peer.TokenHeld{Result: quota.HoldResult{Verdict: quota.Insufficient}, StoreUnreachable: x.s.storeMonitor.isUnreachable()}
	for _, m := range l.candidates(x.org.ID) {
		if x.ctx.Err() != nil || !x.s.deps.Clock.Now().Before(end) {
			return best
		}
		held, err := x.holdAt(l, m, need, 0)
		if err != nil {
			continue
		}
		if held.Result.Verdict != quota.Insufficient {
			return held
		}
		if waits == nil || prospect(held.Result) > prospect(best.Result) {
			waits, best = &m, held
		}
	}
	left := end.Sub(x.s.deps.Clock.Now())
	if waits == nil || left <= 0 || x.ctx.Err() != nil {
		return best
	}
	held, err := x.holdAt(l, *waits, need, left)
	if err != nil {
		return best
	}
	return held
}

// prospect ranks how soon a holder that lacks tokens may have them: first one that needs only a write of its
// allowances, then one whose next write of the ledger may bring them.
func prospect(r quota.HoldResult) int {
	switch {
	case r.Granted:
		return 2
	case r.NextWriteMayCover:
		return 1
	}
	return 0
}

// holdAt asks one holder, which may be this router, for the tokens of the request. A holder with an older configuration
// cannot know that the tokens are exhausted.
func (x *exchange) holdAt(l *lending, m elect.Member, need ident.Tokens, wait time.Duration) (peer.TokenHeld, error) {
	if m == x.s.selfMember() {
		result := x.s.acquireTokens(x.ctx, x.org.ID, need, wait)
		return peer.TokenHeld{Result: result, StoreUnreachable: x.s.storeMonitor.isUnreachable()}, nil
	}
	ttl := x.deadline.Sub(x.s.deps.Clock.Now()) + holdMargin
	held, err := l.borrow(x.ctx, m, peer.TokenHold{
		Request: x.requestHeaders.ID, Org: x.org.ID, Tokens: need, TTL: ttl, Wait: wait,
	})
	switch {
	case err != nil:
		return held, err
	case held.Result.Verdict == quota.Held:
		x.lender, x.holdTTL = &m, ttl
	case held.Result.Verdict == quota.Exhausted && held.Total < x.org.Prepaid:
		held.Result.Verdict = quota.Insufficient
	}
	return held, nil
}

// lenderVM returns the VM of the router that holds the request's tokens, or nothing if it is this one.
func (x *exchange) lenderVM() ident.VMID {
	if x.lender == nil {
		return ""
	}
	return x.lender.VM
}

// acquireTokens reserves tokens at this router. It waits for them as long as tokenWait allows; without a wait, a lack of
// tokens does not count as demand.
func (s *Server) acquireTokens(ctx context.Context, org ident.OrgID, need ident.Tokens, wait time.Duration) quota.HoldResult {
	if wait <= 0 {
		return s.accounts.TryHold(org, need, s.deps.VMClock.Now().Uptime)
	}
	end := s.deps.Clock.Now().Add(wait)
	for {
		changed := s.tokensChanged.channel()
		result := s.accounts.Hold(org, need, s.deps.VMClock.Now().Uptime)
		if result.Verdict != quota.Insufficient {
			return result
		}
		if result.Granted {
			trigger(s.allowancesNow)
		} else {
			trigger(s.grantsNow)
		}
		pause, ok := s.tokenWait(result, end)
		if !ok {
			return result
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return result
		case <-s.deps.Clock.After(pause):
		}
	}
}

// tokenWait returns how long a request that lacks tokens waits before it tries again, or false if it is refused
// immediately. While the store is unreachable, tokens become available only as time passes. Tokens that other routers
// hold are not worth waiting for, because it takes several writes of those routers to return them.
func (s *Server) tokenWait(result quota.HoldResult, end time.Time) (time.Duration, bool) {
	remaining := end.Sub(s.deps.Clock.Now())
	if !s.storeMonitor.isUnreachable() {
		pause := remaining
		if result.GrowthDelay > 0 {
			pause = min(pause, result.GrowthDelay) // the write may fail
		}
		return pause, remaining > 0 && (result.NextWriteMayCover || result.Granted)
	}
	return result.GrowthDelay, result.GrowthDelay > 0 && result.GrowthDelay <= remaining
}

// tokenShortage returns the refusal of a request that lacks tokens, with the time after which tokens are expected. If
// they depend on the store becoming reachable again, or no holder expects any, it is the longest Retry-After.
func tokenShortage(held peer.TokenHeld, allHoldersAsked bool) refusal {
	refused := refuseTokensHeld
	result := held.Result
	switch {
	case result.GrowthDelay > 0:
		refused.retryAfter = min(max(result.GrowthDelay, minTokenRetryAfter), maxTokenRetryAfter)
	case held.StoreUnreachable, allHoldersAsked && !result.Granted && !result.NextWriteMayCover:
		refused.retryAfter = maxTokenRetryAfter
	}
	return refused
}

// logTokenShortage logs the state on which a refusal for lack of tokens is based.
func (x *exchange) logTokenShortage(need ident.Tokens, held peer.TokenHeld) {
	balance := x.s.accounts.Balance(x.org.ID)
	x.s.deps.Log.Info("request refused for lack of prepaid tokens", "id", x.requestHeaders.ID, "organisation", x.org.ID,
		"need", need, "verdict", held.Result.Verdict, "near", held.Result.NextWriteMayCover,
		"grows_ms", held.Result.GrowthDelay.Milliseconds(),
		"total", balance.Total, "spent", balance.Spent, "held", balance.Held, "granted", balance.Granted,
		"limit", balance.Limit, "growth", balance.Growth, "elsewhere", balance.SpentByOthers, "presumed", balance.Presumed, "free", balance.Unallotted,
		"allowance_age_ms", x.s.accounts.Age(x.s.deps.VMClock.Now().Uptime).Milliseconds(),
		"store_away", held.StoreUnreachable)
}

// settleTokens bills the used tokens and releases the rest of the reservation. The used tokens are the prompt and the
// delivered output, up to the maximum output that the request declares. A request whose context ended before the first
// event is not billed: an engine starts to run a request with its first token.
func (x *exchange) settleTokens() {
	if x.heldTokens == 0 {
		return
	}
	var used ident.Tokens
	if x.billable {
		used = x.requestHeaders.Prompt.Input + min(x.outputTokens, x.requestHeaders.Prompt.MaxOutput)
	}
	x.s.deps.Metrics.countBilledTokens(x.org.ID, used)
	if x.lender != nil {
		x.s.lending.Load().settle(*x.lender, x.requestHeaders.ID, used, x.holdTTL)
		return
	}
	x.s.accounts.Settle(x.org.ID, x.heldTokens, used)
}
