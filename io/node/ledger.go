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
	// reportInterval is the shortest time between two reports of a shard on which no request waits.
	reportInterval = time.Second
	// urgentReportInterval is the shortest time between two reports of a shard on which requests wait, and of any
	// shard during startupReportPeriod.
	urgentReportInterval = 10 * time.Millisecond
	reportTimeout        = 3 * time.Second
	// startupReportPeriod is how long after a new budget or target the urgent interval applies.
	startupReportPeriod = 5 * time.Second
)

// shardReports is the state of the reports for one shard.
type shardReports struct {
	inFlight bool
	sentAt   time.Time
	// accepted holds the latest report of each account that the shard shows.
	accepted map[escrow.EntryID]escrow.Report
	// unanswered holds the reports in flight.
	unanswered []escrow.Report
}

// ledgerClient reports the router's accounts to the writers of their shards. It belongs to the control goroutine.
type ledgerClient struct {
	n      *Node
	shards map[object.Key]*shardReports
	// startupUntil is the end of the period in which accounts report more often, so that a starting router gets its first
	// allotments soon.
	startupUntil time.Time
}

func newLedgerClient(n *Node) *ledgerClient {
	return &ledgerClient{n: n, shards: make(map[object.Key]*shardReports)}
}

// tick sends the reports that are due. With waitingOnly set, it reports only the accounts that lack tokens for waiting
// requests, at the urgent interval.
func (l *ledgerClient) tick(now time.Time, waitingOnly bool) {
	// A row that is opened before the router record is written could not be closed if this router dies.
	if l.n.transport != nil && !l.n.members.registered.Load() {
		return
	}
	byShard := make(map[object.Key][]*account)
	for _, a := range l.n.accounts.all() {
		if waitingOnly && !a.LacksTokens() {
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
			st = &shardReports{accepted: make(map[escrow.EntryID]escrow.Report)}
			l.shards[k] = st
		}
		l.reportShard(k, st, byShard[k], now, waitingOnly)
	}
}

// reportShard reports the accounts of a shard that have something new, unless a report is in flight or the interval has
// not passed.
func (l *ledgerClient) reportShard(k object.Key, st *shardReports, accts []*account, now time.Time, waitingOnly bool) {
	interval := reportInterval
	if waitingOnly || now.Before(l.startupUntil) {
		interval = urgentReportInterval
	}
	if st.inFlight || now.Sub(st.sentAt) < interval {
		return
	}
	var reports []escrow.Report
	for _, a := range accts {
		a.Rebalance()
		r := a.Report()
		if l.needsReport(st, r) {
			reports = append(reports, r)
		}
	}
	if len(reports) == 0 {
		return
	}
	slices.SortFunc(reports, func(a, b escrow.Report) int { return cmp.Compare(a.Entry, b.Entry) })
	st.inFlight, st.sentAt, st.unanswered = true, now, reports
	l.n.spawn(func(ctx context.Context) { l.n.sendReports(ctx, k, reports) })
}

// needsReport reports whether the account has no row yet, asks for tokens, or differs from its latest accepted report.
func (l *ledgerClient) needsReport(st *shardReports, r escrow.Report) bool {
	old, ok := st.accepted[r.Entry]
	if !ok || r.RowNumber == 0 || r.Want > 0 || r.Need > 0 {
		return true
	}
	old.Seq = r.Seq
	return old != r
}

// applyEntries applies confirmed entries of a shard to the accounts, and ends the shard's report if they answer it.
func (l *ledgerClient) applyEntries(ev entriesEvent, now time.Time) {
	for i := range ev.entries {
		if a := l.n.accounts.find(ev.entries[i].ID); a != nil && a.shard == ev.key {
			a.ApplyEntry(ev.version, &ev.entries[i], now)
		}
	}
	st := l.shards[ev.key]
	if st == nil || !ev.endsReport {
		return
	}
	st.inFlight = false
	for _, r := range st.unanswered {
		if isWritten(ev.entries, r) {
			r.Want, r.Need = 0, 0
			st.accepted[r.Entry] = r
		}
	}
	st.unanswered = nil
}

// isWritten reports whether a confirmed entry shows the counters of a report. The writer may defer settlements until
// its next flush, so they are reported again.
func isWritten(es []escrow.Entry, r escrow.Report) bool {
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

// sendReports sends reports to the writer of a shard and passes the confirmed entries to the control goroutine.
func (n *Node) sendReports(ctx context.Context, k object.Key, reports []escrow.Report) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
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

// budgetEntry returns the ledger entry of a budget from the cached shard, or nil if the shard or the entry is not
// known.
func (n *Node) budgetEntry(id ident.BudgetID) *escrow.Entry {
	s, ok := n.writers.cached(escrow.LedgerKey(escrow.BudgetEntryID(id)))
	if !ok {
		return nil
	}
	return s.Entry(escrow.BudgetEntryID(id))
}
