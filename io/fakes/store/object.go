package store

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
)

// collection holds the objects of one kind by name and their recent events.
type collection struct {
	names   []string // sorted
	objects map[string]Object
	events  []event
	// compacted is the version of the newest event that was dropped from events.
	compacted uint64
}

// collection returns the collection of a kind and creates it if necessary. The caller holds the lock.
func (s *Server) collection(kind string) *collection {
	c := s.collections[kind]
	if c == nil {
		c = &collection{objects: make(map[string]Object)}
		s.collections[kind] = c
	}
	return c
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, ok := s.collection(r.PathValue("kind")).objects[r.PathValue("name")]
	s.mu.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound, "absent", "the object does not exist")
		return
	}
	writeJSON(w, http.StatusOK, o)
}

// conditionHolds reports whether the headers If-Match and If-None-Match accept the current version of an object, which
// is zero if the object does not exist.
func conditionHolds(h http.Header, current uint64) (ok bool, err error) {
	if v := h.Get("If-None-Match"); v != "" {
		if v != "*" {
			return false, errors.New("the header If-None-Match must be *")
		}
		return current == 0, nil
	}
	v := h.Get("If-Match")
	if v == "" {
		return true, nil
	}
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		return false, errors.New("the header If-Match must be a version")
	}
	return n == current, nil
}

// checkCondition reports whether the condition of a write holds, and writes the error if it does not. The caller holds
// the lock.
func checkCondition(w http.ResponseWriter, r *http.Request, current uint64) bool {
	ok, err := conditionHolds(r.Header, current)
	switch {
	case err != nil:
		writeError(w, http.StatusBadRequest, "invalid_condition", err.Error())
	case !ok:
		writeJSON(w, http.StatusPreconditionFailed, errorReply{errorDetail{
			Code: "conflict", Message: "the object has another version", Version: current,
		}})
	}
	return ok && err == nil
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil || !json.Valid(value) {
		writeError(w, http.StatusBadRequest, "invalid_value", "the value is not JSON")
		return
	}
	kind, name := r.PathValue("kind"), r.PathValue("name")
	s.mu.Lock()
	c := s.collection(kind)
	if !checkCondition(w, r, c.objects[name].Version) {
		s.mu.Unlock()
		return
	}
	s.version++
	o := Object{Kind: kind, Name: name, Version: s.version, Value: value}
	if _, ok := c.objects[name]; !ok {
		i, _ := slices.BinarySearch(c.names, name)
		c.names = slices.Insert(c.names, i, name)
	}
	c.objects[name] = o
	s.record(c, event{Type: "put", Object: o})
	s.mu.Unlock()
	s.loseReply()
	o.Value = nil
	writeJSON(w, http.StatusOK, o)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	kind, name := r.PathValue("kind"), r.PathValue("name")
	s.mu.Lock()
	c := s.collection(kind)
	current := c.objects[name].Version
	if current == 0 && r.Header.Get("If-Match") == "" {
		s.mu.Unlock()
		writeError(w, http.StatusNotFound, "absent", "the object does not exist")
		return
	}
	if !checkCondition(w, r, current) {
		s.mu.Unlock()
		return
	}
	s.version++
	o := Object{Kind: kind, Name: name, Version: s.version}
	i, _ := slices.BinarySearch(c.names, name)
	c.names = slices.Delete(c.names, i, i+1)
	delete(c.objects, name)
	s.record(c, event{Type: "delete", Object: o})
	s.mu.Unlock()
	s.loseReply()
	writeJSON(w, http.StatusOK, o)
}

// page is one page of a list. Next is the query parameter "after" of the next page, or empty on the last one.
type page struct {
	Version uint64   `json:"version"`
	Objects []Object `json:"objects"`
	Next    string   `json:"next,omitempty"`
}

// Limits of a page, in objects and in bytes of their values.
const (
	defaultPage  = 500
	maxPage      = 1000
	maxPageBytes = 4 << 20
)

// list serves one page of the objects of a kind, sorted by name. Its last object may take the page over maxPageBytes.
func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	limit := defaultPage
	if v := r.URL.Query().Get("limit"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 1 {
			writeError(w, http.StatusBadRequest, "invalid_limit", "limit must be a positive number")
			return
		}
		limit = min(n, maxPage)
	}
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	c := s.collection(r.PathValue("kind"))
	i, found := slices.BinarySearch(c.names, after)
	if found {
		i++
	}
	p := page{Version: s.version, Objects: []Object{}}
	size := 0
	for ; i < len(c.names) && len(p.Objects) < limit && size < maxPageBytes; i++ {
		o := c.objects[c.names[i]]
		p.Objects = append(p.Objects, o)
		size += len(o.Value)
	}
	if i < len(c.names) {
		p.Next = c.names[i-1]
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, p)
}
