package canary

import (
	"fmt"
	"slices"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// change tracks one new version of a release through its steps to its verdict.
type change struct {
	version             ident.VersionID
	replaces            ident.VersionID // empty for an added version
	verdict             object.Verdict
	reason              string
	decidedAt           time.Time
	step                int
	stepStart           time.Time
	suppressAlarmsUntil time.Time // evidence raises no alarm before this time
	maxShare            float64   // share at the last step; below 1 for an added version that shares the traffic
	trials              map[segment]*trial
	segments            []segment // sorted
}

func newChange(c object.ReleaseChange, verdict object.Verdict) *change {
	return &change{version: c.Version, replaces: c.Replaces, verdict: verdict, maxShare: 1, trials: make(map[segment]*trial)}
}

func (c *change) undecided() bool { return c.verdict == object.VerdictRunning }

// setVerdict sets the verdict and drops the trials. The verdict taken_back is final.
func (c *change) setVerdict(v object.Verdict, reason string, now time.Time) {
	if c.verdict == object.VerdictTakenBack || c.verdict == v {
		return
	}
	c.verdict, c.reason, c.decidedAt = v, reason, now
	c.trials, c.segments = nil, nil
}

// share returns the share of conversations that the version receives.
func (c *change) share(p *Policy) float64 {
	switch c.verdict {
	case object.VerdictRunning:
		return p.Steps[c.step] * c.maxShare
	case object.VerdictCompleted:
		return c.maxShare
	}
	return 0
}

// observe passes the evidence of one tick to the trials of all segments.
func (c *change) observe(p *Policy, e *Evidence, refs []ident.VersionID, dt time.Duration, suppressAlarms bool) {
	for _, v := range append([]ident.VersionID{c.version}, refs...) {
		for _, seg := range e.segments(v) {
			if c.trials[seg] == nil {
				c.addTrial(seg, e, refs)
			}
		}
	}
	for _, seg := range c.segments {
		in := tickInput{dt: dt, added: c.replaces == "", suppressAlarms: suppressAlarms}
		if s := e.totalsOf(c.version, seg); s != nil {
			in.newAll = s.all
		}
		in.ref, in.refAll = referenceCounts(e, refs, seg)
		c.trials[seg].advance(p, in)
	}
}

func (c *change) addTrial(seg segment, e *Evidence, refs []ident.VersionID) *trial {
	t := &trial{segment: seg}
	t.refCounted, _ = referenceCounts(e, refs, seg)
	i, _ := slices.BinarySearchFunc(c.segments, seg, segment.compare)
	c.segments = slices.Insert(c.segments, i, seg)
	c.trials[seg] = t
	return t
}

// referenceCounts sums the counters of the reference versions in a segment over all routers.
func referenceCounts(e *Evidence, refs []ident.VersionID, seg segment) (incremental, all counts) {
	for _, v := range refs {
		if s := e.totalsOf(v, seg); s != nil {
			incremental.add(s.incremental)
			all.add(s.all)
		}
	}
	return incremental, all
}

// setBaseline excludes the requests that were counted before the release started.
func (c *change) setBaseline(e *Evidence, refs []ident.VersionID) {
	for _, seg := range e.segments(c.version) {
		c.addTrial(seg, e, refs).counted = e.totalsOf(c.version, seg).all
	}
}

// faultReason describes the fault of the first bad segment. It is empty if no segment is bad.
func (c *change) faultReason(p *Policy) string {
	for _, seg := range c.segments {
		if f := c.trials[seg].faultReason(p); f != "" {
			return f
		}
	}
	return ""
}

// missingEvidence says which evidence the current step still lacks. It is empty when the evidence suffices.
func (c *change) missingEvidence(p *Policy) string {
	var total uint64
	var newRequests, llr float64
	for _, t := range c.trials {
		total += t.requests
	}
	for _, seg := range c.segments {
		newRequests += float64(c.trials[seg].newRequests)
		llr += c.trials[seg].errors.llr[0]
	}
	if llr > -p.MinEvidence[c.step] {
		return fmt.Sprintf("%.0f requests at a share of %g%% are not enough", newRequests, 100*p.Steps[c.step]*c.maxShare)
	}
	for _, seg := range c.segments {
		t := c.trials[seg]
		small := float64(t.requests) < p.MinTrafficShare*float64(total)
		if !t.holdsStep(p) && (small || t.hasEvidence(p, c.step)) {
			continue
		}
		return fmt.Sprintf("%d requests at a share of %g%% are not enough on route %s, load band %d",
			t.newRequests, 100*p.Steps[c.step]*c.maxShare, seg.route, seg.band)
	}
	return ""
}

// advanceStep moves to the next step, or to the step of a peer that is ahead, once the evidence of the current step
// suffices. The dwell time applies unless a peer is ahead. It returns true if the current step is the last one and
// its conditions are met.
func (c *change) advanceStep(p *Policy, window time.Duration, peerStep int, now time.Time) bool {
	ahead := peerStep > c.step
	if !ahead && now.Sub(c.stepStart) < time.Duration(p.Dwell[c.step]*float64(window)) {
		return false
	}
	if c.missingEvidence(p) != "" {
		return false
	}
	last := len(p.Steps) - 1
	if c.step == last {
		return true
	}
	c.step = min(max(c.step+1, peerStep), last)
	c.stepStart = now
	for _, t := range c.trials {
		t.startStep()
	}
	return false
}
