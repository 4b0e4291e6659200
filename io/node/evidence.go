package node

import (
	"time"

	"geraniumsaddle/core/canary"
	"geraniumsaddle/core/ident"
)

// observe records the result of a call of a plain service as evidence for a release.
func (n *Node) recordServiceEvidence(v ident.VersionID, route string, failed bool, d time.Duration) {
	if v == "" {
		return
	}
	n.releases.recorder.Record(canary.Sample{Version: v, Route: route, Failed: failed, FirstToken: d})
}

// evidence records the result of the present attempt.
func (c *chat) recordEvidence(failed bool) {
	if c.joined || c.choice.Version == "" {
		return
	}
	s := canary.Sample{Version: c.choice.Version, Route: chatRoute, Band: c.n.loadBand(c.choice.Target), Failed: failed}
	if !c.first.IsZero() {
		s.FirstToken = c.first.Sub(c.start)
	}
	if c.contents > 1 {
		s.BetweenTokens = c.n.clock.Now().Sub(c.first) / time.Duration(c.contents-1)
	}
	c.n.releases.recorder.Record(s)
}

// band returns the load band of a target: the own requests there, times the routers of the failure domain, in relation
// to its capacity. The reported load lags too far behind for this.
func (n *Node) loadBand(t ident.TargetID) uint8 {
	acct := n.accounts.slot(t)
	capacity := n.view.Load().targets[t].Capacity
	if acct == nil || capacity == 0 {
		return 0
	}
	routers := len(n.members.roster.Load().local)
	return canary.LoadBand(float64(acct.Held()) * float64(routers) / float64(capacity))
}
