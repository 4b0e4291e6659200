package node

import (
	"cmp"
	"context"
	"slices"
	"time"

	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

const (
	// reportEvery is the interval of reports for accounts on which no request waits.
	reportEvery = time.Second
	// shortSpacing bounds the reports of a shard on which requests wait.
	shortSpacing = 10 * time.Millisecond
	reportWait   = 3 * time.Second
	openFor      = 5 * time.Second
)

// shardState is the control goroutine's record of the reports for one shard.
type shardState struct {
	running bool
	sentAt  time.Time
	// last holds the counters of each account in its latest accepted report.
	last map[escrow.EntryID]escrow.Report
	// open holds the reports that wait for an answer.
	open []escrow.Report
}

// ledgerClient reports accounts to the writers of their shards. It belongs to the control goroutine.
type ledgerClient struct {
	n      *Node
	shards map[object.Key]*shardState
	// openUntil is the end of the time in which new accounts report more often, so that a router that starts has its
	// first allotments soon.
	openUntil time.Time
}

func newLedgerClient(n *Node) *ledgerClient {
	return &ledgerClient{n: n, shards: make(map[object.Key]*shardState)}
}

// tick sends the reports that are due. With short set, requests wait and only the spacing counts.
func (l *ledgerClient) tick(now time.Time, short bool) {
	// A row that opens before the router's record is written could not be closed after the router's death.
	if l.n.transport != nil && !l.n.members.registered.Load() {
		return
	}
	byShard := make(map[object.Key][]*account)
	for _, a := range l.n.accounts.all() {
		if short && !a.Short() {
			continue
		}
		byShard[a.shard] = append(byShard[a.shard], a)
	}
	keys := make([]object.Key, 0, len(byShard))
	for k := range byShard {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b object.Key) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name)) })
	for _, k := range keys {
		st := l.shards[k]
		if st == nil {
			st = &shardState{last: make(map[escrow.EntryID]escrow.Report)}
			l.shards[k] = st
		}
		l.report(k, st, byShard[k], now, short)
	}
}

func (l *ledgerClient) report(k object.Key, st *shardState, accts []*account, now time.Time, short bool) {
	spacing := reportEvery
	if short || now.Before(l.openUntil) {
		spacing = shortSpacing
	}
	if st.running || now.Sub(st.sentAt) < spacing {
		return
	}
	var reports []escrow.Report
	for _, a := range accts {
		a.Rebalance()
		r := a.Report()
		if l.due(st, r) {
			reports = append(reports, r)
		}
	}
	if len(reports) == 0 {
		return
	}
	slices.SortFunc(reports, func(a, b escrow.Report) int { return cmp.Compare(a.Entry, b.Entry) })
	st.running, st.sentAt, st.open = true, now, reports
	l.n.spawn(func(ctx context.Context) { l.n.sendReports(ctx, k, reports) })
}

// due reports whether r tells the writer anything new.
func (l *ledgerClient) due(st *shardState, r escrow.Report) bool {
	old, ok := st.last[r.Entry]
	if !ok || r.RowNumber == 0 || r.Want > 0 || r.Need > 0 {
		return true
	}
	old.Seq = r.Seq
	return old != r
}

// confirmed applies entries of a shard to the accounts.
func (l *ledgerClient) confirmed(ev entriesEvent, now time.Time) {
	for i := range ev.entries {
		if a := l.n.accounts.find(ev.entries[i].ID); a != nil && a.shard == ev.key {
			a.ApplyEntry(ev.version, &ev.entries[i], now)
		}
	}
	st := l.shards[ev.key]
	if st == nil || !ev.endsReport {
		return
	}
	st.running = false
	for _, r := range st.open {
		if written(ev.entries, r) {
			r.Want, r.Need = 0, 0
			st.last[r.Entry] = r
		}
	}
	st.open = nil
}

// written reports whether a confirmed entry shows the counters of a report. The writer leaves out settlements that
// nothing makes urgent until its next flush, so they are reported again.
func written(es []escrow.Entry, r escrow.Report) bool {
	for i := range es {
		if es[i].ID != r.Entry {
			continue
		}
		h := es[i].Holder(r.Holder)
		return h != nil && h.Settled >= r.Settled && h.Returned >= r.Returned && h.In >= r.In && h.Out >= r.Out &&
			h.JournalPeer == r.JournalPeer
	}
	return false
}

// sendReports brings reports to the writer of a shard and hands the confirmed entries to the control goroutine.
func (n *Node) sendReports(ctx context.Context, k object.Key, reports []escrow.Report) {
	ctx, cancel := context.WithTimeout(ctx, reportWait)
	defer cancel()
	ev := entriesEvent{key: k, endsReport: true}
	entries, version, err := n.reportToWriter(ctx, k, reports)
	if err != nil {
		n.log.Debug("ledger report failed", "shard", k.Name, "error", err)
	} else {
		ev.entries, ev.version = entries, version
	}
	n.post(ev)
}

// entriesOf returns the entries of a shard that the reports name.
func entriesOf(s escrow.Shard, reports []escrow.Report) []escrow.Entry {
	var out []escrow.Entry
	for _, r := range reports {
		if e := s.Entry(r.Entry); e != nil {
			out = append(out, *e)
		}
	}
	return out
}

// balance sums the accounts of an organisation as this router knows them.
func (n *Node) ledgerEntry(id ident.BudgetID) *escrow.Entry {
	s, ok := n.writers.cached(escrow.LedgerKey(escrow.BudgetEntryID(id)))
	if !ok {
		return nil
	}
	return s.Entry(escrow.BudgetEntryID(id))
}
