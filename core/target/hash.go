package target

import "github.com/cespare/xxhash/v2"

// mix is the finaliser of SplitMix64. It distributes the XOR of two hashes uniformly.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// nextRandom advances a SplitMix64 generator and returns its next value.
func nextRandom(state *uint64) uint64 {
	*state += 0x9e3779b97f4a7c15
	return mix(*state)
}

// randomBelow maps a uniform value to [0, n) without a division.
func randomBelow(x uint64, n int) int {
	return int((x >> 32) * uint64(n) >> 32)
}

// unitInterval maps a uniform value to [0, 1).
func unitInterval(x uint64) float64 {
	return float64(x>>11) / (1 << 53)
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }
