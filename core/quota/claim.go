package quota

import (
	"math"
	"time"

	"geraniumsaddle/core/ident"
)

// Claim is what a router asks of the ledgers through another router, which writes the claims of many routers at once.
//
// The claimant binds itself before it sends: until it knows the answer it spends no more than the floors and the limits
// of the claim allow. A claim may therefore take effect at once, late or never.
type Claim struct {
	Router ident.RouterID `cbor:"1,keyasint"`
	VM     ident.VMID     `cbor:"2,keyasint"`
	// Writes numbers the claimant's writes of the ledgers, so that an older claim changes nothing.
	Writes uint64 `cbor:"3,keyasint"`
	// Started is when the claimant's process started, and Start orders it among those of its VM.
	Start      ident.ObjectVersion  `cbor:"9,keyasint"`
	Started    Moment               `cbor:"4,keyasint"`
	Needs      map[ident.OrgID]Need `cbor:"5,keyasint,omitempty"`
	Allowances *Allowances          `cbor:"6,keyasint"`
	// SinceAnswer is the time between the last answer that the claimant has got from the writer and Allows.Sent.
	SinceAnswer time.Duration `cbor:"10,keyasint,omitempty"`
	// Leaves says that the claimant stops with nothing running.
	Leaves bool `cbor:"7,keyasint,omitempty"`
	// Probe says that the claim only asks whether a claim would be served.
	Probe bool `cbor:"8,keyasint,omitempty"`
}

// Need is what a claimant says of one organisation. Floor, Used and Spent are totals since its start.
type Need struct {
	// Floor is what the claimant keeps of its grant in any case.
	Floor ident.Tokens `cbor:"1,keyasint,omitempty"`
	// Used is what it has spent and holds, Spent what it has billed, and Want what waiting requests lack.
	Used  ident.Tokens `cbor:"2,keyasint,omitempty"`
	Spent ident.Tokens `cbor:"3,keyasint,omitempty"`
	Want  ident.Tokens `cbor:"4,keyasint,omitempty"`
	// Rate is the demand in tokens per second, and Size the average request in tokens.
	Rate float64 `cbor:"5,keyasint,omitempty"`
	Size float64 `cbor:"6,keyasint,omitempty"`
}

// Outcome answers a claim with what was confirmed. An organisation that it leaves out may have its old or its new state.
type Outcome struct {
	Grants map[ident.OrgID]Grant `cbor:"1,keyasint,omitempty"`
	// Allowances are the stored ones of the claimant if Saved is set.
	Allowances       map[ident.OrgID]Allowance `cbor:"2,keyasint,omitempty"`
	AllowancesStored bool                      `cbor:"3,keyasint,omitempty"`
	// AllowancesUnsent says that the allowances were not sent to the store and will not be.
	AllowancesUnsent bool `cbor:"6,keyasint,omitempty"`
	// Clocks holds times of day of VMs, each as it was shown before the answer was sent, in Unix milliseconds.
	Clocks map[ident.VMID]int64 `cbor:"4,keyasint,omitempty"`
}

// Grant is the stored row of a claimant for one organisation.
type Grant struct {
	Row Row `cbor:"1,keyasint"`
	// Target is what the division leaves to the claimant, which may be less than what it holds.
	Target ident.Tokens `cbor:"2,keyasint,omitempty"`
	// SpentByOthers is what others have spent, and Free what nobody has taken.
	SpentByOthers ident.Tokens `cbor:"3,keyasint,omitempty"`
	Free          ident.Tokens `cbor:"4,keyasint,omitempty"`
	// Demand is that of all routers in tokens per second.
	Demand float64 `cbor:"5,keyasint,omitempty"`
}

// rateChange is the part by which the demand has to change for a router to report it.
const rateChange = 0.2

// ClaimUrgency returns how much a claim matters.
func (a *Accounts) ClaimUrgency() Urgency {
	a.mu.Lock()
	defer a.mu.Unlock()
	due := UpToDate
	for _, acc := range a.orgs {
		due = max(due, a.claimDue(acc))
	}
	return due
}

func (a *Accounts) claimDue(acc *account) Urgency {
	used := acc.spent + acc.held
	spare := cover(acc.rate, a.spareFor(acc)) / 2
	switch {
	case acc.want > 0:
		return Lacking
	case acc.floor() < acc.granted, // others wait for it
		acc.allowance.Limit-used < spare && acc.allowance.Limit < acc.granted,
		acc.free > 0 && acc.granted-used < cover(acc.rate, a.cfg.LowHorizon)/2:
		return Low
	case !acc.known || acc.spent != acc.row.Spent:
		return Changed
	}
	return UpToDate
}

