package quota

import (
	"time"

	"geraniumsaddle/core/ident"
)

// Division is a ledger with the sums that determine how its tokens are divided. The sums are updated with each row that
// changes, so that a writer does not have to add up all rows for each of many routers.
type Division struct {
	ledger *Ledger
	now    time.Duration
	// alive holds the holders that are counted in the division, and latestStartVersion the latest start version of each
	// VM.
	alive              map[ident.RouterID]bool
	latestStartVersion map[ident.VMID]ident.ObjectVersion
	orgs               map[ident.OrgID]*orgSums
}

// orgSums are the totals of one organisation. rate and want cover only the holders that are alive.
type orgSums struct {
	granted, spent, want ident.Tokens
	// presumed is the part of spent that may not have been spent.
	presumed ident.Tokens
	rate     float64
}

// Divide sums up a ledger that was read at the uptime now.
func (a *Accounts) Divide(l *Ledger, now time.Duration) *Division {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.divide(l, now)
}

func (a *Accounts) divide(l *Ledger, now time.Duration) *Division {
	d := &Division{
		ledger: l, now: now, alive: map[ident.RouterID]bool{a.cfg.Self: true},
		latestStartVersion: make(map[ident.VMID]ident.ObjectVersion), orgs: make(map[ident.OrgID]*orgSums),
	}
	for id, s := range a.observations {
		if now-s.at < a.cfg.LivenessTimeout {
			d.alive[id] = true
		}
	}
	for org, n := range l.Closed {
		d.sumsFor(org).granted += n
		d.sumsFor(org).spent += n
	}
	if l.Recovery != nil {
		for org, n := range l.Recovery.Reserve {
			d.sumsFor(org).granted += n
			d.sumsFor(org).spent += n
			d.sumsFor(org).presumed += n // a lost router may not have spent it
		}
	}
	for org, n := range l.Presumed {
		d.sumsFor(org).presumed += n
	}
	for id, h := range l.Holders {
		d.latestStartVersion[h.VM] = max(d.latestStartVersion[h.VM], h.StartVersion)
		for org, row := range h.Rows {
			d.replaceRow(id, org, Row{}, row)
		}
		for org, n := range h.Assumed {
			d.sumsFor(org).presumed += n
		}
	}
	return d
}

func (d *Division) sumsFor(id ident.OrgID) *orgSums {
	s := d.orgs[id]
	if s == nil {
		s = &orgSums{}
		d.orgs[id] = s
	}
	return s
}

// assumedBy returns what the holder has stored as only assumed to be spent.
func (d *Division) assumedBy(holder ident.RouterID, id ident.OrgID) ident.Tokens {
	if h := d.ledger.Holders[holder]; h != nil {
		return h.Assumed[id]
	}
	return 0
}

// replaceRow replaces a holder's row in the sums.
func (d *Division) replaceRow(holder ident.RouterID, id ident.OrgID, oldRow, row Row) {
	s := d.sumsFor(id)
	s.granted += row.Granted - oldRow.Granted
	s.spent += row.Spent - oldRow.Spent
	if d.alive[holder] {
		s.rate += float64(row.Rate - oldRow.Rate)
		s.want += row.Want - oldRow.Want
	}
}

// others returns the number of live routers other than the holder, their demand in tokens per second and the tokens
// that their waiting requests lack.
func (d *Division) others(holder ident.RouterID, id ident.OrgID, oldRow Row) (routers int, rate float64, want ident.Tokens) {
	s := d.sumsFor(id)
	if !d.alive[holder] {
		return len(d.alive), s.rate, s.want
	}
	return len(d.alive) - 1, s.rate - float64(oldRow.Rate), s.want - oldRow.Want
}
