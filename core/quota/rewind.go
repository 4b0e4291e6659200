package quota

import (
	"cmp"
	"maps"
	"slices"

	"geraniumsaddle/core/ident"
)

// Position orders the values of one ledger. Each write of an era follows the one before it and so contains all that came
// before; Seq counts them.
type Position struct {
	Era ident.Era `json:"era"`
	Seq uint64    `json:"seq"`
}

func (p Position) compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Seq, o.Seq))
}

// Recovery is the state of a ledger whose store has come back from an older copy. Until it has settled, each router
// reports what it knows, and nobody is granted tokens.
type Recovery struct {
	// Era is the era that the recovery belongs to.
	Era ident.Era `json:"era"`
	// Base is the newest value of an earlier era that the ledger contains.
	Base Position `json:"base"`
	// Reported holds the VMs whose router has written its own row, with that router. Pending holds the VMs that are
	// awaited, and Lost those that were not heard in time or whose process knows nothing of the time before.
	Reported map[ident.VMID]ident.RouterID `json:"reported,omitempty"`
	Pending  map[ident.VMID]bool           `json:"pending,omitempty"`
	Lost     map[ident.VMID]bool           `json:"lost,omitempty"`
	Settled  bool                          `json:"settled,omitempty"`
	// Reserve is what lost VMs may have been granted beyond their rows.
	Reserve map[ident.OrgID]ident.Tokens `json:"reserve,omitempty"`
	// Totals are the paid tokens that the reserve covers. What organisations seem to pay beyond them was also lost with the
	// store, as long as the operator writes again what was lost. It is nil after that time, and without a lost VM.
	Totals map[ident.OrgID]ident.Tokens `json:"totals,omitempty"`
	// Unheard holds the holders of lost VMs that had rows and did not report. Such a holder may have returned tokens in the
	// lost time, which another lost one may have been granted, so that its rows free no tokens.
	Unheard map[ident.RouterID]bool `json:"unheard,omitempty"`
}

// Report is what a router brings to the recovery of a ledger.
type Report struct {
	// Self and VM identify the process.
	Self ident.RouterID
	VM   ident.VMID
	// Era is the era of the store in which the ledger was read, and Created that in which the fleet began.
	Era, Created ident.Era
	// Known is the newest value of the ledger that this process has written or read, or nil.
	Known *Ledger
	// KnowsVM says that this process knows all that its VM may have been granted before the rewind. Memory.Complete sets it
	// if the process remembers the ledger.
	KnowsVM bool
	// Done says that this process has reported in this era.
	Done bool
	// VMs are the VMs of the fleet, of which a report is awaited.
	VMs []ident.VMID
	// Expired says that this process has waited for the other reports for long enough.
	Expired bool
}

// Stamp marks a value that is about to be written in an era. A platform without eras needs no marks.
func (l *Ledger) Stamp(era ident.Era) {
	if era != 0 {
		l.Era = era
		l.Seq++
	}
}

// position returns what the ledger contains of the time in which tokens were granted. A recovery that has not settled has
// granted none, so that it is where its base was.
func (l *Ledger) position() Position {
	if l.recovering() {
		return l.Recovery.Base
	}
	return Position{Era: l.Era, Seq: l.Seq}
}

func (l *Ledger) recovering() bool { return l.Recovery != nil && !l.Recovery.Settled }

// Reserved returns what of an organisation's tokens is set aside for lost VMs.
func (l *Ledger) Reserved(org ident.OrgID) ident.Tokens {
	if l.Recovery == nil {
		return 0
	}
	return l.Recovery.Reserve[org]
}

// trusts reports whether tokens of a holder that has ended may be returned by its allowances. Others may have followed those
// from before a rewind and may have been lost.
func (l *Ledger) trusts(id ident.RouterID, a *Allowances) bool {
	return a != nil && !l.isUnheard(id) && (l.Recovery == nil || a.Era >= l.Recovery.Era)
}

func (l *Ledger) isUnheard(id ident.RouterID) bool {
	return l.Recovery != nil && l.Recovery.Unheard[id]
}

