package store

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// vmChange is the state of a VM since a time.
type vmChange struct {
	at time.Time
	vm VM
}

// listVMs answers with the list as it was one lag ago.
func (s *Server) listVMs(w http.ResponseWriter, _ *http.Request) {
	out := []VM{}
	s.mu.Lock()
	seen := s.clock.Now().Add(-s.cfg.VMLag)
	for name, changes := range s.vms {
		for len(changes) > 1 && !changes[1].at.After(seen) {
			changes = changes[1:]
		}
		s.vms[name] = changes
		if !changes[0].at.After(seen) {
			out = append(out, changes[0].vm)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(out, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
	reply(w, http.StatusOK, out)
}

func (s *Server) putVM(w http.ResponseWriter, r *http.Request) {
	var vm VM
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10)).Decode(&vm); err != nil {
		fail(w, http.StatusBadRequest, "invalid_vm", err.Error())
		return
	}
	if vm.State != "live" && vm.State != "leaving" && vm.State != "gone" {
		fail(w, http.StatusBadRequest, "invalid_vm", "state must be live, leaving or gone")
		return
	}
	vm.Name = r.PathValue("name")
	s.mu.Lock()
	s.vms[vm.Name] = append(s.vms[vm.Name], vmChange{at: s.clock.Now(), vm: vm})
	s.mu.Unlock()
	s.loseReply()
	reply(w, http.StatusOK, vm)
}

type slot struct {
	Version string `json:"version"`
	Slot    int    `json:"slot"`
}

// takeSlot gives a transfer slot of the weight store.
func (s *Server) takeSlot(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	wait, ok := s.weights.take(s.clock.Now())
	if ok {
		s.slots++
	}
	out := slot{Version: r.PathValue("version"), Slot: s.slots}
	s.mu.Unlock()
	if !ok {
		limited(w, wait)
		return
	}
	s.loseReply()
	reply(w, http.StatusOK, out)
}
