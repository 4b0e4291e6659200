package store

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// vmChange is the state of a VM from a point in time on.
type vmChange struct {
	at time.Time
	vm VM
}

// listVMs serves the VM list as it was VMLag ago and discards older changes.
func (s *Server) listVMs(w http.ResponseWriter, _ *http.Request) {
	out := []VM{}
	s.mu.Lock()
	newest := s.clock.Now().Add(-s.cfg.VMLag)
	for name, changes := range s.vmHistory {
		for len(changes) > 1 && !changes[1].at.After(newest) {
			changes = changes[1:]
		}
		s.vmHistory[name] = changes
		if !changes[0].at.After(newest) {
			out = append(out, changes[0].vm)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(out, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
	writeJSON(w, http.StatusOK, out)
}

func (s *Server) putVM(w http.ResponseWriter, r *http.Request) {
	var vm VM
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10)).Decode(&vm); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_vm", err.Error())
		return
	}
	if vm.State != "live" && vm.State != "leaving" && vm.State != "gone" {
		writeError(w, http.StatusBadRequest, "invalid_vm", "state must be live, leaving or gone")
		return
	}
	vm.Name = r.PathValue("name")
	s.mu.Lock()
	s.vmHistory[vm.Name] = append(s.vmHistory[vm.Name], vmChange{at: s.clock.Now(), vm: vm})
	s.mu.Unlock()
	s.loseReply()
	writeJSON(w, http.StatusOK, vm)
}

// slotReply is the reply to POST /v1/weights/{version}.
type slotReply struct {
	Version string `json:"version"`
	Slot    int    `json:"slot"`
}

// takeSlot grants a transfer slot of the weight store, subject to WeightsPerSecond.
func (s *Server) takeSlot(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	wait, ok := s.weights.take(s.clock.Now())
	if ok {
		s.slots++
	}
	out := slotReply{Version: r.PathValue("version"), Slot: s.slots}
	s.mu.Unlock()
	if !ok {
		writeRateLimited(w, wait)
		return
	}
	s.loseReply()
	writeJSON(w, http.StatusOK, out)
}