// beforeRewind reports whether the ledger as read still has to be brought into the era of the report.
func (l *Ledger) beforeRewind(r Report) bool {
	if l.Recovery != nil && l.Recovery.Era >= r.Era {
		return false
	}
	switch {
	case l.Era != 0:
		return l.Era < r.Era || r.Known.isBefore(r.Era)
	case len(l.Holders) == 0:
		// The ledger may have been there in an earlier era.
		return r.Created != 0 && r.Created < r.Era || r.Known.isBefore(r.Era)
	}
	return r.Known.isBefore(r.Era)
}

// isBefore reports whether a known ledger is of an earlier era.
func (l *Ledger) isBefore(era ident.Era) bool { return l != nil && l.Era != 0 && l.Era < era }

// NeedsReport reports whether a ledger that was just read takes no grants: it has not recovered from a rewind, or this
// router has not reported in time.
func (l *Ledger) NeedsReport(r Report) bool {
	isLate := l.isUnheard(r.Self) || l.Recovery != nil && l.Recovery.Lost[r.VM] && r.KnowsVM && !r.Done
	return r.Era != 0 && (l.beforeRewind(r) || l.recovering() || isLate)
}

// PlanReport puts what this router knows into a ledger that needs its report, and returns the ledger to write. CommitGrants
// applies it like planned grants. The row of this router is what it may spend, which it does not change.
func (a *Accounts) PlanReport(shard Shard, l *Ledger, r Report, at Moment) *Ledger {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case l.beforeRewind(r):
		l = beginRecovery(l, r)
	case l.recovering() && r.Known != nil && r.Known.position().compare(l.Recovery.Base) > 0:
		l = l.rebase(r.Known)
	}
	a.putOwnRows(shard, l, at)
	l.Recovery.record(r)
	if l.recovering() {
		l.await(r.VMs)
		a.settle(shard, l, r.Expired)
	}
	return l
}

// beginRecovery returns the newer of the stored and the known value in a recovery of its own.
func beginRecovery(stored *Ledger, r Report) *Ledger {
	base, other := stored.clone(), r.Known
	if other != nil && other.position().compare(stored.position()) > 0 {
		base, other = other.clone(), stored
	}
	position := base.position()
	base.join(other)
	lost, unheard := make(map[ident.VMID]bool), make(map[ident.RouterID]bool)
	for _, l := range []*Ledger{base, other} {
		if l != nil && l.recovering() {
			maps.Copy(lost, l.Recovery.Lost)
		}
		if l != nil && l.Recovery != nil {
			maps.Copy(unheard, l.Recovery.Unheard)
		}
	}
	totals := joinTotals(base, other)
	base.closeReserve()
	base.Recovery = &Recovery{Era: r.Era, Base: position, Reported: make(map[ident.VMID]ident.RouterID), Lost: lost, Unheard: unheard,
		Totals: totals}
	base.Era, base.Seq = stored.Era, max(stored.Seq, base.Seq)
	return base
}

// rebase replaces the base of a recovery by a newer value and keeps the rows that were reported.
func (l *Ledger) rebase(known *Ledger) *Ledger {
	out := known.clone()
	out.join(l)
	for _, id := range l.Recovery.Reported {
		if h := l.Holders[id]; h != nil {
			out.Holders[id] = h
		}
	}
	if out.recovering() {
		for vm := range out.Recovery.Lost {
			setVM(&l.Recovery.Lost, vm)
		}
	}
	if out.Recovery != nil {
		for id := range out.Recovery.Unheard {
			l.Recovery.setUnheard(id)
		}
	}
	l.Recovery.Totals = joinTotals(l, out)
	out.closeReserve()
	out.Recovery, out.Era, out.Seq = l.Recovery, l.Era, max(l.Seq, out.Seq)
	out.Recovery.Base = known.position()
	return out
}

// join adds what an older value may hold beyond this one. A value that was written in order is contained in this one. The rows
// of a recovery were reported later than its base, and two values at the same position don't follow each other: of both
// the maximum counts.
func (l *Ledger) join(older *Ledger) {
	if older == nil {
		return
	}
	unordered := older.position() == l.position()
	if !unordered && !older.recovering() {
		return
	}
	for id, h := range older.Holders {
		own := l.Holders[id]
		switch {
		case own == nil && unordered:
			l.Holders[id] = h.clone()
		case own != nil:
			own.join(h)
		}
	}
	for org, n := range older.Closed {
		l.Closed[org] = max(l.Closed[org], n)
	}
	for org, n := range older.Presumed {
		setPositive(l.Presumed, org, max(l.Presumed[org], n))
	}
}

