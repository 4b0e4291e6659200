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

// claims makes sure that a call of a non-idempotent route runs at most once. It is safe for concurrent use.
type claims struct {
	n        *Node
	mu       sync.Mutex
	registry *claim.Registry
	// updated is notified after each event of the registry. Attempts that wait for another one of the same call use it.
	updated escrow.Signal
}

func newClaims(n *Node) *claims {
	return &claims{n: n, registry: claim.New(n.id, []byte(n.cfg.OperationKey), claim.DefaultLimits())}
}

func (c *claims) begin(a claim.Attempt) claim.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registry.Begin(a, c.n.clock.Now())
}

// handle passes an event to the registry and wakes the attempts that wait.
func (c *claims) handle(e claim.Event) claim.Decision {
	c.mu.Lock()
	d := c.registry.Handle(e, c.n.clock.Now())
	c.mu.Unlock()
	c.updated.Notify()
	return d
}

// claimedCall is one attempt of a caller to run a non-idempotent call.
type claimedCall struct {
	n       *Node
	request caller.ServiceRequest
	route   object.ServiceRoute
	attempt claim.Attempt
	// forwarded is set if another router forwarded the call here as its home. It must not be forwarded again.
	forwarded bool
}

// run carries out the decisions of the registry until the call has an answer or a refusal.
func (c *claimedCall) run(ctx context.Context) (caller.ServiceAnswer, error) {
	d := c.n.claims.begin(c.attempt)
	for {
		switch v := d.(type) {
		case claim.Create:
			d = c.create(ctx, v)
		case claim.Run:
			return c.dispatch(ctx, v.Ref)
		case claim.Wait:
			if err := c.waitForAttempt(ctx); err != nil {
				return caller.ServiceAnswer{}, err
			}
			d = c.n.claims.begin(c.attempt)
		case claim.Replay:
			return replayAnswer(v.Request, v.Answer)
		case claim.Conflict:
			return caller.ServiceAnswer{}, caller.Refuse(caller.CodeIdempotencyConflict, ident.OutcomeNotRun, "the idempotency key was used with another request")
		case claim.AskHome:
			return c.forwardToHome(ctx, v)
		case claim.Refuse:
			return caller.ServiceAnswer{}, claimRefusal(v)
		default:
			return caller.ServiceAnswer{}, claimRefusal(claim.Refuse{Outcome: ident.OutcomeUnknown, Reason: claim.ReasonSuperseded})
		}
	}
}

// create creates the claim of a caller-chosen idempotency key on the platform.
func (c *claimedCall) create(ctx context.Context, d claim.Create) claim.Decision {
	raw, err := json.Marshal(d.Claim)
	if err != nil {
		return c.n.claims.handle(claim.PlatformUnavailable{Ref: d.Ref})
	}
	_, err = c.n.platform.Put(ctx, d.Claim.Key(), raw, store.Absent())
	c.n.recordPlatformCall("put_claims", err)
	if err == nil {
		return c.n.claims.handle(claim.Created{Ref: d.Ref})
	}
	if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
		return c.n.claims.handle(claim.PlatformUnavailable{Ref: d.Ref})
	}
	o, err := c.n.platform.Get(ctx, d.Claim.Key())
	c.n.recordPlatformCall("get_claims", err)
	var stored object.Claim
	if err != nil || json.Unmarshal(o.Value, &stored) != nil {
		return c.n.claims.handle(claim.PlatformUnavailable{Ref: d.Ref})
	}
	return c.n.claims.handle(claim.Exists{Ref: d.Ref, Holder: stored.Holder, ClaimRequest: stored.Request})
}

// claimPollInterval is how often a waiting attempt asks the registry again without a signal.
const claimPollInterval = 50 * time.Millisecond

// waitForAttempt waits until the state of another attempt with the same key may have changed.
func (c *claimedCall) waitForAttempt(ctx context.Context) error {
	select {
	case <-c.n.claims.updated.Wait():
	case <-c.n.clock.After(claimPollInterval):
	case <-ctx.Done():
		return caller.Refuse(caller.CodeOutcomeUnknown, ident.OutcomeUnknown, "an earlier attempt with the same key is still running")
	}
	return nil
}

