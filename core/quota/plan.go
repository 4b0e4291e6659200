package quota

import (
	"math"
	"time"

	"geraniumsaddle/core/ident"
)

const (
	// rateHalfLife is the time in which the average demand follows a change by half.
	rateHalfLife = 3 * time.Second
	// peakHalfLife is the time in which the largest recent request counts half.
	peakHalfLife = 10 * time.Second
	// idlePart is the part of an organisation's tokens that a router without demand takes, so that its first requests
	// need not wait for the store.
	idlePart = 0.01
	// freePart is the part of an organisation's rest that stays unallotted, for routers that start.
	freePart = 0.05
)

// Plan writes this router's next rows into a ledger that was just read. Until Commit or Abort the router spends only
// what both the present and the planned rows allow. A plan whose write got no answer is followed by another Plan.
func (a *Accounts) Plan(l *Ledger, now Uptime) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.observe(l, now.Time)
	elapsed := now.Time - a.planned
	a.planned = now.Time
	h := &Holder{VM: a.cfg.VM, Sent: now, Writes: a.writes + 1, Rows: make(map[ident.OrgID]Row)}
	a.writes++
	old := l.Holders[a.cfg.Self]
	for _, id := range a.ids() {
		acc := a.orgs[id]
		acc.follow(elapsed)
		var had Row
		if old != nil {
			had = old.Rows[id]
		}
		row := a.row(l, id, acc, had, now.Time)
		acc.proposed = row
		acc.granted = min(acc.granted, row.Granted)
		acc.armed = min(acc.armed, row.Armed)
		acc.elsewhere = l.Spent(id) - had.Spent
		if row != (Row{}) {
			h.Rows[id] = row
		}
	}
	l.Holders[a.cfg.Self] = h
}

// Sending records that the planned write is sent. It may take effect from then on.
func (a *Accounts) Sending(now Uptime) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.before, a.sent = a.sent, now.Time
	a.everSent = true
}

// Refused records that the store has refused the write under way, so that it has no effect.
func (a *Accounts) Refused() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent = a.before
}

// Commit applies the planned rows after their write was confirmed. No earlier write can take effect any more.
func (a *Accounts) Commit() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, acc := range a.orgs {
		acc.granted = acc.proposed.Granted
		acc.armed = acc.proposed.Armed
		acc.want = 0
	}
}

// observe notes which holders are alive.
func (a *Accounts) observe(l *Ledger, now time.Duration) {
	for id := range a.seen {
		if l.Holders[id] == nil {
			delete(a.seen, id)
		}
	}
	for id, h := range l.Holders {
		if s, ok := a.seen[id]; id != a.cfg.Self && (!ok || s.writes != h.Writes) {
			a.seen[id] = sighting{h.Writes, now}
		}
	}
}

// follow updates the averages of the demand.
func (acc *account) follow(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	keep := math.Exp2(-float64(elapsed) / float64(rateHalfLife))
	acc.rate = acc.rate*keep + float64(max(acc.asked, 0))/elapsed.Seconds()*(1-keep)
	acc.asked = 0
	acc.peak = ident.Tokens(float64(acc.peak) * math.Exp2(-float64(elapsed)/float64(peakHalfLife)))
}

// row returns the next row of an organisation. The row never falls below what the router has spent and holds.
func (a *Accounts) row(l *Ledger, id ident.OrgID, acc *account, had Row, now time.Duration) Row {
	used := acc.spent + acc.held
	free := acc.total - l.Granted(id)
	rest := max(acc.total-l.Spent(id), 0)
	share, wanted := a.share(l, id, acc, rest, now)
	idle := ident.Tokens(float64(acc.total) * idlePart)
	granted := used + acc.want + max(acc.cover(a.cfg.GrantedFor), acc.peak, idle)
	granted = min(granted, max(acc.spent+share, used+acc.want))
	if wanted > max(free, 0) {
		// Others wait for tokens that this router does not need at once.
		granted = min(granted, used+acc.want+acc.cover(a.cfg.ArmedFor)/4)
	}
	granted = max(granted, used)
	if granted > had.Granted {
		granted = had.Granted + max(min(granted-had.Granted, free), 0)
	}
	armed := used + acc.want + max(acc.cover(a.cfg.ArmedFor), acc.peak, idle)
	armed = min(armed, granted)
	return Row{Granted: granted, Armed: armed, Spent: acc.spent, Rate: ident.Tokens(acc.rate), Want: acc.want}
}

// cover returns the tokens that the present demand uses in a time.
func (acc *account) cover(d time.Duration) ident.Tokens {
	return ident.Tokens(acc.rate * d.Seconds())
}

// share returns this router's part of the rest by demand, and what waiting requests of others lack.
func (a *Accounts) share(l *Ledger, id ident.OrgID, acc *account, rest ident.Tokens, now time.Duration) (share, wanted ident.Tokens) {
	const base = 1 // tokens per second that count for a router without demand
	own := acc.rate + base
	sum := own
	for other, s := range a.seen {
		if now-s.at >= a.cfg.Alive {
			continue
		}
		row := l.Holders[other].Rows[id]
		sum += float64(row.Rate) + base
		wanted += row.Want
	}
	return ident.Tokens(float64(rest) * (1 - freePart) * own / sum), wanted
}