func (h *Holder) join(other *Holder) {
	h.Writes = max(h.Writes, other.Writes)
	for org, row := range other.Rows {
		own := h.Rows[org]
		own.Granted, own.Spent = max(own.Granted, row.Granted), max(own.Spent, row.Spent)
		if h.Rows == nil {
			h.Rows = make(map[ident.OrgID]Row)
		}
		h.Rows[org] = own
	}
	for org, n := range other.Assumed {
		if h.Assumed == nil {
			h.Assumed = make(map[ident.OrgID]ident.Tokens)
		}
		h.Assumed[org] = max(h.Assumed[org], n)
	}
}

func (h *Holder) clone() *Holder {
	out := *h
	out.Rows, out.Assumed = maps.Clone(h.Rows), maps.Clone(h.Assumed)
	return &out
}

func (l *Ledger) clone() *Ledger {
	out := *l
	out.Closed, out.Presumed = maps.Clone(l.Closed), maps.Clone(l.Presumed)
	out.Holders = make(map[ident.RouterID]*Holder, len(l.Holders))
	for id, h := range l.Holders {
		out.Holders[id] = h.clone()
	}
	return &out
}

// closeReserve counts the reserve of an earlier recovery as spent for good.
func (l *Ledger) closeReserve() {
	if l.Recovery == nil {
		return
	}
	for org, n := range l.Recovery.Reserve {
		l.Closed[org] += n
		l.presume(org, n)
	}
}

// record notes that the router of a VM has reported. A VM whose process does not know what an earlier one was granted is
// lost, unless the earlier one has reported.
func (r *Recovery) record(report Report) {
	delete(r.Unheard, report.Self)
	_, reported := r.Reported[report.VM]
	switch {
	case r.Settled:
		if report.KnowsVM {
			delete(r.Lost, report.VM)
		}
		if len(r.Lost) == 0 {
			r.Reserve, r.Totals = nil, nil
		}
	case reported || r.Lost[report.VM]:
	case report.KnowsVM:
		if r.Reported == nil {
			r.Reported = make(map[ident.VMID]ident.RouterID)
		}
		r.Reported[report.VM] = report.Self
	default:
		setVM(&r.Lost, report.VM)
	}
}

func (r *Recovery) setUnheard(id ident.RouterID) {
	if r.Unheard == nil {
		r.Unheard = make(map[ident.RouterID]bool)
	}
	r.Unheard[id] = true
}

func setVM(m *map[ident.VMID]bool, vm ident.VMID) {
	if *m == nil {
		*m = make(map[ident.VMID]bool)
	}
	(*m)[vm] = true
}

// await sets the VMs whose report is awaited: those of the fleet and of the holders.
func (l *Ledger) await(vms []ident.VMID) {
	r := l.Recovery
	for _, vm := range vms {
		setVM(&r.Pending, vm)
	}
	for _, h := range l.Holders {
		setVM(&r.Pending, h.VM)
	}
	maps.DeleteFunc(r.Pending, func(vm ident.VMID, _ bool) bool { return r.Reported[vm] != "" || r.Lost[vm] })
}

// settle ends a recovery when no report is awaited any more. With a lost VM all unallotted tokens are reserved: whatever was
// granted after the newest known value came from them.
func (a *Accounts) settle(shard Shard, l *Ledger, expired bool) {
	r := l.Recovery
	if len(r.Pending) > 0 && !expired {
		return
	}
	for vm := range r.Pending {
		setVM(&r.Lost, vm)
	}
	r.Pending, r.Settled = nil, true
	if len(r.Lost) == 0 {
		return
	}
	for id, h := range l.Holders {
		if r.Lost[h.VM] && id != a.cfg.Self && len(h.Rows) > 0 {
			r.setUnheard(id)
		}
	}
	r.Reserve = make(map[ident.OrgID]ident.Tokens)
	if r.Totals == nil {
		r.Totals = make(map[ident.OrgID]ident.Tokens)
	}
	for id, acc := range a.orgs {
		if a.layout.ShardOf(id) != shard {
			continue
		}
		if unallotted := acc.total - l.Granted(id); unallotted > 0 {
			r.Reserve[id] = unallotted
		}
		r.Totals[id] = max(r.Totals[id], acc.total)
	}
}

