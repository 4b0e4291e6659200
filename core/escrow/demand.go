package escrow

import (
	"context"
	"slices"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

const (
	// The fast average follows a shift of demand between domains; the slow one keeps the allotment
	// through a pause. The larger one counts.
	fastWindow = 30 * time.Second
	slowWindow = 10 * time.Minute
	// peakDecay is the share by which the remembered peak of holds falls at each tick.
	peakDecay = 0.02
)

// demandEstimate is an exponentially weighted average of the token rate.
type demandEstimate struct {
	last       time.Time
	first      time.Time
	total      ident.Tokens
	fast, slow float64
	peak       float64
}

func (d *demandEstimate) addSample(now time.Time, total, held ident.Tokens) {
	d.peak = max(float64(held), d.peak*(1-peakDecay))
	if d.last.IsZero() {
		d.first, d.last, d.total = now, now, total
		return
	}
	dt := now.Sub(d.last)
	if dt <= 0 {
		return
	}
	rate := float64(total-d.total) / dt.Seconds()
	age := now.Sub(d.first)
	d.fast += sampleWeight(dt, fastWindow, age) * (rate - d.fast)
	d.slow += sampleWeight(dt, slowWindow, age) * (rate - d.slow)
	d.last, d.total = now, total
}

// sampleWeight is the sampleWeight of a sample of length dt. A young average is a plain mean.
func sampleWeight(dt, window, age time.Duration) float64 {
	return dt.Seconds() / max(dt, min(window, age)).Seconds()
}

// Tick takes a sample of the demand and applies the expiry. Call it about once a second.
func (a *Account) Tick(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	total := a.Settled() + ident.Tokens(a.refused.Load())
	a.demand.addSample(now, total, a.Held())
	a.setState(stateExpired, !a.expiresAt.IsZero() && !now.Before(a.expiresAt))
	a.updateSurplus(now)
}

// surplusDelay is the time for which an account must have more than twice its level before it returns the rest. A burst
// of demand that has just ended may come again.
const surplusDelay = 10 * time.Second

// updateSurplus observes whether the account has much more than its level, for example after a large request that was
// refused had collected tokens from other holders.
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

// Demand returns the current estimate.
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

// want returns the tokens that bring the account to its level, and the part of them that it lacks in the
// near term. A refill starts below three quarters of the level, which bounds the calls to one for each
// quarter of the partition cover.
func (a *Account) want() (want, need ident.Tokens) {
	d := a.currentDemand()
	target, threshold, free := a.cfg.Policy.targetFree(d), a.cfg.Policy.minFree(d), a.Free()
	if free < target-target/4 || free < threshold {
		want = max(0, target-free, threshold-free)
	}
	return min(want, object.MaxTokens), max(0, min(threshold-free, object.MaxTokens))
}

// Rebalance returns tokens to the entry: all free tokens of an unusable account, a lasting surplus over the level, and
// what the policy recalls for the newest confirmed entry. A recall acts once per entry version, so that a want is not
// answered twice before the entry shows the first answer.
func (a *Account) Rebalance() ident.Tokens {
	if !a.Usable() {
		if a.Closed() {
			return 0
		}
		return a.Return(a.Free())
	}
	a.mu.Lock()
	d, wanted, done := a.currentDemand(), a.othersNeed, a.recalledVersion == a.entryVersion
	a.recalledVersion = a.entryVersion
	surplus := a.surplusDue
	if surplus {
		a.surplusDue, a.surplusSince = false, time.Time{}
	}
	a.mu.Unlock()
	if surplus {
		return a.Return(max(0, a.Free()-a.cfg.Policy.targetFree(d)))
	}
	if done || wanted <= 0 {
		return 0
	}
	return a.Return(a.cfg.Policy.recall(d, a.Free(), wanted))
}

// RegisterWaiting registers a request that waits for n tokens outside of HoldWait. The result ends the wait.
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
	a.cfg.Short.Notify()
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

// Short reports whether waiting requests need more tokens than are free. Such an account is reported
// at once instead of at the next interval.
func (a *Account) Short() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pending > a.Free()
}

// exceedsRemaining reports whether the whole entry has less left than n tokens, as far as this holder knows. Such a request must
// not collect the tokens of other holders. It may still wait for a top-up.
func (a *Account) exceedsRemaining(n ident.Tokens) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.entryVersion != 0 && n > a.remaining
}

// HoldWait reserves n tokens like Hold and otherwise waits for them until the context ends. The error
// is a *Refusal.
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
