package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"geraniumsaddle/core/ident"
)

const (
	// rateHalfLife is the time in which the average demand follows a change by half.
	rateHalfLife = 3 * time.Second
	// aheadFor is the time for which the least delayed sighting of another clock counts. A clock that jumps is read
	// wrongly no longer than that.
	aheadFor = 10 * time.Second
	// freePart is the part of an organisation's rest that stays unallotted, for single requests and for routers that
	// start.
	freePart = 0.15
	// sizeGrowth is the time in which an organisation without steady demand can spend one more request.
	sizeGrowth = 4 * time.Second
	// grantedRequests is the least number of average requests that a router's grant covers.
	grantedRequests = 8
	// scarcePart is the part of the rest that has to be unallotted for a router to take more than its share, and
	// ampleSteps the number of writes that use up what is unallotted beyond it.
	scarcePart = 0.3
	ampleSteps = 4
	// freeSteps is the number of routers that can take some requests' tokens before nothing is unallotted.
	freeSteps = 16
	// leastSpareFactor bounds how little a router may spend without a write.
	leastSpareFactor = 0.2
	// sparePart is the part of an organisation's rest that the routers together may spend without a write, as far as it
	// lasts longer than Config.SpareFor. A crash of all strands no more than this.
	sparePart = 0.05
	// mostSpare bounds the time that the spare tokens last.
	mostSpare = 4 * time.Second
	// idleRouters is the number of routers up to which all of Config.Idle is kept for routers without demand.
	idleRouters = 24
	// idleGrowth is the time in which a router without demand can spend what it is granted for the first requests of an
	// outage.
	idleGrowth = 5 * time.Second
)

// PlanGrants writes this router's next rows into the ledger of a shard that was just read. Until CommitGrants the
// router spends only what both the present and the planned rows allow. A plan whose write got no answer is followed by
// another one.
func (a *Accounts) PlanGrants(shard Shard, l *Ledger, at Moment) {
	now := at.Uptime
	a.mu.Lock()
	defer a.mu.Unlock()
	a.observe(shard, l, now)
	a.follow(now)
	a.writes++
	h := &Holder{VM: a.cfg.VM, Start: a.start, Writes: a.writes, Wall: at.Wall, Rows: make(map[ident.OrgID]Row)}
	old := l.Holders[a.cfg.Self]
	d := a.divide(l, now)
	for _, id := range a.ids() {
		if a.layout.ShardOf(id) != shard {
			continue
		}
		acc := a.orgs[id]
		var had Row
		if old != nil {
			had = old.Rows[id]
		}
		var row Row
		row, acc.demand = a.row(d, id, a.cfg.Self, acc.need(), had)
		acc.nextRow = row
		acc.granted = min(acc.granted, row.Granted)
		acc.elsewhere = d.org(id).spent - had.Spent
		acc.free = acc.total - d.org(id).granted + had.Granted - row.Granted
		acc.asOf = now
		if row != (Row{}) {
			h.Rows[id] = row
		}
	}
	l.Holders[a.cfg.Self] = h
}

// CommitGrants applies the planned rows after their write was confirmed. No earlier write can take effect any more.
func (a *Accounts) CommitGrants(shard Shard) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, acc := range a.orgs {
		if a.layout.ShardOf(id) == shard {
			acc.row, acc.known = acc.nextRow, true
			acc.target = acc.row.Granted
			acc.granted = acc.row.Granted
		}
	}
}

// Urgency says how much a write of a ledger matters.
type Urgency uint8

// The degrees of need for a write.
const (
	// UpToDate means that the ledger shows all that matters.
	UpToDate Urgency = iota
	// Changed means that spending or demand has changed.
	Changed
	// Low means that the grant runs out soon.
	Low
	// Lacking means that requests lack tokens that are not granted to this router.
	Lacking
)

// GrantUrgency returns how much a write of the ledger of a shard matters.
func (a *Accounts) GrantUrgency(shard Shard) Urgency {
	a.mu.Lock()
	defer a.mu.Unlock()
	due := UpToDate
	for id, acc := range a.orgs {
		if a.layout.ShardOf(id) == shard {
			due = max(due, a.due(acc))
		}
	}
	return due
}

func (a *Accounts) due(acc *account) Urgency {
	spare := acc.granted - acc.spent - acc.held
	switch {
	case acc.want > spare:
		return Lacking
	case acc.free > 0 && spare < cover(acc.rate, a.cfg.LowHorizon):
		return Low
	case acc.spent != acc.row.Spent:
		return Changed
	}
	return UpToDate
}

