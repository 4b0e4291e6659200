package record

import "geraniumsaddle/core/ident"

// Found is a request in the journal. Settlement is nil while the hold is open.
type Found struct {
	Hold       Hold
	Settlement *Settlement
}

func (s *state) lookup(req ident.RequestID) (Found, bool) {
	if h, ok := s.holds[req]; ok {
		return Found{Hold: h}, true
	}
	return foundSettled(s.recent.byRequest(req))
}

func (s *state) lookupKey(k Hash) (Found, bool) {
	if k == (Hash{}) {
		return Found{}, false
	}
	if req, ok := s.byKey[k]; ok {
		return s.lookup(req)
	}
	return foundSettled(s.recent.byKey(k))
}

func foundSettled(c SettledRequest, ok bool) (Found, bool) {
	if !ok {
		return Found{}, false
	}
	return Found{Hold: c.Hold, Settlement: &c.Settlement}, true
}
