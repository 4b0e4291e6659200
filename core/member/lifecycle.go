package member

import "github.com/looplab/fsm"

// The events of the life cycle of a member.
const (
	EventSuspect = "suspect"
	EventRefute  = "refute"
	EventConfirm = "confirm"
	EventDrop    = "drop"
)

// StateDropped is the final state of the life cycle: the member is no longer known.
const StateDropped = "dropped"

// NewLifecycle returns the life cycle of a member as a state machine. It defines the valid
// transitions for tests and documentation; the detector does not use it.
func NewLifecycle(initial State) *fsm.FSM {
	return fsm.NewFSM(initial.String(), fsm.Events{
		{Name: EventSuspect, Src: []string{StateAlive.String(), StateDead.String()}, Dst: StateSuspect.String()},
		{Name: EventRefute, Src: []string{StateSuspect.String(), StateDead.String()}, Dst: StateAlive.String()},
		{Name: EventConfirm, Src: []string{StateSuspect.String()}, Dst: StateDead.String()},
		{Name: EventDrop, Src: []string{StateDead.String()}, Dst: StateDropped},
	}, nil)
}
