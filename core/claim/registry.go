// Package claim decides for each arrival of a non-idempotent call whether it runs here, waits, is answered from the
// stored result, or is refused, so that a call reaches a target at most once. It does no I/O and reads no clock.
package claim

import (
	"errors"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/record"
)

// minRetention is the shortest time for which a call is remembered. It equals the lifetime of a token, so that a used
// token expires before it is forgotten. A forgotten key that a caller has chosen still has its claim on the platform.
const minRetention = TokenLifetime

// Limits bounds the memory of a registry.
type Limits struct {
	// Calls is the number of calls remembered. Beyond it new calls are refused, and none is forgotten early.
	Calls int
	// AnswerBytes bounds the stored answers. The oldest are dropped first.
	AnswerBytes ident.Bytes
}

// DefaultLimits returns the limits of a small entry VM.
func DefaultLimits() Limits { return Limits{Calls: 32768, AnswerBytes: 4 << 20} }

type phase int

const (
	claiming     phase = iota // an attempt creates the claim
	claimUnknown              // the claim may or may not have been created; nothing was sent
	notSent                   // this incarnation alone may run the call; nothing was sent
	granted                   // one attempt holds the call
	sent                      // the call was sent
	lostReply                 // the call was sent, its result is not known
	finished
	foreign // another incarnation holds the claim
)

type call struct {
	id           ID
	phase        phase
	body         record.Hash
	request      ident.RequestID // attempt that holds the call, or that ran it
	home         ident.RouterID  // holder of a foreign claim
	claimRequest ident.RequestID // request named by the platform's claim
	answer       *record.Answer
	expires      time.Time
}

// Registry holds the calls of one router incarnation. It is not safe for concurrent use.
type Registry struct {
	self        ident.RouterID
	key         []byte
	limits      Limits
	latestTime  time.Time // highest time seen
	lastSerial  uint64
	calls       map[ID]*call
	expiryQueue []*call // by time of insertion or renewal
	answered    []*call // finished calls with an answer, oldest first
	answerBytes ident.Bytes
}

// New returns the registry of a router incarnation. The key authenticates operation tokens and is shared by the fleet.
func New(self ident.RouterID, key []byte, limits Limits) *Registry {
	return &Registry{self: self, key: key, limits: limits, calls: map[ID]*call{}}
}

// advance moves the time forward and forgets expired calls that are not in progress. The time never runs backwards,
// because an expired token must not become valid again.
func (r *Registry) advance(now time.Time) {
	if now.After(r.latestTime) {
		r.latestTime = now
	}
	for len(r.expiryQueue) > 0 && !r.latestTime.Before(r.expiryQueue[0].expires) {
		c := r.expiryQueue[0]
		r.expiryQueue = r.expiryQueue[1:]
		if c.phase == claiming || c.phase == granted || c.phase == sent {
			c.expires = r.latestTime.Add(minRetention)
			r.expiryQueue = append(r.expiryQueue, c)
			continue
		}
		r.forgetCall(c)
	}
}

func (r *Registry) forgetCall(c *call) {
	r.dropAnswer(c)
	delete(r.calls, c.id)
}

// MintToken returns a new operation token for an organisation.
func (r *Registry) MintToken(org ident.OrgID, now time.Time) (string, error) {
	r.advance(now)
	r.lastSerial = max(r.lastSerial+1, uint64(max(r.latestTime.UnixMicro(), 0)))
	return EncodeToken(r.key, org, Token{Router: r.self, Serial: r.lastSerial})
}

// Len returns the number of calls remembered.
func (r *Registry) Len() int { return len(r.calls) }

// Begin decides how an arriving attempt proceeds.
func (r *Registry) Begin(a Attempt, now time.Time) Decision {
	r.advance(now)
	ref := Ref{ID: NewID(a.Org, a.Key), Request: a.Request}
	if IsToken(a.Key) {
		t, err := DecodeToken(r.key, a.Org, a.Key)
		if errors.Is(err, ErrTokenMAC) {
			// The token may have run under an earlier key of the fleet.
			return Refuse{ident.OutcomeUnknown, ReasonTokenInvalid}
		}
		if err != nil {
			return Refuse{ident.OutcomeNotRun, ReasonTokenInvalid}
		}
		if t.Router != r.self {
			return AskHome{ref, t.Router}
		}
		return r.beginToken(a, ref, t)
	}
	if c := r.calls[ref.ID]; c != nil {
		return r.decideRepeat(c, a)
	}
	if len(r.calls) >= r.limits.Calls {
		return Refuse{ident.OutcomeUnknown, ReasonRegistryFull}
	}
	c := r.addCall(ref, a.Body, r.latestTime.Add(minRetention))
	c.phase, c.claimRequest = claiming, a.Request
	return r.requestClaim(c)
}

func (r *Registry) beginToken(a Attempt, ref Ref, t Token) Decision {
	if c := r.calls[ref.ID]; c != nil {
		return r.decideRepeat(c, a)
	}
	if !r.latestTime.Before(t.Expires()) {
		return Refuse{ident.OutcomeUnknown, ReasonTokenExpired}
	}
	if len(r.calls) >= r.limits.Calls {
		// An unexpired token of this incarnation without an entry was never used.
		return Refuse{ident.OutcomeNotRun, ReasonRegistryFull}
	}
	expires := r.latestTime.Add(minRetention)
	if t.Expires().After(expires) {
		expires = t.Expires()
	}
	c := r.addCall(ref, a.Body, expires)
	c.phase = granted
	return Run{ref}
}

func (r *Registry) addCall(ref Ref, body record.Hash, expires time.Time) *call {
	c := &call{id: ref.ID, request: ref.Request, body: body, expires: expires}
	r.calls[ref.ID] = c
	r.expiryQueue = append(r.expiryQueue, c)
	return c
}

func (r *Registry) requestClaim(c *call) Decision {
	return Create{Ref{c.id, c.request}, object.Claim{
		Format: 1, Hash: ObjectName(c.id), Holder: r.self, Request: c.claimRequest, At: r.latestTime,
	}}
}

// decideRepeat decides on a later arrival of a remembered call.
func (r *Registry) decideRepeat(c *call, a Attempt) Decision {
	if c.phase == foreign {
		// The home router knows the body of the call.
		return AskHome{Ref{c.id, a.Request}, c.home}
	}
	if c.body != a.Body {
		return Conflict{}
	}
	switch c.phase {
	case claiming, granted, sent:
		return Wait{Ref{c.id, c.request}}
	case claimUnknown:
		c.phase, c.request = claiming, a.Request
		return r.requestClaim(c)
	case notSent:
		c.phase, c.request = granted, a.Request
		return Run{Ref{c.id, c.request}}
	case finished:
		return Replay{c.request, c.answer}
	}
	return Refuse{ident.OutcomeUnknown, ReasonLostReply}
}
