package quota

import (
	"maps"
	"math"
	"time"

	"geraniumsaddle/core/ident"
)

// Claim asks for changes of the ledgers through another router, the writer, which writes the claims of many routers
// at once.
//
// Before it sends a claim, the claimant lowers its own bounds: until it knows the answer it spends no more than the
// floors and limits of the claim permit. A claim may therefore safely take effect at once, late or never.
type Claim struct {
	Router ident.RouterID `cbor:"1,keyasint"`
	VM     ident.VMID     `cbor:"2,keyasint"`
	// Writes counts the claimant's writes of the ledgers, including this claim, so that an outdated claim changes
	// nothing.
	Writes uint64 `cbor:"3,keyasint"`
	// Started is when the claimant's process started, and StartVersion orders that process among those of its VM.
	StartVersion ident.ObjectVersion  `cbor:"9,keyasint"`
	Started      Moment               `cbor:"4,keyasint"`
	Needs        map[ident.OrgID]Need `cbor:"5,keyasint,omitempty"`
	Allowances   *Allowances          `cbor:"6,keyasint"`
	// SinceAnswer is the time between the claimant's last answer from the writer and Allowances.Sent.
	SinceAnswer time.Duration `cbor:"10,keyasint,omitempty"`
	// Leaves says that the claimant stops and has no requests running.
	Leaves bool `cbor:"7,keyasint,omitempty"`
	// Keep says that the claim of a router that leaves is to be kept until its rows are closed, because it cannot be written.
	Keep bool `cbor:"11,keyasint,omitempty"`
	// Departures holds the final reports of earlier processes of the VM, by which the writer closes their rows.
	Departures []Departure `cbor:"13,keyasint,omitempty"`
	// AsksDepartures says that the claim only asks for such reports. Probe is set too.
	AsksDepartures bool `cbor:"14,keyasint,omitempty"`
	// AsksClock says that the claim only asks for the router's clock. Probe is set too.
	AsksClock bool `cbor:"12,keyasint,omitempty"`
	// Probe says that the claim only asks whether the writer would serve a claim.
	Probe bool `cbor:"8,keyasint,omitempty"`
}

// Need is a claimant's state and demand for one organisation. Floor, Used and Spent are totals since its start.
type Need struct {
	// Floor is the part of its grant that the claimant keeps in any case.
	Floor ident.Tokens `cbor:"1,keyasint,omitempty"`
	// Used is what it has spent and reserved, Spent what it has billed, and Want what waiting requests lack.
	Used  ident.Tokens `cbor:"2,keyasint,omitempty"`
	Spent ident.Tokens `cbor:"3,keyasint,omitempty"`
	Want  ident.Tokens `cbor:"4,keyasint,omitempty"`
	// Rate is the demand in tokens per second, and Size the average request in tokens.
	Rate float64 `cbor:"5,keyasint,omitempty"`
	Size float64 `cbor:"6,keyasint,omitempty"`
	// Assumed is the part of Spent that is only assumed to be spent.
	Assumed ident.Tokens `cbor:"8,keyasint,omitempty"`
	// Holders is the number of routers that hold the organisation's tokens, zero if all do, or negative if the claimant
	// isn't one of them.
	Holders int `cbor:"7,keyasint,omitempty"`
}

// Outcome answers a claim with what was confirmed. The row of an organisation that is missing from Grants may be the
// old or the new one.
type Outcome struct {
	Grants map[ident.OrgID]Grant `cbor:"1,keyasint,omitempty"`
	// Allowances holds the stored allowances of the claimant, if AllowancesStored is set.
	Allowances       map[ident.OrgID]Allowance `cbor:"2,keyasint,omitempty"`
	AllowancesStored bool                      `cbor:"3,keyasint,omitempty"`
	// AllowancesUnsent says that the allowances were not sent to the store and will not be sent.
	AllowancesUnsent bool `cbor:"6,keyasint,omitempty"`
	// Departures holds the final reports that a claimant has asked for.
	Departures []Departure `cbor:"7,keyasint,omitempty"`
	// Clocks holds lower bounds of the clocks of VMs when the answer was sent, in Unix milliseconds.
	Clocks map[ident.VMID]int64 `cbor:"4,keyasint,omitempty"`
}

