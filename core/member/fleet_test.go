package member_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/member"
)

const step = 50 * time.Millisecond

// tb is the part of testing.TB and rapid.T that the fleet needs.
type tb interface {
	Helper()
	Fatalf(format string, args ...any)
}

type node struct {
	*member.Detector
	addr   string
	domain ident.DomainID
	dead   bool
	paused bool
	queue  []queuedMessage
	// lastSent holds the latest update about each member that this node has sent.
	lastSent  map[string]member.Update
	lastState map[string]member.State
}

type queuedMessage struct {
	from string
	msg  member.Message
}

// fleet passes messages between detectors in virtual time.
type fleet struct {
	t      tb
	now    time.Time
	rng    *rand.Rand
	nodes  []*node
	byAddr map[string]*node
	cuts   map[[2]string]bool
	loss   float64
	sent   int
	onMsg  func(member.Message)
}

func newFleet(t tb, n, domains int, seed uint64) *fleet {
	f := &fleet{
		t: t, now: time.Unix(1_900_000_000, 0), rng: rand.New(rand.NewPCG(seed, 2)),
		byAddr: make(map[string]*node), cuts: make(map[[2]string]bool),
	}
	for i := range n {
		f.start(i, domains, 1, seed)
	}
	return f
}

func addrOf(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250) }

// start starts a router, or restarts it with a later epoch. It knows only the seeds.
func (f *fleet) start(i, domains int, epoch, seed uint64) *node {
	n := &node{
		addr: addrOf(i), domain: ident.DomainID(fmt.Sprintf("d%d", i%domains)),
		lastSent: make(map[string]member.Update), lastState: make(map[string]member.State),
	}
	n.Detector = member.New(member.Config{
		Self: member.Update{
			ID: ident.NewRouterID(fmt.Sprintf("r%03d", i), epoch), Addr: n.addr, Domain: n.domain, VM: ident.VMID(fmt.Sprintf("vm-%03d", i)),
		},
		Rand:  rand.New(rand.NewPCG(seed, uint64(i))),
		Seeds: []string{addrOf(0), addrOf(1)},
	}, f.now)
	if i < len(f.nodes) {
		f.nodes[i] = n
	} else {
		f.nodes = append(f.nodes, n)
	}
	f.byAddr[n.addr] = n
	return n
}

// run lets time pass. Messages arrive one step after they were sent.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(step)
		for _, n := range f.nodes {
			if n.dead || n.paused {
				continue
			}
			queue := n.queue
			n.queue = nil
			for _, q := range queue {
				f.perform(n, n.Receive(q.from, q.msg, f.now))
			}
			if !f.now.Before(n.NextTick()) {
				f.perform(n, n.Tick(f.now))
			}
		}
	}
}

func (f *fleet) perform(n *node, acts []member.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case member.Send:
			f.checkSent(n, a.Msg)
			f.sent++
			if f.onMsg != nil {
				f.onMsg(a.Msg)
			}
			to := f.byAddr[a.Addr]
			if to == nil || to.dead || f.cuts[[2]string{n.addr, a.Addr}] || f.rng.Float64() < f.loss {
				continue
			}
			to.queue = append(to.queue, queuedMessage{n.addr, a.Msg})
		case member.Changed:
			f.checkTransition(n, a)
		}
	}
}

// checkSent fails if a node sends an older update about a member than it sent before.
func (f *fleet) checkSent(n *node, m member.Message) {
	f.t.Helper()
	us := []member.Update{}
	switch m := m.(type) {
	case member.Probe:
		us = append(m.Updates, m.From)
	case member.Ack:
		us = append(us, m.Updates...)
	case member.ProbeReq:
		us = append(m.Updates, m.From)
	}
	for _, u := range us {
		name, epoch, err := u.ID.Split()
		if err != nil {
			f.t.Fatalf("update with id %q", u.ID)
		}
		if old, ok := n.lastSent[name]; ok {
			_, oldEpoch, _ := old.ID.Split()
			if epoch < oldEpoch || epoch == oldEpoch && (u.Incarnation < old.Incarnation ||
				u.Incarnation == old.Incarnation && u.State < old.State || old.Leaving && !u.Leaving) {
				f.t.Fatalf("%s sent %+v after %+v", n.Self().ID, u, old)
			}
		}
		n.lastSent[name] = u
	}
}

// checkTransition fails if a member makes a transition that is not in its life cycle.
func (f *fleet) checkTransition(n *node, c member.Changed) {
	f.t.Helper()
	id := string(c.Member.ID)
	old, ok := n.lastState[id]
	n.lastState[id] = c.Member.State
	if c.Dropped {
		delete(n.lastState, id)
		return
	}
	if !ok || old == c.Member.State {
		return
	}
	event := map[member.State]string{
		member.StateSuspect: member.EventSuspect, member.StateAlive: member.EventRefute, member.StateDead: member.EventConfirm,
	}[c.Member.State]
	if err := member.NewLifecycle(old).Event(context.Background(), event); err != nil {
		f.t.Fatalf("%s saw %s go from %s to %s: %v", n.Self().ID, id, old, c.Member.State, err)
	}
}

// disagreement describes the first live node whose view differs from the actual state, or returns "".
func (f *fleet) disagreement() string {
	for _, n := range f.nodes {
		if n.dead {
			continue
		}
		for _, o := range f.nodes {
			if o == n {
				continue
			}
			m, ok := n.Member(o.Self().ID.Name())
			switch {
			case !o.dead && (!ok || m.State != member.StateAlive || m.ID != o.Self().ID):
				return fmt.Sprintf("%s sees %s as %+v known %v", n.Self().ID, o.Self().ID, m, ok)
			case o.dead && ok && m.State != member.StateDead:
				return fmt.Sprintf("%s sees dead %s as %s", n.Self().ID, o.Self().ID, m.State)
			}
		}
	}
	return ""
}

// runUntilAgreed runs until all views are correct, and fails after max. It returns the time that it took.
func (f *fleet) runUntilAgreed(max time.Duration) time.Duration {
	f.t.Helper()
	start := f.now
	for f.now.Sub(start) < max {
		if f.disagreement() == "" {
			return f.now.Sub(start)
		}
		f.run(time.Second)
	}
	f.t.Fatalf("views differ after %s: %s", max, f.disagreement())
	return 0
}
