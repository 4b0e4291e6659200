package metric

import (
	"sync"

	"geraniumsaddle/core/ident"
)

// MaxOrgLabels is the number of organisations that have label values of their own.
const MaxOrgLabels = 64

// maxClassLabels is the number of traffic classes that have label values of their own.
const maxClassLabels = 16

const otherLabel = "other"

// labelSet limits the number of different values of a label.
type labelSet struct {
	mu    sync.RWMutex
	limit int
	known map[string]bool
}

func newLabelSet(limit int) *labelSet {
	return &labelSet{limit: limit, known: make(map[string]bool, limit)}
}

// value returns v if it is among the first values up to the limit, and otherLabel otherwise.
func (s *labelSet) value(v string) string {
	s.mu.RLock()
	ok, full := s.known[v], len(s.known) >= s.limit
	s.mu.RUnlock()
	if ok {
		return v
	}
	if full {
		return otherLabel
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known[v] && len(s.known) >= s.limit {
		return otherLabel
	}
	s.known[v] = true
	return v
}

// orgLabel returns the label value of an organisation, or "none" for requests without one.
func orgLabel(s *labelSet, org ident.OrgID) string {
	if org == "" {
		return "none"
	}
	return s.value(string(org))
}
