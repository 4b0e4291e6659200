package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// control is the state that orders change.
type control struct {
	fence    uint64
	loaded   []string
	adapters []string
	serving  string
	role     string
	room     int      // the number of versions that fit, or zero for no limit
	orders   []string // the applied orders, the newest last
}

// maxOrders bounds the order ids kept to recognise a repeated order.
const maxOrders = 1024

func newControl(versions []string, room int) control {
	c := control{loaded: slices.Clone(versions), role: "mixed", room: room}
	if len(versions) > 0 {
		c.serving = versions[0]
	}
	return c
}

type order struct {
	OrderID  string `json:"order_id"`
	Fence    uint64 `json:"fence"`
	Kind     string `json:"kind"`
	Version  string `json:"version"`
	Replaces string `json:"replaces,omitempty"`
	Role     string `json:"role,omitempty"`
}

type stateReply struct {
	Fence    uint64   `json:"fence"`
	Loaded   []string `json:"loaded"`
	Adapters []string `json:"adapters"`
	Serving  string   `json:"serving"`
	Role     string   `json:"role"`
	Orders   []string `json:"orders"`
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		fail(w, http.StatusBadRequest, "invalid_body", err.Error())
		return
	}
	s.mu.Lock()
	delay := time.Duration(s.faults.OrderDelayMS) * time.Millisecond
	if o.Kind == "load" && !slices.Contains(s.control.loaded, o.Version) {
		delay += s.cfg.LoadTime
	}
	s.mu.Unlock()
	// A delayed order takes effect even when its sender has left.
	if delay > 0 {
		<-s.clock.After(delay)
	}
	s.mu.Lock()
	status, code := s.control.apply(o, s.cfg.ChecksFence)
	lost := status == http.StatusOK && s.faults.LoseReply > 0
	if lost {
		s.faults.LoseReply--
	}
	out := s.control.state()
	s.mu.Unlock()
	switch {
	case lost:
		panic(http.ErrAbortHandler)
	case status != http.StatusOK:
		fail(w, status, code, "the order was refused")
	default:
		reply(w, http.StatusOK, out)
	}
}

// apply carries out an order. A repeated order has no second effect.
func (c *control) apply(o order, checks bool) (status int, code string) {
	switch {
	case o.OrderID == "":
		return http.StatusBadRequest, "invalid_order"
	case checks && o.Fence < c.fence:
		return http.StatusConflict, "old_fence"
	case slices.Contains(c.orders, o.OrderID):
		return http.StatusOK, ""
	}
	switch o.Kind {
	case "load":
		if !c.load(o) {
			return http.StatusUnprocessableEntity, "no_room"
		}
	case "adapter":
		c.adapters = addOnce(c.adapters, o.Version)
	case "version":
		if !slices.Contains(c.loaded, o.Version) {
			return http.StatusUnprocessableEntity, "version_not_loaded"
		}
		c.serving = o.Version
	case "role":
		c.role = o.Role
	default:
		return http.StatusBadRequest, "invalid_order"
	}
	c.fence = max(c.fence, o.Fence)
	c.orders = append(c.orders, o.OrderID)
	if len(c.orders) > maxOrders {
		c.orders = slices.Delete(c.orders, 0, len(c.orders)-maxOrders)
	}
	return http.StatusOK, ""
}

// load adds a version and reports whether there is room for it. Only the version that the order replaces may be dropped.
func (c *control) load(o order) bool {
	if slices.Contains(c.loaded, o.Version) {
		return true
	}
	if c.room > 0 && len(c.loaded) >= c.room {
		i := slices.Index(c.loaded, o.Replaces)
		if o.Replaces == "" || i < 0 {
			return false
		}
		c.loaded = slices.Delete(c.loaded, i, i+1)
		if c.serving == o.Replaces {
			c.serving = o.Version
		}
	}
	c.loaded = append(c.loaded, o.Version)
	return true
}

func addOnce(list []string, v string) []string {
	if slices.Contains(list, v) {
		return list
	}
	return append(list, v)
}

func (c *control) state() stateReply {
	return stateReply{
		Fence: c.fence, Loaded: slices.Clone(c.loaded), Adapters: slices.Clone(c.adapters),
		Serving: c.serving, Role: c.role, Orders: slices.Clone(c.orders),
	}
}

func (s *Server) getState(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	out := s.control.state()
	s.mu.Unlock()
	reply(w, http.StatusOK, out)
}
