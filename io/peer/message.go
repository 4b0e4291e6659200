package peer

import (
	"time"

	"geraniumsaddle/core/config"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/member"
	"geraniumsaddle/core/object"
)

// Message is one of the message structs of this package.
type Message interface {
	// Type returns the type of the message.
	Type() Type
	message()
}

// Probe asks a router whether it is alive.
type Probe struct{ member.Probe }

// ProbeAck answers a Probe or a ProbeReq.
type ProbeAck struct{ member.Ack }

// ProbeReq asks a router to probe a third one.
type ProbeReq struct{ member.ProbeReq }

// Leaving announces that the sender is shutting down and takes no new work.
type Leaving struct {
	Member member.Update `cbor:"1,keyasint"`
}

// Digest summarises the sender's configuration.
type Digest struct{ config.Digest }

// Want asks for configuration that the sender lacks.
type Want struct{ config.Want }

// Push carries configuration objects and references.
type Push struct{ config.Push }

// EntryKey names one ledger entry: the object that holds it and the budget or target in it.
type EntryKey struct {
	Kind   object.Kind `cbor:"1,keyasint"`
	Object string      `cbor:"2,keyasint"`
	Entry  string      `cbor:"3,keyasint"`
}

// LedgerRow holds a holder's cumulative counters and its wants for one entry.
type LedgerRow struct {
	Key         EntryKey       `cbor:"1,keyasint"`
	Holder      ident.RouterID `cbor:"2,keyasint"`
	Returned    ident.Tokens   `cbor:"3,keyasint,omitempty"`
	Settled     ident.Tokens   `cbor:"4,keyasint,omitempty"`
	Wanted      ident.Tokens   `cbor:"5,keyasint,omitempty"`
	JournalPeer ident.RouterID `cbor:"6,keyasint,omitempty"`
	// Seen is the version of the ledger object that the holder has last confirmed.
	Seen ident.ObjectVersion `cbor:"7,keyasint,omitempty"`
	// Closing asks the writer to close the holder after a graceful shutdown.
	Closing bool `cbor:"8,keyasint,omitempty"`
}

// LedgerReport goes from a holder to the writer of a ledger object.
type LedgerReport struct {
	Rows []LedgerRow `cbor:"1,keyasint"`
}

// LedgerState carries ledger objects as confirmed by the platform.
type LedgerState struct {
	Objects []config.Object `cbor:"1,keyasint"`
}

// TransferAsk asks another holder for tokens or slots of an entry.
type TransferAsk struct {
	Key    EntryKey       `cbor:"1,keyasint"`
	Holder ident.RouterID `cbor:"2,keyasint"`
	Wanted ident.Tokens   `cbor:"3,keyasint"`
}

// Transfer states the cumulative amount that holder From has sent to holder To.
type Transfer struct {
	Key  EntryKey       `cbor:"1,keyasint"`
	From ident.RouterID `cbor:"2,keyasint"`
	To   ident.RouterID `cbor:"3,keyasint"`
	Out  ident.Tokens   `cbor:"4,keyasint"`
}

// TransferAck states the cumulative amount that holder To has received from holder From.
type TransferAck struct {
	Key  EntryKey       `cbor:"1,keyasint"`
	From ident.RouterID `cbor:"2,keyasint"`
	To   ident.RouterID `cbor:"3,keyasint"`
	In   ident.Tokens   `cbor:"4,keyasint"`
}

// JournalKind says what a journal row records.
type JournalKind uint8

// The kinds of journal rows.
const (
	JournalHold JournalKind = iota + 1
	JournalClaim
	JournalSettle
	JournalReturn
	JournalOut
)

// JournalRow is one record of a router's journal. Unused fields are empty.
type JournalRow struct {
	Seq     uint64           `cbor:"1,keyasint"`
	Kind    JournalKind      `cbor:"2,keyasint"`
	Key     EntryKey         `cbor:"3,keyasint,omitempty"`
	Request ident.RequestID  `cbor:"4,keyasint,omitempty"`
	Org     ident.OrgID      `cbor:"5,keyasint,omitempty"`
	KeyHash []byte           `cbor:"6,keyasint,omitempty"`
	Target  ident.TargetID   `cbor:"7,keyasint,omitempty"`
	Version ident.VersionID  `cbor:"8,keyasint,omitempty"`
	Outcome ident.Outcome    `cbor:"9,keyasint,omitempty"`
	Tokens  ident.Tokens     `cbor:"10,keyasint,omitempty"`
	To      ident.RouterID   `cbor:"11,keyasint,omitempty"`
	At      int64            `cbor:"12,keyasint,omitempty"` // Unix milliseconds
	Body    []byte           `cbor:"13,keyasint,omitempty"` // JSON form of a claim, bill or stored answer
	Model   ident.ModelID    `cbor:"14,keyasint,omitempty"`
	Service ident.ServiceID  `cbor:"15,keyasint,omitempty"`
	Budgets []ident.BudgetID `cbor:"16,keyasint,omitempty"`
}

