package quota

import "geraniumsaddle/core/ident"

// Memory is what a router process remembers of one ledger across rewinds of the store. The zero value remembers nothing.
type Memory struct {
	// value is the newest value that needs no report of this process, or that was stored with one, and era its era.
	value []byte
	era   ident.Era
	// settled says that the value takes grants.
	settled bool
	// knows is the latest era in which this process could tell the ledger of an earlier one, and reported the latest in
	// which it has done so.
	knows, reported ident.Era
}

// Complete fills in what this process brings to a ledger that was read in the era of the report. A process that has
// seen no more than an unfinished recovery in which its VM was lost still knows nothing of the processes before it.
func (m *Memory) Complete(r Report) (Report, error) {
	if m.era != 0 {
		known, err := DecodeLedger(m.value)
		if err != nil {
			return Report{}, err
		}
		r.Known = known
		isLost := known.recovering() && known.Recovery.Lost[r.VM]
		if known.isBefore(r.Era) && !isLost {
			m.knows = r.Era
		}
	}
	r.KnowsVM = r.KnowsVM || m.knows == r.Era
	r.Done = m.reported == r.Era
	return r, nil
}

// IsCurrent reports whether a ledger that was just read needs no report of this process and nothing that it remembers.
func (m *Memory) IsCurrent(l *Ledger, r Report) bool {
	isHeard := l.Recovery == nil || l.Recovery.Settled && !l.Recovery.Lost[r.VM] && !l.Recovery.Unheard[r.Self]
	return r.Era == 0 || l.Era == r.Era && m.era == r.Era && isHeard
}

// HasReported reports whether this process has seen a value of the era that takes grants.
func (m *Memory) HasReported(era ident.Era) bool { return m.era >= era && m.settled }

// Remember keeps an encoded value of the ledger that needs no report of this process, or that was stored with one.
// settled says that it takes grants.
func (m *Memory) Remember(value []byte, era ident.Era, settled bool) {
	if era != 0 {
		m.value, m.era, m.reported, m.settled = value, era, era, settled
	}
}
