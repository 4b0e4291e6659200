package budget

import (
	"cmp"
	"slices"
	"time"

	"geraniumsaddle/core/ident"
)

// Stage is how far the current request of a connection is.
type Stage int

// The stages, in the order in which their connections are evicted.
const (
	// ReadingHead means that a part of a head has been read.
	ReadingHead Stage = iota
	// ReadingBody means that the head has been read and the body hasn't.
	ReadingBody
	// Idle means that nothing of the next request has been read.
	Idle
	// Stalled means that the caller doesn't read its answer. The request may have run, so this comes last.
	Stalled
	// Serving means that the request is whole. Its connection is never evicted.
	Serving
	// Evicted means that the connection is being closed to make room.
	Evicted
)

var stageNames = [...]string{"reading_head", "reading_body", "idle", "stalled", "serving", "evicted"}

func (s Stage) String() string { return stageNames[s] }

// EvictableStages returns the stages whose connections may be evicted.
func EvictableStages() []Stage { return []Stage{ReadingHead, ReadingBody, Idle, Stalled} }

// Holder is an open connection.
type Holder struct {
	Stage Stage
	// Held is what is released when the connection is closed.
	Held ident.Bytes
	// LastRead is when the connection last received bytes or became idle. Of a Stalled one, it is when the write began.
	LastRead time.Time
}

// Victims returns the indices of the connections to evict, in order, so that at least n bytes become free once these and the
// ones that are evicted already are closed. Within a stage, the connection that has received nothing for longest comes
// first: a caller with a slow link that keeps sending outlasts one that has stopped. pending says that connections are
// being evicted, with or without the result.
func Victims(holders []Holder, n ident.Bytes) (victims []int, pending bool) {
	candidates := make([]int, 0, len(holders))
	for i, h := range holders {
		switch h.Stage {
		case Evicted:
			n -= h.Held
			pending = true
		case ReadingHead, ReadingBody, Idle, Stalled:
			candidates = append(candidates, i)
		case Serving:
		}
	}
	if n <= 0 {
		return nil, pending
	}
	slices.SortStableFunc(candidates, func(i, j int) int {
		a, b := holders[i], holders[j]
		if c := cmp.Compare(a.Stage, b.Stage); c != 0 {
			return c
		}
		return a.LastRead.Compare(b.LastRead)
	})
	for k, i := range candidates {
		if n -= holders[i].Held; n <= 0 {
			return candidates[:k+1], true
		}
	}
	return candidates, pending || len(candidates) > 0
}
