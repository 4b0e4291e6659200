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

// vmListEvent is the result of a request for the VM list.
type vmListEvent struct {
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

// pollEvent holds the answers to a poll of a target.
type pollEvent struct {
	load       target.Load
	loadFailed bool
	target     ident.TargetID
	// state and cache are nil for a plain service. Each is nil if the engine did not answer its request.
	state *engine.State
	cache *engine.CacheEvents
}

// funcEvent runs a function on the control goroutine.
type funcEvent struct{ run func() }

func (feedEvent) event()    {}
func (peerEvent) event()    {}
func (vmListEvent) event()  {}
func (entriesEvent) event() {}
func (pollEvent) event()    {}
func (funcEvent) event()    {}