// Grant is the stored row of a claimant for one organisation.
type Grant struct {
	Row Row `cbor:"1,keyasint"`
	// Entitlement is the grant that the division gives the claimant, which may be less than the one in Row.
	Entitlement ident.Tokens `cbor:"2,keyasint,omitempty"`
	// SpentByOthers is what others have spent, and Unallotted what is granted to nobody.
	SpentByOthers ident.Tokens `cbor:"3,keyasint,omitempty"`
	Unallotted    ident.Tokens `cbor:"4,keyasint,omitempty"`
	// Demand is the demand of all routers in tokens per second.
	Demand float64 `cbor:"5,keyasint,omitempty"`
	// Presumed is the part of SpentByOthers that may not have been spent.
	Presumed ident.Tokens `cbor:"6,keyasint,omitempty"`
}

// rateChange is the relative change of demand above which a router reports it.
const rateChange = 0.2

// ClaimUrgency returns how urgently a claim is needed.
func (a *Accounts) ClaimUrgency() Urgency {
	a.mu.Lock()
	defer a.mu.Unlock()
	urgency := UpToDate
	for _, acc := range a.orgs {
		urgency = max(urgency, a.orgClaimUrgency(acc))
	}
	return urgency
}

func (a *Accounts) orgClaimUrgency(acc *account) Urgency {
	used := acc.spent + acc.held
	spare := tokensFor(acc.rate, a.spareTime(acc)) / 2
	switch {
	case acc.want > 0:
		return TokensLacking
	case acc.toppedUp(),
		acc.floor() < acc.granted, // other routers wait for the difference
		a.limits(acc).Limit-used < spare && a.limits(acc).Limit < acc.granted,
		acc.unallotted > 0 && acc.granted-used < tokensFor(acc.rate, a.cfg.LowHorizon)/2:
		return TokensLow
	case !acc.rowKnown || acc.spent != acc.row.Spent:
		return StateChanged
	}
	return UpToDate
}

// PlanClaim returns the next claim and lowers the bounds of the accounts to what it permits. CommitClaim applies its
// answer. If there is no answer, another claim or writes by this router itself must follow.
func (a *Accounts) PlanClaim(started, at Moment) *Claim {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.updateRates(at.Uptime)
	a.noteRaises(at.Uptime)
	a.writes++
	c := &Claim{
		Router: a.cfg.Self, VM: a.cfg.VM, Writes: a.writes, StartVersion: a.startVersion, Started: started,
		Needs: make(map[ident.OrgID]Need),
		Allowances: &Allowances{
			Format: Format, Era: a.era, Sent: at, HoldOff: a.cfg.HoldOff, Clocks: a.clocks(at.Uptime),
			Rows: make(map[ident.OrgID]Allowance),
		},
	}
	a.sendingsBefore = a.sendings
	for _, id := range a.orgIDs() {
		acc := a.orgs[id]
		acc.beforeClaim = bounds{acc.granted, acc.unconfirmed}
		if acc.needsReport() {
			acc.granted = acc.floor()
			c.Needs[id] = Need{Floor: acc.granted, Used: acc.spent + acc.held, Spent: acc.spent, Want: acc.want,
				Rate: acc.rate, Size: acc.requestSize, Holders: acc.holders, Assumed: acc.assumed}
		}
		wanted := a.wantedAllowance(acc)
		bound := wanted.clamp(acc.granted, acc.spent+acc.held)
		a.expectAllowance(acc, bound)
		if _, reported := c.Needs[id]; !reported {
			wanted = bound
		}
		if wanted != (Allowance{}) {
			c.Allowances.Rows[id] = wanted
		}
	}
	a.recordSending(at.Uptime)
	return c
}

// needsReport reports whether the next claim has to include the organisation.
func (acc *account) needsReport() bool {
	if acc.unused() {
		return false
	}
	rate := float64(acc.row.Rate)
	return !acc.rowKnown || acc.want > 0 || acc.toppedUp() || acc.spent != acc.row.Spent || acc.entitlement < acc.granted ||
		math.Abs(acc.rate-rate) > rateChange*max(acc.rate, rate)
}

