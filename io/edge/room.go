package edge

import (
	"errors"
	"net/http"
	"time"

	"geraniumsaddle/core/admit"
	"geraniumsaddle/core/place"
	"geraniumsaddle/io/gate"
)

const (
	// roomWaitDivisor limits the wait for room at the targets to a fraction of the remaining time of the request, and
	// latencyDivisor to a fraction of its target latency: 1/roomWaitDivisor and 1/latencyDivisor.
	roomWaitDivisor = 4
	latencyDivisor  = 2
)

// chooseTarget chooses the next target. While every target is full, the request waits for its turn within the time that
// roomWait allows.
func (x *exchange) chooseTarget() (*place.Choice, error) {
	waitUntil := x.s.deps.Clock.Now().Add(x.maxRoomWait())
	for {
		if err := x.enterGate(waitUntil); err != nil {
			return nil, err
		}
		c, err := x.pickTarget()
		if !errors.Is(err, place.ErrFull) || len(x.triedTargets) > 0 {
			x.s.gates.Chosen(x.service)
			return c, err
		}
		x.s.gates.Full(x.service, x.s.targets.Outlook(x.service, x.s.deps.Clock.Now()).RoomAt)
	}
}

// enterGate waits until the gate of the service lets the request through.
func (x *exchange) enterGate(until time.Time) error {
	start := x.s.deps.Clock.Now()
	r := admit.Request{
		ID: x.requestHeaders.ID, Org: x.orgID(), Priority: admit.Priority(max(x.priority(), 0)), Cost: 1,
		Deadline: x.deadline, MaxWait: max(until.Sub(start), 0),
	}
	if p := x.requestHeaders.Prompt; p != nil {
		r.Cost = max(p.MaxTokens(), 1)
	}
	err := x.s.gates.Enter(x.ctx, x.service, r)
	waited := x.s.deps.Clock.Since(start)
	x.roomWait += waited
	switch {
	case gate.AsRefused(err) != nil:
		x.s.deps.Metrics.countRoom(x.service, "refused")
	case err == nil && waited >= time.Millisecond:
		x.s.deps.Metrics.countRoom(x.service, "waited")
	}
	return err
}

// maxRoomWait returns how long the request may wait for room. What it has waited for tokens or room counts.
func (x *exchange) maxRoomWait() time.Duration {
	wait := x.deadline.Sub(x.s.deps.Clock.Now()) / roomWaitDivisor
	if goal := x.route.TargetLatency; goal > 0 {
		wait = min(wait, goal/latencyDivisor)
	}
	return wait - x.tokenWaitTime - x.roomWait
}

// refuseFull returns the refusal of a request that found no room.
func refuseFull(err *gate.RefusedError) refusal {
	return refusal{http.StatusServiceUnavailable, refuseTargetsFull.reason, err.RetryAfter}
}