// PlanAllowances returns this router's next allowances and records that they are sent. Until CommitAllowances the router
// spends only what both the present and the planned ones allow.
func (a *Accounts) PlanAllowances(now Moment) *Allowances {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.follow(now.Uptime)
	allowances := &Allowances{
		Format: Format, Sent: now, HoldOff: a.cfg.HoldOff, Clocks: a.clocks(now.Uptime),
		Rows: make(map[ident.OrgID]Allowance),
	}
	for _, id := range a.ids() {
		acc := a.orgs[id]
		acc.nextAllowance = a.nextAllowanceOf(acc)
		acc.allowance.Limit = min(acc.allowance.Limit, acc.nextAllowance.Limit)
		acc.allowance.Growth = min(acc.allowance.Growth, acc.nextAllowance.Growth)
		if acc.nextAllowance != (Allowance{}) {
			allowances.Rows[id] = acc.nextAllowance
		}
	}
	a.before, a.sent = a.sent, now.Uptime
	a.everSent = true
	return allowances
}

// AbortAllowances records that the store has refused the allowances, so that they have no effect.
func (a *Accounts) AbortAllowances() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent = a.before
}

// CommitAllowances applies the planned allowances after their write was confirmed.
func (a *Accounts) CommitAllowances() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, acc := range a.orgs {
		acc.allowance = acc.nextAllowance
		acc.want = 0
	}
}

// Observe notes from a ledger that was just read which holders are alive and what their clocks show.
func (a *Accounts) Observe(shard Shard, l *Ledger, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.observe(shard, l, now)
}

func (a *Accounts) observe(shard Shard, l *Ledger, now time.Duration) {
	after := a.observed[shard]
	for id, h := range l.Holders {
		if id != a.cfg.Self {
			a.sight(id, sighting{vm: h.VM, writes: h.Writes, wall: h.Wall, at: now, after: after, fresh: after > 0})
		}
	}
	for id, s := range a.seen {
		if l.Holders[id] == nil && now-s.at > a.cfg.LivenessTimeout {
			delete(a.seen, id)
		}
	}
	a.observed[shard] = now
}

// sight notes a write of another holder that is newer than the last one known.
func (a *Accounts) sight(id ident.RouterID, s sighting) {
	old, ok := a.seen[id]
	if ok && s.writes <= old.writes {
		return
	}
	s.ahead, s.aheadAt = s.wall-s.at.Milliseconds(), s.at
	if ok && old.ahead > s.ahead && s.at-old.aheadAt < aheadFor {
		s.ahead, s.aheadAt = old.ahead, old.aheadAt
	}
	a.seen[id] = s
}

// ClockUpperBounds returns what the clocks of other VMs can have shown at most at an earlier uptime, as far as their holders have
// written since the first reading of the ledger.
func (a *Accounts) ClockUpperBounds(at time.Duration) []ClockReading {
	a.mu.Lock()
	defer a.mu.Unlock()
	var clocks []ClockReading
	for _, s := range a.seen {
		if s.fresh {
			// The clock showed s.wall after s.after.
			clocks = append(clocks, ClockReading{VM: s.vm, Wall: s.wall - (s.after - at).Milliseconds()})
		}
	}
	return clocks
}

// ClockLowerBounds returns the times of day of some VMs, this one included, each as it was shown before now at the latest.
func (a *Accounts) ClockLowerBounds(now Moment) map[ident.VMID]int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	clocks := a.clocks(now.Uptime)
	clocks[a.cfg.VM] = now.Wall
	return clocks
}

// clocks returns the times of day of some other VMs, as last seen.
func (a *Accounts) clocks(now time.Duration) map[ident.VMID]int64 {
	const most = 9 // more clocks make the median no safer
	out := make(map[ident.VMID]int64)
	for _, id := range slices.Sorted(maps.Keys(a.seen)) {
		s := a.seen[id]
		if now-s.at < a.cfg.LivenessTimeout && len(out) < most {
			// The clock has gone on since it was seen.
			out[s.vm] = s.ahead + now.Milliseconds()
		}
	}
	for _, vm := range slices.Sorted(maps.Keys(a.reported)) {
		c := a.reported[vm]
		if _, seen := out[vm]; !seen && now-c.at < a.cfg.LivenessTimeout && len(out) < most {
			out[vm] = c.ahead + now.Milliseconds()
		}
	}
	return out
}

// follow updates the averages of the demand.
func (a *Accounts) follow(now time.Duration) {
	elapsed := now - a.planned
	if elapsed <= 0 {
		return
	}
	a.planned = now
	keep := math.Exp2(-float64(elapsed) / float64(rateHalfLife))
	for _, acc := range a.orgs {
		acc.rate = acc.rate*keep + float64(max(acc.asked, 0))/elapsed.Seconds()*(1-keep)
		acc.asked = 0
	}
}

// nextAllowanceOf returns the next allowance, which never falls below what the router has spent and holds.
func (a *Accounts) nextAllowanceOf(acc *account) Allowance {
	wanted := a.wantedAllowance(acc)
	wanted.Limit = max(min(wanted.Limit, acc.granted), acc.spent+acc.held)
	return wanted
}