// toppedUp reports whether a holder has learned of tokens that were paid for since its last claim. They are claimed soon,
// because a router that loses the store can spend only what it was granted.
func (acc *account) toppedUp() bool {
	return acc.holders != notHolder && acc.rowKnown && acc.total > acc.claimedTotal
}

// floor returns what the router keeps of its grant, which is less than all of it if the last division gave it less.
func (acc *account) floor() ident.Tokens {
	if !acc.rowKnown {
		return acc.granted
	}
	return min(acc.granted, max(acc.entitlement, acc.spent+acc.held))
}

// clamp returns the allowance with its limit lowered to the grant and raised to what is used.
func (a Allowance) clamp(granted, used ident.Tokens) Allowance {
	a.Limit = max(min(a.Limit, granted), used)
	return a
}

// PlanLeave returns the claim with which a router that has stopped spending returns its unspent tokens.
func PlanLeave(departure Departure, started, at Moment) *Claim {
	c := &Claim{Router: departure.Router, VM: departure.VM, Writes: departure.Writes, StartVersion: departure.StartVersion, Started: started, Leaves: true,
		Needs: make(map[ident.OrgID]Need), Allowances: &Allowances{Format: Format, Sent: at}}
	for id, n := range departure.Spent {
		c.Needs[id] = Need{Spent: n, Used: n, Assumed: departure.Assumed[id]}
	}
	return c
}

// CommitClaim applies the confirmed parts of the last claim.
func (a *Accounts) CommitClaim(c *Claim, out *Outcome, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, g := range out.Grants {
		acc := a.accountFor(id)
		acc.rowKnown = true
		acc.row, acc.granted, acc.entitlement = g.Row, g.Row.Granted, g.Entitlement
		acc.spentByOthers, acc.presumedByOthers, acc.unallotted, acc.demand = g.SpentByOthers, g.Presumed, g.Unallotted, g.Demand
		acc.asOf = now
		acc.claimedTotal = acc.total
	}
	for vm, wall := range out.Clocks {
		a.recordReport(vm, wall, now)
	}
	if out.AllowancesUnsent {
		a.restoreAllowances()
	}
	if !out.AllowancesStored {
		return
	}
	a.recordConfirmation()
	for id, acc := range a.orgs {
		acc.allowance = out.Allowances[id]
		acc.want = 0
	}
}

// AbortClaim restores the bounds from before the last claim. It must only be called if the claim had no effect and can
// no longer have one.
func (a *Accounts) AbortClaim() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.restoreAllowances()
	for _, acc := range a.orgs {
		acc.granted = acc.beforeClaim.granted
	}
}

// restoreAllowances restores the allowances from before the last claim and the time at which they were sent.
func (a *Accounts) restoreAllowances() {
	a.sendings = a.sendingsBefore
	for _, acc := range a.orgs {
		acc.unconfirmed = acc.beforeClaim.unconfirmed
	}
}

// ObserveClaim records that a claim has arrived at the uptime now, which shows that its holder is alive. answered is
// the uptime of the last answer to the same holder, or zero. The claim was made at least Claim.SinceAnswer after that
// answer.
func (a *Accounts) ObserveClaim(c *Claim, answered, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.Router != a.cfg.Self {
		a.recordObservation(c.Router, observation{vm: c.VM, writes: c.Writes, wall: c.Allowances.Sent.Wall, at: now,
			notBefore: min(answered+max(c.SinceAnswer, 0), now), notBeforeKnown: answered > 0})
	}
}

