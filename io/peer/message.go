package peer

import (
	"time"

	"geraniumsaddle/core/change"
	"geraniumsaddle/core/config"
	"geraniumsaddle/core/digest"
	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/member"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/poison"
	"geraniumsaddle/core/quota"
	"geraniumsaddle/core/record"
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

// ProbeReq asks a router to probe a third router on behalf of the sender.
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

// LedgerReport carries reports of a holder to the writer of a shard. It is a call; LedgerState answers it.
type LedgerReport struct {
	Shard   object.Key      `cbor:"1,keyasint"`
	Reports []escrow.Report `cbor:"2,keyasint"`
}

// LedgerState carries entries of a shard as the platform has confirmed them at a version.
type LedgerState struct {
	Shard   object.Key          `cbor:"1,keyasint"`
	Version ident.ObjectVersion `cbor:"2,keyasint"`
	Entries []escrow.Entry      `cbor:"3,keyasint"`
}

// TransferAsk asks another holder for tokens or slots of an entry.
type TransferAsk struct{ escrow.Ask }

// Transfer carries the cumulative amount that one holder has sent to another.
type Transfer struct{ escrow.Transfer }

// TransferAck carries the cumulative amount that the receiver of a transfer has merged.
type TransferAck struct{ escrow.Transfer }

// JournalAppend carries journal entries, a snapshot or a part of a snapshot to the journal peer. Exactly one field is
// set. Parts have a field of their own: a release without support for them ignores it and cannot mistake a part for a
// whole snapshot.
type JournalAppend struct {
	Append   *record.Append       `cbor:"1,keyasint,omitempty"`
	Snapshot *record.Snapshot     `cbor:"2,keyasint,omitempty"`
	Part     *record.SnapshotPart `cbor:"3,keyasint,omitempty"`
}

// JournalAck acknowledges journal entries.
type JournalAck struct{ record.Ack }

// JournalFind looks up a request by its idempotency key or its ID. It is a call; JournalFound answers it.
type JournalFind struct {
	Key     record.Hash     `cbor:"1,keyasint,omitempty"`
	Request ident.RequestID `cbor:"2,keyasint,omitempty"`
}

// JournalFound answers JournalFind. Hold is nil if the router does not know the request. Settlement is nil while the
// request is open.
type JournalFound struct {
	Owner      ident.RouterID     `cbor:"1,keyasint,omitempty"`
	Hold       *record.Hold       `cbor:"2,keyasint,omitempty"`
	Settlement *record.Settlement `cbor:"3,keyasint,omitempty"`
}

// ClaimAsk asks the home router of a non-idempotent call for its decision. It is a call; ClaimAnswer answers it.
type ClaimAsk struct {
	Org     ident.OrgID     `cbor:"1,keyasint"`
	Key     string          `cbor:"2,keyasint"`
	Body    record.Hash     `cbor:"3,keyasint"`
	Request ident.RequestID `cbor:"4,keyasint"`
	// Call is the request, which the home router may run itself.
	Call ServiceCall `cbor:"5,keyasint"`
}

// ServiceCall is a call of a plain service.
type ServiceCall struct {
	Service ident.ServiceID `cbor:"1,keyasint"`
	Method  string          `cbor:"2,keyasint"`
	Path    string          `cbor:"3,keyasint"`
	Query   string          `cbor:"4,keyasint,omitempty"`
	Headers []Header        `cbor:"5,keyasint,omitempty"`
	Body    []byte          `cbor:"6,keyasint,omitempty"`
	KeyID   ident.KeyID     `cbor:"7,keyasint,omitempty"`
	Class   ident.Class     `cbor:"8,keyasint,omitempty"`
	// TimeoutMS is the time that remains until the caller's deadline, in milliseconds.
	TimeoutMS int64 `cbor:"9,keyasint,omitempty"`
}

// Header is one HTTP header.
type Header struct {
	Name   string   `cbor:"1,keyasint"`
	Values []string `cbor:"2,keyasint"`
}

// ClaimAnswer answers ClaimAsk. If Status is set it holds the response of the service, otherwise a refusal.
type ClaimAnswer struct {
	Request    ident.RequestID `cbor:"1,keyasint,omitempty"`
	Status     int             `cbor:"2,keyasint,omitempty"`
	Headers    []Header        `cbor:"3,keyasint,omitempty"`
	Body       []byte          `cbor:"4,keyasint,omitempty"`
	Outcome    ident.Outcome   `cbor:"5,keyasint,omitempty"`
	Code       string          `cbor:"6,keyasint,omitempty"`
	Message    string          `cbor:"7,keyasint,omitempty"`
	RetryAfter int64           `cbor:"8,keyasint,omitempty"` // milliseconds
}

// Forward opens a stream to a router of another failure domain, which sends a chat completion to one of its own
// targets. The opening router keeps the hold, the journal entries and the bill. The answering router reserves a slot
// and never forwards the request again.
//
// The answering router replies with ForwardOffer or a Failure. The opening router then journals the target and sends
// ForwardGo. No target receives the request before that. ForwardChunk messages and one ForwardEnd follow.
type Forward struct {
	Request  ident.RequestID `cbor:"1,keyasint"`
	Org      ident.OrgID     `cbor:"2,keyasint"`
	Model    ident.ModelID   `cbor:"3,keyasint"`
	Body     []byte          `cbor:"4,keyasint"`
	Prefix   []byte          `cbor:"5,keyasint,omitempty"`
	Priority int             `cbor:"6,keyasint,omitempty"`
}

// ForwardOffer names the target on which a slot is reserved.
type ForwardOffer struct {
	Target  ident.TargetID  `cbor:"1,keyasint"`
	Version ident.VersionID `cbor:"2,keyasint"`
}

// ForwardGo tells the answering router to send the request to the offered target.
type ForwardGo struct{}

// ForwardChunk is one event of the streamed response.
type ForwardChunk struct {
	// Offset is the index of the chunk in the response, from zero.
	Offset int64  `cbor:"1,keyasint,omitempty"`
	Data   []byte `cbor:"2,keyasint"`
	// Content reports whether the chunk contains text.
	Content bool `cbor:"3,keyasint,omitempty"`
}

// ForwardEnd ends a response. The response failed if Code is set; otherwise it is complete.
type ForwardEnd struct {
	// Chunks is the number of chunks of a complete response.
	Chunks       int64         `cbor:"1,keyasint,omitempty"`
	Usage        []byte        `cbor:"2,keyasint,omitempty"` // event with the usage
	HasUsage     bool          `cbor:"3,keyasint,omitempty"`
	PromptTokens int64         `cbor:"4,keyasint,omitempty"`
	OutputTokens int64         `cbor:"5,keyasint,omitempty"`
	Outcome      ident.Outcome `cbor:"6,keyasint,omitempty"`
	Code         string        `cbor:"7,keyasint,omitempty"`
	Message      string        `cbor:"8,keyasint,omitempty"`
}

// StreamAck carries the number of bytes that the receiver of a stream has consumed since it was opened.
type StreamAck struct {
	Received int64 `cbor:"1,keyasint"`
}

// EvidenceCell holds the cumulative counters of one router for one version, route and load band.
type EvidenceCell struct {
	Router   ident.RouterID  `cbor:"1,keyasint"`
	Version  ident.VersionID `cbor:"2,keyasint"`
	Route    string          `cbor:"3,keyasint"`
	Band     uint8           `cbor:"4,keyasint,omitempty"`
	Requests uint64          `cbor:"5,keyasint,omitempty"`
	Errors   uint64          `cbor:"6,keyasint,omitempty"`
	// Timed counts requests with a time to first token. Slow stands for those above the latency quantile of the old
	// version; it is always zero, because Latency holds the distribution.
	Timed uint64 `cbor:"7,keyasint,omitempty"`
	Slow  uint64 `cbor:"8,keyasint,omitempty"`
	// Latency holds the cumulative latency histograms of canary.Cell, if the sender has them. Key 9 was that of histograms
	// with fewer buckets, which must not be merged with these.
	Latency []uint64 `cbor:"10,keyasint,omitempty"`
}

// Evidence carries the canary counters of one failure domain.
type Evidence struct {
	Domain ident.DomainID `cbor:"1,keyasint"`
	Cells  []EvidenceCell `cbor:"2,keyasint"`
}

// VerdictRow is the verdict on one version in one failure domain.
type VerdictRow struct {
	Release ident.ReleaseID `cbor:"1,keyasint,omitempty"`
	Version ident.VersionID `cbor:"2,keyasint"`
	Domain  ident.DomainID  `cbor:"3,keyasint,omitempty"`
	Verdict object.Verdict  `cbor:"4,keyasint,omitempty"`
	// Bad is final.
	Bad    bool   `cbor:"5,keyasint,omitempty"`
	Reason string `cbor:"6,keyasint,omitempty"`
	At     int64  `cbor:"7,keyasint,omitempty"` // Unix milliseconds
	// Step is the index of the traffic-share step that the domain has reached.
	Step uint8 `cbor:"8,keyasint,omitempty"`
}

// Verdict carries verdicts on versions.
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
	// Loaded lists the loaded versions if HasLoaded is set. Otherwise the target serves every version listed for it.
	HasLoaded bool              `cbor:"7,keyasint,omitempty"`
	Loaded    []ident.VersionID `cbor:"8,keyasint,omitempty"`
	// Cache holds the newest cache events. If Reset is set, earlier events are no longer valid.
	Cache []CacheEvent `cbor:"9,keyasint,omitempty"`
	Reset bool         `cbor:"10,keyasint,omitempty"`
}

