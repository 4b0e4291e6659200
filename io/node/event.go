package node

import (
	"geraniumsaddle/core/config"
	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/target"
	"geraniumsaddle/io/engine"
	"geraniumsaddle/io/peer"
	"geraniumsaddle/io/store"
)

// event is what the control goroutine applies, one at a time.
type event interface{ event() }

// feedEvent is the answer to a request of a feed. Events of an older turn of the feed are ignored.
type feedEvent struct {
	kind       object.Kind
	generation uint64
	answer     config.FeedEvent
}

// peerEvent is a one-way message of another router.
type peerEvent struct {
	from peer.Sender
	msg  peer.Message
}

// vmsEvent is an answer of the VM list.
type vmsEvent struct {
	vms []store.VM
	err error
}

// entriesEvent carries confirmed entries of a shard. Without entries the report failed.
type entriesEvent struct {
	key     object.Key
	version ident.ObjectVersion
	entries []escrow.Entry
	// answered is set when the event ends the shard's running report.
	endsReport bool
}

// loadEvent is a load report of a target.
type loadEvent struct {
	load   target.Load
	failed bool
	target ident.TargetID
	// state and cache are nil for a service and when the engine did not answer.
	state *engine.State
	cache *engine.CacheEvents
}

// callEvent runs a function on the control goroutine.
type callEvent struct{ run func() }

func (feedEvent) event()    {}
func (peerEvent) event()    {}
func (vmsEvent) event()     {}
func (entriesEvent) event() {}
func (loadEvent) event()    {}
func (callEvent) event()    {}
