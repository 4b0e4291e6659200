package edge

import (
	"slices"
	"sync"
	"time"

	"geraniumsaddle/core/elect"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/poison"
	"geraniumsaddle/io/peer"
)

const (
	// summaryIntervalBusy is the interval of summaries while targets are lost or parts are quarantined, and
	// summaryIntervalCalm the one while parts are only on probation.
	summaryIntervalBusy = 500 * time.Millisecond
	summaryIntervalCalm = 5 * time.Second
	// maxNewNeighbors bounds the routers that joined later and are told the news too.
	maxNewNeighbors = 8
)

// gossip passes news from router to router. Each sends it to few others, which pass it on. A nil gossip sends nothing.
type gossip struct {
	s         *Server
	neighbors []elect.Member
	// keeper says that this router writes the quarantine to the store.
	keeper bool
	known  map[ident.VMID]bool

	mu sync.Mutex
	// newNeighbors holds the addresses of the routers that joined the fleet after this one, the latest last.
	newNeighbors []string
}

// startGossip begins to exchange news with the other routers. An empty report makes this router known to those that joined
// before it, and asks for what they know.
func (s *Server) startGossip(members []elect.Member) {
	g := &gossip{
		s: s, neighbors: elect.Fingers(members, ident.VMID(s.cfg.VM)), known: make(map[ident.VMID]bool, len(members)),
	}
	for _, m := range members {
		g.known[m.VM] = true
	}
	g.keeper = slices.ContainsFunc(elect.Keepers(members, quarantineKeepers), func(m elect.Member) bool {
		return m.VM == ident.VMID(s.cfg.VM)
	})
	s.gossip.Store(g)
	g.send(poison.Report{})
}

func summaryInterval(t *poison.Tracker, now time.Time) time.Duration {
	if t.Active(now) {
		return summaryIntervalBusy
	}
	return summaryIntervalCalm
}

// sendNews sends a report unless it is empty.
func (g *gossip) sendNews(r poison.Report) {
	if !r.Empty() {
		g.send(r)
	}
}

// send sends a report to all neighbors. An empty one asks them for a summary.
func (g *gossip) send(r poison.Report) {
	if g == nil {
		return
	}
	for _, addr := range g.addrs() {
		if err := g.s.peerTransport.Send(addr, peer.Poison{Report: r}); err != nil {
			g.s.deps.Log.Debug("report not sent", "addr", addr, "error", err)
		}
	}
}

func (g *gossip) addrs() []string {
	addrs := make([]string, 0, len(g.neighbors)+maxNewNeighbors)
	for _, m := range g.neighbors {
		addrs = append(addrs, m.Addr)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return append(addrs, g.newNeighbors...)
}

// receive handles a report. One that is empty asks for a summary.
func (g *gossip) receive(from peer.Sender, r poison.Report) {
	if g == nil {
		return
	}
	g.meet(from)
	if r.Empty() {
		if answer := g.s.poison.summary(); !answer.Empty() {
			_ = g.s.peerTransport.Send(from.Addr, peer.Poison{Report: answer}) // the next summary repeats it
		}
		return
	}
	g.s.poison.merge(r)
}

// meet remembers a router that joined the fleet after this one.
func (g *gossip) meet(from peer.Sender) {
	if g.known[ident.VMID(from.ID.Name())] {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if slices.Contains(g.newNeighbors, from.Addr) {
		return
	}
	g.newNeighbors = append(g.newNeighbors, from.Addr)
	g.newNeighbors = g.newNeighbors[max(len(g.newNeighbors)-maxNewNeighbors, 0):]
}
