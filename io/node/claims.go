package node

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"geraniumsaddle/core/claim"
	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/record"
	"geraniumsaddle/io/caller"
	"geraniumsaddle/io/peer"
	"geraniumsaddle/io/store"
)

// claims decides which call of a non-idempotent route runs. It is safe for concurrent use.
type claims struct {
	n        *Node
	mu       sync.Mutex
	registry *claim.Registry
	// moved is notified when a call has ended, for those that wait for it.
	moved escrow.Signal
}

func newClaims(n *Node) *claims {
	return &claims{n: n, registry: claim.New(n.id, []byte(n.cfg.OperationKey), claim.DefaultLimits())}
}

func (c *claims) begin(a claim.Attempt) claim.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registry.Begin(a, c.n.clock.Now())
}

func (c *claims) handle(e claim.Event) claim.Decision {
	c.mu.Lock()
	d := c.registry.Handle(e, c.n.clock.Now())
	c.mu.Unlock()
	c.moved.Notify()
	return d
}

// claimed is one arrival of a non-idempotent call.
type claimed struct {
	n     *Node
	r     caller.ServiceRequest
	route object.ServiceRoute
	a     claim.Attempt
	// home says that the call was forwarded here by another router, which must not be asked back.
	home bool
}

// run follows the decisions of the registry until the call has an answer or a refusal.
func (c *claimed) run(ctx context.Context) (caller.ServiceAnswer, error) {
	d := c.n.claims.begin(c.a)
	for {
		switch v := d.(type) {
		case claim.Create:
			d = c.create(ctx, v)
		case claim.Run:
			return c.dispatch(ctx, v.Ref)
		case claim.Wait:
			if err := c.await(ctx); err != nil {
				return caller.ServiceAnswer{}, err
			}
			d = c.n.claims.begin(c.a)
		case claim.Replay:
			return replay(v.Request, v.Answer)
		case claim.Conflict:
			return caller.ServiceAnswer{}, caller.Refuse(caller.CodeIdempotencyConflict, ident.OutcomeNotRun, "the idempotency key was used with another request")
		case claim.AskHome:
			return c.forward(ctx, v)
		case claim.Refuse:
			return caller.ServiceAnswer{}, refuseClaim(v)
		default:
			return caller.ServiceAnswer{}, refuseClaim(claim.Refuse{Outcome: ident.OutcomeUnknown, Reason: claim.ReasonSuperseded})
		}
	}
}

// create claims a key that the caller has chosen on the platform.
func (c *claimed) create(ctx context.Context, d claim.Create) claim.Decision {
	raw, err := json.Marshal(d.Claim)
	if err != nil {
		return c.n.claims.handle(claim.PlatformUnavailable{Ref: d.Ref})
	}
	_, err = c.n.store.Put(ctx, d.Claim.Key(), raw, store.Absent())
	c.n.platformCall("put_claims", err)
	if err == nil {
		return c.n.claims.handle(claim.Created{Ref: d.Ref})
	}
	if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
		return c.n.claims.handle(claim.PlatformUnavailable{Ref: d.Ref})
	}
	o, err := c.n.store.Get(ctx, d.Claim.Key())
	c.n.platformCall("get_claims", err)
	var stored object.Claim
	if err != nil || json.Unmarshal(o.Value, &stored) != nil {
		return c.n.claims.handle(claim.PlatformUnavailable{Ref: d.Ref})
	}
	return c.n.claims.handle(claim.Exists{Ref: d.Ref, Holder: stored.Holder, ClaimRequest: stored.Request})
}

// claimPoll bounds the wait for another attempt without a signal.
const claimPoll = 50 * time.Millisecond

func (c *claimed) await(ctx context.Context) error {
	select {
	case <-c.n.claims.moved.Wait():
	case <-c.n.clock.After(claimPoll):
	case <-ctx.Done():
		return caller.Refuse(caller.CodeOutcomeUnknown, ident.OutcomeUnknown, "an earlier attempt with the same key is still running")
	}
	return nil
}

