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
	Errors Margins
	Slow   Margins
	// Quantile is the part of the old version's requests below the latency threshold.
	Quantile float64
	// Alarm is the natural logarithm of the evidence that condemns a cell: a version just at the
	// margin runs on average at least exp(Alarm) requests in a cell before a false alarm of one
	// alternative.
	Alarm float64
	// NeedAll is the natural logarithm of the evidence over all cells for leaving each step: a version
	// of the mildest bad rate leaves it with probability exp(-NeedAll). NeedCell is that of each cell
	// with traffic. It grows with the share, because a small cell sees few requests at 1%.
	NeedAll  []float64
	NeedCell []float64
	// TrafficPart is the part of the version's traffic from which a cell counts as one with traffic.
	TrafficPart float64
	// ErrorLimit and the latency limits judge a version that has no reference.
	ErrorLimit    float64
	SlowLimit     float64
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Grace is the time after the finish in which a completion that a peer decided before it still
	// counts. LateGrace is the same for a router that saw the release only after its finish.
	Grace     time.Duration
	LateGrace time.Duration
}

// Margins describe a test of a rate against a reference rate r. Rates up to r + Margin are good, and
// rates from r x Scale + Bad[i] on are bad.
type Margins struct {
	Margin float64
	Scale  float64
	Bad    [alternatives]float64
	// Cap bounds the reference for showing a version good, so that a degraded old version doesn't.
	Cap float64
	// Thin is added to the margin when the old version serves too little to be compared with.
	Thin float64
}

// DefaultPolicy returns the figures that docs/decisions/canary.md measures.
func DefaultPolicy() Policy {
	return Policy{
		Steps:       []float64{0.01, 0.05, 0.20, 0.50, 1},
		Dwell:       []float64{0.15, 0.15, 0.15, 0.15, 0.05},
		Errors:      Margins{Margin: 0.005, Scale: 1.5, Bad: [alternatives]float64{0.02, 0.10, 0.40}, Cap: 0.03, Thin: 0.01},
		Slow:        Margins{Margin: 0.05, Scale: 1.5, Bad: [alternatives]float64{0.15, 0.35, 0.60}, Cap: 0.15, Thin: 0.05},
		Quantile:    0.9,
		Alarm:       12,
		NeedAll:     []float64{4.6, 4.6, 4.6, 4.6, 2.3},
		NeedCell:    []float64{0.15, 0.4, 1, 1.5, 1},
		TrafficPart: 0.03,
		ErrorLimit:  0.01,
		SlowLimit:   0.05,
		FirstToken:  4 * time.Second,

		BetweenTokens: 100 * time.Millisecond,
		Grace:         3 * time.Second,
		LateGrace:     time.Minute,
	}
}

// SmallPolicy is for little traffic and short windows, such as a demonstration: it tells only large
// faults from a good version, with about a tenth of the requests of DefaultPolicy.
func SmallPolicy() Policy {
	p := DefaultPolicy()
	p.Errors = Margins{Margin: 0.03, Scale: 1.5, Bad: [alternatives]float64{0.20, 0.40, 0.80}, Cap: 0.10, Thin: 0.05}
	p.Slow = Margins{Margin: 0.10, Scale: 1.5, Bad: [alternatives]float64{0.30, 0.45, 0.70}, Cap: 0.15, Thin: 0.05}
	p.Alarm = 8
	p.NeedAll = []float64{1, 1, 1, 1, 1}
	p.NeedCell = []float64{0.15, 0.3, 0.5, 0.5, 0.5}
	p.TrafficPart = 0.10
	return p
}
