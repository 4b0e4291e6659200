package record

import "geraniumsaddle/core/ident"

// settledRequests keeps the latest settled requests. It keeps the answers of the newest of them within a byte limit.
type settledRequests struct {
	limit              int
	maxAnswerBytes     ident.Bytes
	answerBytes        ident.Bytes
	byID               map[ident.RequestID]*SettledRequest
	idByKey            map[Hash]ident.RequestID
	oldestFirst        []ident.RequestID
	answersOldestFirst []ident.RequestID // the requests of oldestFirst whose answers are kept
}

func newSettledRequests(limit int, maxBytes ident.Bytes) settledRequests {
	return settledRequests{
		limit:          limit,
		maxAnswerBytes: maxBytes,
		byID:           map[ident.RequestID]*SettledRequest{},
		idByKey:        map[Hash]ident.RequestID{},
	}
}

func (s *SettledRequest) answerBytes() ident.Bytes {
	if s.Settlement.Answer == nil {
		return 0
	}
	return ident.Bytes(len(s.Settlement.Answer.Body) + len(s.Settlement.Answer.Type))
}

// add stores a settled request and evicts the oldest ones above the limits. An answer above a sixteenth of the byte
// limit is not kept, so that it does not displace all others.
func (r *settledRequests) add(s SettledRequest) {
	if r.limit <= 0 {
		return
	}
	if s.answerBytes() > r.maxAnswerBytes/16 {
		s.Settlement.Answer = nil
	}
	req := s.Hold.Request
	r.byID[req] = &s
	r.oldestFirst = append(r.oldestFirst, req)
	if s.Hold.IdempotencyKey != (Hash{}) {
		r.idByKey[s.Hold.IdempotencyKey] = req
	}
	if s.Settlement.Answer != nil {
		r.answersOldestFirst = append(r.answersOldestFirst, req)
		r.answerBytes += s.answerBytes()
	}
	for r.answerBytes > r.maxAnswerBytes {
		r.dropAnswer(r.answersOldestFirst[0])
	}
	if len(r.oldestFirst) > r.limit {
		r.evictOldest()
	}
}

func (r *settledRequests) dropAnswer(req ident.RequestID) {
	s := r.byID[req]
	r.answerBytes -= s.answerBytes()
	s.Settlement.Answer = nil
	r.answersOldestFirst = r.answersOldestFirst[1:]
}

func (r *settledRequests) evictOldest() {
	req := r.oldestFirst[0]
	if len(r.answersOldestFirst) > 0 && r.answersOldestFirst[0] == req {
		r.dropAnswer(req)
	}
	key := r.byID[req].Hold.IdempotencyKey
	if r.idByKey[key] == req {
		delete(r.idByKey, key)
	}
	delete(r.byID, req)
	r.oldestFirst = r.oldestFirst[1:]
}

func (r *settledRequests) byRequest(req ident.RequestID) (SettledRequest, bool) {
	s, ok := r.byID[req]
	if !ok {
		return SettledRequest{}, false
	}
	return *s, true
}

func (r *settledRequests) byKey(k Hash) (SettledRequest, bool) {
	req, ok := r.idByKey[k]
	if !ok {
		return SettledRequest{}, false
	}
	return r.byRequest(req)
}

func (r *settledRequests) list() []SettledRequest {
	out := make([]SettledRequest, 0, len(r.oldestFirst))
	for _, req := range r.oldestFirst {
		out = append(out, *r.byID[req])
	}
	return out
}
