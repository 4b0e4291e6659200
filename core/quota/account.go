package quota

import (
	"maps"
	"slices"
	"sync"
	"time"

	"geraniumsaddle/core/ident"
)

// unallottedFreshness is how long a known number of unallotted tokens is trusted to predict what the next write of
// the ledger can grant.
const unallottedFreshness = 500 * time.Millisecond

// Verdict tells whether the tokens of a request were reserved.
type Verdict uint8

// The verdicts.
const (
	// Held means that the tokens are reserved.
	Held Verdict = iota
	// Insufficient means that this router may not spend the tokens yet.
	Insufficient
	// Exhausted means that the ledger proves that too few of the organisation's tokens are left in the whole fleet.
	Exhausted
)

// Config identifies the holder and bounds its grants and allowances.
type Config struct {
	Self ident.RouterID
	VM   ident.VMID
	// HoldOff is the time after its last write in which a holder may not spend beyond its Allowance.Limit.
	HoldOff time.Duration
	// SpareHorizon and GrantHorizon are how long an allowance and a grant last at the current demand.
	SpareHorizon, GrantHorizon time.Duration
	// LowHorizon is the time at the current demand below which a grant counts as low.
	LowHorizon time.Duration
	// IdleShare is the fraction of an organisation's tokens that is granted to all routers together without demand.
	IdleShare float64
	// LivenessTimeout is how long a holder that writes nothing is still counted when tokens are divided.
	LivenessTimeout time.Duration
}

// HoldResult is the result of a request for tokens.
type HoldResult struct {
	Verdict Verdict `cbor:"1,keyasint,omitempty"`
	// Granted reports that the tokens are granted and that only the allowance is too small. NextWriteMayCover reports
	// that, as far as is known, the next write of the ledger can grant them. GrowthDelay is the time after which they
	// can be spent while the store stays unreachable, or zero if growth never covers them.
	Granted           bool          `cbor:"2,keyasint,omitempty"`
	NextWriteMayCover bool          `cbor:"3,keyasint,omitempty"`
	GrowthDelay       time.Duration `cbor:"4,keyasint,omitempty"`
}

// account holds what this router knows and may spend of one organisation's tokens.
type account struct {
	total ident.Tokens
	spent ident.Tokens
	held  ident.Tokens
	// granted bounds the spending whichever of the pending writes of the ledger take effect.
	granted ident.Tokens
	// allowance is as last confirmed, and unconfirmed permits what all allowances permit that were sent since. Both bound
	// the spending.
	allowance, unconfirmed Allowance
	// row is the stored row as last confirmed.
	row Row
	// rowKnown reports that the stored row has been confirmed at least once. entitlement is the grant that the division
	// gave this router in the last answer to a claim.
	rowKnown    bool
	entitlement ident.Tokens
	// beforeClaim holds the bounds from before the last claim.
	beforeClaim bounds
	// nextRow and nextAllowance are the values of the pending writes.
	nextRow       Row
	nextAllowance Allowance
	// spentByOthers is what other holders, open or closed, are known to have spent, and unallotted what is granted to
	// nobody.
	// asOf is the uptime at which both were known.
	spentByOthers, unallotted ident.Tokens
	// presumedByOthers is the part of spentByOthers that may not have been spent, and assumed that of spent.
	presumedByOthers, assumed ident.Tokens
	asOf                      time.Duration
	// demand is the last known demand of all routers in tokens per second.
	demand float64
	// newDemand counts the tokens requested since the last update of rate. rate is the average demand in tokens per
	// second, and requestSize the average request in tokens.
	newDemand   ident.Tokens
	rate        float64
	requestSize float64
	// claimedTotal is the total when tokens were last granted in answer to a claim.
	claimedTotal ident.Tokens
	// holders is the number of routers that hold the organisation's tokens, zero if all do, or notHolder.
	holders int
	// want adds up the tokens of the requests that were not served since the last write of the allowances. It is reset
	// then, because waiting requests ask again after each write.
	want ident.Tokens
}

