package record

import (
	"time"

	"geraniumsaddle/core/ident"
)

// Grace is the coverage grace: how long the router withholds entries that the peer has not acknowledged, counted from
// the latest acknowledgement that it received.
const Grace = 15 * time.Second

// ClockMargin shortens the grace at the peer. It allows for a peer clock that runs 3% slower than the router's.
const ClockMargin = 500 * time.Millisecond

// Hash is a SHA-256 digest of an idempotency key or a request body. The zero value means none.
type Hash [32]byte

// Hold is an open reservation of one request. Its claim, if any, is part of it, so that both are acknowledged together.
type Hold struct {
	Request ident.RequestID `json:"request_id"`
	Org     ident.OrgID     `json:"org"`
	Budget  ident.BudgetID  `json:"budget"`
	// AccountNumber identifies the account of the budget that holds the tokens, see Counters.
	AccountNumber uint64          `json:"nth,omitempty"`
	Key           ident.KeyID     `json:"key"`
	Model         ident.ModelID   `json:"model,omitempty"`
	Service       ident.ServiceID `json:"service,omitempty"`
	Version       ident.VersionID `json:"version,omitempty"`
	// Target is the target of the latest attempt. Retarget changes it before the next attempt.
	Target ident.TargetID `json:"target,omitempty"`
	Tokens ident.Tokens   `json:"tokens"`
	// IdempotencyKey is the hash of the caller's key or operation token.
	IdempotencyKey Hash `json:"idempotency_key"`
	Body           Hash `json:"body"`
	// Claimed is set for a non-idempotent call that must not be sent twice.
	Claimed bool      `json:"claimed,omitempty"`
	At      time.Time `json:"at"`
}

// Answer is a complete answer kept for retries with the same idempotency key.
type Answer struct {
	Status int    `json:"status"`
	Type   string `json:"content_type,omitempty"`
	Body   []byte `json:"body,omitempty"`
}

// Settlement ends a hold. Billed is at most the hold's tokens.
type Settlement struct {
	Request      ident.RequestID `json:"request_id"`
	PromptTokens ident.Tokens    `json:"prompt_tokens"`
	OutputTokens ident.Tokens    `json:"output_tokens"`
	Billed       ident.Tokens    `json:"billed"`
	OverBound    ident.Tokens    `json:"over_bound,omitempty"`
	// Unresolved tokens are neither billed nor returned. Only recovery sets them.
	Unresolved ident.Tokens  `json:"unresolved,omitempty"`
	Outcome    ident.Outcome `json:"outcome"`
	Answer     *Answer       `json:"answer,omitempty"`
	At         time.Time     `json:"at"`
}

// Transfer is the cumulative number of tokens moved to or from one router.
type Transfer struct {
	Router ident.RouterID `json:"router"`
	Tokens ident.Tokens   `json:"tokens"`
}

// Counters are the cumulative escrow counters of one budget at one holder. Out and In are sorted by router.
//
// AccountNumber counts the accounts that the router opened on the budget, from 0. Each account is a holder of its own,
// and its counters start at zero.
type Counters struct {
	Budget        ident.BudgetID `json:"budget"`
	AccountNumber uint64         `json:"nth,omitempty"`
	Settled       ident.Tokens   `json:"settled"`
	Returned      ident.Tokens   `json:"returned"`
	Out           []Transfer     `json:"out,omitempty"`
	In            []Transfer     `json:"in,omitempty"`
}

// Retarget names the target of a request's next attempt.
type Retarget struct {
	Request ident.RequestID `json:"request_id"`
	Target  ident.TargetID  `json:"target"`
}

// Forget drops the counters of an account that the platform has closed.
type Forget struct {
	Budget        ident.BudgetID `json:"budget"`
	AccountNumber uint64         `json:"nth,omitempty"`
}

// Entry is one change of the journal. Exactly one of the pointers is set.
type Entry struct {
	Seq      uint64      `json:"seq"`
	Open     *Hold       `json:"open,omitempty"`
	Retarget *Retarget   `json:"retarget,omitempty"`
	Settle   *Settlement `json:"settle,omitempty"`
	Raise    *Counters   `json:"raise,omitempty"`
	Forget   *Forget     `json:"forget,omitempty"`
}

