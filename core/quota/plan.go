package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"geraniumsaddle/core/ident"
)

const (
	// rateHalfLife is the time after which the average demand reflects half of a change.
	rateHalfLife = 3 * time.Second
	// clockOffsetWindow is how long the least delayed observation of another clock is kept, and so the longest time for
	// which a clock that jumps is misread.
	clockOffsetWindow = 10 * time.Second
	// maxClocks bounds the clocks in allowances and answers. More of them don't make the median safer.
	maxClocks = 9
	// enoughClocks is the number of clocks beyond which none is taken that may have been observed later than
	// maxClockDelay. unboundedDelay stands for an observation that may be late by any time.
	enoughClocks   = 5
	maxClockDelay  = time.Second
	unboundedDelay = time.Duration(math.MaxInt64)
	// reserveShare is the fraction of an organisation's remaining tokens that stays unallotted, for single requests and
	// for routers that start.
	reserveShare = 0.15
	// requestGrowthTime is the time of growth, as counted by growthSeconds, in which the allowance of an organisation
	// without steady demand grows by one average request.
	requestGrowthTime = 4 * time.Second
	// minGrantedRequests is the number of average requests that a grant covers for an organisation without steady demand.
	minGrantedRequests = 8
	// scarceShare is the fraction of the remaining tokens that has to be unallotted before a router may take more than its
	// share. Each write may take 1/surplusSteps of what is unallotted beyond that.
	scarceShare  = 0.3
	surplusSteps = 4
	// unallottedSteps bounds what one write may take for further requests: 1/unallottedSteps of the unallotted tokens.
	unallottedSteps = 16
	// minSpareFactor is the least fraction of the usual spare tokens that an allowance includes. See account.spareFactor.
	minSpareFactor = 0.2
	// presumedShare is the fraction of an organisation's tokens that may only be presumed spent before its allowances shrink
	// to minSpareFactor of the usual ones.
	presumedShare = 0.03
	// spareShare is the fraction of an organisation's remaining tokens that all routers together may spend without a
	// write, where that lasts longer than Config.SpareHorizon. A crash of all routers makes no more than this unusable.
	spareShare = 0.05
	// idleSpareShare is the fraction of an organisation's remaining tokens that all of its holders together may spend
	// without a write and without demand, for requests of many routers that arrive together.
	idleSpareShare = 0.015
	// maxSpareTime bounds the time for which spare tokens last, unless Config.SpareHorizon is longer.
	maxSpareTime = 4 * time.Second
	// fullIdleRouters is the largest number of routers for which the whole Config.IdleShare is granted without demand.
	fullIdleRouters = 24
	// idleGrowthTime is the time of growth, as counted by growthSeconds, in which the allowance of a router without demand
	// grows by its idle grant, which serves the first requests of an outage of the store.
	idleGrowthTime = 5 * time.Second
	// idleGrowthRates bounds that growth, where the size of requests is known, to so many times the demand and the tokens
	// of minGrantedRequests a second.
	idleGrowthRates = 2
)

// PlanGrants puts this router's next rows into the ledger of a shard that was just read. Until CommitGrants the router
// spends only what both the current and the planned rows allow. If the write gets no answer, another plan must follow.
func (a *Accounts) PlanGrants(shard Shard, l *Ledger, at Moment) {
	now := at.Uptime
	a.mu.Lock()
	defer a.mu.Unlock()
	a.observeLedger(shard, l, now)
	a.updateRates(now)
	a.writes++
	h := &Holder{VM: a.cfg.VM, StartVersion: a.startVersion, Writes: a.writes, Wall: at.Wall, Rows: make(map[ident.OrgID]Row),
		Assumed: make(map[ident.OrgID]ident.Tokens)}
	oldHolder := l.Holders[a.cfg.Self]
	d := a.divide(l, now)
	for _, id := range a.orgIDs() {
		if a.layout.ShardOf(id) != shard {
			continue
		}
		acc := a.orgs[id]
		var oldRow Row
		if oldHolder != nil {
			oldRow = oldHolder.Rows[id]
		}
		var row Row
		row, acc.demand = a.planRow(d, id, a.cfg.Self, acc.need(), oldRow)
		acc.nextRow = row
		acc.granted = min(acc.granted, row.Granted)
		acc.spentByOthers, acc.presumedByOthers = d.sumsFor(id).spent-oldRow.Spent, d.sumsFor(id).presumed-d.assumedBy(a.cfg.Self, id)
		acc.unallotted = acc.total - d.sumsFor(id).granted + oldRow.Granted - row.Granted
		acc.asOf = now
		if row != (Row{}) {
			h.Rows[id] = row
		}
		setPositive(h.Assumed, id, acc.assumed)
	}
	l.Holders[a.cfg.Self] = h
}