// Accounts is the router's side of the ledger. It is safe for concurrent use.
type Accounts struct {
	cfg Config

	mu                       sync.Mutex
	orgs                     map[ident.OrgID]*account
	configuredRouters        int
	writes                   uint64
	sendings, sendingsBefore sendings
	ratesUpdated             time.Duration
	stopped                  bool
	observations             map[ident.RouterID]observation
	// reportedClocks holds the clocks of VMs as reported in the answers to claims.
	reportedClocks map[ident.VMID]clockOffset
	// ledgerReadAt is the uptime at which each ledger was last read.
	ledgerReadAt map[Shard]time.Duration
	layout       Layout
	startVersion ident.ObjectVersion
	// era is the latest known era of the store.
	era ident.Era
	// raises are the totals of the time after the latest rewind.
	raises raises
}

// sendings holds the uptimes at which allowances were sent: the confirmed ones, and the last of those that may take
// effect without having been confirmed, if anyUnconfirmed is set.
type sendings struct {
	confirmed, unconfirmed       time.Duration
	anyConfirmed, anyUnconfirmed bool
}

// clockOffset is another VM's time of day minus this VM's uptime, in milliseconds, from the least delayed of the recent
// reports. offsetAt is the uptime of that report, and at that of the last one.
type clockOffset struct {
	offset       int64
	offsetAt, at time.Duration
}

// bounds limit what a router may spend of an organisation's tokens.
type bounds struct {
	granted     ident.Tokens
	unconfirmed Allowance
}

// observation is what is known of another holder's last write.
type observation struct {
	vm     ident.VMID
	writes uint64
	wall   int64
	// at is the uptime at which the write was first seen. notBefore is an uptime before which the write cannot have been
	// made, and notBeforeKnown reports that one is known.
	at, notBefore  time.Duration
	notBeforeKnown bool
	// offset is the time of day minus this VM's uptime in milliseconds, from the least delayed of the recent observations.
	// offsetAt is the uptime of that observation, and offsetDelay bounds how late it was made. It is unboundedDelay if
	// nothing is known of that.
	offset                int64
	offsetAt, offsetDelay time.Duration
}

// NewAccounts returns accounts without tokens.
func NewAccounts(cfg Config) *Accounts {
	return &Accounts{
		cfg:            cfg,
		orgs:           make(map[ident.OrgID]*account),
		observations:   make(map[ident.RouterID]observation),
		reportedClocks: make(map[ident.VMID]clockOffset),
		ledgerReadAt:   make(map[Shard]time.Duration),
		layout:         Layout{Format: Format, Shards: 1},
	}
}

// SetTotal sets the total of the tokens that an organisation has paid for.
func (a *Accounts) SetTotal(org ident.OrgID, total ident.Tokens) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.accountFor(org).total = total
}

func (a *Accounts) accountFor(id ident.OrgID) *account {
	acc := a.orgs[id]
	if acc == nil {
		acc = &account{}
		a.orgs[id] = acc
	}
	return acc
}

// Hold reserves n tokens if this router may spend them at the uptime now. Otherwise it reports the request as waiting in
// the next write.
func (a *Accounts) Hold(org ident.OrgID, n ident.Tokens, now time.Duration) HoldResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	result := a.tryHold(org, n, now)
	if result.Verdict == Insufficient && !a.stopped {
		a.accountFor(org).want += n
	}
	return result
}

// TryHold reserves n tokens if this router may spend them at the uptime now.
func (a *Accounts) TryHold(org ident.OrgID, n ident.Tokens, now time.Duration) HoldResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tryHold(org, n, now)
}