// dispatch sends the call. It is the only place from which a claimed call reaches a target.
func (c *claimed) dispatch(ctx context.Context, ref claim.Ref) (caller.ServiceAnswer, error) {
	call := &serviceCall{n: c.n, r: c.r, route: c.route, claim: &ref, key: c.a}
	ans, err := call.run(ctx)
	var stored *record.Answer
	if err == nil {
		stored = &record.Answer{Status: ans.Status, Type: ans.Header.Get("Content-Type"), Body: ans.Body}
		c.n.claims.handle(claim.Finished{Ref: ref, Answer: stored})
		return ans, nil
	}
	var refusal *caller.Refusal
	if errors.As(err, &refusal) && refusal.Outcome == ident.OutcomeNotRun {
		c.n.claims.handle(claim.NotSent{Ref: ref})
		return ans, err
	}
	c.n.claims.handle(claim.LostReply{Ref: ref})
	return ans, err
}

func replay(id ident.RequestID, a *record.Answer) (caller.ServiceAnswer, error) {
	if a == nil {
		r := caller.Refuse(caller.CodeAlreadyRun, ident.OutcomeRun, "the call has run and its answer is no longer kept")
		r.Request = id
		return caller.ServiceAnswer{}, r
	}
	h := http.Header{}
	if a.Type != "" {
		h.Set("Content-Type", a.Type)
	}
	return caller.ServiceAnswer{ID: id, Status: a.Status, Header: h, Body: a.Body, Outcome: ident.OutcomeRun}, nil
}

// claimCodes gives the refusal code for a reason; others are outcome_unknown.
var claimCodes = map[claim.Reason]caller.Code{
	claim.ReasonTokenInvalid:        caller.CodeInvalidRequest,
	claim.ReasonTokenExpired:        caller.CodeOperationTokenExpired,
	claim.ReasonPlatformUnavailable: caller.CodeClaimUnavailable,
	claim.ReasonHomeUnreachable:     caller.CodeClaimUnavailable,
	claim.ReasonRegistryFull:        caller.CodeUnavailable,
	claim.ReasonNotDispatched:       caller.CodeUnavailable,
}

func refuseClaim(d claim.Refuse) *caller.Refusal {
	code, ok := claimCodes[d.Reason]
	if !ok {
		code = caller.CodeOutcomeUnknown
	}
	return caller.Refuse(code, d.Outcome, "the call was not sent by this attempt (%s)", d.Reason)
}

// forward asks the home router of a call. If it does not answer, a journal may know the end of the call.
func (c *claimed) forward(ctx context.Context, d claim.AskHome) (caller.ServiceAnswer, error) {
	if addr, ok := c.n.members.roster.Load().addr[d.Home]; ok && !c.home {
		m, err := c.n.transport.Call(ctx, addr, c.ask(ctx))
		if ans, ok := m.(peer.ClaimAnswer); ok && err == nil {
			return fromClaimAnswer(ans)
		}
	}
	if f, ok := c.n.lookup(ctx, peer.JournalFind{Key: d.ID}); ok && f.Settlement != nil && f.Settlement.Outcome == ident.OutcomeRun {
		if f.Hold.Body != c.a.Body {
			return caller.ServiceAnswer{}, caller.Refuse(caller.CodeIdempotencyConflict, ident.OutcomeNotRun, "the idempotency key was used with another request")
		}
		return replay(f.Hold.Request, f.Settlement.Answer)
	}
	return caller.ServiceAnswer{}, refuseClaim(claim.Refuse{Outcome: ident.OutcomeUnknown, Reason: claim.ReasonHomeUnreachable})
}

