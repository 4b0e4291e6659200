package escrow

import (
	"context"
	"slices"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

const (
	// fastWindow and slowWindow are the windows of two averages of the demand, of which the larger is used. The fast one
	// follows a shift of demand between domains; the slow one keeps the allotment during a pause in the demand.
	fastWindow = 30 * time.Second
	slowWindow = 10 * time.Minute
	// peakDecay is the fraction by which the recorded peak of held tokens decreases at each sample.
	peakDecay = 0.02
)

// demandEstimate holds two exponentially weighted averages of the token rate and a decaying peak of the held tokens.
type demandEstimate struct {
	lastSample  time.Time
	firstSample time.Time
	total       ident.Tokens
	fast, slow  float64
	peak        float64
}

func (d *demandEstimate) addSample(now time.Time, total, held ident.Tokens) {
	d.peak = max(float64(held), d.peak*(1-peakDecay))
	if d.lastSample.IsZero() {
		d.firstSample, d.lastSample, d.total = now, now, total
		return
	}
	dt := now.Sub(d.lastSample)
	if dt <= 0 {
		return
	}
	rate := float64(total-d.total) / dt.Seconds()
	age := now.Sub(d.firstSample)
	d.fast += sampleWeight(dt, fastWindow, age) * (rate - d.fast)
	d.slow += sampleWeight(dt, slowWindow, age) * (rate - d.slow)
	d.lastSample, d.total = now, total
}

// sampleWeight returns the weight of a sample that covers dt. Until an average is as old as its window, it is the plain
// mean of its samples.
func sampleWeight(dt, window, age time.Duration) float64 {
	return dt.Seconds() / max(dt, min(window, age)).Seconds()
}

// Tick samples the demand, applies the expiry and looks for a surplus. Call it about once a second.
func (a *Account) Tick(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	total := a.Settled() + ident.Tokens(a.refused.Load())
	a.demand.addSample(now, total, a.Held())
	a.setState(stateExpired, !a.expiresAt.IsZero() && !now.Before(a.expiresAt))
	a.updateSurplus(now)
}

// surplusDelay is how long an account must have more than twice its target before it returns the excess. A burst of
// demand that has just ended may come again.
const surplusDelay = 10 * time.Second

// updateSurplus records since when the account has more than twice its target, for example because a large request
// collected tokens from other holders and was refused.
func (a *Account) updateSurplus(now time.Time) {
	if a.Free() <= 2*a.cfg.Policy.targetFree(a.currentDemand()) {
		a.surplusSince, a.surplusDue = time.Time{}, false
		return
	}
	if a.surplusSince.IsZero() {
		a.surplusSince = now
	}
	a.surplusDue = now.Sub(a.surplusSince) >= surplusDelay
}

// Demand returns the current estimate of the load on the account.
func (a *Account) Demand() Demand {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.currentDemand()
}

func (a *Account) currentDemand() Demand {
	return Demand{
		TokensPerSecond: max(a.demand.fast, a.demand.slow), Held: a.Held(), PeakHeld: ident.Tokens(a.demand.peak),
		Pending: a.pending, EqualShare: a.equalShare,
	}
}

// want returns the tokens that bring the account to its target, and the tokens that it lacks to reach the policy's
// minimum. It wants none until the free tokens are below the minimum or below three quarters of the target, so that the
// account makes at most one call for each quarter of the demand during Cover.Partition. While other holders lack tokens it
// wants none above the minimum, or it would take back what it has just returned for them.
func (a *Account) want() (want, need ident.Tokens) {
	d := a.currentDemand()
	target, threshold, free := a.cfg.Policy.targetFree(d), a.cfg.Policy.minFree(d), a.Free()
	if free < threshold || free < target-target/4 && a.othersUnmet <= 0 {
		want = max(0, target-free, threshold-free)
	}
	return min(want, object.MaxTokens), max(0, min(threshold-free, object.MaxTokens))
}

// Rebalance gives tokens back to the entry and returns their number: all free tokens of an unusable account, a lasting
// surplus over the target, or what the policy recalls for the newest confirmed entry. It recalls once per entry
// version, so that a need is not met again before the entry shows the tokens that were returned for it.
func (a *Account) Rebalance() ident.Tokens {
	if !a.Usable() {
		if a.Closed() {
			return 0
		}
		return a.Return(a.Free())
	}
	a.mu.Lock()
	d, unmet, recalled := a.currentDemand(), a.othersNeed, a.recalledVersion == a.entryVersion
	a.recalledVersion = a.entryVersion
	surplus := a.surplusDue
	if surplus {
		a.surplusDue, a.surplusSince = false, time.Time{}
	}
	a.mu.Unlock()
	if surplus {
		return a.Return(max(0, a.Free()-a.cfg.Policy.targetFree(d)))
	}
	if recalled || unmet <= 0 {
		return 0
	}
	return a.Return(a.cfg.Policy.recall(d, a.Free(), unmet))
}

// RegisterWaiting registers a request that waits for n tokens outside of HoldWait. The caller calls done when the wait
// ends.
func (a *Account) RegisterWaiting(n ident.Tokens) (done func()) {
	a.addWaiting(n)
	return func() { a.removeWaiting(n) }
}

// addWaiting registers a waiting request of n tokens.
func (a *Account) addWaiting(n ident.Tokens) {
	a.mu.Lock()
	i, _ := slices.BinarySearch(a.waiting, n)
	a.waiting = slices.Insert(a.waiting, i, n)
	a.pending += n
	a.mu.Unlock()
	a.cfg.WaitStarted.Notify()
}

// removeWaiting ends the wait of a request of n tokens.
func (a *Account) removeWaiting(n ident.Tokens) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if i, ok := slices.BinarySearch(a.waiting, n); ok {
		a.waiting = slices.Delete(a.waiting, i, i+1)
		a.pending -= n
	}
}

// LacksTokens reports whether waiting requests need more tokens than are free. The control loop reports such an account
// immediately instead of at the next interval.
func (a *Account) LacksTokens() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pending > a.Free()
}

// exceedsRemaining reports whether a request for n tokens exceeds what the whole entry has left, as far as this holder
// knows. Such a request must not collect the tokens of other holders. It may still wait for a top-up.
func (a *Account) exceedsRemaining(n ident.Tokens) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.entryVersion != 0 && n > a.remaining
}

// HoldWait reserves n tokens, and waits for them until the context ends if they are not free. The error is a *Refusal.
func (a *Account) HoldWait(ctx context.Context, n ident.Tokens) error {
	if a.Hold(n) {
		return nil
	}
	if !a.exceedsRemaining(n) {
		a.addWaiting(n)
		defer a.removeWaiting(n)
	}
	for {
		ch := a.cfg.Freed.Wait()
		if a.Hold(n) {
			return nil
		}
		if !a.Usable() {
			return a.refuse(n, nil)
		}
		select {
		case <-ch:
		case <-ctx.Done():
			return a.refuse(n, ctx.Err())
		}
	}
}
