package target

import (
	"time"

	"geraniumsaddle/core/object"
)

const (
	// ejectStreak is the number of failures in a row that ejects a target.
	ejectStreak = 3
	ejectFirst  = 5 * time.Second
	ejectMax    = 5 * time.Minute
	// ejectJitter is the part of an ejection that is random, so that targets that failed together do
	// not return together.
	ejectJitter = 0.25
	// trialPatience is how long a half-open target waits for a request that may be retried.
	trialPatience = 30 * time.Second
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
	// count is the number of ejections since the target was last healthy for ejectMax.
	count    int
	until    time.Time // end of the ejection
	since    time.Time // start of the half-open or healthy phase
	oks      uint64    // successes seen when the half-open phase started
	anyTrial bool
}

// group names targets of which at most half may be ejected: those of a pool, and those of a version.
type group struct {
	key     Key
	version string
	pool    bool
}

type tally struct{ active, out int }

// examine updates the health of all targets of the failure domain from their counters.
func (r *Registry) examine(now time.Time) {
	for _, e := range r.sorted {
		if e.obj.Domain != r.cfg.Domain || e.state() != object.TargetActive {
			continue
		}
		switch e.health.phase {
		case phaseHealthy:
			if e.live.streak.Load() >= ejectStreak && r.mayEject(e) {
				r.eject(e, now)
			}
		case phaseEjected:
			if !now.Before(e.health.until) {
				r.halfOpen(e, now)
			}
		case phaseHalfOpen:
			r.judge(e, now)
		}
	}
}

func (r *Registry) eject(e *entry, now time.Time) {
	if e.health.phase == phaseHealthy && now.Sub(e.health.since) > ejectMax {
		e.health.count = 0
	}
	d := ejectFirst << min(e.health.count, 16)
	d = min(d, ejectMax)
	d -= time.Duration(float64(d) * ejectJitter * r.rnd.Float64())
	e.health.phase = phaseEjected
	e.health.count++
	e.health.until = now.Add(d)
	r.dirty = true
}

func (r *Registry) halfOpen(e *entry, now time.Time) {
	e.health.phase = phaseHalfOpen
	e.health.since = now
	e.health.oks = e.live.oks.Load()
	e.health.anyTrial = false
	e.live.streak.Store(0)
	e.live.trial.Store(false)
	r.dirty = true
}

func (r *Registry) judge(e *entry, now time.Time) {
	switch {
	case e.live.streak.Load() > 0:
		r.eject(e, now)
	case e.live.oks.Load() > e.health.oks:
		r.restore(e, now)
	case !e.health.anyTrial && now.Sub(e.health.since) > trialPatience:
		e.health.anyTrial = true
		r.dirty = true
	}
}

func (r *Registry) restore(e *entry, now time.Time) {
	e.health.phase = phaseHealthy
	e.health.since = now
	e.live.streak.Store(0)
	e.live.trial.Store(false)
	r.dirty = true
}

// tallies counts the active targets of each group and those that are ejected or half-open.
func (r *Registry) tallies() map[group]tally {
	all := make(map[group]tally)
	for _, e := range r.sorted {
		if e.obj.Domain != r.cfg.Domain || e.state() != object.TargetActive {
			continue
		}
		for _, g := range r.groups(e) {
			t := all[g]
			t.active++
			if e.health.phase != phaseHealthy {
				t.out++
			}
			all[g] = t
		}
	}
	return all
}

func (r *Registry) groups(e *entry) []group {
	var out []group
	pools := make(map[Key]bool)
	for _, p := range r.places(e) {
		out = append(out, group{key: p.key, version: string(p.version)})
		if !pools[p.key] {
			pools[p.key] = true
			out = append(out, group{key: p.key, pool: true})
		}
	}
	return out
}

func (r *Registry) mayEject(e *entry) bool {
	all := r.tallies()
	groups := r.groups(e)
	for _, g := range groups {
		if t := all[g]; 2*(t.out+1) > t.active {
			return false
		}
	}
	return len(groups) > 0
}

// limit returns ejected targets early when a pool has shrunk so far that more than half is ejected.
func (r *Registry) limit(now time.Time) {
	for {
		e := r.surplus()
		if e == nil {
			return
		}
		r.restore(e, now)
	}
}

// surplus returns the target with the earliest end of ejection in a group that is over the limit.
func (r *Registry) surplus() *entry {
	var first *entry
	var all map[group]tally
	for _, e := range r.sorted {
		if e.health.phase == phaseHealthy || e.obj.Domain != r.cfg.Domain || e.state() != object.TargetActive {
			continue
		}
		if all == nil {
			all = r.tallies()
		}
		if first != nil && !e.health.until.Before(first.health.until) {
			continue
		}
		for _, g := range r.groups(e) {
			if t := all[g]; 2*t.out > t.active {
				first = e
				break
			}
		}
	}
	return first
}
