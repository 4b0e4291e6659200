package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"geraniumsaddle/core/cold"
	"geraniumsaddle/core/elect"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/route"
	"geraniumsaddle/platform"
)

const (
	// firstRouterRefresh is the time after which a router lists the routers again that it saw at its start. In a new fleet
	// they register within seconds. routerRefresh is the interval after that.
	firstRouterRefresh = 3 * time.Second
	routerRefresh      = 15 * time.Second
)

// setRouters sets the routers among which the requests to cold targets are divided.
func (s *Server) setRouters(members []elect.Member) {
	vms := make([]ident.VMID, 0, len(members))
	for _, m := range members {
		vms = append(vms, m.VM)
	}
	s.targets.SetRouters(vms, s.deps.Clock.Now())
}

// runRouterRefresh regularly lists the routers on a deployment that limits the requests to cold targets.
func (s *Server) runRouterRefresh(ctx context.Context) {
	for wait := firstRouterRefresh; s.sleep(ctx, wait-rand.N(wait/4)); {
		if !s.limitsCold() || s.targets.RouterCount() == 0 {
			continue
		}
		wait = routerRefresh
		err := s.refreshRouters(ctx)
		if err != nil && ctx.Err() == nil {
			s.deps.Log.Warn("list of routers not refreshed; keeping the last one", "error", err)
		}
	}
}

// refreshRouters lists the routers once.
func (s *Server) refreshRouters(ctx context.Context) error {
	members, err := newLedgerClient(s).listMembers(ctx)
	s.deps.Metrics.countStoreCall("list "+string(platform.KindMember), err)
	s.storeMonitor.observe(err)
	if err != nil {
		return err
	}
	s.setRouters(members)
	return nil
}

// limitsCold reports whether the settings and the configuration limit the requests to cold targets.
func (s *Server) limitsCold() bool {
	table := s.table.Load()
	if s.coldBounds() == (cold.Bounds{}) || table == nil {
		return false
	}
	for _, service := range table.Services() {
		if service.ColdPerSecond > 0 {
			return true
		}
	}
	return false
}

func (s *Server) coldBounds() cold.Bounds {
	s.mu.Lock()
	defer s.mu.Unlock()
	return coldBoundsOf(s.bounds)
}

func coldBoundsOf(b platform.Bounds) cold.Bounds {
	return cold.Bounds{Overshoot: b.ColdOvershoot, Slack: b.ColdSlack}
}

// coldServices returns what the cold targets of a configuration's services tolerate.
func coldServices(services []route.Service) map[ident.ServiceID]cold.Service {
	m := make(map[ident.ServiceID]cold.Service, len(services))
	for _, service := range services {
		m[service.ID] = cold.Service{ColdTime: service.ColdTime, PerSecond: service.ColdPerSecond}
	}
	return m
}