// SettledRequest is a hold with its settlement, kept for lookups after the hold has ended.
type SettledRequest struct {
	Hold       Hold       `json:"hold"`
	Settlement Settlement `json:"settlement"`
}

// Declaration names the journal peer in the holder row of the ledger. Term increases with each choice of a peer, so
// that a late report cannot bring back an earlier declaration. An empty Peer means that the router has none.
type Declaration struct {
	Peer ident.RouterID `json:"peer"`
	Term uint64         `json:"term"`
}

// Message is sent from a router to its journal peer: *Append, *Snapshot or *SnapshotPart.
type Message interface{ message() }

// Append carries entries with consecutive numbers. It is empty when it only confirms or keeps the coverage alive.
type Append struct {
	Router  ident.RouterID `json:"router"`
	Term    uint64         `json:"term"`
	Entries []Entry        `json:"entries,omitempty"`
	// Instance is the replica that Confirm belongs to.
	Instance uint64 `json:"instance,omitempty"`
	// Confirm is the latest acknowledgement number received while every released entry was acknowledged.
	Confirm uint64 `json:"confirm,omitempty"`
}

// Snapshot carries the whole state up to Seq.
type Snapshot struct {
	Router ident.RouterID `json:"router"`
	Term   uint64         `json:"term"`
	Seq    uint64         `json:"seq"`
	// Numbered is set by a router that numbers its accounts. Without it, an account that has no counters here may still
	// have spent tokens.
	Numbered bool             `json:"numbered,omitempty"`
	Holds    []Hold           `json:"holds,omitempty"`
	Counters []Counters       `json:"counters,omitempty"`
	Recent   []SettledRequest `json:"recent,omitempty"`
}

// SnapshotPart is one part of a snapshot that is too large for one message. The replica applies the parts when it has
// all of them. Snapshot holds the rows of this part; router, term and number are those of the whole.
type SnapshotPart struct {
	Index    int      `json:"index"`
	Count    int      `json:"count"`
	Snapshot Snapshot `json:"snapshot"`
}

func (*Append) message()       {}
func (*Snapshot) message()     {}
func (*SnapshotPart) message() {}

// Ack is sent from a journal peer to the router.
type Ack struct {
	Peer ident.RouterID `json:"peer"`
	Term uint64         `json:"term"`
	// Instance distinguishes the replicas of one peer. A router never mixes the acknowledgements of two replicas.
	Instance uint64 `json:"instance"`
	// Seq is the last entry applied without a gap.
	Seq uint64 `json:"seq"`
	// Number identifies the acknowledgement. Zero means that it must not be confirmed.
	Number uint64 `json:"number"`
	// Resend asks for the entries after Seq because of a gap.
	Resend bool `json:"resend,omitempty"`
	// Resync asks for a snapshot because the peer has no state for the term.
	Resync bool `json:"resync,omitempty"`
	// Full reports that the peer refused an entry at its memory limit.
	Full bool `json:"full,omitempty"`
	// PartsOf is the number of the snapshot of which the peer collects the parts, and Parts how many of them it has
	// before the first missing one. Such an acknowledgement has no number, because the snapshot is not applied.
	PartsOf uint64 `json:"parts_of,omitempty"`
	Parts   int    `json:"parts,omitempty"`
}

// Limits bounds the memory of a Journal or Replica.
type Limits struct {
	Holds int
	// Accounts is the number of accounts whose counters are kept.
	Accounts int
	// Recent is the number of settled requests kept for lookups.
	Recent int
	// AnswerBytes bounds all kept answers together.
	AnswerBytes ident.Bytes
	// PendingBytes bounds the unacknowledged entries of a Journal. A peer further behind gets a snapshot.
	PendingBytes ident.Bytes
	// PartBytes bounds one part of a snapshot. Zero means 256 KiB.
	PartBytes ident.Bytes
}

// DefaultLimits returns the limits of a small entry VM.
func DefaultLimits() Limits {
	return Limits{Holds: 16384, Accounts: 20000, Recent: 4096, AnswerBytes: 4 << 20, PendingBytes: 4 << 20}
}
