package store

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
)

// event is one change of an object. The object of a "delete" has no value.
type event struct {
	Type   string `json:"type"`
	Object Object `json:"object"`
}

// record keeps an event for the watches and compacts the history. The caller holds the lock.
func (s *Server) record(c *collection, e event) {
	c.events = append(c.events, e)
	if n := len(c.events) - s.cfg.History; n > 0 {
		c.compacted = c.events[n-1].Object.Version
		c.events = slices.Delete(c.events, 0, n)
	}
	s.notify()
}

// Compact drops the history of all kinds, so that a watch from an older version gets 410.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.kinds {
		if n := len(c.events); n > 0 {
			c.compacted = c.events[n-1].Object.Version
			c.events = nil
		}
	}
}

// since returns the events after version from, or false when the history no longer has all of them.
func (c *collection) since(from uint64) ([]event, bool) {
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

// watch streams the events after the given version. It ends the stream when its reader falls behind the history, so
// that the reader watches again and gets 410.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, "invalid_from", "from must be a version")
		return
	}
	kind := r.PathValue("kind")
	started := false
	enc := json.NewEncoder(w)
	for {
		s.mu.Lock()
		events, ok := s.collection(kind).since(from)
		wake, ended := s.wake, s.closed || s.faults.Outage
		s.mu.Unlock()
		if ended || (!ok && started) {
			return
		}
		if !ok {
			fail(w, http.StatusGone, "compacted", "the history no longer reaches back to the version")
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
		case <-wake:
		case <-r.Context().Done():
			return
		}
	}
}
