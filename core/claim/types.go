package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/record"
)

// ID is the hash of an organisation and its idempotency key. It is the journal's hash of the key.
type ID = record.Hash

// NewID returns the ID of a key of an organisation. The length prefix keeps different pairs from having the same
// input.
func NewID(org ident.OrgID, key string) ID {
	h := sha256.New()
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(org)))
	h.Write(n[:])
	h.Write([]byte(org))
	h.Write([]byte(key))
	return ID(h.Sum(nil))
}

// ObjectName returns the name of the platform's claim object.
func ObjectName(id ID) string { return hex.EncodeToString(id[:]) }

// Attempt is one arrival of a non-idempotent call. Request is new for each attempt.
type Attempt struct {
	Org     ident.OrgID
	Key     string
	Body    record.Hash
	Request ident.RequestID
}

// Ref names the attempt that an event or decision belongs to.
type Ref struct {
	ID      ID
	Request ident.RequestID
}

// Decision is what the router does next for an attempt: Run, Send, Wait, Replay, Conflict, AskHome, Create, Refuse
// or None.
type Decision interface{ decision() }

// Run grants the call to this attempt alone. The router journals the hold with its claim before it reports Dispatching.
// If it gives up, it reports NotSent.
type Run struct{ Ref }

// Send allows the only dispatch of the call. It is the decision on Dispatching.
type Send struct{ Ref }

// Wait means that another attempt holds the call. The router waits until that attempt ends and calls Begin again.
type Wait struct{ Ref }

// Replay returns the stored answer of the request that ran. Answer is nil when it is no longer kept; the outcome is
// still run.
type Replay struct {
	Request ident.RequestID
	Answer  *record.Answer
}

// Conflict means that the key was used with another body.
type Conflict struct{}

// AskHome means that only the named incarnation can run the call or knows its state. The router forwards the attempt to
// it, with the journal peers as a second source for the result, and reports HomeAnswered or HomeUnreachable.
type AskHome struct {
	Ref
	Home ident.RouterID
}

// Create means that the claim must be created on the platform if it does not exist. The router reports Created, Exists
// or PlatformUnavailable. If the claim already exists, the router reads it for Exists.
type Create struct {
	Ref
	Claim object.Claim
}

// Refuse ends the attempt with an outcome.
type Refuse struct {
	Outcome ident.Outcome
	Reason  Reason
}

// None means that there is nothing to do.
type None struct{}

func (Run) decision()      {}
func (Send) decision()     {}
func (Wait) decision()     {}
func (Replay) decision()   {}
func (Conflict) decision() {}
func (AskHome) decision()  {}
func (Create) decision()   {}
func (Refuse) decision()   {}
func (None) decision()     {}

// Reason says why an attempt is refused.
type Reason string

// Reasons of a refusal.
const (
	ReasonTokenInvalid        Reason = "token_invalid"
	ReasonTokenExpired        Reason = "token_expired"
	ReasonPlatformUnavailable Reason = "platform_away"
	ReasonHomeUnreachable     Reason = "home_away"
	ReasonHomeRefused         Reason = "home_refused"
	ReasonForgotten           Reason = "forgotten"
	ReasonLostReply           Reason = "lost_reply"
	ReasonRegistryFull        Reason = "registry_full"
	ReasonNotDispatched       Reason = "not_dispatched"
	ReasonSuperseded          Reason = "superseded"
)

// Event is reported to the registry for an attempt.
type Event interface{ ref() Ref }

// Created means that the platform confirmed the creation of the claim.
type Created struct{ Ref }

// Exists means that the platform holds a claim, which may be the attempt's own after a lost reply.
type Exists struct {
	Ref
	Holder       ident.RouterID
	ClaimRequest ident.RequestID
}

// PlatformUnavailable means that the creation of the claim was refused or that its reply was lost. The creation may
// still take effect.
type PlatformUnavailable struct{ Ref }

// HomeAnswered carries the decision of the home router: Replay, Conflict or Refuse.
type HomeAnswered struct {
	Ref
	Decision Decision
}

// HomeUnreachable means that the home incarnation did not answer and that no journal holds the result of the call.
type HomeUnreachable struct{ Ref }

// Dispatching asks for the only dispatch of a call that Run granted. Nothing is sent unless the decision is Send.
type Dispatching struct{ Ref }

// NotSent means that no byte of the call left the router.
type NotSent struct{ Ref }

// Finished carries the answer of the call. It may follow LostReply when the target or a journal reports the answer
// later.
type Finished struct {
	Ref
	Answer *record.Answer
}

// LostReply means that the call was sent and its answer did not arrive.
type LostReply struct{ Ref }

func (r Ref) ref() Ref { return r }
