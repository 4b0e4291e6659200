package quota

import (
	"maps"
	"slices"
	"sync"
	"time"

	"geraniumsaddle/core/ident"
)

// freshFor is the time for which what is unallotted in a ledger tells what its next write can bring.
const freshFor = 500 * time.Millisecond

// Verdict says whether a request got its tokens.
type Verdict uint8

// The verdicts.
const (
	// Held means that the tokens are reserved.
	Held Verdict = iota
	// Insufficient means that this router lacks the tokens at the moment.
	Insufficient
	// Exhausted means that the organisation has too few tokens left in the whole fleet.
	Exhausted
)

// Config describes the holder and its figures.
type Config struct {
	Self ident.RouterID
	VM   ident.VMID
	// HoldOff is the time after the last write from which a holder may spend beyond the allowance.
	HoldOff time.Duration
	// SpareHorizon and GrantHorizon are the times of present demand that the two bounds cover.
	SpareHorizon, GrantHorizon time.Duration
	// LowHorizon is the time of present demand under which a grant counts as low.
	LowHorizon time.Duration
	// IdleShare is the part of an organisation's tokens that all routers together are granted without demand.
	IdleShare float64
	// LivenessTimeout is the time for which a holder without a write counts for the division.
	LivenessTimeout time.Duration
}

// HoldResult is the answer to a request for tokens.
type HoldResult struct {
	Verdict Verdict
	// Granted says that the tokens are granted and only lack an allowance. NextWriteMayCover says that the next write of the ledger can
	// bring them, as far as it is known, and Grows after which time they can be spent if the store stays away, or zero.
	Granted, NextWriteMayCover bool
	GrowthDelay                time.Duration
}

// account is this router's part of one organisation's tokens.
type account struct {
	total ident.Tokens
	spent ident.Tokens
	held  ident.Tokens
	// granted and allowance are the bounds that hold whichever of the writes under way takes effect.
	granted   ident.Tokens
	allowance Allowance
	// row is the stored row as last confirmed.
	row Row
	// known says that the stored row has been confirmed once, and target is what the division left to this router in the
	// last answer to a claim.
	known  bool
	target ident.Tokens
	// beforeClaim is what bound the router before the last claim.
	beforeClaim bounds
	// nextRow and nextAllowance are those of the writes under way.
	nextRow       Row
	nextAllowance Allowance
	// elsewhere is what closed and other holders are known to have spent, and free what nobody has taken, as of an uptime.
	elsewhere, free ident.Tokens
	asOf            time.Duration
	// demand is that of all routers in tokens per second, as last seen.
	demand float64
	// asked is the demand since the last plan, rate its average in tokens per second, and size the average request.
	asked ident.Tokens
	rate  float64
	size  float64
	// want is what the requests need that found too few tokens since the last write of the allowances. They ask again
	// after each write.
	want ident.Tokens
}

// Accounts is the router's side of the ledger. It is safe for concurrent use.
type Accounts struct {
	cfg Config

	mu     sync.Mutex
	orgs   map[ident.OrgID]*account
	fleet  int
	writes uint64
	// sent is the uptime at which the last allowances were sent that may have taken effect, and before that of the one
	// before it.
	sent     time.Duration
	before   time.Duration
	everSent bool
	planned  time.Duration
	left     bool
	seen     map[ident.RouterID]sighting
	// reported holds the clocks that the answers to claims have shown.
	reported map[ident.VMID]clockSeen
	// observed is the uptime at which each ledger was last read.
	observed map[Shard]time.Duration
	layout   Layout
	start    ident.ObjectVersion
}

// clockSeen is another VM's time of day less this VM's uptime, both in milliseconds, at an uptime.
type clockSeen struct {
	ahead int64
	at    time.Duration
}

// bounds are what a router may spend of an organisation's tokens.
type bounds struct {
	granted   ident.Tokens
	allowance Allowance
}

// sighting is what is known of another holder's last write.
type sighting struct {
	vm     ident.VMID
	writes uint64
	wall   int64
	// at is the uptime at which the write was first seen, and after that of the reading before, when it was not there
	// yet. Fresh says that there was such a reading.
	at, after time.Duration
	fresh     bool
	// ahead is the time of day less this VM's uptime, from the sighting that was least delayed of the last ones, and
	// aheadAt the uptime of that sighting.
	ahead   int64
	aheadAt time.Duration
}

