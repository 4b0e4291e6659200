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

// StoreBandwidth is the part of the weight store's bandwidth that is available to a schedule.
type StoreBandwidth struct {
	BytesPerSecond ident.Bytes
	// Concurrent is the maximum number of concurrent transfers. Each is scheduled with an equal share of the bandwidth.
	Concurrent int
}

// Load is the transfer of the weights of a version to a target.
type Load struct {
	Target  ident.TargetID
	Version ident.VersionID
	Bytes   ident.Bytes
}

// Transfer is a load with its scheduled time.
type Transfer struct {
	Load
	Start, End time.Time
}

// ScheduleResult is Scheduled or Infeasible.
type ScheduleResult interface{ scheduleResult() }

// Scheduled is a schedule that meets its finish time, in the order of start times.
type Scheduled struct{ Transfers []Transfer }

// Infeasible reports that the loads cannot be finished in time.
type Infeasible struct {
	Reason string
	// Earliest is the earliest finish time for which ScheduleLoads finds a schedule. It is zero if the weight store
	// allows no transfers.
	Earliest time.Time
}

func (Scheduled) scheduleResult()  {}
func (Infeasible) scheduleResult() {}

// ScheduleLoads schedules the loads backwards from finish, and none before start. Transfers are as late as possible, so
// that little is loaded in vain if a release is changed before its time. A target gets one transfer at a time. The
// longest transfers are placed first, which balances the concurrent transfer slots.
func ScheduleLoads(loads []Load, bandwidth StoreBandwidth, start, finish time.Time) ScheduleResult {
	if len(loads) == 0 {
		return Scheduled{}
	}
	if bandwidth.BytesPerSecond <= 0 || bandwidth.Concurrent <= 0 {
		return Infeasible{Reason: "the weight store gives no rate"}
	}
	loads = slices.Clone(loads)
	slices.SortFunc(loads, func(a, b Load) int {
		return cmp.Or(cmp.Compare(b.Bytes, a.Bytes), cmp.Compare(a.Target, b.Target), cmp.Compare(a.Version, b.Version))
	})
	slots := make([]time.Time, min(bandwidth.Concurrent, len(loads)))
	for i := range slots {
		slots[i] = finish
	}
	targetLimits := make(map[ident.TargetID]time.Time)
	transfers := make([]Transfer, 0, len(loads))
	earliestStart := finish
	for _, l := range loads {
		t := placeTransfer(l, slots, targetLimits, bandwidth, finish)
		transfers = append(transfers, t)
		if t.Start.Before(earliestStart) {
			earliestStart = t.Start
		}
	}
	if overrun := start.Sub(earliestStart); overrun > 0 {
		return Infeasible{Reason: infeasibleReason(loads, bandwidth, finish.Sub(start), overrun), Earliest: finish.Add(overrun)}
	}
	slices.SortStableFunc(transfers, func(a, b Transfer) int { return a.Start.Compare(b.Start) })
	return Scheduled{Transfers: transfers}
}

// placeTransfer schedules a transfer with the latest end that a slot and its target allow. slots and targetLimits hold
// the time by which the next transfer in a slot or to a target must end.
func placeTransfer(l Load, slots []time.Time, targetLimits map[ident.TargetID]time.Time, bandwidth StoreBandwidth, finish time.Time) Transfer {
	limit, ok := targetLimits[l.Target]
	if !ok {
		limit = finish
	}
	// Of the slots that allow the latest end, take the one with the least unused time after it (best fit), which keeps
	// the others open for later ends.
	best := 0
	for i, free := range slots {
		end, bestEnd := earlier(free, limit), earlier(slots[best], limit)
		if end.After(bestEnd) || end.Equal(bestEnd) && free.Before(slots[best]) {
			best = i
		}
	}
	end := earlier(slots[best], limit)
	begin := end.Add(-transferDuration(l.Bytes, bandwidth))
	slots[best], targetLimits[l.Target] = begin, begin
	return Transfer{Load: l, Start: begin, End: end}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// transferDuration returns the duration of a transfer at its share of the bandwidth, rounded up. The product may exceed
// 64 bits, and floating point arithmetic would round a long transfer down.
func transferDuration(b ident.Bytes, bandwidth StoreBandwidth) time.Duration {
	hi, lo := bits.Mul64(uint64(b)*uint64(bandwidth.Concurrent), uint64(time.Second))
	if hi >= uint64(bandwidth.BytesPerSecond) {
		return math.MaxInt64
	}
	ns, _ := bits.Div64(hi, lo, uint64(bandwidth.BytesPerSecond))
	return time.Duration(min(ns, math.MaxInt64-1)) + 1
}

func infeasibleReason(loads []Load, bandwidth StoreBandwidth, window, overrun time.Duration) string {
	var total ident.Bytes
	for _, l := range loads {
		total += l.Bytes
	}
	return fmt.Sprintf("%d loads of %d bytes do not fit in %s at %d bytes/s with %d transfers at once: %s too long",
		len(loads), total, window, bandwidth.BytesPerSecond, bandwidth.Concurrent, overrun.Round(time.Second))
}
