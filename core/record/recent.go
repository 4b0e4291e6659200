package record

import "geraniumsaddle/core/ident"

// settledRequests keeps the latest settled requests. It keeps the answers of the newest of them within a byte limit.
type settledRequests struct {
	limit          int
	maxAnswerBytes ident.Bytes
	answerBytes    ident.Bytes
	byID           map[ident.RequestID]*SettledRequest
	idByKey        map[Hash]ident.RequestID
	order          []ident.RequestID // oldest first
	answerOrder    []ident.RequestID // oldest first, a subset of order
}

func newSettledRequests(limit int, maxBytes ident.Bytes) settledRequests {
	return settledRequests{
		limit:          limit,
		maxAnswerBytes: maxBytes,
		byID:           map[ident.RequestID]*SettledRequest{},
		idByKey:        map[Hash]ident.RequestID{},
	}
}

func (c *SettledRequest) answerBytes() ident.Bytes {
	if c.Settlement.Answer == nil {
		return 0
	}
	return ident.Bytes(len(c.Settlement.Answer.Body) + len(c.Settlement.Answer.Type))
}

// add stores c. A single answer may take at most a sixteenth of the byte limit, so that it does not displace all
// others.
func (r *settledRequests) add(c SettledRequest) {
	if r.limit <= 0 {
		return
	}
	if c.answerBytes() > r.maxAnswerBytes/16 {
		c.Settlement.Answer = nil
	}
	req := c.Hold.Request
	r.byID[req] = &c
	r.order = append(r.order, req)
	if c.Hold.IdempotencyKey != (Hash{}) {
		r.idByKey[c.Hold.IdempotencyKey] = req
	}
	if c.Settlement.Answer != nil {
		r.answerOrder = append(r.answerOrder, req)
		r.answerBytes += c.answerBytes()
	}
	for r.answerBytes > r.maxAnswerBytes {
		r.dropAnswer(r.answerOrder[0])
	}
	if len(r.order) > r.limit {
		r.evictOldest()
	}
}

func (r *settledRequests) dropAnswer(req ident.RequestID) {
	c := r.byID[req]
	r.answerBytes -= c.answerBytes()
	c.Settlement.Answer = nil
	r.answerOrder = r.answerOrder[1:]
}

func (r *settledRequests) evictOldest() {
	req := r.order[0]
	if len(r.answerOrder) > 0 && r.answerOrder[0] == req {
		r.dropAnswer(req)
	}
	key := r.byID[req].Hold.IdempotencyKey
	if r.idByKey[key] == req {
		delete(r.idByKey, key)
	}
	delete(r.byID, req)
	r.order = r.order[1:]
}

func (r *settledRequests) byRequest(req ident.RequestID) (SettledRequest, bool) {
	c, ok := r.byID[req]
	if !ok {
		return SettledRequest{}, false
	}
	return *c, true
}

func (r *settledRequests) byKey(k Hash) (SettledRequest, bool) {
	req, ok := r.idByKey[k]
	if !ok {
		return SettledRequest{}, false
	}
	return r.byRequest(req)
}

func (r *settledRequests) list() []SettledRequest {
	out := make([]SettledRequest, 0, len(r.order))
	for _, req := range r.order {
		out = append(out, *r.byID[req])
	}
	return out
}
