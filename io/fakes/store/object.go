package store

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
)

// collection holds the objects of one kind and their recent events.
type collection struct {
	names   []string // sorted
	objects map[string]Object
	events  []event
	// compacted is the version of the newest event that is no longer kept.
	compacted uint64
}

func (s *Server) collection(kind string) *collection {
	c := s.kinds[kind]
	if c == nil {
		c = &collection{objects: make(map[string]Object)}
		s.kinds[kind] = c
	}
	return c
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, ok := s.collection(r.PathValue("kind")).objects[r.PathValue("name")]
	s.mu.Unlock()
	if !ok {
		fail(w, http.StatusNotFound, "absent", "the object does not exist")
		return
	}
	reply(w, http.StatusOK, o)
}

// condition returns whether the headers accept the current version, zero meaning absent.
func condition(h http.Header, current uint64) (ok bool, err error) {
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

// check answers a write whose condition fails. The caller holds the lock.
func check(w http.ResponseWriter, r *http.Request, current uint64) bool {
	ok, err := condition(r.Header, current)
	switch {
	case err != nil:
		fail(w, http.StatusBadRequest, "invalid_condition", err.Error())
	case !ok:
		reply(w, http.StatusPreconditionFailed, errorReply{errorDetail{
			Code: "conflict", Message: "the object has another version", Version: current,
		}})
	}
	return ok && err == nil
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil || !json.Valid(value) {
		fail(w, http.StatusBadRequest, "invalid_value", "the value is not JSON")
		return
	}
	kind, name := r.PathValue("kind"), r.PathValue("name")
	s.mu.Lock()
	c := s.collection(kind)
	if !check(w, r, c.objects[name].Version) {
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
	reply(w, http.StatusOK, o)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	kind, name := r.PathValue("kind"), r.PathValue("name")
	s.mu.Lock()
	c := s.collection(kind)
	current := c.objects[name].Version
	if current == 0 && r.Header.Get("If-Match") == "" {
		s.mu.Unlock()
		fail(w, http.StatusNotFound, "absent", "the object does not exist")
		return
	}
	if !check(w, r, current) {
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
	reply(w, http.StatusOK, o)
}

// page is a part of a list. Next is set when more names follow.
type page struct {
	Version uint64   `json:"version"`
	Objects []Object `json:"objects"`
	Next    string   `json:"next,omitempty"`
}

// The bounds of one page.
const (
	defaultPage  = 500
	maxPage      = 1000
	maxPageBytes = 4 << 20
)

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	limit := defaultPage
	if v := r.URL.Query().Get("limit"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 1 {
			fail(w, http.StatusBadRequest, "invalid_limit", "limit must be a positive number")
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
	reply(w, http.StatusOK, p)
}
