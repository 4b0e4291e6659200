package engine

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the number of prompt bytes that one cache block covers.
const PrefixBlockBytes = 64

// PrefixHashes returns a hash for each leading complete cache block of a prompt, at most limit of them. Each hash
// covers the prompt from its start to the end of the block, so equal hashes mean equal prefixes.
func PrefixHashes(prompt string, limit int) []string {
	blocks := min(len(prompt)/PrefixBlockBytes, limit)
	out := make([]string, 0, max(blocks, 0))
	digest := xxhash.New()
	for i := range blocks {
		_, _ = digest.WriteString(prompt[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes])
		out = append(out, fmt.Sprintf("%016x", digest.Sum64()))
	}
	return out
}
