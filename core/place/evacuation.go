package place

import (
	"errors"
	"slices"
	"time"

	"geraniumsaddle/core/cold"
	"geraniumsaddle/core/ident"
)

// ErrCold means that the free targets are cold and have got this router's share of the requests that they tolerate.
var ErrCold = errors.New("every free target is cold")

// rampTime is the time in which a failure domain is taken back, beyond the time for which its targets may be cold.
const rampTime = 4 * time.Second

// domainState is what the operator wants of a failure domain. It is guarded by Fleet.mu.
type domainState struct {
	evacuated bool
	// endedAt is the end of the last evacuation, or zero.
	endedAt time.Time
	// ramp limits the choices for which the failure domain is considered after an evacuation, or is nil.
	ramp *cold.Ramp
	// held says that the ramp leaves the failure domain out of the current choice, unless no other one has a target.
	held bool
}

// domainState returns the state of a failure domain and creates it on first use. The caller holds f.mu.
func (f *Fleet) domainState(id ident.DomainID) *domainState {
	d := f.domains[id]
	if d == nil {
		d = new(domainState)
		f.domains[id] = d
	}
	return d
}

// SetEvacuated records whether a failure domain is evacuated, and reports whether that is new. The targets of an evacuated
// failure domain get no requests. After its evacuation they are taken back by a ramp, and as cold ones.
func (f *Fleet) SetEvacuated(id ident.DomainID, evacuated bool, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.domainState(id)
	if d.evacuated == evacuated {
		return false
	}
	d.evacuated = evacuated
	for _, p := range f.pools {
		p.changed = true
	}
	d.ramp = nil
	if !evacuated {
		d.endedAt = now
		d.ramp = cold.NewRamp(now, f.cold.ColdTime()+rampTime)
		f.ramping = true
	}
	return true
}

// Evacuated returns the evacuated failure domains in ascending order.
func (f *Fleet) Evacuated() []ident.DomainID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []ident.DomainID
	for id, d := range f.domains {
		if d.evacuated {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// advanceRamps determines which failure domains are left out of the next choice. The caller holds f.mu.
func (f *Fleet) advanceRamps(now time.Time) {
	if !f.ramping {
		return
	}
	f.ramping = false
	for _, d := range f.domains {
		d.held = d.ramp != nil && !d.ramp.Admit(now)
		if d.ramp != nil && d.ramp.Done(now) {
			d.ramp = nil
		}
		f.ramping = f.ramping || d.ramp != nil || d.held
	}
}

// available reports whether a target takes new requests and its failure domain isn't evacuated. The caller holds f.mu.
func (m *member) available() bool { return m.serving() && !m.domain.evacuated }

// allowsCold reports whether a target is warm or may get one more request of this router. The caller holds f.mu.
func (f *Fleet) allowsCold(m *member, now time.Time) bool {
	return f.cold.Allows(m.cold, m.Service, m.domain.endedAt, now)
}

// recordColdSend counts a request to a target if that is cold, and reports whether it is. The caller holds f.mu.
func (f *Fleet) recordColdSend(m *member, now time.Time) bool {
	return f.cold.RecordSend(m.cold, m.Service, m.domain.endedAt, now)
}

// RecordEntry records what a target's registry entry says about its coldness. It has to be called before Put.
func (f *Fleet) RecordEntry(id ident.TargetID, e cold.Entry, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cold.SetEntry(id, e, now)
}

// NoteCold records that a target has said in an answer how long it stays cold.
func (f *Fleet) NoteCold(id ident.TargetID, remaining time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cold.NoteCold(id, remaining, now)
}

// SetColdBounds sets the bounds on requests to cold targets.
func (f *Fleet) SetColdBounds(b cold.Bounds) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cold.SetBounds(b)
}

// SetColdServices sets what cold targets of the services tolerate.
func (f *Fleet) SetColdServices(services map[ident.ServiceID]cold.Service) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cold.SetServices(services)
}

// SetRouters sets the VMs whose routers may send requests. The list must not change afterwards.
func (f *Fleet) SetRouters(routers []ident.VMID, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cold.SetRouters(routers, now)
}

// RouterCount returns the number of routers that SetRouters has set.
func (f *Fleet) RouterCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cold.RouterCount()
}