func (a *Accounts) tryHold(org ident.OrgID, n ident.Tokens, now time.Duration) HoldResult {
	acc := a.accountFor(org)
	acc.recordRequestSize(n)
	used := acc.spent + acc.held
	switch {
	case a.stopped:
		return HoldResult{Verdict: Insufficient}
	case used+n <= a.bound(acc, now):
		acc.held += n
		acc.newDemand += n
		return HoldResult{Verdict: Held}
	case acc.provenSpent()+n > acc.total:
		return HoldResult{Verdict: Exhausted}
	}
	return HoldResult{
		Verdict:           Insufficient,
		Granted:           used+n <= acc.granted,
		NextWriteMayCover: now-acc.asOf > unallottedFreshness || used+n <= acc.granted+max(acc.unallotted, 0),
		GrowthDelay:       a.growthDelay(acc, used+n, now),
	}
}

// provenSpent returns what all routers have certainly spent. Tokens that only count as spent may still be returned, or
// were never used, so that a request that they would cover is not refused for good.
func (acc *account) provenSpent() ident.Tokens {
	return acc.spent - acc.assumed + acc.spentByOthers - acc.presumedByOthers
}

// recordRequestSize updates the moving average of the request size.
func (acc *account) recordRequestSize(n ident.Tokens) {
	const weight = 0.1 // weight of the latest request in the average
	if acc.requestSize == 0 {
		acc.requestSize = float64(n)
		return
	}
	acc.requestSize += (float64(n) - acc.requestSize) * weight
}

// bound returns the total that the router may have spent and reserved now.
func (a *Accounts) bound(acc *account, now time.Duration) ident.Tokens {
	bound := min(acc.granted, acc.allowance.bound(a.sendings.confirmedAge(now), a.cfg.HoldOff))
	if a.sendings.anyUnconfirmed {
		bound = min(bound, acc.unconfirmed.bound(now-a.sendings.unconfirmed, a.cfg.HoldOff))
	}
	return bound
}

// confirmedAge returns the time since the sending of the confirmed allowances, or zero if there are none.
func (s sendings) confirmedAge(now time.Duration) time.Duration {
	if !s.anyConfirmed {
		return 0
	}
	return now - s.confirmed
}

// expectAllowance records an allowance that is sent. Until it is confirmed or refused, it bounds the spending like the one
// that is in force.
func (a *Accounts) expectAllowance(acc *account, allowance Allowance) {
	if !a.sendings.anyUnconfirmed {
		acc.unconfirmed = allowance
		return
	}
	acc.unconfirmed.Limit = min(acc.unconfirmed.Limit, allowance.Limit)
	acc.unconfirmed.Growth = min(acc.unconfirmed.Growth, allowance.Growth)
}

// recordSending records that the expected allowances of all accounts are sent.
func (a *Accounts) recordSending(now time.Duration) {
	a.sendings.unconfirmed, a.sendings.anyUnconfirmed = now, true
}

// recordConfirmation records that the last allowances are in force, so that no earlier ones can take effect.
func (a *Accounts) recordConfirmation() {
	a.sendings = sendings{confirmed: a.sendings.unconfirmed, anyConfirmed: true}
}

// age returns the time since the sending of the last allowances that may have taken effect, or zero if none were sent.
func (a *Accounts) age(now time.Duration) time.Duration {
	if a.sendings.anyUnconfirmed {
		return now - a.sendings.unconfirmed
	}
	return a.sendings.confirmedAge(now)
}

// Age returns the time since the sending of the last allowances that may have taken effect, or zero if none were sent.
func (a *Accounts) Age(now time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.age(now)
}

// growthDelay returns the time without a write after which the bound reaches a total, or zero if it never does.
func (a *Accounts) growthDelay(acc *account, total ident.Tokens, now time.Duration) time.Duration {
	delay, ok := acc.allowance.growthDelay(total, a.sendings.confirmedAge(now), a.cfg.HoldOff)
	if a.sendings.anyUnconfirmed {
		later, grows := acc.unconfirmed.growthDelay(total, now-a.sendings.unconfirmed, a.cfg.HoldOff)
		delay, ok = max(delay, later), ok && grows
	}
	if !ok || total > acc.granted {
		return 0
	}
	return max(delay, time.Millisecond)
}

