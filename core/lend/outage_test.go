package lend_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"geraniumsaddle/core/elect"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/lend"
	"geraniumsaddle/core/quota"
)

// outage simulates a fleet that divides prepaid tokens and then loses the store. A request arrives at a random router.
type outage struct {
	t        *testing.T
	rng      *rand.Rand
	orgs     int
	useLends bool
	now      time.Duration
	members  []elect.Member
	accounts map[ident.VMID]*quota.Accounts
	claimed  map[ident.VMID]time.Duration
	ledger   *quota.Ledger
	holders  map[holderKey]lend.Holders
	running  []runningRequest
	waiting  []waitingRequest
	spent    map[ident.OrgID]ident.Tokens
	// refused counts the requests that were refused although the organisation had their tokens.
	requests, refused int
}

type holderKey struct {
	org ident.OrgID
	vm  ident.VMID
}

// waitingRequest is a request that waits for tokens until its router refuses it.
type waitingRequest struct {
	org   ident.OrgID
	need  ident.Tokens
	at    elect.Member
	until time.Duration
}

// runningRequest is a request whose tokens are held at a router.
type runningRequest struct {
	at     ident.VMID
	org    ident.OrgID
	tokens ident.Tokens
	ends   time.Duration
}

const (
	outageTotal  = ident.Tokens(12_000_000)
	outageStep   = 50 * time.Millisecond
	outageStart  = 12 * time.Second
	outageLength = 9 * time.Second
	// outageWait is how long a request waits for tokens.
	outageWait = 400 * time.Millisecond
	// requestsPerStep is the load of all organisations. The largest one uses three quarters of its tokens.
	requestsPerStep = 14
)

func newOutage(t *testing.T, routers, domains, orgs int, useLends bool) *outage {
	o := &outage{t: t, rng: rand.New(rand.NewPCG(1, uint64(routers))), orgs: orgs, useLends: useLends, now: time.Minute,
		accounts: make(map[ident.VMID]*quota.Accounts), claimed: make(map[ident.VMID]time.Duration), ledger: quota.NewLedger(),
		holders: make(map[holderKey]lend.Holders), spent: make(map[ident.OrgID]ident.Tokens)}
	for i := range routers {
		o.members = append(o.members, elect.Member{VM: ident.VMID(fmt.Sprint("vm", i)), Domain: ident.DomainID(fmt.Sprint("d", i%domains)),
			Addr: fmt.Sprint("addr", i)})
	}
	for _, m := range o.members {
		a := quota.NewAccounts(quota.Config{Self: ident.NewRouterID(string(m.VM), 1), VM: m.VM, HoldOff: 1300 * time.Millisecond,
			SpareHorizon: 800 * time.Millisecond, GrantHorizon: 25 * time.Second, LowHorizon: 10 * time.Second, IdleShare: 0.4,
			LivenessTimeout: 15 * time.Second})
		a.SetRouterCount(routers)
		a.SetStartVersion(1)
		for i := range orgs {
			a.SetTotal(o.org(i), outageTotal)
			if useLends {
				h := lend.HoldersOf(o.org(i), o.members, m)
				o.holders[holderKey{o.org(i), m.VM}] = h
				a.SetHolders(o.org(i), h.Count, h.Self)
			}
		}
		o.accounts[m.VM] = a
	}
	return o
}

func (o *outage) org(i int) ident.OrgID { return ident.OrgID(fmt.Sprint("org", i)) }

func (o *outage) moment() quota.Moment {
	return quota.Moment{Boot: "boot", Uptime: o.now, Wall: o.now.Milliseconds()}
}

// claim writes the claims that are due through the first router.
func (o *outage) claim() {
	intervals := map[quota.Urgency]time.Duration{quota.UpToDate: 2 * time.Second, quota.StateChanged: time.Second,
		quota.TokensLow: 300 * time.Millisecond, quota.TokensLacking: 100 * time.Millisecond}
	writer := o.accounts[o.members[0].VM]
	writer.ObserveLedger(0, o.ledger, o.now)
	division := writer.Divide(o.ledger, o.now)
	for _, m := range o.members {
		a := o.accounts[m.VM]
		if last := o.claimed[m.VM]; last > 0 && (a.Unused() || o.now-last < intervals[a.ClaimUrgency()]) {
			continue
		}
		o.claimed[m.VM] = o.now
		c := a.PlanClaim(o.moment(), o.moment())
		writer.ObserveClaim(c, 0, o.now)
		grants, _ := writer.ServeClaim(0, division, c)
		out := &quota.Outcome{Grants: grants, AllowancesStored: true, Allowances: c.BoundedAllowances(grants).Rows}
		a.CommitClaim(c, out, o.now)
	}
}

