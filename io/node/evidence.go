package node

import (
	"time"

	"geraniumsaddle/core/ident"
)

// observe records the result of a request as evidence for a release.
func (n *Node) observe(ident.VersionID, string, bool, time.Duration) {}

func (c *chat) evidence(failed bool) {
	if c.joined {
		return
	}
	c.n.observe(c.choice.Version, chatRoute, failed, c.n.clock.Now().Sub(c.start))
}
