package node

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"time"

	"geraniumsaddle/core/claim"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/queue"
	"geraniumsaddle/core/record"
	"geraniumsaddle/core/target"
	"geraniumsaddle/io/caller"
	"geraniumsaddle/io/plain"
)

// maxForwardBytes bounds the body of a non-idempotent call, which may be forwarded to its home router in one peer
// message.
const maxForwardBytes = 512 << 10

// serviceRoute returns the route of a call.
func (n *Node) serviceRoute(r caller.ServiceRequest) (object.ServiceRoute, error) {
	service := n.view.Load().services[r.Service]
	if service == nil {
		return object.ServiceRoute{}, n.notFoundRefusal("the service %q does not exist", r.Service)
	}
	route, ok := service.route(r.Method, r.Path)
	if !ok {
		return object.ServiceRoute{}, caller.Refuse(caller.CodeNotFound, ident.OutcomeNotRun, "the service has no such route")
	}
	return route, nil
}

// CallService implements caller.Backend.
func (n *Node) CallService(ctx context.Context, r caller.ServiceRequest) (caller.ServiceAnswer, error) {
	done, err := n.traffic.admit(ctx)
	if err != nil {
		return caller.ServiceAnswer{}, err
	}
	defer done()
	route, err := n.serviceRoute(r)
	if err != nil {
		return caller.ServiceAnswer{}, err
	}
	if route.Idempotent {
		return n.callIdempotent(ctx, r, route)
	}
	if r.IdempotencyKey == "" {
		return caller.ServiceAnswer{}, caller.Refuse(caller.CodeIdempotencyKeyRequired, ident.OutcomeNotRun, "this route needs an Idempotency-Key")
	}
	if len(r.Body) > maxForwardBytes {
		return caller.ServiceAnswer{}, caller.Refuse(caller.CodeTooLarge, ident.OutcomeNotRun, "the body of a non-idempotent call is larger than %d bytes", maxForwardBytes)
	}
	c := &claimedCall{n: n, request: r, route: route,
		attempt: claim.Attempt{Org: r.Caller.Org, Key: r.IdempotencyKey, Body: callHash(r), Request: r.ID}}
	return c.run(ctx)
}

// callHash hashes the content of a call, so that a different call with the same idempotency key is detected.
func callHash(r caller.ServiceRequest) record.Hash {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(r.Service), []byte(r.Method), []byte(r.Path), []byte(r.Query), r.Body} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		_, _ = h.Write(n[:])
		_, _ = h.Write(part)
	}
	return record.Hash(h.Sum(nil))
}

// callIdempotent runs a call that may be repeated.
func (n *Node) callIdempotent(ctx context.Context, r caller.ServiceRequest, route object.ServiceRoute) (caller.ServiceAnswer, error) {
	n.poolQueues.recordAttempt()
	var tried []ident.TargetID
	var earlier attemptOutcome
	for attempt := 1; ; attempt++ {
		c := &serviceCall{n: n, r: r, route: route, triedTargets: tried}
		ans, err := c.run(ctx)
		earlier.record(err)
		err = earlier.apply(err)
		var retryErr *retryableError
		if err == nil || !errors.As(err, &retryErr) || attempt >= maxAttempts || ctx.Err() != nil || !n.poolQueues.allowRetry(n.clock.Now()) {
			return ans, err
		}
		tried = append(tried, c.choice.Target)
	}
}

// serviceCall is one attempt to run a call of a plain service.
type serviceCall struct {
	n            *Node
	r            caller.ServiceRequest
	route        object.ServiceRoute
	triedTargets []ident.TargetID
	// claim is set for a non-idempotent call, which is sent only if the claim registry allows it.
	claim   *claim.Ref
	attempt claim.Attempt
	choice  target.Choice
	res     reservation
	start   time.Time
}

func (c *serviceCall) run(ctx context.Context) (caller.ServiceAnswer, error) {
	c.start = c.n.clock.Now()
	var err error
	if c.res, err = c.n.reserveTokens(ctx, c.r.Caller, c.route.CostTokens); err != nil {
		return caller.ServiceAnswer{}, err
	}
	ans, err := c.send(ctx)
	c.settle(ans, err)
	return ans, err
}

