package node

import (
	"time"

	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/store"
)

type members struct{ n *Node }

func newMembers(n *Node) *members { return &members{n} }

func (m *members) learnVMs([]store.VM, time.Time) {}

func (n *Node) isWatcher() bool { return true }

func (n *Node) receive(peerEvent, time.Time) {}

func (n *Node) shareEntries(object.Key, ident.ObjectVersion, escrow.Shard) {}

type transfers struct{}

func newTransfers(*Node) *transfers { return &transfers{} }

func (t *transfers) ask(time.Time)  {}
func (t *transfers) tick(time.Time) {}
