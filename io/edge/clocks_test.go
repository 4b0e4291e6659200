package edge

import (
	"testing"

	"geraniumsaddle/platform"
)

// TestClocksOfSmallFleet guards against a small fleet whose routers know each other's clocks only from the ledgers, which
// show them late.
func TestClocksOfSmallFleet(t *testing.T) {
	t.Parallel()
	set := func(i int) func(*platform.Settings, *Deps) {
		return func(cfg *platform.Settings, d *Deps) {
			peerSettings(120, i)(cfg, d)
			d.DirectFleet = 16
		}
	}
	first := newTestEnvWith(t, set(0))
	second := first.addRouter(set(1))
	first.waitFor("the transports", func() bool {
		before := second.server.deps.VMClock.Now()
		second.server.askClock(t.Context(), first.server.selfMember())
		wall, ok := second.server.accounts.ClockLowerBounds(second.server.deps.VMClock.Now())["vm-1"]
		return ok && wall >= before.Wall
	})
}
