package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// orderState is the engine state that orders change.
type orderState struct {
	fence       uint64
	loaded      []string
	adapters    []string
	serving     string
	role        string
	maxVersions int      // maximum length of loaded, or zero for no limit
	orders      []string // IDs of the applied orders, oldest first
}

// maxOrders bounds the retained order IDs by which a repeated order is detected.
const maxOrders = 1024

func newOrderState(versions []string, maxVersions int) orderState {
	st := orderState{loaded: slices.Clone(versions), role: "mixed", maxVersions: maxVersions}
	if len(versions) > 0 {
		st.serving = versions[0]
	}
	return st
}

// order is the body of POST /v1/orders.
type order struct {
	OrderID  string `json:"order_id"`
	Fence    uint64 `json:"fence"`
	Kind     string `json:"kind"`
	Version  string `json:"version"`
	Replaces string `json:"replaces,omitempty"`
	Role     string `json:"role,omitempty"`
}

// stateReply is the reply to GET /v1/state and to an order.
type stateReply struct {
	Fence    uint64   `json:"fence"`
	Loaded   []string `json:"loaded"`
	Adapters []string `json:"adapters"`
	Serving  string   `json:"serving"`
	Role     string   `json:"role"`
	Orders   []string `json:"orders"`
}

func (s *Server) applyOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_body", err.Error())
		return
	}
	s.mu.Lock()
	delay := time.Duration(s.faults.OrderDelayMS) * time.Millisecond
	if o.Kind == "load" && !slices.Contains(s.orderState.loaded, o.Version) {
		delay += s.cfg.LoadTime
	}
	s.mu.Unlock()
	// A delayed order takes effect even when its sender has disconnected.
	if delay > 0 {
		<-s.clock.After(delay)
	}
	s.mu.Lock()
	status, code := s.orderState.apply(o, s.cfg.ChecksFence)
	lost := status == http.StatusOK && s.faults.LoseReply > 0
	if lost {
		s.faults.LoseReply--
	}
	out := s.orderState.snapshot()
	s.mu.Unlock()
	switch {
	case lost:
		panic(http.ErrAbortHandler)
	case status != http.StatusOK:
		writeError(w, status, code, "the order was refused")
	default:
		writeJSON(w, http.StatusOK, out)
	}
}

// apply executes an order and returns the status and error code of the reply. A repeated order has no further effect.
func (st *orderState) apply(o order, checkFence bool) (status int, code string) {
	switch {
	case o.OrderID == "":
		return http.StatusBadRequest, "invalid_order"
	case checkFence && o.Fence < st.fence:
		return http.StatusConflict, "old_fence"
	case slices.Contains(st.orders, o.OrderID):
		return http.StatusOK, ""
	}
	switch o.Kind {
	case "load":
		if !st.load(o) {
			return http.StatusUnprocessableEntity, "no_room"
		}
	case "adapter":
		st.adapters = appendIfMissing(st.adapters, o.Version)
	case "version":
		if !slices.Contains(st.loaded, o.Version) {
			return http.StatusUnprocessableEntity, "version_not_loaded"
		}
		st.serving = o.Version
	case "role":
		st.role = o.Role
	default:
		return http.StatusBadRequest, "invalid_order"
	}
	st.fence = max(st.fence, o.Fence)
	st.orders = append(st.orders, o.OrderID)
	if len(st.orders) > maxOrders {
		st.orders = slices.Delete(st.orders, 0, len(st.orders)-maxOrders)
	}
	return http.StatusOK, ""
}

// load adds a version, unless that would exceed maxVersions, and reports whether it is loaded. It unloads only the
// version that the order replaces.
func (st *orderState) load(o order) bool {
	if slices.Contains(st.loaded, o.Version) {
		return true
	}
	if st.maxVersions > 0 && len(st.loaded) >= st.maxVersions {
		i := slices.Index(st.loaded, o.Replaces)
		if o.Replaces == "" || i < 0 {
			return false
		}
		st.loaded = slices.Delete(st.loaded, i, i+1)
		if st.serving == o.Replaces {
			st.serving = o.Version
		}
	}
	st.loaded = append(st.loaded, o.Version)
	return true
}

func appendIfMissing(list []string, v string) []string {
	if slices.Contains(list, v) {
		return list
	}
	return append(list, v)
}

func (st *orderState) snapshot() stateReply {
	return stateReply{
		Fence: st.fence, Loaded: slices.Clone(st.loaded), Adapters: slices.Clone(st.adapters),
		Serving: st.serving, Role: st.role, Orders: slices.Clone(st.orders),
	}
}

func (s *Server) getState(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	out := s.orderState.snapshot()
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}
