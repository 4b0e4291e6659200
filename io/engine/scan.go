package engine

import "bytes"

// scanner reads one JSON text without reflection or allocation. After a fault, ok is false and nothing more is read.
type scanner struct {
	b  []byte
	i  int
	ok bool
}

// maxDepth bounds nested arrays and objects, and so the depth of the scanner's recursion.
const maxDepth = 64

// parseChunk reads the request id, the content and finish reason of choice 0 and the usage from c.Data.
func parseChunk(c *Chunk, id string) error {
	s := scanner{b: c.Data, ok: true}
	own := false
	s.object(0, func(key []byte) {
		switch string(key) {
		case "id":
			v := s.text()
			own = string(v) == id
		case "choices":
			s.choices(c)
		case "usage":
			s.usage(c)
		default:
			s.skip(1)
		}
	})
	s.space()
	switch {
	case !s.ok || s.i != len(s.b):
		return ErrMalformed
	case !own:
		return ErrWrongRequest
	}
	return nil
}

func (s *scanner) choices(c *Chunk) {
	first := true
	s.array(1, func() {
		if !first || s.peek() != '{' {
			s.skip(2)
			return
		}
		first = false
		s.object(2, func(key []byte) {
			switch {
			case string(key) == "delta" && s.peek() == '{':
				s.object(3, func(key []byte) {
					if string(key) == "content" && s.peek() == '"' {
						c.Content = s.text()
						return
					}
					s.skip(4)
				})
			case string(key) == "finish_reason" && s.peek() == '"':
				c.FinishReason = s.text()
			default:
				s.skip(3)
			}
		})
	})
}

func (s *scanner) usage(c *Chunk) {
	if s.peek() != '{' {
		s.skip(1)
		return
	}
	c.HasUsage = true
	s.object(1, func(key []byte) {
		switch string(key) {
		case "prompt_tokens":
			c.Usage.PromptTokens = s.count()
		case "completion_tokens":
			c.Usage.OutputTokens = s.count()
		case "prompt_tokens_details":
			if s.peek() != '{' {
				s.skip(2)
				return
			}
			s.object(2, func(key []byte) {
				if string(key) == "cached_tokens" {
					c.Usage.CachedTokens = s.count()
					return
				}
				s.skip(3)
			})
		default:
			s.skip(2)
		}
	})
}

func (s *scanner) fail() { s.ok = false }

func (s *scanner) space() {
	for s.i < len(s.b) {
		switch s.b[s.i] {
		case ' ', '\t', '\r', '\n':
			s.i++
		default:
			return
		}
	}
}

// peek returns the next byte after white space, or zero at the end.
func (s *scanner) peek() byte {
	s.space()
	if s.i >= len(s.b) {
		return 0
	}
	return s.b[s.i]
}

// take reads the byte c after white space. It reports whether it was there.
func (s *scanner) take(c byte) bool {
	if s.ok && s.peek() == c {
		s.i++
		return true
	}
	return false
}

// object reads an object and calls value at the value of each key, which it must read.
func (s *scanner) object(depth int, value func(key []byte)) {
	if depth > maxDepth || !s.take('{') {
		s.fail()
		return
	}
	if s.take('}') {
		return
	}
	for s.ok {
		key := s.text()
		if !s.take(':') {
			s.fail()
			return
		}
		value(key)
		if s.take(',') {
			continue
		}
		if !s.take('}') {
			s.fail()
		}
		return
	}
}

// array reads an array and calls value at each element, which it must read.
func (s *scanner) array(depth int, value func()) {
	if depth > maxDepth || !s.take('[') {
		s.fail()
		return
	}
	if s.take(']') {
		return
	}
	for s.ok {
		value()
		if s.take(',') {
			continue
		}
		if !s.take(']') {
			s.fail()
		}
		return
	}
}

// text reads a string and returns it in its escaped form without quotes.
func (s *scanner) text() []byte {
	if !s.take('"') {
		s.fail()
		return nil
	}
	from := s.i
	for s.i < len(s.b) {
		switch c := s.b[s.i]; {
		case c == '"':
			s.i++
			return s.b[from : s.i-1]
		case c < 0x20:
			s.fail()
			return nil
		case c == '\\':
			s.escape()
			if !s.ok {
				return nil
			}
		default:
			s.i++
		}
	}
	s.fail()
	return nil
}

func (s *scanner) escape() {
	s.i++
	if s.i >= len(s.b) {
		s.fail()
		return
	}
	c := s.b[s.i]
	s.i++
	if c != 'u' {
		if bytes.IndexByte([]byte(`"\/bfnrt`), c) < 0 {
			s.fail()
		}
		return
	}
	for range 4 {
		if s.i >= len(s.b) || !isHex(s.b[s.i]) {
			s.fail()
			return
		}
		s.i++
	}
}

func isHex(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

// count reads a number of tokens, which has no sign, fraction or exponent.
func (s *scanner) count() int64 {
	from := s.skipNumber()
	n, ok := parseCount(s.b[from:s.i])
	if !ok {
		s.fail()
	}
	return n
}

// skip reads any value.
func (s *scanner) skip(depth int) {
	if !s.ok {
		return
	}
	switch c := s.peek(); c {
	case '{':
		s.object(depth, func([]byte) { s.skip(depth + 1) })
	case '[':
		s.array(depth, func() { s.skip(depth + 1) })
	case '"':
		s.text()
	case 't':
		s.literal("true")
	case 'f':
		s.literal("false")
	case 'n':
		s.literal("null")
	default:
		s.skipNumber()
	}
}

func (s *scanner) literal(v string) {
	if !bytes.HasPrefix(s.b[s.i:], []byte(v)) {
		s.fail()
		return
	}
	s.i += len(v)
}

// skipNumber reads a number and returns its start.
func (s *scanner) skipNumber() (from int) {
	s.space()
	from = s.i
	if s.i < len(s.b) && s.b[s.i] == '-' {
		s.i++
	}
	if s.i < len(s.b) && s.b[s.i] == '0' {
		s.i++
	} else {
		s.digits()
	}
	if s.i < len(s.b) && s.b[s.i] == '.' {
		s.i++
		s.digits()
	}
	if s.i < len(s.b) && (s.b[s.i] == 'e' || s.b[s.i] == 'E') {
		s.i++
		if s.i < len(s.b) && (s.b[s.i] == '+' || s.b[s.i] == '-') {
			s.i++
		}
		s.digits()
	}
	return from
}

// digits reads one digit or more.
func (s *scanner) digits() {
	from := s.i
	for s.i < len(s.b) && s.b[s.i] >= '0' && s.b[s.i] <= '9' {
		s.i++
	}
	if s.i == from {
		s.fail()
	}
}
