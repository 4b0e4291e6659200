package bill

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

const (
	monthLayout = "200601"
	// KeepPages is the retention period of bill pages.
	KeepPages = 90 * 24 * time.Hour
)

// MonthRollup holds the sums of an organisation's bills of one month. A bill belongs to the day of its page.
type MonthRollup struct {
	Format int         `json:"format"`
	Org    ident.OrgID `json:"org"`
	Month  string      `json:"month"` // yyyymm
	// Through is the watermark, the last closed day. Lines holds the final sums up to that day, and later changes to
	// those days have no effect. Through is empty until the first day is closed.
	Through string   `json:"through,omitempty"`
	Lines   []Line   `json:"lines,omitempty"`
	Days    []DaySum `json:"days,omitempty"` // days after Through, in order
}

// NewMonthRollup returns the empty roll-up of the month that contains at, in UTC.
func NewMonthRollup(org ident.OrgID, at time.Time) *MonthRollup {
	return &MonthRollup{Format: Format, Org: org, Month: at.UTC().Format(monthLayout)}
}

// Key returns the identity of the roll-up.
func (m *MonthRollup) Key() object.Key {
	return object.Key{Kind: object.KindBills, Name: "month." + m.Month + "." + string(m.Org)}
}

// SetDay sets the sum of a day and reports whether the roll-up changed. A sum only replaces one of fewer pages, so that
// a late page is counted and a repeated roll-up has no effect.
func (m *MonthRollup) SetDay(s DaySum) bool {
	if len(s.Day) != len(dayLayout) || s.Day[:len(monthLayout)] != m.Month || s.Day <= m.Through {
		return false
	}
	i, ok := slices.BinarySearchFunc(m.Days, s.Day, func(d DaySum, day string) int {
		switch {
		case d.Day < day:
			return -1
		case d.Day > day:
			return 1
		}
		return 0
	})
	if !ok {
		m.Days = slices.Insert(m.Days, i, s)
		return true
	}
	if m.Days[i].Pages >= s.Pages {
		return false
	}
	m.Days[i] = s
	return true
}

// Close makes the sums up to a day final and reports whether the roll-up changed. It merges the lines of the closed
// days to keep the object small, because a large organisation has hundreds of lines per day.
func (m *MonthRollup) Close(day time.Time) bool {
	through := day.UTC().Format(dayLayout)
	if through <= m.Through {
		return false
	}
	m.Through = through
	n := 0
	for n < len(m.Days) && m.Days[n].Day <= through {
		m.Lines = append(m.Lines, m.Days[n].Lines...)
		n++
	}
	m.Lines = sumLines(m.Lines)
	m.Days = slices.Delete(m.Days, 0, n)
	return true
}

// Expired reports whether a page may be deleted. Its day must not be after through, the last day that is rolled up for
// every organisation, and it must be older than KeepPages.
func Expired(id PageID, through, now time.Time) bool {
	return !id.Day.After(through) && now.Sub(id.Day) > KeepPages
}

// DecodeMonth decodes and validates a roll-up. It rejects a newer format.
func DecodeMonth(b []byte) (*MonthRollup, error) {
	var m MonthRollup
	if err := json.Unmarshal(b, &m); err != nil {
		return nil, trace.BadParameter("month is not valid JSON: %v", err)
	}
	if m.Format < 1 || m.Format > Format {
		return nil, trace.BadParameter("month format must be between 1 and %d", Format)
	}
	if _, err := time.Parse(monthLayout, m.Month); err != nil || m.Org == "" {
		return nil, trace.BadParameter("month and org are required")
	}
	if err := validateLines("lines", m.Lines); err != nil {
		return nil, err
	}
	for i, d := range m.Days {
		path := fmt.Sprintf("days[%d]", i)
		if _, err := time.Parse(dayLayout, d.Day); err != nil || d.Day[:len(monthLayout)] != m.Month ||
			d.Day <= m.Through || i > 0 && d.Day <= m.Days[i-1].Day || d.Pages < 0 {
			return nil, trace.BadParameter("%s.day must be in the month, after through and sorted", path)
		}
		if err := validateLines(path+".lines", d.Lines); err != nil {
			return nil, err
		}
	}
	return &m, nil
}

// maxLines and maxLineTokens limit the number of lines and their counts, so that the sums of a month stay below 2^63.
const (
	maxLines                   = 1 << 14
	maxLineTokens ident.Tokens = 1 << 44
)

func validateLines(path string, lines []Line) error {
	if len(lines) > maxLines {
		return trace.BadParameter("%s must have at most %d items", path, maxLines)
	}
	for i, l := range lines {
		for _, n := range [...]ident.Tokens{
			ident.Tokens(l.Requests), ident.Tokens(l.Unknown), l.PromptTokens, l.OutputTokens, l.Billed, l.OverBound,
		} {
			if n < 0 || n > maxLineTokens {
				return trace.BadParameter("%s[%d] has a count outside 0 to %d", path, i, maxLineTokens)
			}
		}
	}
	return nil
}

// Encode returns the JSON form.
func (m *MonthRollup) Encode() ([]byte, error) {
	b, err := json.Marshal(m)
	return b, trace.Wrap(err)
}
