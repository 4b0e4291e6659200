package canary

import "time"

// Policy holds the figures of the decisions. All rates are shares of requests.
type Policy struct {
	// Steps are the shares of the conversations, and Dwell is the shortest time at each step as a part
	// of the release's window.
	Steps []float64
	Dwell []float64
	// Errors is the test on errors. Slow is the test on requests slower than the old version's
	// quantile, for the time to first token and the time between tokens.
	Errors TestPolicy
	Slow   TestPolicy
	// Quantile is the part of the old version's requests below the latency threshold.
	Quantile float64
	// MinEvidence is the natural logarithm of the evidence over all cells for leaving each step: a version
	// of the mildest bad rate leaves it with probability exp(-MinEvidence). NeedCell is that of each cell
	// with traffic.
	MinEvidence     []float64
	MinCellEvidence []float64
	// FirstMildStep is the first step at which each cell must exclude the mildest bad rate; before, the
	// middle one. Doubt is the evidence for the mildest bad rate that holds a step in any case.
	FirstMildStep int
	HoldEvidence  float64
	// MinTrafficShare is the part of the version's traffic from which a cell counts as one with traffic.
	MinTrafficShare float64
	// ErrorLimit and the latency limits judge a version that has no reference.
	ErrorLimit         float64
	SlowLimit          float64
	FirstTokenLimit    time.Duration
	BetweenTokensLimit time.Duration
	// Grace is the time after the finish in which a completion that a peer decided before it still
	// counts. LateGrace is the same for a router that saw the release only after its finish.
	Grace     time.Duration
	LateGrace time.Duration
}

// TestPolicy describe a test of a rate against a reference rate r. Rates up to r + Margin are good, and
// rates from r x Scale + Bad[i] on are bad.
type TestPolicy struct {
	Margin     float64
	BadScale   float64
	BadMargins [alternatives]float64
	// MaxReference bounds the reference for showing a version good, so that a degraded old version doesn't.
	MaxReference float64
	// SparseMargin is added to the margin when the old version serves too little to be compared with.
	SparseMargin float64
	// AlarmEvidence is the natural logarithm of the evidence that condemns a cell: a version just at the margin
	// runs on average at least exp(AlarmEvidence) requests in a cell before a false alarm of one alternative.
	// The paired comparison over the same time needs as much.
	AlarmEvidence float64
	// MinSparseTime is how long a fault must last in that case, because a disturbance of both versions looks
	// the same. A rate above Gross condemns at once.
	MinSparseTime time.Duration
	GrossRate     float64
}

// DefaultPolicy returns the figures that docs/decisions/canary.md measures.
func DefaultPolicy() Policy {
	return Policy{
		Steps: []float64{0.01, 0.05, 0.20, 0.50, 1},
		Dwell: []float64{0.50, 0.08, 0.05, 0.04, 0.03},
		Errors: TestPolicy{Margin: 0.005, BadScale: 1.5, BadMargins: [alternatives]float64{0.02, 0.10, 0.40}, MaxReference: 0.03,
			SparseMargin: 0.01, AlarmEvidence: 9, MinSparseTime: time.Minute, GrossRate: 0.5},
		Slow: TestPolicy{Margin: 0.05, BadScale: 1.5, BadMargins: [alternatives]float64{0.15, 0.35, 0.60}, MaxReference: 0.15,
			SparseMargin: 0.05, AlarmEvidence: 14, MinSparseTime: time.Minute, GrossRate: 1},
		Quantile:        0.9,
		MinEvidence:     []float64{4.6, 4.6, 4.6, 4.6, 2.3},
		MinCellEvidence: []float64{1, 1.5, 1, 1.5, 1},
		FirstMildStep:   2,
		HoldEvidence:    1.7,
		MinTrafficShare: 0.03,
		ErrorLimit:      0.01,
		SlowLimit:       0.05,
		FirstTokenLimit: 4 * time.Second,

		BetweenTokensLimit: 100 * time.Millisecond,
		Grace:              3 * time.Second,
		LateGrace:          time.Minute,
	}
}

// SmallPolicy is for little traffic and short windows, such as a demonstration: it tells only large
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
	p.MinCellEvidence = []float64{0.15, 0.3, 0.5, 0.5, 0.5}
	p.MinTrafficShare = 0.10
	return p
}