// request sends one request: some organisations send more than others, and a third of the prompts are long.
func (o *outage) request() {
	org := o.org(int(float64(o.orgs) * o.rng.Float64() * o.rng.Float64()))
	need := ident.Tokens(600 + o.rng.IntN(1800))
	if o.rng.IntN(3) == 0 {
		need = ident.Tokens(8000 + o.rng.IntN(5000))
	}
	o.requests++
	o.serve(waitingRequest{org, need, o.members[o.rng.IntN(len(o.members))], o.now + outageWait})
}

// serve holds the tokens of a request, or lets it wait until it is refused.
func (o *outage) serve(r waitingRequest) {
	asked := []elect.Member{r.at}
	if o.useLends {
		asked = o.holders[holderKey{r.org, r.at.VM}].Asked
	}
	for _, holder := range asked {
		if o.accounts[holder.VM].TryHold(r.org, r.need, o.now).Verdict == quota.Held {
			ends := o.now + time.Duration(200+o.rng.IntN(1500))*time.Millisecond
			o.running = append(o.running, runningRequest{holder.VM, r.org, r.need, ends})
			o.spent[r.org] += r.need
			return
		}
	}
	o.accounts[asked[0].VM].Hold(r.org, r.need, o.now)
	if o.now < r.until {
		o.waiting = append(o.waiting, r)
		return
	}
	if o.now >= time.Minute+outageStart && o.inReach(r.org) >= r.need {
		o.refused++
	}
}

// inReach returns the organisation's unused tokens that are granted to routers. The others are out of reach without the
// store.
func (o *outage) inReach(org ident.OrgID) ident.Tokens {
	var n ident.Tokens
	for _, a := range o.accounts {
		b := a.Balance(org)
		n += b.Granted - b.Spent - b.Held
	}
	return n
}

// retry tries the requests that wait again.
func (o *outage) retry() {
	waiting := o.waiting
	o.waiting = nil
	for _, r := range waiting {
		o.serve(r)
	}
}

func (o *outage) settle() {
	left := o.running[:0]
	for _, r := range o.running {
		if o.now < r.ends {
			left = append(left, r)
			continue
		}
		o.accounts[r.at].Settle(r.org, r.tokens, r.tokens)
	}
	o.running = left
}

// refusedShare plays the fleet and returns the part of the requests during the outage that were refused although the
// organisation had their tokens.
func (o *outage) refusedShare() float64 {
	for ; o.now < time.Minute+outageStart+outageLength; o.now += outageStep {
		if o.now < time.Minute+outageStart {
			o.claim()
			o.requests = 0
		}
		o.retry()
		for range requestsPerStep {
			o.request()
		}
		o.settle()
	}
	return float64(o.refused) / float64(o.requests)
}

// TestStoreAway guards against requests that are refused during an outage of the store although their organisation has
// enough tokens, because each router holds less than they need.
func TestStoreAway(t *testing.T) {
	const maxRefused = 0.01
	cases := []struct{ routers, domains, orgs int }{{20, 4, 10}, {73, 4, 24}, {295, 6, 40}}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d routers", c.routers), func(t *testing.T) {
			t.Parallel()
			got := newOutage(t, c.routers, c.domains, c.orgs, true).refusedShare()
			if testing.Verbose() { // the comparison takes long
				alone := newOutage(t, c.routers, c.domains, c.orgs, false).refusedShare()
				t.Logf("refused: %.4f with holders, %.4f when each router spends only what it holds", got, alone)
			}
			if got > maxRefused {
				t.Errorf("%.4f of the requests are refused, more than %.4f", got, maxRefused)
			}
		})
	}
}
