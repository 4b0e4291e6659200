package target

import "github.com/cespare/xxhash/v2"

// mix is the finaliser of SplitMix64. It turns the xor of two hashes into a uniform value.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// next advances a SplitMix64 generator.
func next(state *uint64) uint64 {
	*state += 0x9e3779b97f4a7c15
	return mix(*state)
}

// below maps a uniform value to [0, n) without division.
func below(x uint64, n int) int {
	return int((x >> 32) * uint64(n) >> 32)
}

// unit maps a uniform value to [0, 1).
func unit(x uint64) float64 {
	return float64(x>>11) / (1 << 53)
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }
