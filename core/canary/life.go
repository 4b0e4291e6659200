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

// newLifecycle returns the lifecycle of a release. A completed release is still taken back when a
// verdict of a peer condemns it, and taken back is final.
func newLifecycle() *fsm.FSM {
	running, completed, back := string(object.VerdictRunning), string(object.VerdictCompleted), string(object.VerdictTakenBack)
	return fsm.NewFSM(statePending, fsm.Events{
		{Name: eventStart, Src: []string{statePending}, Dst: running},
		{Name: eventComplete, Src: []string{running}, Dst: completed},
		{Name: eventTakeBack, Src: []string{statePending, running, completed}, Dst: back},
	}, nil)
}

// fire takes a transition where it is allowed and reports whether it did.
func fire(f *fsm.FSM, event string) bool {
	return f.Can(event) && f.Event(context.Background(), event) == nil
}
