package place

import (
	"encoding/binary"
	"iter"
	"strings"

	"geraniumsaddle/core/ident"
)

// Part is a section of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens ident.Tokens
}

// Parts are the parts of a prompt, in order. The last one is specific to the request or its conversation. They are one string
// with the length and the bytes of each ID and its tokens, because a head may list thousands, and a slice of them would take
// several times the size of the head as long as the request runs.
type Parts string

// PartsBuilder builds Parts. The zero value is empty.
type PartsBuilder struct{ text strings.Builder }

// Grow makes room for parts that take n bytes.
func (b *PartsBuilder) Grow(n int) { b.text.Grow(n) }

// Add adds a part. Negative tokens count as none.
func (b *PartsBuilder) Add(p Part) {
	var n [2 * binary.MaxVarintLen64]byte
	_, _ = b.text.Write(binary.AppendUvarint(n[:0], uint64(len(p.ID)))) // Writes to a builder never fail.
	_, _ = b.text.WriteString(p.ID)
	_, _ = b.text.Write(binary.AppendUvarint(n[:0], uint64(max(p.Tokens, 0))))
}

// Parts returns the parts that were added.
func (b *PartsBuilder) Parts() Parts { return Parts(b.text.String()) }

// NewParts returns the given parts.
func NewParts(parts ...Part) Parts {
	var b PartsBuilder
	for _, p := range parts {
		b.Add(p)
	}
	return b.Parts()
}

// All returns the parts in order. Their IDs are pieces of the string.
func (ps Parts) All() iter.Seq[Part] {
	return func(yield func(Part) bool) {
		for rest := string(ps); rest != ""; {
			var size, tokens uint64
			size, rest = cutUvarint(rest)
			id := rest[:size]
			tokens, rest = cutUvarint(rest[size:])
			if !yield(Part{id, ident.Tokens(tokens)}) { //nolint:gosec // as it was added
				return
			}
		}
	}
}

// cutUvarint returns the number at the start of a string, and the rest.
func cutUvarint(s string) (n uint64, rest string) {
	for i, shift := 0, 0; i < len(s); i, shift = i+1, shift+7 {
		n |= uint64(s[i]&0x7f) << shift
		if s[i] < 0x80 {
			return n, s[i+1:]
		}
	}
	return n, ""
}

// shared returns the last part that other requests may share, and false if there is none.
func (ps Parts) shared() (part Part, ok bool) {
	var last Part
	n := 0
	for p := range ps.All() {
		part, last = last, p
		n++
	}
	return part, n >= 2
}

// cachedTokens returns the tokens of the first part and those of all parts but the last.
func (ps Parts) cachedTokens() (first, shared ident.Tokens) {
	var last Part
	n := 0
	for p := range ps.All() {
		if n++; n == 2 {
			first = last.Tokens
		}
		if n >= 2 {
			shared += last.Tokens
		}
		last = p
	}
	return first, shared
}
