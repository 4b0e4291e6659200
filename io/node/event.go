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

// event is an input of the control goroutine, which applies one at a time.
type event interface{ event() }

// feedEvent is an answer to a request of a feed. The answer to an earlier request of the kind is ignored.
type feedEvent struct {
	kind       object.Kind
	generation uint64
	answer     config.FeedEvent
}

// peerEvent is a one-way message from another router.
type peerEvent struct {
	from peer.Sender
	msg  peer.Message
}

// vmsEvent is the result of a request for the VM list.
type vmsEvent struct {
	vms []store.VM
	err error
}

// entriesEvent carries confirmed entries of a shard. It has no entries if the report failed.
type entriesEvent struct {
	key     object.Key
	version ident.ObjectVersion
	entries []escrow.Entry
	// endsReport is set if the event ends the running report of the shard.
	endsReport bool
}

// loadEvent holds the answers to a poll of a target.
type loadEvent struct {
	load   target.Load
	failed bool
	target ident.TargetID
	// state and cache are nil for a plain service, and if the engine did not answer.
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