// CacheEvent reports that a target has cached or evicted a prefix.
type CacheEvent struct {
	Seq     uint64 `cbor:"1,keyasint"`
	Prefix  uint64 `cbor:"2,keyasint"`
	Evicted bool   `cbor:"3,keyasint,omitempty"`
}

// PoolRow holds the totals of a model or a service in the sender's failure domain.
type PoolRow struct {
	Model    ident.ModelID   `cbor:"1,keyasint,omitempty"`
	Service  ident.ServiceID `cbor:"2,keyasint,omitempty"`
	Active   int             `cbor:"3,keyasint,omitempty"`
	Capacity int64           `cbor:"4,keyasint,omitempty"`
	Busy     int64           `cbor:"5,keyasint,omitempty"`
	AsOf     int64           `cbor:"6,keyasint,omitempty"` // Unix milliseconds
}

// VMRow is an entry of the platform's VM list.
type VMRow struct {
	Name   ident.VMID     `cbor:"1,keyasint"`
	Domain ident.DomainID `cbor:"2,keyasint,omitempty"`
	State  string         `cbor:"3,keyasint"`
}

// VMs carries changed entries of the VM list from a router that reads the list to those that do not. As a call it asks
// for the whole list. The answer has Full set and contains all entries, unless the list has the hash in the call.
type VMs struct {
	Hash uint64  `cbor:"1,keyasint,omitempty"`
	Full bool    `cbor:"2,keyasint,omitempty"`
	Rows []VMRow `cbor:"3,keyasint,omitempty"`
}

