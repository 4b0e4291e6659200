package store

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
)

// event is one change of an object. Type is "put" or "delete"; the object of a "delete" has no value.
type event struct {
	Type   string `json:"type"`
	Object Object `json:"object"`
}

// record adds an event to the history, drops the oldest ones over Config.History and wakes the watches. The caller
// holds the lock.
func (s *Server) record(c *collection, e event) {
	c.events = append(c.events, e)
	if n := len(c.events) - s.cfg.History; n > 0 {
		c.compacted = c.events[n-1].Object.Version
		c.events = slices.Delete(c.events, 0, n)
	}
	s.notify()
}

// Compact drops the event history of all kinds, so that a watch from a version before the dropped events gets 410.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.collections {
		if n := len(c.events); n > 0 {
			c.compacted = c.events[n-1].Object.Version
			c.events = nil
		}
	}
}

// eventsAfter returns the events after version from, or false when some of them have been compacted.
func (c *collection) eventsAfter(from uint64) ([]event, bool) {
	if from < c.compacted {
		return nil, false
	}
	i, found := slices.BinarySearchFunc(c.events, from, func(e event, v uint64) int {
		switch {
		case e.Object.Version < v:
			return -1
		case e.Object.Version > v:
			return 1
		}
		return 0
	})
	if found {
		i++
	}
	return slices.Clone(c.events[i:]), true
}

// watch streams the events after the given version as JSON lines. It ends the stream when the reader has fallen behind
// the retained history; the reader then gets 410 when it watches again.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_from", "from must be a version")
		return
	}
	kind := r.PathValue("kind")
	started := false
	enc := json.NewEncoder(w)
	for {
		s.mu.Lock()
		events, ok := s.collection(kind).eventsAfter(from)
		changed, ended := s.changed, s.closed || s.faults.Outage
		s.mu.Unlock()
		if ended || (!ok && started) {
			return
		}
		if !ok {
			writeError(w, http.StatusGone, "compacted", "the history no longer reaches back to the version")
			return
		}
		for _, e := range events {
			if err := enc.Encode(e); err != nil {
				return
			}
			from = e.Object.Version
		}
		if !started || len(events) > 0 {
			started = true
			if err := http.NewResponseController(w).Flush(); err != nil {
				return
			}
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}
