package bill

import (
	"encoding/csv"
	"encoding/json"
	"io"
	"strconv"

	"github.com/gravitational/trace"

	"geraniumsaddle/core/ident"
)

// Statement lists what an organisation was billed in one month. Total is the sum of Lines.
type Statement struct {
	Org   ident.OrgID `json:"org"`
	Month string      `json:"month"`
	// Final is set when every day of the month is closed.
	Final bool   `json:"final"`
	Lines []Line `json:"lines"`
	Total Total  `json:"total"`
}

// Total is the sum over all lines of a statement.
type Total struct {
	Requests     int64        `json:"requests"`
	Unknown      int64        `json:"unknown"`
	PromptTokens ident.Tokens `json:"prompt_tokens"`
	OutputTokens ident.Tokens `json:"output_tokens"`
	Billed       ident.Tokens `json:"billed"`
	OverBound    ident.Tokens `json:"over_bound"`
}

// Statement returns the statement of the month, including days that are not closed yet.
func (m *MonthRollup) Statement() Statement {
	lines := append([]Line{}, m.Lines...)
	for _, d := range m.Days {
		lines = append(lines, d.Lines...)
	}
	s := Statement{Org: m.Org, Month: m.Month, Final: m.Through >= m.Month+"31", Lines: sumLines(lines)}
	var sum Line
	for i := range s.Lines {
		sum.addCounts(&s.Lines[i])
	}
	s.Total = Total{
		Requests: sum.Requests, Unknown: sum.Unknown, PromptTokens: sum.PromptTokens,
		OutputTokens: sum.OutputTokens, Billed: sum.Billed, OverBound: sum.OverBound,
	}
	return s
}

// WriteJSON writes the statement as one JSON object.
func (s Statement) WriteJSON(w io.Writer) error { return trace.Wrap(json.NewEncoder(w).Encode(s)) }

var csvHeader = []string{
	"org", "month", "budget", "key", "model", "service", "requests", "unknown",
	"prompt_tokens", "output_tokens", "billed", "over_bound",
}

// WriteCSV writes the statement as CSV: a header, one record per line, and a last record whose budget is "total".
func (s Statement) WriteCSV(w io.Writer) error {
	cw := csv.NewWriter(w)
	records := [][]string{csvHeader}
	for i := range s.Lines {
		records = append(records, s.record(&s.Lines[i]))
	}
	t := s.Total
	records = append(records, s.record(&Line{
		Budget: "total", Requests: t.Requests, Unknown: t.Unknown, PromptTokens: t.PromptTokens,
		OutputTokens: t.OutputTokens, Billed: t.Billed, OverBound: t.OverBound,
	}))
	return trace.Wrap(cw.WriteAll(records))
}

func (s Statement) record(l *Line) []string {
	format := func(v int64) string { return strconv.FormatInt(v, 10) }
	return []string{
		string(s.Org), s.Month, string(l.Budget), string(l.Key), string(l.Model), string(l.Service),
		format(l.Requests), format(l.Unknown), format(int64(l.PromptTokens)), format(int64(l.OutputTokens)),
		format(int64(l.Billed)), format(int64(l.OverBound)),
	}
}
