package place

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"geraniumsaddle/core/ident"
)

// Part is a piece of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens ident.Tokens
}

// Prompt describes the request of a model engine.
type Prompt struct {
	Model string
	// Input is the number of prompt tokens, and MaxOutput the bound on output tokens.
	Input, MaxOutput ident.Tokens
	// Parts are in the order of the prompt. The last one belongs to the request or its conversation.
	Parts []Part
}

// Max returns the largest number of tokens that the request can use.
func (p *Prompt) Max() ident.Tokens { return p.Input + p.MaxOutput }

// shared returns the deepest part that other requests share, or false.
func (p *Prompt) shared() (Part, bool) {
	if p == nil || len(p.Parts) < 2 {
		return Part{}, false
	}
	return p.Parts[len(p.Parts)-2], true
}

// rank orders the targets of a part by rendezvous hashing. The highest keeps the part.
func rank(part string, id ident.TargetID) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], xxhash.Sum64String(part))
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}
