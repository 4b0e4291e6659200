package quota

import (
	"maps"
	"slices"
	"sync"
	"time"

	"geraniumsaddle/core/ident"
)

// Verdict says whether a request got its tokens.
type Verdict uint8

// The verdicts.
const (
	// Held means that the tokens are reserved.
	Held Verdict = iota
	// Short means that this router lacks the tokens at the moment.
	Short
	// Exhausted means that the organisation has too few tokens left in the whole fleet.
	Exhausted
)

// Config describes the holder and its figures.
type Config struct {
	Self ident.RouterID
	VM   ident.VMID
	// Lease is the time after the last write from which a holder may spend beyond the armed bound.
	Lease time.Duration
	// ArmedFor and GrantedFor are the times of present demand that the two bounds cover.
	ArmedFor, GrantedFor time.Duration
	// Alive is the time for which a holder without a write counts for the division.
	Alive time.Duration
}

// account is this router's part of one organisation's tokens.
type account struct {
	total ident.Tokens
	spent ident.Tokens
	held  ident.Tokens
	// granted and armed are the bounds that hold whichever of the writes under way takes effect.
	granted, armed ident.Tokens
	// proposed is the row of the write under way.
	proposed Row
	// elsewhere is what closed and other holders are known to have spent.
	elsewhere ident.Tokens
	// asked is the demand since the last plan, rate its average, peak the largest recent request.
	asked ident.Tokens
	rate  float64
	peak  ident.Tokens
	want  ident.Tokens
}

// Accounts is the router's side of the ledger. It is safe for concurrent use.
type Accounts struct {
	cfg Config

	mu     sync.Mutex
	orgs   map[ident.OrgID]*account
	writes uint64
	// sent is the uptime at which the last write was sent that may have taken effect, and before that of the one
	// before it.
	sent     time.Duration
	before   time.Duration
	everSent bool
	planned  time.Duration
	left     bool
	seen     map[ident.RouterID]sighting
}

// sighting is when a holder's number of writes was first seen.
type sighting struct {
	writes uint64
	at     time.Duration
}

// New returns accounts without tokens.
func New(cfg Config) *Accounts {
	return &Accounts{cfg: cfg, orgs: make(map[ident.OrgID]*account), seen: make(map[ident.RouterID]sighting)}
}

// SetTotal sets what an organisation has paid for in all.
func (a *Accounts) SetTotal(org ident.OrgID, total ident.Tokens) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.org(org).total = total
}

func (a *Accounts) org(id ident.OrgID) *account {
	acc := a.orgs[id]
	if acc == nil {
		acc = &account{}
		a.orgs[id] = acc
	}
	return acc
}

// Hold reserves n tokens. Now is the uptime of the VM.
func (a *Accounts) Hold(org ident.OrgID, n ident.Tokens, now time.Duration) Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.org(org)
	acc.peak = max(acc.peak, n)
	switch {
	case a.left:
		return Short
	case acc.spent+acc.held+n <= a.bound(acc, now):
		acc.held += n
		acc.asked += n
		return Held
	case acc.spent+acc.elsewhere+n > acc.total:
		return Exhausted
	}
	acc.want = max(acc.want, acc.spent+acc.held+n-acc.armed)
	return Short
}

// bound returns up to which total the router may spend now.
func (a *Accounts) bound(acc *account, now time.Duration) ident.Tokens {
	if a.everSent && now-a.sent >= a.cfg.Lease {
		return acc.granted
	}
	return min(acc.armed, acc.granted)
}

// Settle ends a hold, of which used tokens are billed.
func (a *Accounts) Settle(org ident.OrgID, held, used ident.Tokens) {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.org(org)
	acc.held -= held
	acc.spent += min(max(used, 0), held)
	acc.asked -= held - min(max(used, 0), held)
}

// Wanting reports whether a request waits for tokens.
func (a *Accounts) Wanting() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, acc := range a.orgs {
		if acc.want > 0 {
			return true
		}
	}
	return false
}

// Alive returns the number of holders that have written lately, this one included.
func (a *Accounts) Alive(now time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 1
	for _, s := range a.seen {
		if now-s.at < a.cfg.Alive {
			n++
		}
	}
	return n
}

// Balance is what a router knows of one organisation's tokens.
type Balance struct {
	Total, Spent, Held, Granted, Armed, Elsewhere ident.Tokens
}

// Balance returns the present figures of an organisation.
func (a *Accounts) Balance(org ident.OrgID) Balance {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.org(org)
	return Balance{Total: acc.total, Spent: acc.spent, Held: acc.held, Granted: acc.granted, Armed: acc.armed,
		Elsewhere: acc.elsewhere}
}

// Leave makes the accounts refuse new holds for good. It returns what was spent once nothing is held, and false
// before.
func (a *Accounts) Leave() (map[ident.OrgID]ident.Tokens, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.left = true
	spent := make(map[ident.OrgID]ident.Tokens, len(a.orgs))
	for id, acc := range a.orgs {
		if acc.held > 0 {
			return nil, false
		}
		spent[id] = acc.spent
	}
	return spent, true
}

// ids returns the organisations, ordered.
func (a *Accounts) ids() []ident.OrgID {
	return slices.Sorted(maps.Keys(a.orgs))
}