// CommitGrants applies the planned rows. It must only be called after their write was confirmed, because from then on
// no earlier write can take effect.
func (a *Accounts) CommitGrants(shard Shard) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, acc := range a.orgs {
		if a.layout.ShardOf(id) == shard {
			acc.row, acc.rowKnown = acc.nextRow, true
			acc.entitlement = acc.row.Granted
			acc.granted = acc.row.Granted
		}
	}
}

// Urgency is how urgently a write of a ledger is needed.
type Urgency uint8

// The urgencies of a write, in ascending order.
const (
	// UpToDate means that the ledger shows the current state.
	UpToDate Urgency = iota
	// StateChanged means that spending or demand has changed.
	StateChanged
	// TokensLow means that the grant or the allowance runs out soon.
	TokensLow
	// TokensLacking means that requests wait for tokens.
	TokensLacking
)

// GrantUrgency returns how urgently a write of the ledger of a shard is needed.
func (a *Accounts) GrantUrgency(shard Shard) Urgency {
	a.mu.Lock()
	defer a.mu.Unlock()
	urgency := UpToDate
	for id, acc := range a.orgs {
		if a.layout.ShardOf(id) == shard {
			urgency = max(urgency, a.orgGrantUrgency(acc))
		}
	}
	return urgency
}

func (a *Accounts) orgGrantUrgency(acc *account) Urgency {
	spare := acc.granted - acc.spent - acc.held
	switch {
	case acc.want > spare:
		return TokensLacking
	case acc.unallotted > 0 && spare < tokensFor(acc.rate, a.cfg.LowHorizon):
		return TokensLow
	case acc.spent != acc.row.Spent:
		return StateChanged
	}
	return UpToDate
}

// PlanAllowances returns this router's next allowances and records that they are sent. Until CommitAllowances the
// router spends only what both the current and the planned allowances permit.
func (a *Accounts) PlanAllowances(now Moment) *Allowances {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.updateRates(now.Uptime)
	a.noteRaises(now.Uptime)
	allowances := &Allowances{
		Format: Format, Era: a.era, Sent: now, HoldOff: a.cfg.HoldOff, Clocks: a.clocks(now.Uptime),
		Rows: make(map[ident.OrgID]Allowance),
	}
	a.sendingsBefore = a.sendings
	for _, id := range a.orgIDs() {
		acc := a.orgs[id]
		acc.nextAllowance, acc.beforeClaim.unconfirmed = a.planAllowance(acc), acc.unconfirmed
		a.expectAllowance(acc, acc.nextAllowance)
		if acc.nextAllowance != (Allowance{}) {
			allowances.Rows[id] = acc.nextAllowance
		}
	}
	a.recordSending(now.Uptime)
	return allowances
}

// AbortAllowances records that the store has refused the planned allowances, so that they do not count as sent.
func (a *Accounts) AbortAllowances() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.restoreAllowances()
}

// CommitAllowances applies the planned allowances after their write was confirmed.
func (a *Accounts) CommitAllowances() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recordConfirmation()
	for _, acc := range a.orgs {
		acc.allowance = acc.nextAllowance
		acc.want = 0
	}
}

// ObserveLedger records from a ledger that was just read which holders are alive and what their clocks show. After a rewind it
// reserves in it what the operator has written again.
func (a *Accounts) ObserveLedger(shard Shard, l *Ledger, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.observeLedger(shard, l, now)
}

