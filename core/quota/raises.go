package quota

import (
	"time"

	"geraniumsaddle/core/ident"
)

// rewriteTime is the time after a recovery within which the operator writes again what the store has lost. It is that of the
// oldest copies.
const rewriteTime = 30 * time.Second

// joinTotals returns the totals that the reserves of ledgers cover, or nil if neither ledger waits for the operator to write
// again what an earlier rewind has lost.
func joinTotals(ledgers ...*Ledger) map[ident.OrgID]ident.Tokens {
	var totals map[ident.OrgID]ident.Tokens
	for _, l := range ledgers {
		if l == nil || l.Recovery == nil || l.Recovery.Totals == nil {
			continue
		}
		if totals == nil {
			totals = make(map[ident.OrgID]ident.Tokens)
		}
		for id, n := range l.Recovery.Totals {
			totals[id] = max(totals[id], n)
		}
	}
	return totals
}

// reserveRaise sets aside what is unallotted of an organisation's tokens up to a total, as far as no reserve covers it.
func (l *Ledger) reserveRaise(id ident.OrgID, total ident.Tokens) {
	r := l.Recovery
	if total <= r.Totals[id] {
		return
	}
	if n := min(total-r.Totals[id], total-l.Granted(id)); n > 0 {
		if r.Reserve == nil {
			r.Reserve = make(map[ident.OrgID]ident.Tokens)
		}
		r.Reserve[id] += n
	}
	r.Totals[id] = total
}

// raises are the totals that a process has seen while the operator writes again what the store has lost in a rewind.
type raises struct {
	era    ident.Era
	since  time.Duration
	totals map[ident.OrgID]ident.Tokens
}

// noteRaises notes the totals within rewriteTime after this process has seen a recovery.
func (a *Accounts) noteRaises(now time.Duration) {
	if a.raises.era == 0 || now-a.raises.since >= rewriteTime {
		return
	}
	for id, acc := range a.orgs {
		a.raises.totals[id] = max(a.raises.totals[id], acc.total)
	}
}

// coverRaises reserves what organisations seem to have paid since a recovery with lost VMs, while the operator writes again
// what was lost: lost routers may have been granted it before. Later changes bring new tokens.
func (a *Accounts) coverRaises(shard Shard, l *Ledger, now time.Duration) {
	r := l.Recovery
	if r == nil || !r.Settled || r.Totals == nil {
		return
	}
	if a.raises.era != r.Era {
		a.raises = raises{era: r.Era, since: now, totals: make(map[ident.OrgID]ident.Tokens)}
	}
	a.noteRaises(now)
	for id, total := range a.raises.totals {
		if a.layout.ShardOf(id) == shard {
			l.reserveRaise(id, total)
		}
	}
	if now-a.raises.since >= rewriteTime {
		r.Totals = nil
	}
}
