package place

import "geraniumsaddle/core/ident"

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

// MaxTokens returns the largest number of tokens that the request can use.
func (p *Prompt) MaxTokens() ident.Tokens { return p.Input + p.MaxOutput }

// shared returns the deepest part that other requests share, or false.
func (p *Prompt) shared() (Part, bool) {
	if p == nil || len(p.Parts) < 2 {
		return Part{}, false
	}
	return p.Parts[len(p.Parts)-2], true
}

// rank orders the targets of a part by rendezvous hashing. The highest keeps the part. Both arguments are hashes of names.
func rank(part, target uint64) uint64 {
	// The finalizer of SplitMix64 spreads the combined bits.
	x := part ^ target
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
