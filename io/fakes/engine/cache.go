package engine

import (
	"container/list"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// maxEvents bounds the cache events kept for readers. An older reader sees a gap.
const maxEvents = 4096

// cache is the prompt-prefix cache: the blocks in the order of use with the chain of blocks before each.
type cache struct {
	size   int
	order  *list.List // of block, the most recently used first
	blocks map[string]*list.Element
	seq    uint64
	events []cacheEvent
}

type block struct {
	prefix string
	parent string
}

type cacheEvent struct {
	Seq    uint64 `json:"seq"`
	Type   string `json:"type"` // "stored" or "evicted"
	Prefix string `json:"prefix"`
	at     time.Time
}

func newCache(size int) *cache {
	return &cache{size: size, order: list.New(), blocks: make(map[string]*list.Element)}
}

// use stores the blocks of a prompt and returns how many leading ones were cached. A gap counter drops events.
func (c *cache) use(prefixes []string, now time.Time, gap *int) int {
	hits := 0
	parent := ""
	for i, p := range prefixes {
		if e, ok := c.blocks[p]; ok {
			c.order.MoveToFront(e)
			if hits == i {
				hits++
			}
		} else {
			c.blocks[p] = c.order.PushFront(block{p, parent})
			c.event("stored", p, now, gap)
		}
		parent = p
	}
	for c.order.Len() > c.size {
		b := c.order.Remove(c.order.Back()).(block)
		delete(c.blocks, b.prefix)
		c.event("evicted", b.prefix, now, gap)
	}
	return hits
}

func (c *cache) event(kind, prefix string, now time.Time, gap *int) {
	c.seq++
	if *gap > 0 {
		*gap--
		return
	}
	c.events = append(c.events, cacheEvent{Seq: c.seq, Type: kind, Prefix: prefix, at: now})
	if n := len(c.events) - maxEvents; n > 0 {
		c.events = slices.Delete(c.events, 0, n)
	}
}

// chain returns the blocks from the first one to prefix, or nil when one of them is not cached.
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
	// Next is the sequence number to ask after next time.
	Next uint64 `json:"next"`
}

// getCacheEvents answers with the events after a sequence number that are older than the lag. Dropped events leave a
// gap in the sequence numbers.
func (s *Server) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, "invalid_after", "after must be a sequence number")
		return
	}
	const limit = 1000
	out := cacheReply{Events: []cacheEvent{}, Next: after}
	s.mu.Lock()
	seen := s.clock.Now().Add(-s.cfg.CacheLag)
	for _, e := range s.cache.events {
		if len(out.Events) == limit || e.at.After(seen) {
			break
		}
		if e.Seq > after {
			out.Events = append(out.Events, e)
			out.Next = e.Seq
		}
	}
	s.mu.Unlock()
	reply(w, http.StatusOK, out)
}

// kv is the exported form of the cache up to a block.
type kv struct {
	Prefixes []string `json:"prefixes"`
}

func (s *Server) exportKV(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	chain := s.cache.chain(r.PathValue("prefix"))
	s.mu.Unlock()
	if chain == nil {
		fail(w, http.StatusNotFound, "absent", "the prefix is not cached")
		return
	}
	reply(w, http.StatusOK, kv{chain})
}

func (s *Server) importKV(w http.ResponseWriter, r *http.Request) {
	var in kv
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		fail(w, http.StatusBadRequest, "invalid_body", err.Error())
		return
	}
	if n := len(in.Prefixes); n == 0 || n > maxPrefixes || in.Prefixes[n-1] != r.PathValue("prefix") {
		fail(w, http.StatusBadRequest, "invalid_body", "the body is not the export of this prefix")
		return
	}
	s.mu.Lock()
	s.cache.use(in.Prefixes, s.clock.Now(), &s.faults.CacheGap)
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
