package canary

import "time"

// Policy holds the parameters of the release decisions. All rates are fractions of requests.
type Policy struct {
	// Steps are the shares of the conversations that a new version receives in turn. Dwell is the shortest time at
	// each step, as a fraction of the release's window.
	Steps []float64
	Dwell []float64
	// Errors configures the test on errors. Slow configures the tests on requests that are slower than the old
	// version's quantile, one for the time to first token and one for the time between tokens.
	Errors TestPolicy
	Slow   TestPolicy
	// Quantile is the fraction of the old version's requests below the latency threshold.
	Quantile float64
	// MinEvidence is the natural logarithm of the evidence over all segments that is required to leave each step: a
	// version of the mildest bad rate leaves it with probability exp(-MinEvidence). MinSegmentEvidence is the same for
	// each segment with traffic.
	MinEvidence        []float64
	MinSegmentEvidence []float64
	// FirstMildStep is the first step at which each segment must exclude the mildest bad rate; earlier steps exclude
	// the middle one. A segment with more than HoldEvidence for the mildest bad rate holds the step in any case.
	FirstMildStep int
	HoldEvidence  float64
	// MinTrafficShare is the share of the requests of both versions from which a segment counts as one with traffic.
	MinTrafficShare float64
	// ErrorLimit, SlowLimit and the latency limits take the place of a reference for a version that replaces none, or
	// whose reference has no measurements.
	ErrorLimit         float64
	SlowLimit          float64
	FirstTokenLimit    time.Duration
	BetweenTokensLimit time.Duration
	// Grace is how long after the finish a router waits for a completion that a peer decided before the finish.
	// LateGrace is that time for a router that saw the release only after its finish, counted from then.
	Grace     time.Duration
	LateGrace time.Duration
}

// TestPolicy configures the test of a rate against a reference rate r. Rates up to r + Margin are good, and rates from
// r x BadScale + BadMargins[i] on are bad.
type TestPolicy struct {
	Margin     float64
	BadScale   float64
	BadMargins [alternatives]float64
	// MaxReference caps r when a version is to be shown good, so that a degraded old version does not make a bad one
	// look good.
	MaxReference float64
	// SparseMargin is added to Margin and BadMargins when the old version serves too few requests for a comparison.
	SparseMargin float64
	// AlarmEvidence is the natural logarithm of the evidence that condemns a version in a segment: a version exactly at
	// the margin runs on average at least exp(AlarmEvidence) requests in a segment before a false alarm of one
	// alternative. The paired comparison over the same time must reach it too.
	AlarmEvidence float64
	// MinSparseTime is how long a fault must last while the old version serves too few requests for a comparison,
	// because a disturbance of both versions looks the same. A rate above GrossRate needs no such time.
	MinSparseTime time.Duration
	GrossRate     float64
}

// DefaultPolicy returns the parameters that are measured in docs/decisions/canary.md.
func DefaultPolicy() Policy {
	return Policy{
		Steps: []float64{0.01, 0.05, 0.20, 0.50, 1},
		Dwell: []float64{0.50, 0.08, 0.05, 0.04, 0.03},
		Errors: TestPolicy{Margin: 0.005, BadScale: 1.5, BadMargins: [alternatives]float64{0.02, 0.10, 0.40}, MaxReference: 0.03,
			SparseMargin: 0.01, AlarmEvidence: 9, MinSparseTime: time.Minute, GrossRate: 0.5},
		Slow: TestPolicy{Margin: 0.05, BadScale: 1.5, BadMargins: [alternatives]float64{0.15, 0.35, 0.60}, MaxReference: 0.15,
			SparseMargin: 0.05, AlarmEvidence: 14, MinSparseTime: time.Minute, GrossRate: 1},
		Quantile:           0.9,
		MinEvidence:        []float64{4.6, 4.6, 4.6, 4.6, 2.3},
		MinSegmentEvidence: []float64{1, 1.5, 1, 1.5, 1},
		FirstMildStep:      2,
		HoldEvidence:       1.7,
		MinTrafficShare:    0.03,
		ErrorLimit:         0.01,
		SlowLimit:          0.05,
		FirstTokenLimit:    4 * time.Second,

		BetweenTokensLimit: 100 * time.Millisecond,
		Grace:              3 * time.Second,
		LateGrace:          time.Minute,
	}
}

// SmallPolicy returns parameters for little traffic and short windows, such as a demonstration. It tells only large
// faults from a good version, with fewer requests than DefaultPolicy needs.
func SmallPolicy() Policy {
	p := DefaultPolicy()
	p.Errors.Margin, p.Errors.MaxReference, p.Errors.SparseMargin = 0.03, 0.10, 0.05
	p.Errors.BadMargins = [alternatives]float64{0.20, 0.40, 0.80}
	p.Slow.Margin = 0.10
	p.Slow.BadMargins = [alternatives]float64{0.30, 0.45, 0.70}
	p.Errors.MinSparseTime, p.Slow.MinSparseTime = 5*time.Second, 5*time.Second
	p.Errors.AlarmEvidence, p.Slow.AlarmEvidence = 8, 8
	p.MinEvidence = []float64{1, 1, 1, 1, 1}
	p.MinSegmentEvidence = []float64{0.15, 0.3, 0.5, 0.5, 0.5}
	p.MinTrafficShare = 0.10
	return p
}
