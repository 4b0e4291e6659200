package place

import "geraniumsaddle/core/ident"

// Prompt describes a request to a model engine.
type Prompt struct {
	Model string
	// Input is the number of prompt tokens, and MaxOutput the maximum number of output tokens.
	Input, MaxOutput ident.Tokens
	// OutputHint is the caller's estimate of the output tokens, or zero. It is often far off.
	OutputHint ident.Tokens
	Parts      Parts
}

// MaxTokens returns the maximum number of tokens that the request can use.
func (p *Prompt) MaxTokens() ident.Tokens { return p.Input + p.MaxOutput }

// rendezvousScore returns the rendezvous hashing score of a target for a part; the target with the highest score owns
// the part. The arguments are hashes of their IDs.
func rendezvousScore(part, target uint64) uint64 {
	// The finalizer of SplitMix64 spreads the combined bits.
	x := part ^ target
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