func (a *Accounts) observeLedger(shard Shard, l *Ledger, now time.Duration) {
	after := a.ledgerReadAt[shard]
	for id, h := range l.Holders {
		if id != a.cfg.Self {
			a.recordObservation(id, observation{vm: h.VM, writes: h.Writes, wall: h.Wall, at: now,
				notBefore: after, notBeforeKnown: after > 0})
		}
	}
	for id, s := range a.observations {
		if l.Holders[id] == nil && now-s.at > a.cfg.LivenessTimeout {
			delete(a.observations, id)
		}
	}
	a.ledgerReadAt[shard] = now
	a.coverRaises(shard, l, now)
}

// recordObservation records a write of another holder if it is newer than the last known one.
func (a *Accounts) recordObservation(id ident.RouterID, s observation) {
	old, ok := a.observations[id]
	if ok && s.writes <= old.writes {
		return
	}
	s.offset, s.offsetAt, s.offsetDelay = s.wall-s.at.Milliseconds(), s.at, unboundedDelay
	if s.notBeforeKnown {
		s.offsetDelay = s.at - s.notBefore
	}
	if ok && old.offset > s.offset && s.at-old.offsetAt < clockOffsetWindow {
		s.offset, s.offsetAt, s.offsetDelay = old.offset, old.offsetAt, old.offsetDelay
	}
	a.observations[id] = s
}

// recordReport records the clock of a VM as an answer to a claim or a probe states it.
func (a *Accounts) recordReport(vm ident.VMID, wall int64, now time.Duration) {
	c := clockOffset{offset: wall - now.Milliseconds(), offsetAt: now, at: now}
	old, ok := a.reportedClocks[vm]
	if ok && old.offset > c.offset && now-old.offsetAt < clockOffsetWindow {
		c.offset, c.offsetAt = old.offset, old.offsetAt
	}
	a.reportedClocks[vm] = c
}

// RecordClocks records the clocks of VMs that the answer to a probe states, so that the first claim of a process
// carries some.
func (a *Accounts) RecordClocks(clocks map[ident.VMID]int64, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for vm, wall := range clocks {
		a.recordReport(vm, wall, now)
	}
}

// ClockUpperBounds returns upper bounds of the clocks of other VMs at an earlier uptime. Only the clocks of holders
// that have written since this router first read their ledger or answered their claim are known.
func (a *Accounts) ClockUpperBounds(at time.Duration) []ClockReading {
	a.mu.Lock()
	defer a.mu.Unlock()
	var clocks []ClockReading
	for _, s := range a.observations {
		if s.notBeforeKnown {
			// The clock showed s.wall no earlier than at s.notBefore.
			clocks = append(clocks, ClockReading{VM: s.vm, Wall: s.wall - (s.notBefore - at).Milliseconds()})
		}
	}
	return clocks
}

// ClockLowerBounds returns lower bounds of the clocks of some VMs at now, including this one, in Unix milliseconds.
func (a *Accounts) ClockLowerBounds(now Moment) map[ident.VMID]int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	clocks := a.clocks(now.Uptime)
	clocks[a.cfg.VM] = now.Wall
	return clocks
}

// knownClock is a lower bound of another VM's time of day in Unix milliseconds. delay bounds how late it was observed.
type knownClock struct {
	vm    ident.VMID
	wall  int64
	delay time.Duration
}

// clocks returns lower bounds of the times of day of up to maxClocks other VMs, extrapolated from their last
// observations or from the clocks in the answers to claims. A late observation would make allowances look older than
// they are, so the least delayed ones are taken, and others only if there are too few.
func (a *Accounts) clocks(now time.Duration) map[ident.VMID]int64 {
	out := make(map[ident.VMID]int64)
	for _, c := range a.knownClocks(now) {
		if len(out) == maxClocks || len(out) >= enoughClocks && c.delay > maxClockDelay {
			break
		}
		out[c.vm] = c.wall
	}
	return out
}