// ServeClaim puts the rows of a claim into the ledger of a division and returns the grants. A claim whose holder has
// written since, that has to report first after a rewind of the store, or whose VM has a later process, changes nothing, and ServeClaim returns false.
func (a *Accounts) ServeClaim(shard Shard, d *Division, c *Claim) (map[ident.OrgID]Grant, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := d.ledger
	h := l.Holders[c.Router]
	if l.isUnheard(c.Router) || h != nil && h.Writes >= c.Writes || d.latestStartVersion[c.VM] > c.StartVersion {
		return nil, false
	}
	if c.Leaves {
		a.closeClaimant(d, c)
		return nil, true
	}
	next := &Holder{VM: c.VM, StartVersion: c.StartVersion, Writes: c.Writes, Wall: c.Allowances.Sent.Wall,
		Rows: make(map[ident.OrgID]Row), Assumed: make(map[ident.OrgID]ident.Tokens)}
	if h != nil {
		maps.Copy(next.Rows, h.Rows)
		maps.Copy(next.Assumed, h.Assumed)
	}
	grants := make(map[ident.OrgID]Grant)
	for id, n := range c.Needs {
		if acc := a.orgs[id]; acc != nil && a.layout.ShardOf(id) == shard {
			oldRow := next.Rows[id]
			grants[id] = a.grant(d, id, c.Router, n, oldRow)
			next.Rows[id] = grants[id].Row
			if grants[id].Row == (Row{}) {
				delete(next.Rows, id)
			}
			d.replaceRow(c.Router, id, oldRow, grants[id].Row)
			d.sumsFor(id).presumed += n.Assumed - next.Assumed[id]
			setPositive(next.Assumed, id, n.Assumed)
			l.Holders[c.Router] = next
		}
	}
	return grants, true
}

// grant returns a claimant's grant of one organisation. It never takes back tokens that the claimant may be spending.
func (a *Accounts) grant(d *Division, id ident.OrgID, holder ident.RouterID, n Need, oldRow Row) Grant {
	total := a.orgs[id].total
	row, demand := a.planRow(d, id, holder, holderNeed{total: total, used: n.Used, spent: n.Spent, want: n.Want, rate: n.Rate, size: n.Size, holders: n.Holders}, oldRow)
	target := row.Granted
	row.Granted = max(row.Granted, min(n.Floor, oldRow.Granted))
	return Grant{
		Row: row, Entitlement: target,
		SpentByOthers: d.sumsFor(id).spent - oldRow.Spent,
		Unallotted:    total - d.sumsFor(id).granted + oldRow.Granted - row.Granted,
		Demand:        demand,
		Presumed:      d.sumsFor(id).presumed - d.assumedBy(holder, id),
	}
}

// closeClaimant closes the rows of a claimant that stops and leaves a tombstone.
func (a *Accounts) closeClaimant(d *Division, c *Claim) {
	departure := c.Departure()
	if h := d.ledger.Holders[c.Router]; h != nil {
		for id, row := range h.Rows {
			spent := departure.Spent[id]
			d.replaceRow(c.Router, id, row, Row{Granted: spent, Spent: spent})
			d.sumsFor(id).presumed += departure.Assumed[id] - h.Assumed[id]
		}
	}
	d.ledger.CloseDeparted(departure)
	d.ledger.PutTombstone(departure)
}

// Departure returns the final report that the claim of a router that leaves carries.
func (c *Claim) Departure() Departure {
	departure := Departure{Router: c.Router, VM: c.VM, StartVersion: c.StartVersion, Writes: c.Writes,
		Spent: make(map[ident.OrgID]ident.Tokens, len(c.Needs)), Assumed: make(map[ident.OrgID]ident.Tokens)}
	for id, n := range c.Needs {
		departure.Spent[id] = n.Spent
		setPositive(departure.Assumed, id, n.Assumed)
	}
	return departure
}

// ClaimChangesShard reports whether a claim changes the ledger of a shard.
func (a *Accounts) ClaimChangesShard(shard Shard, c *Claim) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id := range c.Needs {
		if a.layout.ShardOf(id) == shard {
			return true
		}
	}
	return false
}

// BoundedAllowances returns the allowances of a claim limited to the given grants, or to the floors where no grant is
// confirmed.
func (c *Claim) BoundedAllowances(grants map[ident.OrgID]Grant) *Allowances {
	out := *c.Allowances
	out.Rows = make(map[ident.OrgID]Allowance, len(c.Allowances.Rows))
	for id, allowance := range c.Allowances.Rows {
		n, reported := c.Needs[id]
		granted := n.Floor
		if g, ok := grants[id]; ok {
			granted = g.Row.Granted
		}
		if reported {
			allowance = allowance.clamp(granted, n.Used)
		}
		out.Rows[id] = allowance
	}
	return &out
}