// send chooses a target, journals the hold and sends the call once.
func (c *serviceCall) send(ctx context.Context) (caller.ServiceAnswer, error) {
	if err := c.acquireTarget(ctx); err != nil {
		return caller.ServiceAnswer{}, err
	}
	if err := c.journalHold(ctx); err != nil {
		c.choice.Release(target.ResultNeutral)
		return caller.ServiceAnswer{}, err
	}
	client, err := c.n.pools.serviceClient(c.choice.URL)
	if err != nil {
		c.choice.Release(target.ResultFailed)
		return caller.ServiceAnswer{}, caller.Refuse(caller.CodeUnavailable, ident.OutcomeNotRun, "the target's address is invalid")
	}
	if c.claim != nil {
		if _, ok := c.n.claims.handle(claim.Dispatching{Ref: *c.claim}).(claim.Send); !ok {
			c.choice.Release(target.ResultNeutral)
			return caller.ServiceAnswer{}, claimRefusal(claim.Refuse{Outcome: ident.OutcomeUnknown, Reason: claim.ReasonSuperseded})
		}
	}
	h := c.r.Header.Clone()
	h.Set("X-Request-Id", string(c.r.ID))
	if c.r.IdempotencyKey != "" {
		h.Set("Idempotency-Key", c.r.IdempotencyKey)
	}
	path := c.r.Path
	if c.r.Query != "" {
		path += "?" + c.r.Query
	}
	resp, err := client.Call(ctx, c.r.Method, path, h, c.r.Body)
	if err != nil {
		return caller.ServiceAnswer{}, c.handleCallError(err)
	}
	result := target.ResultOK
	if resp.Status >= 500 {
		result = target.ResultFailed
	}
	c.choice.Release(result)
	c.n.recordServiceEvidence(c.choice.Version, c.routeLabel(), resp.Status >= 500, c.n.clock.Now().Sub(c.start))
	return caller.ServiceAnswer{ID: c.r.ID, Status: resp.Status, Header: resp.Header, Body: resp.Body, Outcome: ident.OutcomeRun}, nil
}

// routeLabel names the route in the evidence of a release.
func (c *serviceCall) routeLabel() string { return c.route.Method + " " + c.route.Path }

// acquireTarget chooses a target and reserves a slot of it. It waits at most the queue wait.
func (c *serviceCall) acquireTarget(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.n.cfg.QueueWait)
	defer cancel()
	now := c.n.clock.Now()
	key := target.Key{Service: c.r.Service, Domain: c.n.domain}
	var err error
	c.choice, err = c.n.poolQueues.get(key).acquire(ctx, target.Request{
		Sticky: string(c.r.Caller.Org) + "/" + c.r.IdempotencyKey, Retryable: c.claim == nil, Exclude: c.triedTargets, Now: now,
		Rand: c.n.traffic.random(),
	}, queue.Item{ID: c.r.ID, Org: c.r.Caller.Org, Cost: c.route.CostTokens, Bytes: ident.Bytes(len(c.r.Body)), Deadline: now.Add(c.n.cfg.QueueWait)})
	return err
}

// journalHold records the hold and the claim at the journal peer before the call is sent.
func (c *serviceCall) journalHold(ctx context.Context) error {
	h := record.Hold{
		Request: c.r.ID, Org: c.r.Caller.Org, Budget: c.res.Budget, AccountNumber: c.res.accountNumber, Key: c.r.Caller.Key, Service: c.r.Service,
		Version: c.choice.Version, Target: c.choice.Target, Tokens: c.route.CostTokens, Claimed: c.claim != nil, At: c.start,
	}
	if c.claim != nil {
		h.IdempotencyKey, h.Body = c.claim.ID, c.attempt.Body
	}
	return c.n.journalHold(ctx, h)
}

// handleCallError releases the target and returns the error for the caller.
func (c *serviceCall) handleCallError(err error) error {
	c.n.recordServiceEvidence(c.choice.Version, c.routeLabel(), true, 0)
	if errors.Is(err, plain.ErrNotSent) {
		c.choice.Release(target.ResultFailed)
		return &retryableError{caller.Refuse(caller.CodeUnavailable, ident.OutcomeNotRun, "the target could not be reached").After(time.Second)}
	}
	// The target may still be running the call, so its slot is kept for a while.
	c.n.traffic.releaseLater(c.choice, target.ResultFailed)
	return &retryableError{caller.Refuse(caller.CodeOutcomeUnknown, ident.OutcomeUnknown, "the target did not answer; the call may have run")}
}

// settle settles the reservation of the call and records its outcome. A non-idempotent call that failed is billed if it
// may have run, because its cost may have been incurred.
func (c *serviceCall) settle(ans caller.ServiceAnswer, err error) {
	billed := c.route.CostTokens
	outcome := ident.OutcomeRun
	if err != nil {
		outcome = ident.OutcomeUnknown
		var r *caller.Refusal
		if errors.As(err, &r) && r.Outcome == ident.OutcomeNotRun {
			billed, outcome = 0, ident.OutcomeNotRun
		}
		if c.claim == nil {
			billed = 0
		}
	}
	c.res.Settle(billed)
	s := record.Settlement{Request: c.r.ID, Billed: billed, Outcome: outcome, At: c.n.clock.Now().UTC()}
	if err == nil && c.claim != nil {
		s.Answer = &record.Answer{Status: ans.Status, Type: ans.Header.Get("Content-Type"), Body: ans.Body}
	}
	c.n.recordSettlement(s, c.r.Caller.Class)
}