// Load carries load reports of a failure domain's targets to the routers of the domain, and totals to those of others.
type Load struct {
	Domain ident.DomainID `cbor:"1,keyasint"`
	Rows   []LoadRow      `cbor:"2,keyasint"`
	Pools  []PoolRow      `cbor:"3,keyasint,omitempty"`
}

// TokenClaim asks a router to write the sender's claim into the ledgers of prepaid tokens. It is a call; TokenOutcome
// answers it.
type TokenClaim struct{ quota.Claim }

// TokenOutcome answers TokenClaim with what was written.
type TokenOutcome struct{ quota.Outcome }

// TokenHold asks a holder of an organisation's prepaid tokens to hold the tokens of one request of the sender. It is a
// call; TokenHeld answers it. The tokens count as used in full when no TokenSettle arrives within TTL.
type TokenHold struct {
	Request ident.RequestID `cbor:"1,keyasint"`
	Org     ident.OrgID     `cbor:"2,keyasint"`
	Tokens  ident.Tokens    `cbor:"3,keyasint"`
	TTL     time.Duration   `cbor:"4,keyasint"`
	// Wait is how long the holder may wait for tokens before it answers. If it is zero, a lack of tokens is not reported
	// as demand.
	Wait time.Duration `cbor:"5,keyasint,omitempty"`
}

// TokenHeld answers TokenHold.
type TokenHeld struct {
	Result quota.HoldResult `cbor:"1,keyasint"`
	// Total is what the organisation has paid for as the holder knows it.
	Total ident.Tokens `cbor:"2,keyasint,omitempty"`
	// StoreUnreachable says that the holder cannot reach the store.
	StoreUnreachable bool `cbor:"3,keyasint,omitempty"`
}

// TokenSettle ends the hold of a request, also one that has not arrived yet. It is a call; Done answers it.
type TokenSettle struct {
	Request ident.RequestID `cbor:"1,keyasint"`
	Used    ident.Tokens    `cbor:"2,keyasint,omitempty"`
}

// ChangesWanted asks a router that watches the store for the changes of a kind of objects after a version. It is a call;
// Changes answers it when there is a change, or after a while without any.
type ChangesWanted struct {
	Kind object.Kind         `cbor:"1,keyasint"`
	From ident.ObjectVersion `cbor:"2,keyasint"`
	// Wait is the longest wait for a change. Zero, which routers of earlier releases send, selects the default.
	Wait time.Duration `cbor:"3,keyasint,omitempty"`
}

// Changes answers ChangesWanted.
type Changes struct {
	change.Batch
	// Age is the age of what the sender knew when it answered: there may be later changes that it had not heard of. Zero,
	// which routers of earlier releases send, means unknown.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
	// Held is the time for which the sender held the call.
	Held time.Duration `cbor:"4,keyasint,omitempty"`
}

// Poison carries evidence on parts of prompts that crash targets, and the quarantined parts.
type Poison struct{ poison.Report }

// Work carries what the sender has in progress at targets.
type Work struct{ digest.Digest }

// Done answers a call that has no other reply.
type Done struct{}

// Failure answers a call or a stream that failed. It is the error that Call and Recv return then.
type Failure struct {
	Code    string `cbor:"1,keyasint"`
	Message string `cbor:"2,keyasint,omitempty"`
}

// Error returns the code and the message.
func (f Failure) Error() string { return "peer answered " + f.Code + ": " + f.Message }

// UnixMilli returns a time in Unix milliseconds, as messages hold it. The zero time becomes 0.
func UnixMilli(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}
