package edge

import (
	"context"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/io/store"
	"geraniumsaddle/platform"
)

// settingsCheckInterval is the interval at which a router whose settings know no evacuations looks whether that has changed.
const settingsCheckInterval = time.Second

// evacuationHandler applies the operator's evacuations of failure domains. The store's answer to the operator is the
// acknowledgement, so that routers write nothing about them.
type evacuationHandler struct{ s *Server }

// watchEvacuations follows the evacuations if the settings have a bound for them.
func (s *Server) watchEvacuations(ctx context.Context) {
	for !s.hasEvacuations() {
		if !s.sleep(ctx, settingsCheckInterval) {
			return
		}
	}
	s.watchKind(ctx, platform.KindEvacuation, evacuationHandler{s})
}

func (s *Server) hasEvacuations() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bounds.EvacuationTime > 0
}

func (h evacuationHandler) applyList(objects []store.Object) {
	listed := make(map[ident.DomainID]bool, len(objects))
	for _, o := range objects {
		listed[ident.DomainID(o.Key.Name)] = true
		h.s.setEvacuated(o, true)
	}
	for _, id := range h.s.targets.Evacuated() {
		if !listed[id] {
			h.s.setEvacuated(store.Object{Key: platform.EvacuationKey(id)}, false)
		}
	}
}

func (h evacuationHandler) applyEvent(e store.Event) { h.s.setEvacuated(e.Object, !e.Deleted) }

// setEvacuated begins or ends the evacuation of the failure domain that an object names. Its value says nothing more.
func (s *Server) setEvacuated(o store.Object, evacuated bool) {
	id := ident.DomainID(o.Key.Name)
	if !s.targets.SetEvacuated(id, evacuated, s.deps.Clock.Now()) {
		return
	}
	s.deps.Metrics.setEvacuated(len(s.targets.Evacuated()))
	msg := "failure domain evacuated"
	if !evacuated {
		msg = "failure domain taken back"
	}
	s.deps.Log.Info(msg, "domain", id, "revision", o.Version)
}
