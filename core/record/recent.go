package record

import "geraniumsaddle/core/ident"

// recent keeps the last settled requests, and the answers of the newest of them within a byte limit.
type recent struct {
	limit    int
	maxBytes ident.Bytes
	bytes    ident.Bytes
	closed   map[ident.RequestID]*SettledRequest
	keys     map[Hash]ident.RequestID
	order    []ident.RequestID // oldest first
	answers  []ident.RequestID // oldest first, a subset of order
}

func newRecent(n int, maxBytes ident.Bytes) recent {
	return recent{
		limit:    n,
		maxBytes: maxBytes,
		closed:   map[ident.RequestID]*SettledRequest{},
		keys:     map[Hash]ident.RequestID{},
	}
}

func (c *SettledRequest) answerBytes() ident.Bytes {
	if c.Settlement.Answer == nil {
		return 0
	}
	return ident.Bytes(len(c.Settlement.Answer.Body) + len(c.Settlement.Answer.Type))
}

// add keeps c. One answer may take at most a sixteenth of the bytes, so that it does not displace all others.
func (r *recent) add(c SettledRequest) {
	if r.limit <= 0 {
		return
	}
	if c.answerBytes() > r.maxBytes/16 {
		c.Settlement.Answer = nil
	}
	req := c.Hold.Request
	r.closed[req] = &c
	r.order = append(r.order, req)
	if c.Hold.IdempotencyKey != (Hash{}) {
		r.keys[c.Hold.IdempotencyKey] = req
	}
	if c.Settlement.Answer != nil {
		r.answers = append(r.answers, req)
		r.bytes += c.answerBytes()
	}
	for r.bytes > r.maxBytes {
		r.dropAnswer(r.answers[0])
	}
	if len(r.order) > r.limit {
		r.evict()
	}
}

func (r *recent) dropAnswer(req ident.RequestID) {
	c := r.closed[req]
	r.bytes -= c.answerBytes()
	c.Settlement.Answer = nil
	r.answers = r.answers[1:]
}

func (r *recent) evict() {
	req := r.order[0]
	if len(r.answers) > 0 && r.answers[0] == req {
		r.dropAnswer(req)
	}
	key := r.closed[req].Hold.IdempotencyKey
	if r.keys[key] == req {
		delete(r.keys, key)
	}
	delete(r.closed, req)
	r.order = r.order[1:]
}

func (r *recent) byRequest(req ident.RequestID) (SettledRequest, bool) {
	c, ok := r.closed[req]
	if !ok {
		return SettledRequest{}, false
	}
	return *c, true
}

func (r *recent) byKey(k Hash) (SettledRequest, bool) {
	req, ok := r.keys[k]
	if !ok {
		return SettledRequest{}, false
	}
	return r.byRequest(req)
}

func (r *recent) list() []SettledRequest {
	out := make([]SettledRequest, 0, len(r.order))
	for _, req := range r.order {
		out = append(out, *r.closed[req])
	}
	return out
}