// wantedAllowance returns the allowance for the present demand if enough is granted.
func (a *Accounts) wantedAllowance(acc *account) Allowance {
	spare := float64(max(cover(acc.rate, a.spareFor(acc)), ident.Tokens(acc.size)))
	limit := acc.spent + acc.held + acc.want + ident.Tokens(spare*acc.spareFactor())
	idle := float64(a.idle(acc.total)) / idleGrowth.Seconds()
	growth := max(acc.rate, acc.size/sizeGrowth.Seconds(), idle)
	return Allowance{Limit: limit, Growth: ident.Tokens(growth)}
}

// spareFor returns the time of present demand that the allowances cover: longer while the rest lasts long, because a crash
// then strands little of it.
func (a *Accounts) spareFor(acc *account) time.Duration {
	rest := float64(acc.total - acc.spent - acc.elsewhere)
	demand := max(acc.demand, acc.rate)
	if demand <= 0 || rest <= 0 {
		return a.cfg.SpareHorizon
	}
	lasts := time.Duration(min(sparePart*rest/demand, mostSpare.Seconds()) * float64(time.Second))
	return max(lasts, a.cfg.SpareHorizon)
}

// spareFactor returns, from leastSpareFactor to 1, how much of the usual spare tokens an allowance has. Towards the end
// of an organisation's tokens a crash may strand less, and a request may wait for a write instead.
func (acc *account) spareFactor() float64 {
	rest := float64(acc.total - acc.spent - acc.elsewhere)
	return min(max(rest/(scarcePart*float64(max(acc.total, 1))), leastSpareFactor), 1)
}

// need is what decides how much of an organisation's tokens a holder is granted.
type need struct {
	// total is what the organisation has paid for, and used what the holder has spent and holds.
	total, used, spent, want ident.Tokens
	// rate is the demand in tokens per second, and size the average request.
	rate, size float64
}

func (acc *account) need() need {
	return need{total: acc.total, used: acc.spent + acc.held, spent: acc.spent, want: acc.want, rate: acc.rate, size: acc.size}
}

// row returns the next row of a holder for an organisation, which never falls below what it has spent and holds, and the
// demand of all routers in tokens per second.
func (a *Accounts) row(d *Division, id ident.OrgID, holder ident.RouterID, n need, had Row) (Row, float64) {
	used := n.used
	free := n.total - d.org(id).granted
	rest := max(n.total-d.org(id).spent, 0)
	share, wanted, demand := d.share(id, holder, n, had, rest)
	granted := used + n.want + max(cover(n.rate, a.cfg.GrantHorizon), a.fewRequests(n.size, rest), a.idle(n.total))
	// While much is unallotted the share of the rest is no bound.
	ample := had.Granted + ident.Tokens(float64(free)-scarcePart*float64(rest))/ampleSteps
	wanting := used + n.want
	if n.want > 0 {
		// One write serves some further requests too.
		wanting += min(ident.Tokens(grantedRequests*n.size), max(free, 0)/freeSteps)
	}
	granted = min(granted, max(n.spent+share, wanting, ample))
	if wanted > max(free, 0) {
		// Others wait for tokens that this router does not need at once.
		granted = min(granted, used+n.want+cover(n.rate, a.cfg.SpareHorizon)/2)
	}
	granted = max(granted, used)
	if granted > had.Granted {
		granted = had.Granted + max(min(granted-had.Granted, free), 0)
	}
	return Row{Granted: granted, Spent: n.spent, Rate: ident.Tokens(n.rate), Want: n.want}, demand
}

// fewRequests returns the tokens of some requests, for an organisation without steady demand. All routers together keep
// no more than a part of the rest for this.
func (a *Accounts) fewRequests(size float64, rest ident.Tokens) ident.Tokens {
	part := scarcePart * float64(rest) / float64(a.routers())
	return ident.Tokens(max(min(grantedRequests*size, part), size))
}

// idle returns what a router without demand is granted of a total. The routers of a large fleet together keep less of it,
// because each one's part serves too few requests to be worth what it takes from the routers with demand.
func (a *Accounts) idle(total ident.Tokens) ident.Tokens {
	part := a.cfg.IdleShare * min(idleRouters/float64(a.routers()), 1)
	return ident.Tokens(float64(total) * part / float64(a.routers()))
}

// cover returns the tokens that a demand uses in a time.
func cover(rate float64, d time.Duration) ident.Tokens {
	return ident.Tokens(rate * d.Seconds())
}

// share returns a holder's part of the rest, what waiting requests of others lack, and the demand of all. Most is divided by
// demand and the remainder equally, because demand moves between routers.
func (d *Division) share(id ident.OrgID, holder ident.RouterID, n need, had Row, rest ident.Tokens) (
	share, wanted ident.Tokens, demand float64,
) {
	const equal = 0.25
	others, rate, wanted := d.others(holder, id, had)
	demand = rate + n.rate
	part := equal / float64(others+1)
	if demand > 0 {
		part += (1 - equal) * n.rate / demand
	}
	return ident.Tokens(float64(rest) * (1 - freePart) * part), wanted, demand
}