// dispatch sends the call to a target and reports the result to the registry. No other function sends a claimed call.
func (c *claimedCall) dispatch(ctx context.Context, ref claim.Ref) (caller.ServiceAnswer, error) {
	call := &serviceCall{n: c.n, r: c.request, route: c.route, claim: &ref, attempt: c.attempt}
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

// replayAnswer returns the stored answer of a call that has run, or a refusal if the answer is no longer stored.
func replayAnswer(id ident.RequestID, a *record.Answer) (caller.ServiceAnswer, error) {
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

// claimRefusalCodes maps the reasons of refusals to their codes. Other reasons have the code outcome_unknown.
var claimRefusalCodes = map[claim.Reason]caller.Code{
	claim.ReasonTokenInvalid:        caller.CodeInvalidRequest,
	claim.ReasonTokenExpired:        caller.CodeOperationTokenExpired,
	claim.ReasonPlatformUnavailable: caller.CodeClaimUnavailable,
	claim.ReasonHomeUnreachable:     caller.CodeClaimUnavailable,
	claim.ReasonRegistryFull:        caller.CodeUnavailable,
	claim.ReasonNotDispatched:       caller.CodeUnavailable,
}

func claimRefusal(d claim.Refuse) *caller.Refusal {
	code, ok := claimRefusalCodes[d.Reason]
	if !ok {
		code = caller.CodeOutcomeUnknown
	}
	return caller.Refuse(code, d.Outcome, "the call was not sent by this attempt (%s)", d.Reason)
}

// forwardToHome sends the call to its home router. If that does not answer, the result may be in a journal.
func (c *claimedCall) forwardToHome(ctx context.Context, d claim.AskHome) (caller.ServiceAnswer, error) {
	if addr, ok := c.n.members.roster.Load().addrs[d.Home]; ok && !c.forwarded {
		m, err := c.n.transport.Call(ctx, addr, c.forwardMessage(ctx))
		if ans, ok := m.(peer.ClaimAnswer); ok && err == nil {
			return fromClaimAnswer(ans)
		}
	}
	if f, ok := c.n.findRequest(ctx, peer.JournalFind{Key: d.ID}); ok && f.Settlement != nil && f.Settlement.Outcome == ident.OutcomeRun {
		if f.Hold.Body != c.attempt.Body {
			return caller.ServiceAnswer{}, caller.Refuse(caller.CodeIdempotencyConflict, ident.OutcomeNotRun, "the idempotency key was used with another request")
		}
		return replayAnswer(f.Hold.Request, f.Settlement.Answer)
	}
	return caller.ServiceAnswer{}, claimRefusal(claim.Refuse{Outcome: ident.OutcomeUnknown, Reason: claim.ReasonHomeUnreachable})
}

// forwardMessage returns the message that forwards the call to its home router.
func (c *claimedCall) forwardMessage(ctx context.Context) peer.ClaimAsk {
	call := peer.ServiceCall{
		Service: c.request.Service, Method: c.request.Method, Path: c.request.Path, Query: c.request.Query, Headers: toPeerHeaders(c.request.Header),
		Body: c.request.Body, KeyID: c.request.Caller.Key, Class: c.request.Caller.Class,
	}
	if end, ok := ctx.Deadline(); ok {
		call.TimeoutMS = end.Sub(c.n.clock.Now()).Milliseconds()
	}
	return peer.ClaimAsk{Org: c.attempt.Org, Key: c.attempt.Key, Body: c.attempt.Body, Request: c.attempt.Request, Call: call}
}

// answer runs a call that another router has forwarded, or replays its stored answer.
func (c *claims) answer(ctx context.Context, m peer.ClaimAsk) peer.ClaimAnswer {
	r := caller.ServiceRequest{
		ID: m.Request, Caller: caller.Identity{Org: m.Org, Key: m.Call.KeyID, Class: m.Call.Class}, Service: m.Call.Service,
		Method: m.Call.Method, Path: m.Call.Path, Query: m.Call.Query, Header: fromPeerHeaders(m.Call.Headers),
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
	call := &claimedCall{n: c.n, request: r, route: route, forwarded: true,
		attempt: claim.Attempt{Org: m.Org, Key: m.Key, Body: m.Body, Request: m.Request}}
	ans, err := call.run(ctx)
	return toClaimAnswer(ans, err)
}

func toClaimAnswer(a caller.ServiceAnswer, err error) peer.ClaimAnswer {
	if err == nil {
		return peer.ClaimAnswer{Request: a.ID, Status: a.Status, Headers: toPeerHeaders(a.Header), Body: a.Body, Outcome: a.Outcome}
	}
	var r *caller.Refusal
	if !errors.As(err, &r) {
		r = caller.Refuse(caller.CodeInternal, ident.OutcomeUnknown, "internal error")
	}
	return peer.ClaimAnswer{Request: r.Request, Outcome: r.Outcome, Code: string(r.Code), Message: r.Message, RetryAfter: r.RetryAfter.Milliseconds()}
}

func fromClaimAnswer(a peer.ClaimAnswer) (caller.ServiceAnswer, error) {
	if a.Status != 0 {
		return caller.ServiceAnswer{ID: a.Request, Status: a.Status, Header: fromPeerHeaders(a.Headers), Body: a.Body, Outcome: a.Outcome}, nil
	}
	r := caller.Refuse(caller.Code(a.Code), a.Outcome, "%s", a.Message)
	r.Request, r.RetryAfter = a.Request, time.Duration(a.RetryAfter)*time.Millisecond
	if r.Status() == 0 || !a.Outcome.Valid() {
		return caller.ServiceAnswer{}, caller.Refuse(caller.CodeOutcomeUnknown, ident.OutcomeUnknown, "the home router sent an unknown answer")
	}
	return caller.ServiceAnswer{}, r
}

func toPeerHeaders(h http.Header) []peer.Header {
	out := make([]peer.Header, 0, len(h))
	for name, values := range h {
		out = append(out, peer.Header{Name: name, Values: values})
	}
	return out
}

func fromPeerHeaders(hs []peer.Header) http.Header {
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
	tok, err := n.claims.registry.MintToken(org, n.clock.Now())
	if err != nil {
		return "", caller.Refuse(caller.CodeInternal, ident.OutcomeNotRun, "the operation token could not be made")
	}
	return tok, nil
}