func (c *claimed) ask(ctx context.Context) peer.ClaimAsk {
	call := peer.ServiceCall{
		Service: c.r.Service, Method: c.r.Method, Path: c.r.Path, Query: c.r.Query, Headers: toHeaders(c.r.Header),
		Body: c.r.Body, KeyID: c.r.Caller.Key, Class: c.r.Caller.Class,
	}
	if end, ok := ctx.Deadline(); ok {
		call.TimeoutMS = end.Sub(c.n.clock.Now()).Milliseconds()
	}
	return peer.ClaimAsk{Org: c.a.Org, Key: c.a.Key, Body: c.a.Body, Request: c.a.Request, Call: call}
}

// answer decides on a call that another router has forwarded.
func (c *claims) answer(ctx context.Context, m peer.ClaimAsk) peer.ClaimAnswer {
	r := caller.ServiceRequest{
		ID: m.Request, Caller: caller.Identity{Org: m.Org, Key: m.Call.KeyID, Class: m.Call.Class}, Service: m.Call.Service,
		Method: m.Call.Method, Path: m.Call.Path, Query: m.Call.Query, Header: fromHeaders(m.Call.Headers),
		IdempotencyKey: m.Key, Body: m.Call.Body,
	}
	done, err := c.n.traffic.admit(ctx)
	if err != nil {
		return toClaimAnswer(caller.ServiceAnswer{}, err)
	}
	defer done()
	route, err := c.n.serviceRoute(r)
	if err != nil {
		return toClaimAnswer(caller.ServiceAnswer{}, err)
	}
	arrival := &claimed{n: c.n, r: r, route: route, home: true,
		a: claim.Attempt{Org: m.Org, Key: m.Key, Body: m.Body, Request: m.Request}}
	ans, err := arrival.run(ctx)
	return toClaimAnswer(ans, err)
}

func toClaimAnswer(a caller.ServiceAnswer, err error) peer.ClaimAnswer {
	if err == nil {
		return peer.ClaimAnswer{Request: a.ID, Status: a.Status, Headers: toHeaders(a.Header), Body: a.Body, Outcome: a.Outcome}
	}
	var r *caller.Refusal
	if !errors.As(err, &r) {
		r = caller.Refuse(caller.CodeInternal, ident.OutcomeUnknown, "internal error")
	}
	return peer.ClaimAnswer{Request: r.Request, Outcome: r.Outcome, Code: string(r.Code), Message: r.Message, RetryAfter: r.RetryAfter.Milliseconds()}
}

func fromClaimAnswer(a peer.ClaimAnswer) (caller.ServiceAnswer, error) {
	if a.Status != 0 {
		return caller.ServiceAnswer{ID: a.Request, Status: a.Status, Header: fromHeaders(a.Headers), Body: a.Body, Outcome: a.Outcome}, nil
	}
	r := caller.Refuse(caller.Code(a.Code), a.Outcome, "%s", a.Message)
	r.Request, r.RetryAfter = a.Request, time.Duration(a.RetryAfter)*time.Millisecond
	if r.Status() == 0 || !a.Outcome.Valid() {
		return caller.ServiceAnswer{}, caller.Refuse(caller.CodeOutcomeUnknown, ident.OutcomeUnknown, "the home router sent an unknown answer")
	}
	return caller.ServiceAnswer{}, r
}

func toHeaders(h http.Header) []peer.Header {
	out := make([]peer.Header, 0, len(h))
	for name, values := range h {
		out = append(out, peer.Header{Name: name, Values: values})
	}
	return out
}

func fromHeaders(hs []peer.Header) http.Header {
	out := make(http.Header, len(hs))
	for _, h := range hs {
		out[h.Name] = h.Values
	}
	return out
}

// MintOperation implements caller.Backend.
func (n *Node) MintOperation(_ context.Context, org ident.OrgID) (string, error) {
	n.claims.mu.Lock()
	defer n.claims.mu.Unlock()
	tok, err := n.claims.registry.Mint(org, n.clock.Now())
	if err != nil {
		return "", caller.Refuse(caller.CodeInternal, ident.OutcomeNotRun, "the operation token could not be made")
	}
	return tok, nil
}
