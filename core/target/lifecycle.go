package target

import (
	"context"

	"github.com/looplab/fsm"

	"geraniumsaddle/core/object"
)

// The events of a target's lifecycle.
const (
	eventLeave   = "leave"
	eventRestore = "restore"
	eventRemove  = "remove"
)

// newLifecycle returns the state machine of a target. An operator can make a leaving target active again; gone is
// final.
func newLifecycle() *fsm.FSM {
	active, leaving, gone := string(object.TargetActive), string(object.TargetLeaving), string(object.TargetGone)
	return fsm.NewFSM(active, fsm.Events{
		{Name: eventLeave, Src: []string{active}, Dst: leaving},
		{Name: eventRestore, Src: []string{leaving}, Dst: active},
		{Name: eventRemove, Src: []string{active, leaving}, Dst: gone},
	}, nil)
}

// eventFor maps each state to the event that leads to it.
var eventFor = map[object.TargetState]string{
	object.TargetActive:  eventRestore,
	object.TargetLeaving: eventLeave,
	object.TargetGone:    eventRemove,
}

// transitionTo moves the lifecycle to the wanted state if that is allowed, and reports whether the state changed.
func transitionTo(f *fsm.FSM, want object.TargetState) bool {
	event := eventFor[want]
	if !f.Can(event) {
		return false
	}
	return f.Event(context.Background(), event) == nil
}

// finality orders the states from least to most final.
var finality = map[object.TargetState]int{
	object.TargetActive:  0,
	object.TargetLeaving: 1,
	object.TargetGone:    2,
}

// moreFinal returns the more final of two states.
func moreFinal(a, b object.TargetState) object.TargetState {
	if finality[b] > finality[a] {
		return b
	}
	return a
}
