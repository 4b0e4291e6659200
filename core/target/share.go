package target

import (
	"math"

	"geraniumsaddle/core/ident"
)

// Shares defines how new conversations are divided among the versions of a model or service.
type Shares struct {
	// Lines are the release lines in service, each with its current version.
	Lines []Line
	// Shifts are the traffic shifts of the running releases.
	Shifts []TrafficShift
}

// Line is a release line: a version in service that later versions replace.
type Line struct {
	Version ident.VersionID
	// HashKey keeps conversations on the line when a release replaces its version. It is the first version of the line.
	// If it is empty, Version is used.
	HashKey ident.VersionID
	// Weight is relative to the other lines.
	Weight float64
}

// TrafficShift moves a share in [0, 1] of the conversations of one version to its successor.
type TrafficShift struct {
	Version ident.VersionID
	// Replaces is the version whose conversations move. It is empty for an added version, which takes its share from
	// all lines.
	Replaces ident.VersionID
	Share    float64
}

// line and shift are the compiled forms of Line and TrafficShift, with hashes and pointers in place of names.
type line struct {
	salt   uint64
	weight float64
	set    *versionSet
}

type shift struct {
	salt  uint64
	share float64
	to    *versionSet
}

func (s shift) includes(point uint64) bool { return unitInterval(mix(point^s.salt)) < s.share }

// versionAt returns the set of targets for the hash of a conversation. Each release compares its own hash of the
// conversation with its share, so a growing share only adds conversations to the new version.
func (p *Pool) versionAt(point uint64) *versionSet {
	s := p.entryVersion(point)
	// The number of sets bounds the loop in case the shifts form a cycle.
	for range p.sets {
		n := s.successor(point)
		if n == nil {
			break
		}
		s = n
	}
	return s
}

// entryVersion returns the version that a conversation starts from: an added version whose share includes it, or else
// the version of its release line.
func (p *Pool) entryVersion(point uint64) *versionSet {
	for _, a := range p.addedShifts {
		// An added version has no predecessor to fall back to, so it gets no share until a target has loaded it.
		if a.to.activeTargets > 0 && a.includes(point) {
			return a.to
		}
	}
	if len(p.lines) == 1 {
		return p.lines[0].set
	}
	var best *versionSet
	lowest := math.Inf(1)
	for _, l := range p.lines {
		if l.set.activeTargets == 0 {
			continue
		}
		// Weighted rendezvous hashing: the smallest exponential variate with the weight as its rate wins.
		score := -math.Log(1-unitInterval(mix(point^l.salt))) / l.weight
		if score < lowest {
			best, lowest = l.set, score
		}
	}
	if best == nil && len(p.lines) > 0 {
		return p.lines[0].set
	}
	return best
}

func (s *versionSet) successor(point uint64) *versionSet {
	if s == nil {
		return nil
	}
	for _, sh := range s.shifts {
		// A withdrawn version takes no new conversations, even if its release has not reached 100% here.
		if s.withdrawn || sh.includes(point) {
			return sh.to
		}
	}
	return nil
}

// compileShares links the shares to the sets of the pool. It creates empty sets for versions without targets.
func (p *Pool) compileShares(shares Shares) {
	for _, l := range shares.Lines {
		key := l.HashKey
		if key == "" {
			key = l.Version
		}
		if l.Weight > 0 {
			p.lines = append(p.lines, line{salt: hash("line/" + string(key)), weight: l.Weight, set: p.versionSetOf(l.Version)})
		}
	}
	for _, s := range shares.Shifts {
		to := p.versionSetOf(s.Version)
		compiled := shift{salt: hash("step/" + string(s.Version)), share: s.Share, to: to}
		if s.Replaces == "" {
			p.addedShifts = append(p.addedShifts, compiled)
			continue
		}
		from := p.versionSetOf(s.Replaces)
		from.shifts = append(from.shifts, compiled)
		to.predecessor = from
	}
}

func (p *Pool) versionSetOf(v ident.VersionID) *versionSet {
	s := p.sets[v]
	if s == nil {
		s = &versionSet{version: v, stats: new(versionStats)}
		p.sets[v] = s
	}
	return s
}
