package engine

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the number of prompt bytes that one cache block covers.
const PrefixBlockBytes = 64

// PrefixHashes returns the names of the leading whole cache blocks of a prompt, at most limit of them. Each name is the
// hash of the prompt up to the end of its block, so equal names mean equal prefixes.
func PrefixHashes(prompt string, limit int) []string {
	n := min(len(prompt)/PrefixBlockBytes, limit)
	out := make([]string, 0, max(n, 0))
	d := xxhash.New()
	for i := range n {
		_, _ = d.WriteString(prompt[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes])
		out = append(out, fmt.Sprintf("%016x", d.Sum64()))
	}
	return out
}
