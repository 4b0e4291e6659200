package node

import (
	"time"

	"geraniumsaddle/core/canary"
	"geraniumsaddle/core/ident"
)

// recordServiceEvidence records the result of a call of a plain service as evidence for a release.
func (n *Node) recordServiceEvidence(v ident.VersionID, route string, failed bool, d time.Duration) {
	if v == "" {
		return
	}
	n.releases.recorder.Record(canary.Sample{Version: v, Route: route, Failed: failed, FirstToken: d})
}

// recordEvidence records the result of the current attempt as evidence for a release.
func (c *chat) recordEvidence(failed bool) {
	if c.joined || c.choice.Version == "" {
		return
	}
	s := canary.Sample{Version: c.choice.Version, Route: chatRoute, Band: c.n.loadBand(c.choice.Target), Failed: failed}
	if !c.firstChunkAt.IsZero() {
		s.FirstToken = c.firstChunkAt.Sub(c.start)
	}
	if c.contentChunks > 1 {
		s.BetweenTokens = c.n.clock.Now().Sub(c.firstChunkAt) / time.Duration(c.contentChunks-1)
	}
	c.n.releases.recorder.Record(s)
}

// loadBand returns the load band of a target. It estimates the utilisation as the slots that this router holds there,
// times the number of routers in the failure domain, over the capacity. The reported load is too old for this.
func (n *Node) loadBand(t ident.TargetID) uint8 {
	acct := n.accounts.slotAccount(t)
	capacity := n.view.Load().targets[t].Capacity
	if acct == nil || capacity == 0 {
		return 0
	}
	routers := len(n.members.roster.Load().ownDomain)
	return canary.LoadBand(float64(acct.Held()) * float64(routers) / float64(capacity))
}