// knownClocks returns the clocks of the VMs that were heard of within Config.LivenessTimeout, the least delayed first.
func (a *Accounts) knownClocks(now time.Duration) []knownClock {
	byVM := make(map[ident.VMID]knownClock)
	for _, id := range slices.Sorted(maps.Keys(a.observations)) {
		s := a.observations[id]
		if now-s.at < a.cfg.LivenessTimeout {
			// Adds the uptime that has passed since the observation.
			byVM[s.vm] = knownClock{s.vm, s.offset + now.Milliseconds(), s.offsetDelay}
		}
	}
	for vm, c := range a.reportedClocks {
		if seen, ok := byVM[vm]; (!ok || seen.delay > maxClockDelay) && now-c.at < a.cfg.LivenessTimeout {
			byVM[vm] = knownClock{vm, c.offset + now.Milliseconds(), maxClockDelay}
		}
	}
	return slices.SortedFunc(maps.Values(byVM), func(x, y knownClock) int {
		return cmp.Or(cmp.Compare(x.delay, y.delay), cmp.Compare(x.vm, y.vm))
	})
}

// updateRates updates the average demand of each organisation.
func (a *Accounts) updateRates(now time.Duration) {
	elapsed := now - a.ratesUpdated
	if elapsed <= 0 {
		return
	}
	a.ratesUpdated = now
	keep := math.Exp2(-float64(elapsed) / float64(rateHalfLife))
	for _, acc := range a.orgs {
		acc.rate = acc.rate*keep + float64(max(acc.newDemand, 0))/elapsed.Seconds()*(1-keep)
		acc.newDemand = 0
	}
}

// planAllowance returns the next allowance, which is never lower than what the router has spent and reserved.
func (a *Accounts) planAllowance(acc *account) Allowance {
	wanted := a.wantedAllowance(acc)
	wanted.Limit = max(min(wanted.Limit, acc.granted), acc.spent+acc.held)
	return wanted
}

// wantedAllowance returns the allowance for the current demand, without the limit of the grant.
func (a *Accounts) wantedAllowance(acc *account) Allowance {
	spare := float64(max(tokensFor(acc.rate, a.spareTime(acc)), ident.Tokens(acc.requestSize), acc.idleSpare()))
	limit := acc.spent + acc.held + acc.want + ident.Tokens(spare*acc.spareFactor())
	idle := float64(a.idleGrant(acc.total, acc.holders)) / idleGrowthTime.Seconds()
	if acc.requestSize > 0 {
		idle = min(idle, idleGrowthRates*acc.rate+minGrantedRequests*acc.requestSize)
	}
	growth := max(acc.rate, acc.requestSize/requestGrowthTime.Seconds(), idle) * acc.spareFactor()
	return Allowance{Limit: limit, Growth: ident.Tokens(growth)}
}

// idleSpare returns the spare tokens of a holder without demand. Where every router holds tokens there are none.
func (acc *account) idleSpare() ident.Tokens {
	if acc.holders <= 0 {
		return 0
	}
	remaining := max(acc.total-acc.spent-acc.spentByOthers, 0)
	return ident.Tokens(idleSpareShare * float64(remaining) / float64(acc.holders))
}

// spareTime returns how long the spare tokens of an allowance last at the current demand. It is longer while the
// remaining tokens last long, because a crash then makes only a small fraction of them unusable.
func (a *Accounts) spareTime(acc *account) time.Duration {
	remaining := float64(acc.total - acc.spent - acc.spentByOthers)
	demand := max(acc.demand, acc.rate)
	if demand <= 0 || remaining <= 0 {
		return a.cfg.SpareHorizon
	}
	shareTime := time.Duration(min(spareShare*remaining/demand, maxSpareTime.Seconds()) * float64(time.Second))
	return max(shareTime, a.cfg.SpareHorizon)
}

// spareFactor returns, from minSpareFactor to 1, the fraction of the usual spare tokens and growth that an allowance
// includes. When few of an organisation's tokens remain, or crashes have made many of them unusable, the next crash must
// not make many more unusable, and requests wait for a write instead.
func (acc *account) spareFactor() float64 {
	total := float64(max(acc.total, 1))
	remaining := float64(acc.total-acc.spent-acc.spentByOthers) / (scarceShare * total)
	unspoilt := 1 - float64(acc.presumedByOthers)/(presumedShare*total)
	return min(max(min(remaining, unspoilt), minSpareFactor), 1)
}

// holderNeed is what determines the grant of a holder for one organisation.
type holderNeed struct {
	// total is what the organisation has paid for. used is what the holder has spent and reserved, spent only what it has
	// spent, and want what its waiting requests lack.
	total, used, spent, want ident.Tokens
	// rate is the demand in tokens per second, and size the average request.
	rate, size float64
	// holders is as in account.
	holders int
}