// PlanClaim returns the next claim and binds the accounts to it. CommitClaim takes its answer. A claim without an answer
// is followed by another one, or by writes of this router's own.
func (a *Accounts) PlanClaim(started, at Moment) *Claim {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.follow(at.Uptime)
	a.writes++
	c := &Claim{
		Router: a.cfg.Self, VM: a.cfg.VM, Writes: a.writes, Start: a.start, Started: started,
		Needs: make(map[ident.OrgID]Need),
		Allowances: &Allowances{
			Format: Format, Sent: at, HoldOff: a.cfg.HoldOff, Clocks: a.clocks(at.Uptime),
			Rows: make(map[ident.OrgID]Allowance),
		},
	}
	for _, id := range a.ids() {
		acc := a.orgs[id]
		acc.beforeClaim = bounds{acc.granted, acc.allowance}
		if acc.changed() {
			acc.granted = acc.floor()
			c.Needs[id] = Need{Floor: acc.granted, Used: acc.spent + acc.held, Spent: acc.spent, Want: acc.want,
				Rate: acc.rate, Size: acc.size}
		}
		wanted := a.wantedAllowance(acc)
		bound := wanted.within(acc.granted, acc.spent+acc.held)
		acc.allowance.Limit = min(acc.allowance.Limit, bound.Limit)
		acc.allowance.Growth = min(acc.allowance.Growth, bound.Growth)
		if _, asks := c.Needs[id]; !asks {
			wanted = bound
		}
		if wanted != (Allowance{}) {
			c.Allowances.Rows[id] = wanted
		}
	}
	a.before, a.sent = a.sent, at.Uptime
	a.everSent = true
	return c
}

// changed reports whether a claim has to tell of the organisation.
func (acc *account) changed() bool {
	rate := float64(acc.row.Rate)
	return !acc.known || acc.want > 0 || acc.spent != acc.row.Spent || acc.target < acc.granted ||
		math.Abs(acc.rate-rate) > rateChange*max(acc.rate, rate)
}

// floor returns what the router keeps of its grant: less than it has when the division left it less the last time.
func (acc *account) floor() ident.Tokens {
	if !acc.known {
		return acc.granted
	}
	return min(acc.granted, max(acc.target, acc.spent+acc.held))
}

// within returns the allowance with a limit that is no higher than a grant and no lower than what is used.
func (w Allowance) within(granted, used ident.Tokens) Allowance {
	w.Limit = max(min(w.Limit, granted), used)
	return w
}

// PlanLeave returns the claim with which a router that has stopped to spend hands back the rest.
func PlanLeave(left Departure, started, at Moment) *Claim {
	c := &Claim{Router: left.Router, VM: left.VM, Writes: left.Writes, Start: left.Start, Started: started, Leaves: true,
		Needs: make(map[ident.OrgID]Need), Allowances: &Allowances{Format: Format, Sent: at}}
	for id, n := range left.Spent {
		c.Needs[id] = Need{Spent: n, Used: n}
	}
	return c
}

// CommitClaim applies what was confirmed of the last claim.
func (a *Accounts) CommitClaim(c *Claim, out *Outcome, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, g := range out.Grants {
		acc := a.org(id)
		acc.known = true
		acc.row, acc.granted, acc.target = g.Row, g.Row.Granted, g.Target
		acc.elsewhere, acc.free, acc.demand = g.SpentByOthers, g.Free, g.Demand
		acc.asOf = now
	}
	for vm, wall := range out.Clocks {
		a.reported[vm] = clockSeen{ahead: wall - now.Milliseconds(), at: now}
	}
	if out.AllowancesUnsent {
		a.keepAllowances()
	}
	if !out.AllowancesStored {
		return
	}
	for id, acc := range a.orgs {
		if _, sent := c.Allowances.Rows[id]; sent {
			acc.allowance = out.Allowances[id]
		}
		acc.want = 0
	}
}

// AbortClaim records that the last claim has had no effect and will have none, and takes back what bound the accounts
// to it.
func (a *Accounts) AbortClaim() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.keepAllowances()
	for _, acc := range a.orgs {
		acc.granted = acc.beforeClaim.granted
	}
}

