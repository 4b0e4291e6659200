package target

import (
	"math"

	"geraniumsaddle/core/ident"
)

// Shares says which versions of a model or service take new conversations.
type Shares struct {
	// Lines are the versions in service outside a release.
	Lines []Line
	// Shifts are the running releases.
	Shifts []TrafficShift
}

// Line is a version in service.
type Line struct {
	Version ident.VersionID
	// HashKey keeps conversations in place when a release replaces the version of a line. It is the
	// first version of the line, and empty means Version.
	HashKey ident.VersionID
	// Weight is relative to the other lines.
	Weight float64
}

// TrafficShift gives a share in [0, 1] of the conversations of one version to its successor.
type TrafficShift struct {
	Version ident.VersionID
	// Replaces is empty for an added version, which takes its share from all lines.
	Replaces ident.VersionID
	Share    float64
}

// line, step and set are the compiled form, with hashes and pointers in place of names.
type line struct {
	salt   uint64
	weight float64
	set    *set
}

type step struct {
	salt  uint64
	share float64
	to    *set
}

func (s step) takes(point uint64) bool { return unit(mix(point^s.salt)) < s.share }

// version returns the set of targets for a sticky hash. Each release compares its own hash of the
// conversation with its share, so a growing share only adds conversations to the new version.
func (p *Pool) version(point uint64) *set {
	s := p.entry(point)
	// The number of sets bounds the walk in case that the steps form a cycle.
	for range p.sets {
		n := s.successor(point)
		if n == nil {
			break
		}
		s = n
	}
	return s
}

func (p *Pool) entry(point uint64) *set {
	for _, a := range p.added {
		// An added version has nothing to fall back to, so it gets no share until a target has it.
		if a.to.active > 0 && a.takes(point) {
			return a.to
		}
	}
	if len(p.lines) == 1 {
		return p.lines[0].set
	}
	var best *set
	low := math.Inf(1)
	for _, l := range p.lines {
		if l.set.active == 0 {
			continue
		}
		// Weighted rendezvous hashing: the smallest exponential variate of rate weight wins.
		score := -math.Log(1-unit(mix(point^l.salt))) / l.weight
		if score < low {
			best, low = l.set, score
		}
	}
	if best == nil && len(p.lines) > 0 {
		return p.lines[0].set
	}
	return best
}

func (s *set) successor(point uint64) *set {
	if s == nil {
		return nil
	}
	for _, st := range s.steps {
		// A withdrawn version takes no new work even if its release is not at 100% here.
		if s.withdrawn || st.takes(point) {
			return st.to
		}
	}
	return nil
}

// compile links the shares to the sets of the pool and creates empty sets for versions without target.
func (p *Pool) compile(sh Shares) {
	for _, l := range sh.Lines {
		name := l.HashKey
		if name == "" {
			name = l.Version
		}
		if l.Weight > 0 {
			p.lines = append(p.lines, line{salt: hash("line/" + string(name)), weight: l.Weight, set: p.set(l.Version)})
		}
	}
	for _, st := range sh.Shifts {
		to := p.set(st.Version)
		c := step{salt: hash("step/" + string(st.Version)), share: st.Share, to: to}
		if st.Replaces == "" {
			p.added = append(p.added, c)
			continue
		}
		from := p.set(st.Replaces)
		from.steps = append(from.steps, c)
		to.fallback = from
	}
}

func (p *Pool) set(v ident.VersionID) *set {
	s := p.sets[v]
	if s == nil {
		s = &set{version: v, stat: new(stat)}
		p.sets[v] = s
	}
	return s
}