func (acc *account) need() holderNeed {
	return holderNeed{total: acc.total, used: acc.spent + acc.held, spent: acc.spent, want: acc.want, rate: acc.rate, size: acc.requestSize,
		holders: acc.holders}
}

// planRow returns the next row of a holder for an organisation and the demand of all routers in tokens per second. The
// grant is never lower than what the holder has spent and reserved.
func (a *Accounts) planRow(d *Division, id ident.OrgID, holder ident.RouterID, n holderNeed, oldRow Row) (Row, float64) {
	used := n.used
	unallotted := n.total - d.sumsFor(id).granted
	remaining := max(n.total-d.sumsFor(id).spent, 0)
	share, othersWant, demand := d.share(id, holder, n, oldRow, remaining)
	granted := used + n.want + max(tokensFor(n.rate, a.cfg.GrantHorizon), a.minGrant(n, remaining), a.idleGrant(n.total, n.holders))
	// While much is unallotted, a grant may exceed the holder's share.
	surplus := oldRow.Granted + ident.Tokens(float64(unallotted)-scarceShare*float64(remaining))/surplusSteps
	neededGrant := used + n.want
	if n.want > 0 {
		// Further requests are served by the same write.
		neededGrant += min(ident.Tokens(minGrantedRequests*n.size), max(unallotted, 0)/unallottedSteps)
	}
	granted = min(granted, max(n.spent+share, neededGrant, surplus))
	if othersWant > max(unallotted, 0) {
		// Requests of other routers wait for tokens that this holder does not need at once.
		granted = min(granted, used+n.want+tokensFor(n.rate, a.cfg.SpareHorizon)/2)
	}
	granted = max(granted, used)
	if granted > oldRow.Granted {
		granted = oldRow.Granted + max(min(granted-oldRow.Granted, unallotted), 0)
	}
	return Row{Granted: granted, Spent: n.spent, Rate: ident.Tokens(n.rate), Want: n.want}, demand
}

// minGrant returns what a router is granted for an organisation without steady demand: the tokens of
// minGrantedRequests average requests. All routers together take at most scarceShare of the remaining tokens for this,
// except that each may take one average request. A router that is no holder gets none, because few requests ask it.
func (a *Accounts) minGrant(n holderNeed, remaining ident.Tokens) ident.Tokens {
	if n.holders == notHolder {
		return 0
	}
	part := scarceShare * float64(remaining) / float64(a.holderCount(n.holders))
	return ident.Tokens(max(min(minGrantedRequests*n.size, part), n.size))
}

// idleGrant returns what a router is granted of a total without demand. Many routers together get less, because the few
// requests that each grant serves are not worth what routers with demand lose.
func (a *Accounts) idleGrant(total ident.Tokens, holders int) ident.Tokens {
	if holders == notHolder {
		return 0
	}
	n := float64(a.holderCount(holders))
	return ident.Tokens(float64(total) * a.cfg.IdleShare * min(fullIdleRouters/n, 1) / n)
}

// tokensFor returns the tokens that a demand of rate tokens per second uses in d.
func tokensFor(rate float64, d time.Duration) ident.Tokens {
	return ident.Tokens(rate * d.Seconds())
}

// share returns a holder's share of the remaining tokens, the tokens that waiting requests of other routers lack, and
// the demand of all routers in tokens per second. Most of the remaining tokens are divided in proportion to demand and
// the others equally, because demand moves between routers.
func (d *Division) share(id ident.OrgID, holder ident.RouterID, n holderNeed, oldRow Row, remaining ident.Tokens) (
	share, othersWant ident.Tokens, demand float64,
) {
	const equalShare = 0.25
	others, rate, othersWant := d.others(holder, id, oldRow)
	demand = rate + n.rate
	part := equalShare / float64(others+1)
	if n.holders > 0 {
		part = equalShare / float64(n.holders)
	}
	if demand > 0 {
		part += (1 - equalShare) * n.rate / demand
	}
	return ident.Tokens(float64(remaining) * (1 - reserveShare) * part), othersWant, demand
}
