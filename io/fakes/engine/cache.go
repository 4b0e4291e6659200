package engine

import (
	"container/list"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// maxEvents bounds the retained cache events. A reader further behind sees a gap in the sequence numbers.
const maxEvents = 4096

// cache is the prompt-prefix cache: an LRU cache of blocks, each linked to the block before it in its prompt.
type cache struct {
	maxBlocks int
	lru       *list.List // of block, most recently used first
	blocks    map[string]*list.Element
	seq       uint64
	events    []cacheEvent
}

// block is a cached block of a prompt.
type block struct {
	prefix string // hash of the prompt up to the end of the block
	parent string // prefix of the preceding block, or empty
}

// cacheEvent is an event of the cache that GET /v1/cache/events returns.
type cacheEvent struct {
	Seq    uint64 `json:"seq"`
	Type   string `json:"type"` // "stored" or "evicted"
	Prefix string `json:"prefix"`
	at     time.Time
}

func newCache(maxBlocks int) *cache {
	return &cache{maxBlocks: maxBlocks, lru: list.New(), blocks: make(map[string]*list.Element)}
}

// insert stores the blocks of a prompt, marks them as most recently used and evicts the least recently used ones over
// maxBlocks. It returns the number of leading blocks that were already cached. While dropEvents is positive, each event
// decrements it and is dropped.
func (c *cache) insert(prefixes []string, now time.Time, dropEvents *int) int {
	hits := 0
	parent := ""
	for i, p := range prefixes {
		if e, ok := c.blocks[p]; ok {
			c.lru.MoveToFront(e)
			if hits == i {
				hits++
			}
		} else {
			c.blocks[p] = c.lru.PushFront(block{p, parent})
			c.recordEvent("stored", p, now, dropEvents)
		}
		parent = p
	}
	for c.lru.Len() > c.maxBlocks {
		b := c.lru.Remove(c.lru.Back()).(block)
		delete(c.blocks, b.prefix)
		c.recordEvent("evicted", b.prefix, now, dropEvents)
	}
	return hits
}

// recordEvent numbers an event and retains it unless it is to be dropped.
func (c *cache) recordEvent(kind, prefix string, now time.Time, dropEvents *int) {
	c.seq++
	if *dropEvents > 0 {
		*dropEvents--
		return
	}
	c.events = append(c.events, cacheEvent{Seq: c.seq, Type: kind, Prefix: prefix, at: now})
	if n := len(c.events) - maxEvents; n > 0 {
		c.events = slices.Delete(c.events, 0, n)
	}
}

// chain returns the prefixes from the first block up to the given one, or nil when one of them is not cached.
func (c *cache) chain(prefix string) []string {
	var out []string
	for prefix != "" {
		e, ok := c.blocks[prefix]
		if !ok {
			return nil
		}
		out = append(out, prefix)
		prefix = e.Value.(block).parent
	}
	slices.Reverse(out)
	return out
}

type cacheReply struct {
	Events []cacheEvent `json:"events"`
	// Next is the value of the query parameter "after" for the next call.
	Next uint64 `json:"next"`
}

// getCacheEvents returns the events after a sequence number that are at least CacheLag old. Dropped events leave a gap
// in the sequence numbers.
func (s *Server) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_after", "after must be a sequence number")
		return
	}
	const limit = 1000
	out := cacheReply{Events: []cacheEvent{}, Next: after}
	s.mu.Lock()
	newest := s.clock.Now().Add(-s.cfg.CacheLag)
	for _, e := range s.cache.events {
		if len(out.Events) == limit || e.at.After(newest) {
			break
		}
		if e.Seq > after {
			out.Events = append(out.Events, e)
			out.Next = e.Seq
		}
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

// kvExport is the body that transfers the KV cache of a prefix: the prefixes of all blocks up to it.
type kvExport struct {
	Prefixes []string `json:"prefixes"`
}

func (s *Server) exportKV(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	chain := s.cache.chain(r.PathValue("prefix"))
	s.mu.Unlock()
	if chain == nil {
		writeError(w, http.StatusNotFound, "absent", "the prefix is not cached")
		return
	}
	writeJSON(w, http.StatusOK, kvExport{chain})
}

func (s *Server) importKV(w http.ResponseWriter, r *http.Request) {
	var in kvExport
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_body", err.Error())
		return
	}
	if n := len(in.Prefixes); n == 0 || n > maxPrefixes || in.Prefixes[n-1] != r.PathValue("prefix") {
		writeError(w, http.StatusBadRequest, "invalid_body", "the body is not the export of this prefix")
		return
	}
	s.mu.Lock()
	s.cache.insert(in.Prefixes, s.clock.Now(), &s.faults.CacheGap)
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