// keepAllowances takes back what the last claim changed of the allowances.
func (a *Accounts) keepAllowances() {
	a.sent = a.before
	for _, acc := range a.orgs {
		acc.allowance = acc.beforeClaim.allowance
	}
}

// ObserveClaim notes that a claim has come, and that its holder lives. Now is the uptime, and answered that of the last answer to
// the same holder, or zero. The claim was made no sooner than the claimant says after that answer.
func (a *Accounts) ObserveClaim(c *Claim, answered, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.Router != a.cfg.Self {
		a.sight(c.Router, sighting{vm: c.VM, writes: c.Writes, wall: c.Allowances.Sent.Wall, at: now,
			after: min(answered+max(c.SinceAnswer, 0), now), fresh: answered > 0})
	}
}

// Serve writes the rows of a claim into the ledger of a division and returns what they grant. A claim
// whose holder has written since, or has ended, changes nothing and is reported as false.
func (a *Accounts) Serve(shard Shard, d *Division, c *Claim) (map[ident.OrgID]Grant, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := d.ledger
	h := l.Holders[c.Router]
	if h != nil && h.Writes >= c.Writes || d.latest[c.VM] > c.Start {
		return nil, false
	}
	if c.Leaves {
		a.leave(shard, d, c)
		return nil, true
	}
	next := &Holder{VM: c.VM, Start: c.Start, Writes: c.Writes, Wall: c.Allowances.Sent.Wall, Rows: make(map[ident.OrgID]Row)}
	if h != nil {
		for id, row := range h.Rows {
			next.Rows[id] = row
		}
	}
	grants := make(map[ident.OrgID]Grant)
	for id, n := range c.Needs {
		if acc := a.orgs[id]; acc != nil && a.layout.ShardOf(id) == shard {
			had := next.Rows[id]
			grants[id] = a.grant(d, id, c.Router, n, had)
			next.Rows[id] = grants[id].Row
			d.change(c.Router, id, had, grants[id].Row)
			l.Holders[c.Router] = next
		}
	}
	return grants, true
}

// grant divides the tokens of one organisation for a claimant. It never takes back what the claimant may be spending.
func (a *Accounts) grant(d *Division, id ident.OrgID, holder ident.RouterID, n Need, had Row) Grant {
	total := a.orgs[id].total
	row, demand := a.row(d, id, holder, need{total: total, used: n.Used, spent: n.Spent, want: n.Want, rate: n.Rate, size: n.Size}, had)
	target := row.Granted
	row.Granted = max(row.Granted, min(n.Floor, had.Granted))
	return Grant{
		Row: row, Target: target,
		SpentByOthers: d.org(id).spent - had.Spent,
		Free:          total - d.org(id).granted + had.Granted - row.Granted,
		Demand:        demand,
	}
}

// leave closes the rows of a claimant that stops.
func (a *Accounts) leave(shard Shard, d *Division, c *Claim) {
	spent := make(map[ident.OrgID]ident.Tokens, len(c.Needs))
	for id, n := range c.Needs {
		if a.layout.ShardOf(id) == shard {
			spent[id] = n.Spent
		}
	}
	left := Departure{Router: c.Router, VM: c.VM, Start: c.Start, Writes: c.Writes, Spent: spent}
	if h := d.ledger.Holders[c.Router]; h != nil {
		for id, row := range h.Rows {
			d.change(c.Router, id, row, Row{Granted: spent[id], Spent: spent[id]})
		}
	}
	d.ledger.Leave(left)
	d.ledger.PutTombstone(left)
}

// Touches reports whether a claim changes the ledger of a shard.
func (a *Accounts) Touches(shard Shard, c *Claim) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id := range c.Needs {
		if a.layout.ShardOf(id) == shard {
			return true
		}
	}
	return false
}

// Bounded returns the allowances of a claim within what was granted to it, or within the floors where that is not
// confirmed.
func (c *Claim) Bounded(grants map[ident.OrgID]Grant) *Allowances {
	out := *c.Allowances
	out.Rows = make(map[ident.OrgID]Allowance, len(c.Allowances.Rows))
	for id, w := range c.Allowances.Rows {
		n, asks := c.Needs[id]
		granted := n.Floor
		if g, ok := grants[id]; ok {
			granted = g.Row.Granted
		}
		if asks {
			w = w.within(granted, n.Used)
		}
		out.Rows[id] = w
	}
	return &out
}
