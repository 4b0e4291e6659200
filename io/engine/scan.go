package engine

import "bytes"

// jsonScanner reads one JSON text without reflection or allocation. After a syntax error ok is false and nothing more
// is read.
type jsonScanner struct {
	data []byte
	pos  int
	ok   bool
}

// maxDepth bounds the nesting of arrays and objects, and with it the scanner's recursion.
const maxDepth = 64

// parseChunk reads the request id, the content and finish reason of choice 0 and the usage from c.Data.
func parseChunk(c *Chunk, requestID string) error {
	s := jsonScanner{data: c.Data, ok: true}
	idMatches := false
	s.scanObject(0, func(key []byte) {
		switch string(key) {
		case "id":
			v := s.rawString()
			idMatches = string(v) == requestID
		case "choices":
			s.parseChoices(c)
		case "usage":
			s.parseUsage(c)
		default:
			s.skipValue(1)
		}
	})
	s.skipSpace()
	switch {
	case !s.ok || s.pos != len(s.data):
		return ErrMalformed
	case !idMatches:
		return ErrWrongRequest
	}
	return nil
}

func (s *jsonScanner) parseChoices(c *Chunk) {
	first := true
	s.scanArray(1, func() {
		if !first || s.peek() != '{' {
			s.skipValue(2)
			return
		}
		first = false
		s.scanObject(2, func(key []byte) {
			switch {
			case string(key) == "delta" && s.peek() == '{':
				s.scanObject(3, func(key []byte) {
					if string(key) == "content" && s.peek() == '"' {
						c.Content = s.rawString()
						return
					}
					s.skipValue(4)
				})
			case string(key) == "finish_reason" && s.peek() == '"':
				c.FinishReason = s.rawString()
			default:
				s.skipValue(3)
			}
		})
	})
}

func (s *jsonScanner) parseUsage(c *Chunk) {
	if s.peek() != '{' {
		s.skipValue(1)
		return
	}
	c.HasUsage = true
	s.scanObject(1, func(key []byte) {
		switch string(key) {
		case "prompt_tokens":
			c.Usage.PromptTokens = s.tokenCount()
		case "completion_tokens":
			c.Usage.OutputTokens = s.tokenCount()
		case "prompt_tokens_details":
			if s.peek() != '{' {
				s.skipValue(2)
				return
			}
			s.scanObject(2, func(key []byte) {
				if string(key) == "cached_tokens" {
					c.Usage.CachedTokens = s.tokenCount()
					return
				}
				s.skipValue(3)
			})
		default:
			s.skipValue(2)
		}
	})
}

func (s *jsonScanner) fail() { s.ok = false }

func (s *jsonScanner) skipSpace() {
	for s.pos < len(s.data) {
		switch s.data[s.pos] {
		case ' ', '\t', '\r', '\n':
			s.pos++
		default:
			return
		}
	}
}

// peek skips white space and returns the next byte without consuming it, or zero at the end.
func (s *jsonScanner) peek() byte {
	s.skipSpace()
	if s.pos >= len(s.data) {
		return 0
	}
	return s.data[s.pos]
}

// consume skips white space and reads the byte c. It reports whether c was the next byte.
func (s *jsonScanner) consume(c byte) bool {
	if s.ok && s.peek() == c {
		s.pos++
		return true
	}
	return false
}

// scanObject reads an object and calls readValue for each key. readValue must read the value.
func (s *jsonScanner) scanObject(depth int, readValue func(key []byte)) {
	if depth > maxDepth || !s.consume('{') {
		s.fail()
		return
	}
	if s.consume('}') {
		return
	}
	for s.ok {
		key := s.rawString()
		if !s.consume(':') {
			s.fail()
			return
		}
		readValue(key)
		if s.consume(',') {
			continue
		}
		if !s.consume('}') {
			s.fail()
		}
		return
	}
}

// scanArray reads an array and calls readValue for each element. readValue must read the element.
func (s *jsonScanner) scanArray(depth int, readValue func()) {
	if depth > maxDepth || !s.consume('[') {
		s.fail()
		return
	}
	if s.consume(']') {
		return
	}
	for s.ok {
		readValue()
		if s.consume(',') {
			continue
		}
		if !s.consume(']') {
			s.fail()
		}
		return
	}
}

// rawString reads a string and returns it without quotes and with its escape sequences.
func (s *jsonScanner) rawString() []byte {
	if !s.consume('"') {
		s.fail()
		return nil
	}
	from := s.pos
	for s.pos < len(s.data) {
		switch c := s.data[s.pos]; {
		case c == '"':
			s.pos++
			return s.data[from : s.pos-1]
		case c < 0x20:
			s.fail()
			return nil
		case c == '\\':
			s.skipEscape()
			if !s.ok {
				return nil
			}
		default:
			s.pos++
		}
	}
	s.fail()
	return nil
}

func (s *jsonScanner) skipEscape() {
	s.pos++
	if s.pos >= len(s.data) {
		s.fail()
		return
	}
	c := s.data[s.pos]
	s.pos++
	if c != 'u' {
		if bytes.IndexByte([]byte(`"\/bfnrt`), c) < 0 {
			s.fail()
		}
		return
	}
	for range 4 {
		if s.pos >= len(s.data) || !isHex(s.data[s.pos]) {
			s.fail()
			return
		}
		s.pos++
	}
}

func isHex(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

// tokenCount reads a number of tokens, which must not have a sign, a fraction or an exponent.
func (s *jsonScanner) tokenCount() int64 {
	from := s.skipNumber()
	n, ok := parseCount(s.data[from:s.pos])
	if !ok {
		s.fail()
	}
	return n
}

// skipValue reads any value and discards it.
func (s *jsonScanner) skipValue(depth int) {
	if !s.ok {
		return
	}
	switch c := s.peek(); c {
	case '{':
		s.scanObject(depth, func([]byte) { s.skipValue(depth + 1) })
	case '[':
		s.scanArray(depth, func() { s.skipValue(depth + 1) })
	case '"':
		s.rawString()
	case 't':
		s.skipLiteral("true")
	case 'f':
		s.skipLiteral("false")
	case 'n':
		s.skipLiteral("null")
	default:
		s.skipNumber()
	}
}

func (s *jsonScanner) skipLiteral(v string) {
	if !bytes.HasPrefix(s.data[s.pos:], []byte(v)) {
		s.fail()
		return
	}
	s.pos += len(v)
}

// skipNumber reads a number and returns the position of its first byte.
func (s *jsonScanner) skipNumber() (from int) {
	s.skipSpace()
	from = s.pos
	if s.pos < len(s.data) && s.data[s.pos] == '-' {
		s.pos++
	}
	if s.pos < len(s.data) && s.data[s.pos] == '0' {
		s.pos++
	} else {
		s.skipDigits()
	}
	if s.pos < len(s.data) && s.data[s.pos] == '.' {
		s.pos++
		s.skipDigits()
	}
	if s.pos < len(s.data) && (s.data[s.pos] == 'e' || s.data[s.pos] == 'E') {
		s.pos++
		if s.pos < len(s.data) && (s.data[s.pos] == '+' || s.data[s.pos] == '-') {
			s.pos++
		}
		s.skipDigits()
	}
	return from
}

// skipDigits reads one or more digits.
func (s *jsonScanner) skipDigits() {
	from := s.pos
	for s.pos < len(s.data) && s.data[s.pos] >= '0' && s.data[s.pos] <= '9' {
		s.pos++
	}
	if s.pos == from {
		s.fail()
	}
}
