package bill

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// Format is the format of pages and months that this program writes, and the newest that it reads.
const Format = 1

// Bill records what one request was billed. It is identified by RequestID.
type Bill struct {
	RequestID    ident.RequestID `json:"request_id"`
	Org          ident.OrgID     `json:"org"`
	Budget       ident.BudgetID  `json:"budget"`
	Key          ident.KeyID     `json:"key"`
	Model        ident.ModelID   `json:"model,omitempty"`
	Service      ident.ServiceID `json:"service,omitempty"`
	Version      ident.VersionID `json:"version,omitempty"`
	Target       ident.TargetID  `json:"target,omitempty"`
	PromptTokens ident.Tokens    `json:"prompt_tokens"`
	OutputTokens ident.Tokens    `json:"output_tokens"`
	Billed       ident.Tokens    `json:"billed"`
	// OverBound is the usage above the reservation. It is not billed.
	OverBound ident.Tokens   `json:"over_bound,omitempty"`
	Outcome   ident.Outcome  `json:"outcome"`
	Router    ident.RouterID `json:"router"`
	At        time.Time      `json:"at"`
}

func (b *Bill) validate(path string) object.Faults {
	var f object.Faults
	check := func(ok bool, field, message string) {
		if !ok {
			f = append(f, object.Fault{Path: path + "." + field, Message: message})
		}
	}
	check(b.RequestID != "", "request_id", "is required")
	check(b.Org != "", "org", "is required")
	check(b.Budget != "", "budget", "is required")
	check(b.Model == "" || b.Service == "", "model", "only one of model and service is allowed")
	check(inRange(b.PromptTokens), "prompt_tokens", rangeMessage)
	check(inRange(b.OutputTokens), "output_tokens", rangeMessage)
	check(inRange(b.Billed), "billed", rangeMessage)
	check(inRange(b.OverBound), "over_bound", rangeMessage)
	check(b.Outcome.Valid(), "outcome", `must be "run", "not_run" or "unknown"`)
	check(b.Outcome != ident.OutcomeNotRun || b.Billed == 0, "billed", "must be 0 for a request that did not run")
	// The JSON form of time.Time supports no years above 9999.
	check(b.At.Year() >= 1970 && b.At.Year() <= 9999, "at", "must be between 1970 and 9999")
	return f
}

// maxBilled is the largest token count in a bill. It keeps the sums of a month from overflowing.
const maxBilled ident.Tokens = 1 << 40

var rangeMessage = fmt.Sprintf("must be between 0 and %d", maxBilled)

func inRange(n ident.Tokens) bool { return n >= 0 && n <= maxBilled }

// Page is an object that holds bills of one router. It is created only if absent and never modified.
type Page struct {
	Format int    `json:"format"`
	Name   string `json:"name"` // <day>.<router>.<seq>
	Bills  []Bill `json:"bills"`
}

// Key returns the identity of the page.
func (p *Page) Key() object.Key { return object.Key{Kind: object.KindBills, Name: p.Name} }

const dayLayout = "20060102"

// PageID is the parsed form of a page name. Day is the UTC day on which the page was sealed.
type PageID struct {
	Day    time.Time
	Router ident.RouterID
	Seq    uint64
}

// String returns the page name.
func (id PageID) String() string {
	return fmt.Sprintf("%s.%s.%d", id.Day.UTC().Format(dayLayout), id.Router, id.Seq)
}

// ParsePageID parses a page name.
func ParsePageID(name string) (PageID, error) {
	day, rest, _ := strings.Cut(name, ".")
	at, err := time.Parse(dayLayout, day)
	i := strings.LastIndexByte(rest, '.')
	if err != nil || i <= 0 {
		return PageID{}, trace.BadParameter("page name %q is not <day>.<router>.<seq>", name)
	}
	seq, err := strconv.ParseUint(rest[i+1:], 10, 64)
	if err != nil {
		return PageID{}, trace.BadParameter("page name %q: sequence is not a number", name)
	}
	return PageID{Day: at, Router: ident.RouterID(rest[:i]), Seq: seq}, nil
}

// DecodePage decodes and validates a page. It rejects a newer format.
func DecodePage(b []byte) (*Page, error) {
	var p Page
	if err := json.Unmarshal(b, &p); err != nil {
		return nil, trace.BadParameter("page is not valid JSON: %v", err)
	}
	if p.Format < 1 || p.Format > Format {
		return nil, trace.BadParameter("page format must be between 1 and %d", Format)
	}
	_, err := ParsePageID(p.Name)
	errs := []error{err}
	for i := range p.Bills {
		errs = append(errs, p.Bills[i].validate(fmt.Sprintf("bills[%d]", i)).Err())
	}
	if err := errors.Join(errs...); err != nil {
		return nil, trace.BadParameter("page is invalid: %v", err)
	}
	return &p, nil
}

// Encode returns the JSON form.
func (p *Page) Encode() ([]byte, error) {
	b, err := json.Marshal(p)
	return b, trace.Wrap(err)
}
