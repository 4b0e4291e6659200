package digest

import (
	"time"

	"geraniumsaddle/core/ident"
)

const (
	// MaxAge is the age from which a digest no longer counts. Requests last a second or so.
	MaxAge = time.Second
	// maxSources bounds the routers whose digests are kept.
	maxSources = 64
)

// Table adds up the digests of other routers. It is not safe for concurrent use.
type Table struct {
	sources map[string]*source
	totals  map[Key]Work
}

// source is the newest digest of a VM.
type source struct {
	epoch, seq uint64
	rows       []Row
	at         time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{sources: make(map[string]*source), totals: make(map[Key]Work)}
}

// Apply replaces what a router has told before, and reports whether the digest was newer than that. The rows must be within
// the caller's bounds, and distinct.
func (t *Table) Apply(from ident.RouterID, seq uint64, rows []Row, now time.Time) bool {
	name, epoch, err := from.Split()
	if err != nil {
		return false
	}
	old := t.sources[name]
	if old == nil {
		if len(t.sources) >= maxSources {
			return false
		}
		old = new(source)
		t.sources[name] = old
	} else if epoch < old.epoch || epoch == old.epoch && seq <= old.seq {
		return false
	}
	t.add(old.rows, -1)
	t.add(rows, 1)
	*old = source{epoch, seq, rows, now}
	return true
}

func (t *Table) add(rows []Row, sign int) {
	for _, r := range rows {
		w := t.totals[r.Target]
		w.Running += sign * r.Running
		w.Prefill += ident.Tokens(sign) * r.Prefill
		w.Output += ident.Tokens(sign) * r.Output
		w.Memory += ident.Tokens(sign) * r.Memory
		if w == (Work{}) {
			delete(t.totals, r.Target)
			continue
		}
		t.totals[r.Target] = w
	}
}

// Expire ends the digests that were not renewed. The order of the processes of a VM stays known.
func (t *Table) Expire(now time.Time) {
	for name, s := range t.sources {
		switch age := now.Sub(s.at); {
		case age > time.Minute:
			delete(t.sources, name)
		case age > MaxAge && len(s.rows) > 0:
			s.rows = nil
		default:
			continue
		}
		t.rebuild()
	}
}

// rebuild adds up all digests anew.
func (t *Table) rebuild() {
	clear(t.totals)
	for _, s := range t.sources {
		t.add(s.rows, 1)
	}
}

// Total returns what the other routers have in progress at a target.
func (t *Table) Total(k Key) Work { return t.totals[k] }
