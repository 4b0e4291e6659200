package edge

import (
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/place"
	"geraniumsaddle/core/route"
)

// applyConfig makes a configuration the current one if its version is higher.
func (s *Server) applyConfig(cfg route.Config, revision ident.ObjectVersion) {
	old := s.table.Load()
	if old != nil && old.Version() >= cfg.Version {
		return
	}
	for _, o := range cfg.Orgs {
		if o.Metered {
			if l := s.lending.Load(); l != nil {
				l.holdersOf(o.ID)
			}
			s.accounts.SetTotal(o.ID, o.Prepaid)
		}
	}
	for _, svc := range cfg.Services {
		if svc.Engine != nil {
			s.targets.SetEngine(svc.ID, place.Engine{KVCapacity: svc.Engine.KVCapacity})
		}
	}
	s.targets.SetColdServices(coldServices(cfg.Services))
	s.table.Store(route.New(cfg))
	s.callers.SetIdleLimit(cfg.Limits.IdleTimeout)
	trigger(s.grantsNow)
	s.deps.Log.Info("configuration in force", "version", cfg.Version, "revision", revision, "routes", len(cfg.Routes),
		"organisations", len(cfg.Orgs))
}
