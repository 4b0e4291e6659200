package member

import (
	"time"

	"geraniumsaddle/core/ident"
)

// State is the liveness state of a member. At the same incarnation, the higher state wins.
type State uint8

// The states of a member.
const (
	StateAlive State = iota
	StateSuspect
	StateDead
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case StateAlive:
		return "alive"
	case StateSuspect:
		return "suspect"
	case StateDead:
		return "dead"
	}
	return "invalid"
}

// Update is the state of one member as routers send it to each other.
type Update struct {
	ID     ident.RouterID `cbor:"1,keyasint"`
	Addr   string         `cbor:"2,keyasint,omitempty"`
	Domain ident.DomainID `cbor:"3,keyasint,omitempty"`
	VM     ident.VMID     `cbor:"4,keyasint,omitempty"`
	// Incarnation is raised only by the member itself, to refute a suspicion.
	Incarnation uint64 `cbor:"5,keyasint,omitempty"`
	State       State  `cbor:"6,keyasint,omitempty"`
	// Leaving is set by the member itself and never cleared within its epoch.
	Leaving bool `cbor:"7,keyasint,omitempty"`
}

// Message is one of Probe, Ack and ProbeReq.
type Message interface{ message() }

// Probe asks a member for an Ack.
type Probe struct {
	Seq uint64 `cbor:"1,keyasint"`
	// From describes the sender.
	From Update `cbor:"2,keyasint"`
	// Updates is bounded by Config.MaxUpdates, except when Sync is set.
	Updates []Update `cbor:"3,keyasint,omitempty"`
	// Sync asks for the whole member table in the Ack.
	Sync bool `cbor:"4,keyasint,omitempty"`
}

// Ack answers a Probe, or relays the answer of the probed member to the sender of a ProbeReq.
type Ack struct {
	Seq     uint64   `cbor:"1,keyasint"`
	From    Update   `cbor:"2,keyasint"`
	Updates []Update `cbor:"3,keyasint,omitempty"`
	// Relayed is set if From is the probed member and not the sender of this message.
	Relayed bool `cbor:"4,keyasint,omitempty"`
}

// ProbeReq asks the receiver to probe Target and to relay the answer.
type ProbeReq struct {
	Seq     uint64   `cbor:"1,keyasint"`
	From    Update   `cbor:"2,keyasint"`
	Target  Update   `cbor:"3,keyasint"`
	Updates []Update `cbor:"4,keyasint,omitempty"`
}

func (Probe) message()    {}
func (Ack) message()      {}
func (ProbeReq) message() {}

// Action is something that the caller must do: Send or Changed.
type Action interface{ action() }

// Send sends a message to an address, without waiting and without retry. To is empty for a seed.
type Send struct {
	To   ident.RouterID
	Addr string
	Msg  Message
}

// Changed reports that a member appeared, changed or was dropped.
type Changed struct {
	Member  Member
	Dropped bool
}

func (Send) action()    {}
func (Changed) action() {}

// Member is a member as this router sees it.
type Member struct {
	Update
	// StateSince is the time of the last change of State.
	StateSince time.Time
	// Excluded is set if the VM list reported the VM as leaving or gone.
	Excluded bool
	// Listed is set if the VM is in the current VM list and not gone.
	Listed bool
}

// Usable reports whether the member may get new work.
func (m Member) Usable() bool {
	return m.State == StateAlive && !m.Leaving && !m.Excluded
}

// Reachable reports whether the member is not dead, leaving or excluded. Decisions that should not change on
// a suspicion alone, such as the choice of shard writers, use it instead of Usable.
func (m Member) Reachable() bool {
	return m.State != StateDead && !m.Leaving && !m.Excluded
}

// VMState is the state that the platform reports for a VM.
type VMState string

// The states of a VM in the VM list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
	VMGone    VMState = "gone"
)

// VM is one row of the platform's VM list.
type VM struct {
	ID     ident.VMID
	Domain ident.DomainID
	State  VMState
}
