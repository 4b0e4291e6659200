package node

import (
	"sync"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/record"
)

const holdShards = 16

// holds keeps the journaled holds of running requests, from which their bills are made. It is safe for concurrent use.
type holds struct {
	shards [holdShards]holdShard
}

type holdShard struct {
	mu   sync.Mutex
	rows map[ident.RequestID]record.Hold
}

func newHolds() *holds {
	h := new(holds)
	for i := range h.shards {
		h.shards[i].rows = make(map[ident.RequestID]record.Hold)
	}
	return h
}

func (h *holds) shard(id ident.RequestID) *holdShard {
	var sum uint8
	for i := range len(id) {
		sum = sum*31 + id[i]
	}
	return &h.shards[sum%holdShards]
}

func (h *holds) add(row record.Hold) {
	s := h.shard(row.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows[row.Request] = row
}

// remove removes and returns a hold.
func (h *holds) remove(id ident.RequestID) (record.Hold, bool) {
	s := h.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[id]
	delete(s.rows, id)
	return row, ok
}

// retarget changes the target of a hold.
func (h *holds) retarget(id ident.RequestID, t ident.TargetID, v ident.VersionID) {
	s := h.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if row, ok := s.rows[id]; ok {
		row.Target, row.Version = t, v
		s.rows[id] = row
	}
}
