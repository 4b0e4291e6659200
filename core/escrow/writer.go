package escrow

import (
	"slices"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// Report is the state of one account as its holder sends it to the writer of the shard. The counters
// are cumulative, so any later report replaces all earlier ones.
type Report struct {
	Entry  EntryID  `json:"entry"`
	Holder HolderID `json:"holder"`
	// RowNumber is the row that the holder has seen in a confirmed entry, or 0 before that. A report with
	// RowNumber 0 only opens a row: its counters are ignored, because a late copy could arrive after the
	// row was closed and would count them twice.
	RowNumber uint64 `json:"open"`
	Seq       uint64 `json:"seq"`
	// Granted is the grant that the holder has seen confirmed. The writer grants more only if it equals the row's grant,
	// which makes a report that is applied twice harmless.
	Granted  ident.Tokens `json:"granted"`
	Returned ident.Tokens `json:"returned"`
	Settled  ident.Tokens `json:"settled"`
	In       ident.Tokens `json:"in"`
	Out      ident.Tokens `json:"out"`
	// Want is what brings the free tokens to the policy's target. Need is what they lack to reach the policy's minimum;
	// other holders return tokens for it when nothing is unallotted.
	Want        ident.Tokens   `json:"want"`
	Need        ident.Tokens   `json:"need"`
	JournalPeer ident.RouterID `json:"journal_peer,omitempty"`
}

// Batch is a set of reports from one failure domain for one shard.
type Batch struct {
	Reports []Report
	Now     time.Time
	// Flush writes counters that only accounting needs. Without it a batch that changes nothing else is not
	// written, which saves a platform call.
	Flush bool
}

// Writer computes the next value of a shard.
type Writer struct {
	Policy Policy
}

// Apply merges a batch into a shard and grants what the policy allows. It returns the new value and
// whether it differs enough to be written. The given shard is not modified. Applying the same batch to
// its own result changes nothing, so a conditional update is retried after a conflict or a lost reply
// by reading the shard and applying the batch again.
func (w Writer) Apply(s Shard, b Batch) (Shard, bool) {
	var order []EntryID
	next := make(map[EntryID]*Entry)
	for _, r := range b.Reports {
		if next[r.Entry] != nil || !r.valid() {
			continue
		}
		if old := s.Entry(r.Entry); old != nil {
			e := old.Clone()
			next[r.Entry] = &e
			order = append(order, r.Entry)
		}
	}
	// All counters are merged before any grant. Otherwise tokens returned by a report that follows a want in
	// the batch would be granted only when the batch is applied again.
	for _, r := range b.Reports {
		if e := next[r.Entry]; e != nil && r.valid() {
			e.mergeReport(r)
		}
	}
	for _, r := range b.Reports {
		if e := next[r.Entry]; e != nil && r.valid() {
			w.grant(e, r, b.Now)
		}
	}
	changed := false
	for _, id := range order {
		e := next[id]
		if !e.needsWrite(s.Entry(id), b.Flush) {
			continue
		}
		if !changed {
			s.Entries = slices.Clone(s.Entries)
			changed = true
		}
		i, _ := s.findEntry(id)
		s.Entries[i] = *e
	}
	return s, changed
}

// valid reports whether the report names a holder and its counters are in range, so that no sum overflows or shrinks.
func (r *Report) valid() bool {
	for _, n := range [...]ident.Tokens{r.Granted, r.Returned, r.Settled, r.In, r.Out, r.Want, r.Need} {
		if n < 0 || n > object.MaxTokens {
			return false
		}
	}
	return r.Holder != ""
}

// mergeReport takes the maxima of the counters of a report and of its row, or opens a row for a holder that has none.
func (e *Entry) mergeReport(r Report) {
	i, ok := e.findHolder(r.Holder)
	if !ok {
		if r.RowNumber == 0 {
			e.openRow(i, r)
		}
		return
	}
	h := &e.Holders[i]
	if r.RowNumber != h.RowNumber {
		return
	}
	h.Returned = max(h.Returned, r.Returned)
	h.Settled = max(h.Settled, r.Settled)
	h.In = max(h.In, r.In)
	h.Out = max(h.Out, r.Out)
	if r.Seq > h.Seq {
		h.Seq = r.Seq
		h.JournalPeer = r.JournalPeer
	}
	e.applyPendingReduction()
}

// grant gives a holder what the policy allows for its latest report, and records its unmet need.
func (w Writer) grant(e *Entry, r Report, now time.Time) {
	i, ok := e.findHolder(r.Holder)
	if !ok || e.Holders[i].RowNumber != r.RowNumber || e.Holders[i].Seq != r.Seq {
		return
	}
	h := &e.Holders[i]
	if !e.Usable(now) {
		h.UnmetNeed = 0
		return
	}
	if h.Granted == r.Granted {
		h.Granted += min(w.Policy.grant(e, i, r.Want), object.MaxTokens-h.Granted)
	}
	h.UnmetNeed = max(0, r.Need-(h.Granted-r.Granted))
}

// needsWrite reports whether e differs from old in a field that other holders wait for or, if flush is set, in a
// counter that only accounting needs.
func (e *Entry) needsWrite(old *Entry, flush bool) bool {
	if len(e.Holders) != len(old.Holders) || e.PendingReduction != old.PendingReduction {
		return true
	}
	for i := range e.Holders {
		h, prev := &e.Holders[i], &old.Holders[i]
		if h.changedForOthers(prev) || flush && h.accountingChanged(prev) {
			return true
		}
	}
	return false
}

// changedForOthers reports whether the row differs in a field that other holders wait for.
func (h *Holder) changedForOthers(old *Holder) bool {
	return h.Granted != old.Granted || h.Returned != old.Returned || h.JournalPeer != old.JournalPeer ||
		(h.UnmetNeed > 0) != (old.UnmetNeed > 0) || h.UnmetNeed > old.UnmetNeed
}

// accountingChanged reports whether the row differs in a counter that only accounting needs.
func (h *Holder) accountingChanged(old *Holder) bool {
	return h.Settled != old.Settled || h.In != old.In || h.Out != old.Out
}

// openRow adds an empty row at index i. The holder must report the row number before it is granted tokens, so that a
// late copy of its first report cannot cause a grant to a closed holder.
func (e *Entry) openRow(i int, r Report) {
	if len(e.Holders) >= MaxHolders {
		return
	}
	e.RowsOpened++
	e.Holders = slices.Insert(e.Holders, i, Holder{ID: r.Holder, RowNumber: e.RowsOpened, JournalPeer: r.JournalPeer})
}
