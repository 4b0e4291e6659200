package order

import (
	"cmp"
	"fmt"
	"math"
	"math/bits"
	"slices"
	"time"

	"geraniumsaddle/core/ident"
)

// StoreBandwidth is the rate of the weight store that is free for a plan.
type StoreBandwidth struct {
	BytesPerSecond ident.Bytes
	// Concurrent is the number of transfers at once. Each is planned with an equal part of the rate.
	Concurrent int
}

// Load is one transfer of a version's weights to a target.
type Load struct {
	Target  ident.TargetID
	Version ident.VersionID
	Bytes   ident.Bytes
}

// Transfer is a load with its planned time.
type Transfer struct {
	Load
	Start, End time.Time
}

// ScheduleResult is Scheduled or Unfit.
type ScheduleResult interface{ planResult() }

// Scheduled is a plan that fits, in order of start.
type Scheduled struct{ Transfers []Transfer }

// Infeasible is a plan that cannot be done in time.
type Infeasible struct {
	Reason string
	// Earliest is the earliest finish time that would fit.
	Earliest time.Time
}

func (Scheduled) planResult()  {}
func (Infeasible) planResult() {}

// ScheduleLoads schedules the loads backwards from finish, none before start: as late as possible, so that a
// release that is changed before its time has loaded little in vain. A target gets one transfer at a
// time. The longest transfers are placed first, which keeps the lanes even.
func ScheduleLoads(loads []Load, store StoreBandwidth, start, finish time.Time) ScheduleResult {
	if len(loads) == 0 {
		return Scheduled{}
	}
	if store.BytesPerSecond <= 0 || store.Concurrent <= 0 {
		return Infeasible{Reason: "the weight store gives no rate"}
	}
	loads = slices.Clone(loads)
	slices.SortFunc(loads, func(a, b Load) int {
		return cmp.Or(cmp.Compare(b.Bytes, a.Bytes), cmp.Compare(a.Target, b.Target), cmp.Compare(a.Version, b.Version))
	})
	lanes := make([]time.Time, min(store.Concurrent, len(loads)))
	for i := range lanes {
		lanes[i] = finish
	}
	targets := make(map[ident.TargetID]time.Time)
	out := make([]Transfer, 0, len(loads))
	first := finish
	for _, l := range loads {
		t := place(l, lanes, targets, store, finish)
		out = append(out, t)
		if t.Start.Before(first) {
			first = t.Start
		}
	}
	if late := start.Sub(first); late > 0 {
		return Infeasible{Reason: unfitReason(loads, store, finish.Sub(start), late), Earliest: finish.Add(late)}
	}
	slices.SortStableFunc(out, func(a, b Transfer) int { return a.Start.Compare(b.Start) })
	return Scheduled{Transfers: out}
}

// place puts a transfer at the latest end that a lane and its target allow.
func place(l Load, lanes []time.Time, targets map[ident.TargetID]time.Time, store StoreBandwidth, finish time.Time) Transfer {
	limit, ok := targets[l.Target]
	if !ok {
		limit = finish
	}
	// Of the lanes that are free at the latest possible end, the tightest one leaves the others open.
	best := 0
	for i, free := range lanes {
		end, bestEnd := earlier(free, limit), earlier(lanes[best], limit)
		if end.After(bestEnd) || end.Equal(bestEnd) && free.Before(lanes[best]) {
			best = i
		}
	}
	end := earlier(lanes[best], limit)
	begin := end.Add(-duration(l.Bytes, store))
	lanes[best], targets[l.Target] = begin, begin
	return Transfer{Load: l, Start: begin, End: end}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// duration is the time of a transfer at its part of the rate, rounded up. The product does not fit in 64
// bits, and floating point would round a long transfer down.
func duration(b ident.Bytes, s StoreBandwidth) time.Duration {
	hi, lo := bits.Mul64(uint64(b)*uint64(s.Concurrent), uint64(time.Second))
	if hi >= uint64(s.BytesPerSecond) {
		return math.MaxInt64
	}
	ns, _ := bits.Div64(hi, lo, uint64(s.BytesPerSecond))
	return time.Duration(min(ns, math.MaxInt64-1)) + 1
}

func unfitReason(loads []Load, s StoreBandwidth, window, late time.Duration) string {
	var total ident.Bytes
	for _, l := range loads {
		total += l.Bytes
	}
	return fmt.Sprintf("%d loads of %d bytes do not fit in %s at %d bytes/s with %d transfers at once: %s too long",
		len(loads), total, window, s.BytesPerSecond, s.Concurrent, late.Round(time.Second))
}
