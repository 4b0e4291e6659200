package record

import "geraniumsaddle/core/ident"

// FoundRequest is a request in the journal. Settlement is nil while the hold is open.
type FoundRequest struct {
	Hold       Hold
	Settlement *Settlement
}

func (s *state) lookup(req ident.RequestID) (FoundRequest, bool) {
	if h, ok := s.holds[req]; ok {
		return FoundRequest{Hold: h}, true
	}
	return foundSettled(s.recent.byRequest(req))
}

func (s *state) lookupKey(k Hash) (FoundRequest, bool) {
	if k == (Hash{}) {
		return FoundRequest{}, false
	}
	if req, ok := s.requestByKey[k]; ok {
		return s.lookup(req)
	}
	return foundSettled(s.recent.byKey(k))
}

func foundSettled(s SettledRequest, ok bool) (FoundRequest, bool) {
	if !ok {
		return FoundRequest{}, false
	}
	return FoundRequest{Hold: s.Hold, Settlement: &s.Settlement}, true
}