// putOwnRows puts this router's rows into the ledger exactly as it may spend them. If the recovery has settled without
// it, the row grows out of the reserve.
func (a *Accounts) putOwnRows(shard Shard, l *Ledger, at Moment) {
	a.writes++
	h := &Holder{VM: a.cfg.VM, StartVersion: a.startVersion, Writes: a.writes, Wall: at.Wall, Rows: make(map[ident.OrgID]Row),
		Assumed: make(map[ident.OrgID]ident.Tokens)}
	old, wasUnheard := l.Holders[a.cfg.Self], l.isUnheard(a.cfg.Self)
	for _, id := range a.orgIDs() {
		if a.layout.ShardOf(id) != shard {
			continue
		}
		acc := a.orgs[id]
		row := Row{Granted: max(acc.granted, acc.spent+acc.held), Spent: acc.spent, Rate: ident.Tokens(acc.rate), Want: acc.want}
		if a.stopped {
			row.Granted = acc.spent + acc.held
		}
		if l.Recovery.Settled {
			row.Granted = takeReserved(l, id, old, row.Granted, acc)
		}
		if returned := old.granted(id) - row.Granted; wasUnheard && returned > 0 {
			l.withhold(id, returned)
		}
		acc.nextRow = row
		acc.granted = min(acc.granted, row.Granted)
		if row != (Row{}) {
			h.Rows[id] = row
		}
		setPositive(h.Assumed, id, acc.assumed)
	}
	l.Holders[a.cfg.Self] = h
}

// withhold keeps tokens that an unheard holder has returned from being granted: until the last lost VM has reported, or
// for good if the recovery has not settled yet.
func (l *Ledger) withhold(id ident.OrgID, n ident.Tokens) {
	switch r := l.Recovery; {
	case !r.Settled:
		l.Closed[id] += n
		l.presume(id, n)
	case r.Reserve != nil:
		r.Reserve[id] += n
	}
}

// granted returns what a holder, which may be nil, is granted of an organisation's tokens.
func (h *Holder) granted(id ident.OrgID) ident.Tokens {
	if h == nil {
		return 0
	}
	return h.Rows[id].Granted
}

// takeReserved returns the grant of a router that reports after the recovery has settled: at most what its row, the reserve
// and the unallotted tokens cover, and at least what it has used.
func takeReserved(l *Ledger, id ident.OrgID, old *Holder, granted ident.Tokens, acc *account) ident.Tokens {
	known := old.granted(id)
	taken := min(max(granted-known, 0), l.Reserved(id))
	if taken > 0 {
		l.Recovery.Reserve[id] -= taken
	}
	unallotted := max(acc.total-l.Granted(id)-taken, 0)
	return max(min(granted, known+taken+unallotted), acc.spent+acc.held)
}

// AwaitsOthers reports whether a ledger that takes no grants has this router's report and waits for those of others.
func (l *Ledger) AwaitsOthers(r Report) bool {
	return !r.Expired && !l.beforeRewind(r) && l.recovering() && (l.Recovery.Reported[r.VM] == r.Self || l.Recovery.Lost[r.VM])
}

// PendingVMs returns the sorted VMs whose report is awaited.
func (l *Ledger) PendingVMs() []ident.VMID {
	if l.Recovery == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(l.Recovery.Pending))
}

// LostVMs returns the sorted VMs that were lost in the latest rewind.
func (l *Ledger) LostVMs() []ident.VMID {
	if l.Recovery == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(l.Recovery.Lost))
}

// AllShards returns all shards of the layout.
func (a *Accounts) AllShards() []Shard {
	a.mu.Lock()
	defer a.mu.Unlock()
	shards := make([]Shard, a.layout.Shards)
	for i := range shards {
		shards[i] = Shard(i)
	}
	return shards
}

// SetEra sets the era of the store, with which allowances are marked.
func (a *Accounts) SetEra(era ident.Era) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.era = max(a.era, era)
}