// New returns accounts without tokens.
func New(cfg Config) *Accounts {
	return &Accounts{
		cfg:      cfg,
		orgs:     make(map[ident.OrgID]*account),
		seen:     make(map[ident.RouterID]sighting),
		reported: make(map[ident.VMID]clockSeen),
		observed: make(map[Shard]time.Duration),
		layout:   Layout{Format: Format, Shards: 1},
	}
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
func (a *Accounts) Hold(org ident.OrgID, n ident.Tokens, now time.Duration) HoldResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.org(org)
	acc.meet(n)
	used := acc.spent + acc.held
	switch {
	case a.left:
		return HoldResult{Verdict: Insufficient}
	case used+n <= a.bound(acc, now):
		acc.held += n
		acc.asked += n
		return HoldResult{Verdict: Held}
	case acc.spent+acc.elsewhere+n > acc.total:
		return HoldResult{Verdict: Exhausted}
	}
	acc.want += n
	return HoldResult{
		Verdict:           Insufficient,
		Granted:           used+n <= acc.granted,
		NextWriteMayCover: now-acc.asOf > freshFor || used+n <= acc.granted+max(acc.free, 0),
		GrowthDelay:       a.grows(acc, used+n, now),
	}
}

// meet follows the size of requests.
func (acc *account) meet(n ident.Tokens) {
	const weight = 0.1 // of the newest request
	if acc.size == 0 {
		acc.size = float64(n)
		return
	}
	acc.size += (float64(n) - acc.size) * weight
}

// bound returns up to which total the router may spend now.
func (a *Accounts) bound(acc *account, now time.Duration) ident.Tokens {
	return min(acc.allowance.bound(a.age(now), a.cfg.HoldOff), acc.granted)
}

// age returns the age of the last write that may have taken effect.
func (a *Accounts) age(now time.Duration) time.Duration {
	if !a.everSent {
		return 0
	}
	return now - a.sent
}

// Age returns how old the allowances are that may have taken effect last.
func (a *Accounts) Age(now time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.age(now)
}

// grows returns after which time without a write the bound reaches a total, or zero if it never does.
func (a *Accounts) grows(acc *account, total ident.Tokens, now time.Duration) time.Duration {
	if total > acc.granted || acc.allowance.Growth <= 0 {
		return 0
	}
	seconds := float64(total-acc.allowance.Limit) / float64(acc.allowance.Growth)
	return max(a.cfg.HoldOff+grownAfter(seconds)-a.age(now), time.Millisecond)
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

// SetStart sets what orders this process among those of its VM. It comes before the first plan.
func (a *Accounts) SetStart(v ident.ObjectVersion) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.start = v
}

// SetLayout sets the layout of the ledgers. It comes before the first plan.
func (a *Accounts) SetLayout(l Layout) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.layout = l
}

// Shards returns the ledgers of the known organisations, ordered.
func (a *Accounts) Shards() []Shard {
	a.mu.Lock()
	defer a.mu.Unlock()
	var shards []Shard
	for id := range a.orgs {
		shards = append(shards, a.layout.ShardOf(id))
	}
	slices.Sort(shards)
	return slices.Compact(shards)
}

// SetRouterCount sets the number of routers that may be alive, this one included.
func (a *Accounts) SetRouterCount(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fleet = max(n, 1)
}

// RouterCount returns the number of routers that may be alive: as set, or as seen in the ledgers if that is more.
func (a *Accounts) RouterCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.routers()
}

func (a *Accounts) routers() int { return max(a.fleet, len(a.seen)+1) }

// Balance is what a router knows of one organisation's tokens.
type Balance struct {
	Total, Spent, Held, Granted, Limit, Growth, SpentByOthers, Free ident.Tokens
}

// Balance returns the present figures of an organisation.
func (a *Accounts) Balance(org ident.OrgID) Balance {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.org(org)
	return Balance{Total: acc.total, Spent: acc.spent, Held: acc.held, Granted: acc.granted,
		Limit: acc.allowance.Limit, Growth: acc.allowance.Growth, SpentByOthers: acc.elsewhere, Free: acc.free}
}

// Leave makes the accounts refuse new holds for good. It returns what was spent once nothing is held, and false
// before.
func (a *Accounts) Leave() (Departure, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.left = true
	spent := make(map[ident.OrgID]ident.Tokens, len(a.orgs))
	for id, acc := range a.orgs {
		if acc.held > 0 {
			return Departure{}, false
		}
		spent[id] = acc.spent
	}
	a.writes++
	return Departure{Router: a.cfg.Self, VM: a.cfg.VM, Start: a.start, Writes: a.writes, Spent: spent}, true
}

// ids returns the organisations, ordered.
func (a *Accounts) ids() []ident.OrgID {
	return slices.Sorted(maps.Keys(a.orgs))
}
