package target

import (
	"time"

	"geraniumsaddle/core/object"
)

const (
	// ejectThreshold is the number of consecutive failures that ejects a target.
	ejectThreshold = 3
	// An ejection lasts initialEjection at first and doubles with each further one, up to maxEjection.
	initialEjection = 5 * time.Second
	maxEjection     = 5 * time.Minute
	// ejectionJitter is the largest fraction by which an ejection is shortened at random, so that targets that failed
	// together do not return together.
	ejectionJitter = 0.25
	// retryableTrialPeriod is how long a half-open target prefers a retryable request as its trial.
	retryableTrialPeriod = 30 * time.Second
)

type phase uint8

const (
	phaseHealthy phase = iota
	phaseEjected
	phaseHalfOpen
)

// health is the ejection state of a target.
type health struct {
	phase phase
	// ejections counts the ejections since the target was last healthy for longer than maxEjection.
	ejections           int
	until               time.Time // end of the ejection
	since               time.Time // start of the half-open or healthy phase
	successesAtHalfOpen uint64    // successes counted when the half-open phase started
	anyRequest          bool
}

// ejectionGroup identifies a group of targets of which at most half may be ejected or half-open: the targets of a pool,
// or those of a version in it.
type ejectionGroup struct {
	key     Key
	version string
	pool    bool
}

type healthCount struct{ active, unhealthy int }

// updateHealth updates the health of all active targets of the failure domain from their counters.
func (r *Registry) updateHealth(now time.Time) {
	for _, e := range r.sorted {
		if e.obj.Domain != r.cfg.Domain || e.state() != object.TargetActive {
			continue
		}
		switch e.health.phase {
		case phaseHealthy:
			if e.shared.failureStreak.Load() >= ejectThreshold && r.mayEject(e) {
				r.eject(e, now)
			}
		case phaseEjected:
			if !now.Before(e.health.until) {
				r.makeHalfOpen(e, now)
			}
		case phaseHalfOpen:
			r.checkHalfOpen(e, now)
		}
	}
}

func (r *Registry) eject(e *entry, now time.Time) {
	if e.health.phase == phaseHealthy && now.Sub(e.health.since) > maxEjection {
		e.health.ejections = 0
	}
	d := initialEjection << min(e.health.ejections, 16)
	d = min(d, maxEjection)
	d -= time.Duration(float64(d) * ejectionJitter * r.rnd.Float64())
	e.health.phase = phaseEjected
	e.health.ejections++
	e.health.until = now.Add(d)
	r.dirty = true
}

func (r *Registry) makeHalfOpen(e *entry, now time.Time) {
	e.health.phase = phaseHalfOpen
	e.health.since = now
	e.health.successesAtHalfOpen = e.shared.successes.Load()
	e.health.anyRequest = false
	e.shared.failureStreak.Store(0)
	e.shared.trialTaken.Store(false)
	r.dirty = true
}

func (r *Registry) checkHalfOpen(e *entry, now time.Time) {
	switch {
	case e.shared.failureStreak.Load() > 0:
		r.eject(e, now)
	case e.shared.successes.Load() > e.health.successesAtHalfOpen:
		r.markHealthy(e, now)
	case !e.health.anyRequest && now.Sub(e.health.since) > retryableTrialPeriod:
		e.health.anyRequest = true
		r.dirty = true
	}
}

func (r *Registry) markHealthy(e *entry, now time.Time) {
	e.health.phase = phaseHealthy
	e.health.since = now
	e.shared.failureStreak.Store(0)
	e.shared.trialTaken.Store(false)
	r.dirty = true
}

// healthCounts returns for each group the number of active targets and of those that are ejected or half-open.
func (r *Registry) healthCounts() map[ejectionGroup]healthCount {
	counts := make(map[ejectionGroup]healthCount)
	for _, e := range r.sorted {
		if e.obj.Domain != r.cfg.Domain || e.state() != object.TargetActive {
			continue
		}
		for _, g := range r.ejectionGroups(e) {
			count := counts[g]
			count.active++
			if e.health.phase != phaseHealthy {
				count.unhealthy++
			}
			counts[g] = count
		}
	}
	return counts
}

func (r *Registry) ejectionGroups(e *entry) []ejectionGroup {
	var out []ejectionGroup
	pools := make(map[Key]bool)
	for _, p := range r.poolVersions(e) {
		out = append(out, ejectionGroup{key: p.key, version: string(p.version)})
		if !pools[p.key] {
			pools[p.key] = true
			out = append(out, ejectionGroup{key: p.key, pool: true})
		}
	}
	return out
}

// mayEject reports whether the target belongs to a group and no group of it would have more than half of its targets
// ejected or half-open after the ejection.
func (r *Registry) mayEject(e *entry) bool {
	counts := r.healthCounts()
	groups := r.ejectionGroups(e)
	for _, g := range groups {
		if count := counts[g]; 2*(count.unhealthy+1) > count.active {
			return false
		}
	}
	return len(groups) > 0
}

// enforceEjectionLimit ends ejections early if a group has shrunk so far that more than half of its targets are ejected
// or half-open.
func (r *Registry) enforceEjectionLimit(now time.Time) {
	for {
		e := r.excessEjection()
		if e == nil {
			return
		}
		r.markHealthy(e, now)
	}
}

// excessEjection returns the target whose ejection ends first in a group that is over the limit, or nil.
func (r *Registry) excessEjection() *entry {
	var first *entry
	var counts map[ejectionGroup]healthCount
	for _, e := range r.sorted {
		if e.health.phase == phaseHealthy || e.obj.Domain != r.cfg.Domain || e.state() != object.TargetActive {
			continue
		}
		if counts == nil {
			counts = r.healthCounts()
		}
		if first != nil && !e.health.until.Before(first.health.until) {
			continue
		}
		for _, g := range r.ejectionGroups(e) {
			if count := counts[g]; 2*count.unhealthy > count.active {
				first = e
				break
			}
		}
	}
	return first
}
