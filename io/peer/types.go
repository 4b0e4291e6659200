package peer

// Type is the number of a message type in the envelope. Numbers are never reused.
type Type uint8

// The message types.
const (
	TypeProbe Type = iota + 1
	TypeProbeAck
	TypeProbeReq
	TypeLeaving
	TypeDigest
	TypeWant
	TypePush
	TypeLedgerReport
	TypeLedgerState
	TypeTransferAsk
	TypeTransfer
	TypeTransferAck
	TypeJournalAppend
	TypeJournalAck
	TypeJournalFind
	TypeJournalFound
	TypeEvidence
	TypeVerdict
	TypeLoad
	TypeDone
	TypeFailure
	TypeClaimAsk
	TypeClaimAnswer
	TypeForward
	TypeForwardOffer
	TypeForwardGo
	TypeForwardChunk
	TypeForwardEnd
	TypeStreamAck
	TypeVMs
	TypeTokenClaim
	TypeTokenOutcome
	TypeTokenHold
	TypeTokenHeld
	TypeTokenSettle
	TypeChangesWanted
	TypeChanges
	TypePoison
	TypeWork
	typeEnd
)

type priority uint8

const (
	// Low-priority messages repeat cumulative values, so a later message makes up for a dropped one.
	priorityLow priority = iota
	priorityHigh
)

type typeInfo struct {
	name     string
	priority priority
	decode   func([]byte) (Message, error)
}

