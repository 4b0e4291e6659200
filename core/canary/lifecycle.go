package canary

import (
	"context"

	"github.com/looplab/fsm"

	"geraniumsaddle/core/object"
)

// statePending is the state of a release before its start.
const statePending = "pending"

// The events of a release's lifecycle.
const (
	eventStart    = "start"
	eventComplete = "complete"
	eventTakeBack = "take_back"
)

// newLifecycle returns the state machine of a release. A completed release can still be taken back when the verdict of
// a peer condemns it. The state taken_back is final.
func newLifecycle() *fsm.FSM {
	running, completed, back := string(object.VerdictRunning), string(object.VerdictCompleted), string(object.VerdictTakenBack)
	return fsm.NewFSM(statePending, fsm.Events{
		{Name: eventStart, Src: []string{statePending}, Dst: running},
		{Name: eventComplete, Src: []string{running}, Dst: completed},
		{Name: eventTakeBack, Src: []string{statePending, running, completed}, Dst: back},
	}, nil)
}

// fire triggers an event where the current state allows it, and reports whether it did.
func fire(f *fsm.FSM, event string) bool {
	return f.Can(event) && f.Event(context.Background(), event) == nil
}
