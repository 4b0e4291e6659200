package quota

import (
	"time"

	"geraniumsaddle/core/ident"
)

// Division is a ledger with the sums that decide how its tokens are divided. The sums follow each row that changes, so
// that a writer divides among many routers without adding up all rows for each of them.
type Division struct {
	ledger *Ledger
	now    time.Duration
	// alive are the holders that count for the division, and latest is the latest start of each VM.
	alive  map[ident.RouterID]bool
	latest map[ident.VMID]ident.ObjectVersion
	orgs   map[ident.OrgID]*sums
}

// sums are those of one organisation. Rate and want are of the holders that are alive.
type sums struct {
	granted, spent, want ident.Tokens
	rate                 float64
}

// Divide returns the sums of a ledger that was just read. Now is the uptime.
func (a *Accounts) Divide(l *Ledger, now time.Duration) *Division {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.divide(l, now)
}

func (a *Accounts) divide(l *Ledger, now time.Duration) *Division {
	d := &Division{
		ledger: l, now: now, alive: map[ident.RouterID]bool{a.cfg.Self: true},
		latest: make(map[ident.VMID]ident.ObjectVersion), orgs: make(map[ident.OrgID]*sums),
	}
	for id, s := range a.seen {
		if now-s.at < a.cfg.LivenessTimeout {
			d.alive[id] = true
		}
	}
	for org, n := range l.Closed {
		d.org(org).granted += n
		d.org(org).spent += n
	}
	for id, h := range l.Holders {
		d.latest[h.VM] = max(d.latest[h.VM], h.Start)
		for org, row := range h.Rows {
			d.change(id, org, Row{}, row)
		}
	}
	return d
}

func (d *Division) org(id ident.OrgID) *sums {
	s := d.orgs[id]
	if s == nil {
		s = &sums{}
		d.orgs[id] = s
	}
	return s
}

// change replaces a row in the sums.
func (d *Division) change(holder ident.RouterID, id ident.OrgID, had, row Row) {
	s := d.org(id)
	s.granted += row.Granted - had.Granted
	s.spent += row.Spent - had.Spent
	if d.alive[holder] {
		s.rate += float64(row.Rate - had.Rate)
		s.want += row.Want - had.Want
	}
}

// others returns the number of routers that are alive beside a holder, their demand and what their requests want.
func (d *Division) others(holder ident.RouterID, id ident.OrgID, had Row) (routers int, rate float64, want ident.Tokens) {
	s := d.org(id)
	if !d.alive[holder] {
		return len(d.alive), s.rate, s.want
	}
	return len(d.alive) - 1, s.rate - float64(had.Rate), s.want - had.Want
}