// JournalAppend adds rows to the copy of a router's journal.
type JournalAppend struct {
	Owner ident.RouterID `cbor:"1,keyasint"`
	// Snapshot replaces the copy. A snapshot may take several messages; Last marks the final one.
	Snapshot bool         `cbor:"2,keyasint,omitempty"`
	Last     bool         `cbor:"3,keyasint,omitempty"`
	Rows     []JournalRow `cbor:"4,keyasint"`
	// Confirmed is the highest acknowledgement that the owner has received.
	Confirmed uint64 `cbor:"5,keyasint,omitempty"`
}

// JournalAck confirms all rows up to Seq.
type JournalAck struct {
	Owner ident.RouterID `cbor:"1,keyasint"`
	Seq   uint64         `cbor:"2,keyasint"`
	// NeedSnapshot says that the peer has no copy to which the rows could be added.
	NeedSnapshot bool `cbor:"3,keyasint,omitempty"`
}

// JournalFind asks for the rows of a request, of an idempotency key or of a router.
type JournalFind struct {
	Request ident.RequestID `cbor:"1,keyasint,omitempty"`
	KeyHash []byte          `cbor:"2,keyasint,omitempty"`
	Owner   ident.RouterID  `cbor:"3,keyasint,omitempty"`
	// After continues a long answer.
	After uint64 `cbor:"4,keyasint,omitempty"`
}

// JournalFound answers JournalFind.
type JournalFound struct {
	Owner ident.RouterID `cbor:"1,keyasint,omitempty"`
	Rows  []JournalRow   `cbor:"2,keyasint,omitempty"`
	// More says that rows follow after the last one.
	More bool `cbor:"3,keyasint,omitempty"`
	// Seq is the highest row that the copy holds.
	Seq uint64 `cbor:"4,keyasint,omitempty"`
	// Alive says that the answering router is the owner itself.
	Alive bool `cbor:"5,keyasint,omitempty"`
}

// EvidenceCell holds cumulative counters of one router for one version, route and load band.
type EvidenceCell struct {
	Router   ident.RouterID  `cbor:"1,keyasint"`
	Version  ident.VersionID `cbor:"2,keyasint"`
	Route    string          `cbor:"3,keyasint"`
	Band     uint8           `cbor:"4,keyasint,omitempty"`
	Requests uint64          `cbor:"5,keyasint,omitempty"`
	Errors   uint64          `cbor:"6,keyasint,omitempty"`
	// Timed counts requests with a latency; Slow counts those above the old version's quantile.
	Timed uint64 `cbor:"7,keyasint,omitempty"`
	Slow  uint64 `cbor:"8,keyasint,omitempty"`
	// Latency holds cumulative counts by latency step, when the sender has them.
	Latency []uint64 `cbor:"9,keyasint,omitempty"`
}

// Evidence carries canary counters of one failure domain.
type Evidence struct {
	Domain ident.DomainID `cbor:"1,keyasint"`
	Cells  []EvidenceCell `cbor:"2,keyasint"`
}

// VerdictRow is the judgement on one version in one failure domain.
type VerdictRow struct {
	Release ident.ReleaseID `cbor:"1,keyasint,omitempty"`
	Version ident.VersionID `cbor:"2,keyasint"`
	Domain  ident.DomainID  `cbor:"3,keyasint,omitempty"`
	Verdict object.Verdict  `cbor:"4,keyasint,omitempty"`
	// Bad is final.
	Bad    bool   `cbor:"5,keyasint,omitempty"`
	Reason string `cbor:"6,keyasint,omitempty"`
	At     int64  `cbor:"7,keyasint,omitempty"` // Unix milliseconds
	// Step is the number of the share step that the domain has reached.
	Step uint8 `cbor:"8,keyasint,omitempty"`
}

// Verdict carries judgements on versions.
type Verdict struct {
	Rows []VerdictRow `cbor:"1,keyasint"`
}

// LoadRow is the load of one target.
type LoadRow struct {
	Target   ident.TargetID     `cbor:"1,keyasint"`
	Running  int                `cbor:"2,keyasint,omitempty"`
	Queued   int                `cbor:"3,keyasint,omitempty"`
	Capacity int                `cbor:"4,keyasint,omitempty"`
	AsOf     int64              `cbor:"5,keyasint,omitempty"` // Unix milliseconds
	State    object.TargetState `cbor:"6,keyasint,omitempty"`
}

// Load carries load reports of a failure domain's targets.
type Load struct {
	Domain ident.DomainID `cbor:"1,keyasint"`
	Rows   []LoadRow      `cbor:"2,keyasint"`
}

// Done answers a call that needs no other reply.
type Done struct{}

// Failure answers a call that the peer could not carry out.
type Failure struct {
	Code    string `cbor:"1,keyasint"`
	Message string `cbor:"2,keyasint,omitempty"`
}

// Error returns the code and the message.
func (f Failure) Error() string { return "peer answered " + f.Code + ": " + f.Message }

// UnixMilli returns the wire form of a time; the zero time is 0.
func UnixMilli(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}
