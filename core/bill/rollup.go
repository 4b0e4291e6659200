package bill

import (
	"cmp"
	"slices"
	"time"

	"geraniumsaddle/core/ident"
)

// Line is the sum of the bills that have the same budget, key and model or service.
type Line struct {
	Budget       ident.BudgetID  `json:"budget"`
	Key          ident.KeyID     `json:"key"`
	Model        ident.ModelID   `json:"model,omitempty"`
	Service      ident.ServiceID `json:"service,omitempty"`
	Requests     int64           `json:"requests"`
	Unknown      int64           `json:"unknown,omitempty"` // number of requests with an unknown outcome
	PromptTokens ident.Tokens    `json:"prompt_tokens"`
	OutputTokens ident.Tokens    `json:"output_tokens"`
	Billed       ident.Tokens    `json:"billed"`
	OverBound    ident.Tokens    `json:"over_bound,omitempty"`
}

// addCounts adds the counts of other to l.
func (l *Line) addCounts(other *Line) {
	l.Requests += other.Requests
	l.Unknown += other.Unknown
	l.PromptTokens += other.PromptTokens
	l.OutputTokens += other.OutputTokens
	l.Billed += other.Billed
	l.OverBound += other.OverBound
}

// compareKeys orders lines by budget, key, model and service.
func (l *Line) compareKeys(other *Line) int {
	return cmp.Or(cmp.Compare(l.Budget, other.Budget), cmp.Compare(l.Key, other.Key),
		cmp.Compare(l.Model, other.Model), cmp.Compare(l.Service, other.Service))
}

func (b *Bill) toLine() Line {
	l := Line{
		Budget: b.Budget, Key: b.Key, Model: b.Model, Service: b.Service, Requests: 1,
		PromptTokens: b.PromptTokens, OutputTokens: b.OutputTokens, Billed: b.Billed, OverBound: b.OverBound,
	}
	if b.Outcome == ident.OutcomeUnknown {
		l.Unknown = 1
	}
	return l
}

// sumLines sorts the lines and merges those with the same budget, key, model and service.
func sumLines(lines []Line) []Line {
	lines = slices.Clone(lines)
	slices.SortFunc(lines, func(x, y Line) int { return x.compareKeys(&y) })
	var sum []Line
	for i := range lines {
		if n := len(sum); n > 0 && sum[n-1].compareKeys(&lines[i]) == 0 {
			sum[n-1].addCounts(&lines[i])
			continue
		}
		sum = append(sum, lines[i])
	}
	return sum
}

// DayRollup accumulates the pages of one day for one organisation. The order of the pages has no effect.
type DayRollup struct {
	org           ident.OrgID
	day           time.Time
	seenPages     map[string]bool
	billedEarlier map[ident.RequestID]bool
	bills         map[ident.RequestID]Bill
}

// NewDayRollup returns an empty roll-up of the UTC day that contains day.
func NewDayRollup(org ident.OrgID, day time.Time) *DayRollup {
	return &DayRollup{
		org: org, day: day.UTC().Truncate(24 * time.Hour), seenPages: make(map[string]bool),
		billedEarlier: make(map[ident.RequestID]bool), bills: make(map[ident.RequestID]Bill),
	}
}

// Add adds a page and reports whether it was new. A page of an earlier day only marks its requests as billed, so that a
// second bill of such a request is not counted. A page of a later day has no effect.
func (d *DayRollup) Add(p *Page) bool {
	id, err := ParsePageID(p.Name)
	if err != nil || d.seenPages[p.Name] || id.Day.After(d.day) {
		return false
	}
	d.seenPages[p.Name] = true
	for _, b := range p.Bills {
		if b.Org != d.org {
			continue
		}
		if id.Day.Before(d.day) {
			d.billedEarlier[b.RequestID] = true
			continue
		}
		if old, ok := d.bills[b.RequestID]; !ok || supersedes(&b, &old) {
			d.bills[b.RequestID] = b
		}
	}
	return true
}

// supersedes reports whether b counts instead of old, a bill of the same request. The two are equal unless a router
// billed a stream of which it saw only a part, so the larger bill is the complete one.
func supersedes(b, old *Bill) bool {
	c := cmp.Or(cmp.Compare(b.Billed, old.Billed), cmp.Compare(b.OutputTokens, old.OutputTokens),
		cmp.Compare(old.Router, b.Router), old.At.Compare(b.At))
	return c > 0
}

// DaySum is the roll-up of one day.
type DaySum struct {
	Day   string `json:"day"`   // as in page names
	Pages int    `json:"pages"` // number of pages of the day
	Lines []Line `json:"lines"`
}

// Sum returns the sum of the day with its lines sorted.
func (d *DayRollup) Sum() DaySum {
	s := DaySum{Day: d.day.Format(dayLayout)}
	for name := range d.seenPages {
		if id, err := ParsePageID(name); err == nil && id.Day.Equal(d.day) {
			s.Pages++
		}
	}
	lines := make([]Line, 0, len(d.bills))
	for id, b := range d.bills {
		if !d.billedEarlier[id] {
			lines = append(lines, b.toLine())
		}
	}
	s.Lines = sumLines(lines)
	return s
}