// Settle ends a hold and counts used tokens of it as spent, at most those held.
func (a *Accounts) Settle(org ident.OrgID, held, used ident.Tokens) {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.accountFor(org)
	acc.held -= held
	acc.spent += min(max(used, 0), held)
	acc.newDemand -= held - min(max(used, 0), held)
}

// SettleUnknown ends a hold of which nobody knows what it has used. All of it counts as spent.
func (a *Accounts) SettleUnknown(org ident.OrgID, held ident.Tokens) {
	a.Settle(org, held, held)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.accountFor(org).assumed += held
}

// SetStartVersion sets the version that orders this process among those of its VM. It must be called before the first
// plan.
func (a *Accounts) SetStartVersion(v ident.ObjectVersion) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.startVersion = v
}

// SetLayout sets the layout of the ledgers. It must be called before the first plan.
func (a *Accounts) SetLayout(l Layout) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.layout = l
}

// Shards returns the sorted shards of the known organisations.
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

// SetRouterCount sets the number of routers that may be alive, including this one.
func (a *Accounts) SetRouterCount(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.configuredRouters = max(n, 1)
}

// RouterCount returns the number of routers that may be alive: as set, or as seen in the ledgers if that is more.
func (a *Accounts) RouterCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.routerCount()
}

func (a *Accounts) routerCount() int { return max(a.configuredRouters, len(a.observations)+1) }

// Balance is a snapshot of what a router knows of one organisation's tokens.
type Balance struct {
	Total, Spent, Held, Granted, Limit, Growth, SpentByOthers, Unallotted ident.Tokens
	// Presumed is the part of Spent and SpentByOthers that may not have been spent.
	Presumed ident.Tokens
}

// Balance returns the current balance of an organisation.
func (a *Accounts) Balance(org ident.OrgID) Balance {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.accountFor(org)
	return Balance{Total: acc.total, Spent: acc.spent, Held: acc.held, Granted: acc.granted,
		Limit: a.limits(acc).Limit, Growth: a.limits(acc).Growth, SpentByOthers: acc.spentByOthers, Unallotted: acc.unallotted,
		Presumed: acc.presumedByOthers + acc.assumed}
}

// Leave makes the accounts refuse all further holds. It returns the final report once nothing is held, and false until
// then.
func (a *Accounts) Leave() (Departure, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	departure := Departure{Router: a.cfg.Self, VM: a.cfg.VM, StartVersion: a.startVersion, Writes: a.writes + 1,
		Spent: make(map[ident.OrgID]ident.Tokens, len(a.orgs)), Assumed: make(map[ident.OrgID]ident.Tokens)}
	for id, acc := range a.orgs {
		if acc.held > 0 {
			return Departure{}, false
		}
		departure.Spent[id] = acc.spent
		setPositive(departure.Assumed, id, acc.assumed)
	}
	a.writes++
	return departure, true
}

// limits returns the allowance that is in force whichever of those that were sent take effect.
func (a *Accounts) limits(acc *account) Allowance {
	if !a.sendings.anyUnconfirmed {
		return acc.allowance
	}
	return Allowance{Limit: min(acc.allowance.Limit, acc.unconfirmed.Limit), Growth: min(acc.allowance.Growth, acc.unconfirmed.Growth)}
}

// setPositive sets the tokens of an organisation, or removes its entry if there are none.
func setPositive(m map[ident.OrgID]ident.Tokens, id ident.OrgID, n ident.Tokens) {
	if n > 0 {
		m[id] = n
		return
	}
	delete(m, id)
}

// orgIDs returns the sorted IDs of the known organisations.
func (a *Accounts) orgIDs() []ident.OrgID {
	return slices.Sorted(maps.Keys(a.orgs))
}