// types is indexed by Type.
var types = [typeEnd]typeInfo{
	TypeProbe:         {"probe", priorityHigh, func(b []byte) (Message, error) { var m Probe; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeProbeAck:      {"probe_ack", priorityHigh, func(b []byte) (Message, error) { var m ProbeAck; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeProbeReq:      {"probe_req", priorityHigh, func(b []byte) (Message, error) { var m ProbeReq; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeLeaving:       {"leaving", priorityHigh, func(b []byte) (Message, error) { var m Leaving; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeDigest:        {"digest", priorityLow, func(b []byte) (Message, error) { var m Digest; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeWant:          {"want", priorityLow, func(b []byte) (Message, error) { var m Want; err := decMode.Unmarshal(b, &m); return m, err }},
	TypePush:          {"push", priorityHigh, func(b []byte) (Message, error) { var m Push; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeLedgerReport:  {"ledger_report", priorityHigh, func(b []byte) (Message, error) { var m LedgerReport; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeLedgerState:   {"ledger_state", priorityHigh, func(b []byte) (Message, error) { var m LedgerState; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeTransferAsk:   {"transfer_ask", priorityHigh, func(b []byte) (Message, error) { var m TransferAsk; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeTransfer:      {"transfer", priorityHigh, func(b []byte) (Message, error) { var m Transfer; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeTransferAck:   {"transfer_ack", priorityHigh, func(b []byte) (Message, error) { var m TransferAck; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeJournalAppend: {"journal_append", priorityHigh, func(b []byte) (Message, error) { var m JournalAppend; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeJournalAck:    {"journal_ack", priorityHigh, func(b []byte) (Message, error) { var m JournalAck; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeJournalFind:   {"journal_find", priorityHigh, func(b []byte) (Message, error) { var m JournalFind; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeJournalFound:  {"journal_found", priorityHigh, func(b []byte) (Message, error) { var m JournalFound; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeEvidence:      {"evidence", priorityLow, func(b []byte) (Message, error) { var m Evidence; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeVerdict:       {"verdict", priorityHigh, func(b []byte) (Message, error) { var m Verdict; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeLoad:          {"load", priorityLow, func(b []byte) (Message, error) { var m Load; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeDone:          {"done", priorityHigh, func(b []byte) (Message, error) { var m Done; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeClaimAsk:      {"claim_ask", priorityHigh, func(b []byte) (Message, error) { var m ClaimAsk; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeClaimAnswer:   {"claim_answer", priorityHigh, func(b []byte) (Message, error) { var m ClaimAnswer; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeForward:       {"forward", priorityHigh, func(b []byte) (Message, error) { var m Forward; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeForwardOffer:  {"forward_offer", priorityHigh, func(b []byte) (Message, error) { var m ForwardOffer; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeForwardGo:     {"forward_go", priorityHigh, func(b []byte) (Message, error) { var m ForwardGo; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeForwardChunk:  {"forward_chunk", priorityHigh, func(b []byte) (Message, error) { var m ForwardChunk; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeForwardEnd:    {"forward_end", priorityHigh, func(b []byte) (Message, error) { var m ForwardEnd; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeStreamAck:     {"stream_ack", priorityHigh, func(b []byte) (Message, error) { var m StreamAck; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeVMs:           {"vms", priorityHigh, func(b []byte) (Message, error) { var m VMs; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeTokenClaim:    {"token_claim", priorityHigh, func(b []byte) (Message, error) { var m TokenClaim; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeTokenOutcome:  {"token_outcome", priorityHigh, func(b []byte) (Message, error) { var m TokenOutcome; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeTokenHold:     {"token_hold", priorityHigh, func(b []byte) (Message, error) { var m TokenHold; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeTokenHeld:     {"token_held", priorityHigh, func(b []byte) (Message, error) { var m TokenHeld; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeTokenSettle:   {"token_settle", priorityHigh, func(b []byte) (Message, error) { var m TokenSettle; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeChangesWanted: {"changes_wanted", priorityHigh, func(b []byte) (Message, error) { var m ChangesWanted; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeChanges:       {"changes", priorityHigh, func(b []byte) (Message, error) { var m Changes; err := decMode.Unmarshal(b, &m); return m, err }},
	TypePoison:        {"poison", priorityHigh, func(b []byte) (Message, error) { var m Poison; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeWork:          {"work", priorityLow, func(b []byte) (Message, error) { var m Work; err := decMode.Unmarshal(b, &m); return m, err }},
	TypeFailure:       {"failure", priorityHigh, func(b []byte) (Message, error) { var m Failure; err := decMode.Unmarshal(b, &m); return m, err }},
}

// String returns the name of the type in metrics, or "unknown".
func (t Type) String() string {
	if !t.known() {
		return "unknown"
	}
	return types[t].name
}

func (t Type) known() bool { return t > 0 && t < typeEnd }

// Type implements Message.
func (Probe) Type() Type { return TypeProbe }

// Type implements Message.
func (ProbeAck) Type() Type { return TypeProbeAck }

// Type implements Message.
func (ProbeReq) Type() Type { return TypeProbeReq }

// Type implements Message.
func (Leaving) Type() Type { return TypeLeaving }

// Type implements Message.
func (Digest) Type() Type { return TypeDigest }

// Type implements Message.
func (Want) Type() Type { return TypeWant }

// Type implements Message.
func (Push) Type() Type { return TypePush }

// Type implements Message.
func (LedgerReport) Type() Type { return TypeLedgerReport }

// Type implements Message.
func (LedgerState) Type() Type { return TypeLedgerState }

// Type implements Message.
func (TransferAsk) Type() Type { return TypeTransferAsk }

// Type implements Message.
func (Transfer) Type() Type { return TypeTransfer }

// Type implements Message.
func (TransferAck) Type() Type { return TypeTransferAck }

// Type implements Message.
func (JournalAppend) Type() Type { return TypeJournalAppend }

// Type implements Message.
func (JournalAck) Type() Type { return TypeJournalAck }

// Type implements Message.
func (JournalFind) Type() Type { return TypeJournalFind }

// Type implements Message.
func (JournalFound) Type() Type { return TypeJournalFound }

// Type implements Message.
func (Evidence) Type() Type { return TypeEvidence }

// Type implements Message.
func (Verdict) Type() Type { return TypeVerdict }

// Type implements Message.
func (Load) Type() Type { return TypeLoad }

// Type implements Message.
func (Done) Type() Type { return TypeDone }

// Type implements Message.
func (Failure) Type() Type { return TypeFailure }

// Type implements Message.
func (ClaimAsk) Type() Type { return TypeClaimAsk }

// Type implements Message.
func (ClaimAnswer) Type() Type { return TypeClaimAnswer }

// Type implements Message.
func (Forward) Type() Type { return TypeForward }

// Type implements Message.
func (ForwardOffer) Type() Type { return TypeForwardOffer }

// Type implements Message.
func (ForwardGo) Type() Type { return TypeForwardGo }

// Type implements Message.
func (ForwardChunk) Type() Type { return TypeForwardChunk }

// Type implements Message.
func (ForwardEnd) Type() Type { return TypeForwardEnd }

// Type implements Message.
func (StreamAck) Type() Type { return TypeStreamAck }

// Type implements Message.
func (VMs) Type() Type { return TypeVMs }

// Type implements Message.
func (TokenClaim) Type() Type { return TypeTokenClaim }

// Type implements Message.
func (TokenOutcome) Type() Type { return TypeTokenOutcome }

// Type implements Message.
func (TokenHold) Type() Type { return TypeTokenHold }

// Type implements Message.
func (TokenHeld) Type() Type { return TypeTokenHeld }

// Type implements Message.
func (TokenSettle) Type() Type { return TypeTokenSettle }

// Type implements Message.
func (ChangesWanted) Type() Type { return TypeChangesWanted }

// Type implements Message.
func (Changes) Type() Type { return TypeChanges }

// Type implements Message.
func (Poison) Type() Type { return TypePoison }

// Type implements Message.
func (Work) Type() Type { return TypeWork }

func (ClaimAsk) message()      {}
func (ClaimAnswer) message()   {}
func (Probe) message()         {}
func (ProbeAck) message()      {}
func (ProbeReq) message()      {}
func (Leaving) message()       {}
func (Digest) message()        {}
func (Want) message()          {}
func (Push) message()          {}
func (LedgerReport) message()  {}
func (LedgerState) message()   {}
func (TransferAsk) message()   {}
func (Transfer) message()      {}
func (TransferAck) message()   {}
func (JournalAppend) message() {}
func (JournalAck) message()    {}
func (JournalFind) message()   {}
func (JournalFound) message()  {}
func (Evidence) message()      {}
func (Verdict) message()       {}
func (Load) message()          {}
func (Done) message()          {}
func (Failure) message()       {}
func (Forward) message()       {}
func (ForwardOffer) message()  {}
func (ForwardGo) message()     {}
func (ForwardChunk) message()  {}
func (ForwardEnd) message()    {}
func (StreamAck) message()     {}
func (VMs) message()           {}
func (TokenClaim) message()    {}
func (TokenOutcome) message()  {}
func (TokenHold) message()     {}
func (TokenHeld) message()     {}
func (TokenSettle) message()   {}
func (ChangesWanted) message() {}
func (Changes) message()       {}
func (Poison) message()        {}
func (Work) message()          {}
