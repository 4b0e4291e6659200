package node

import (
	"context"
	"errors"
	"time"

	"geraniumsaddle/core/config"
	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/peer"
)

// inbox handles the messages of other routers. Journal messages are handled on the transport's goroutines, because a
// request waits for them; all other one-way messages are queued for the control goroutine.
type inbox struct{ n *Node }

// HandleMessage implements peer.Handler.
func (b inbox) HandleMessage(from peer.Sender, m peer.Message) {
	switch m := m.(type) {
	case peer.JournalAppend:
		b.n.replicas.apply(from, m)
	case peer.JournalAck:
		b.n.journal.handleAck(m.Ack)
	default:
		b.n.tryPost(peerEvent{from, m})
	}
}

// HandleCall implements peer.Handler.
func (b inbox) HandleCall(ctx context.Context, from peer.Sender, m peer.Message) (peer.Message, error) {
	switch m := m.(type) {
	case peer.Digest:
		return b.n.ownDigest(ctx)
	case peer.LedgerReport:
		return b.n.writeReports(ctx, m)
	case peer.JournalFind:
		return b.n.findLocal(m), nil
	case peer.VMs:
		return b.n.vmList.answer(ctx, m)
	case peer.ClaimAsk:
		return b.n.claims.answer(ctx, m), nil
	}
	return nil, peer.Failure{Code: "not_a_call", Message: m.Type().String() + " from " + string(from.ID)}
}

// writeReports writes the reports of another router to a shard.
func (n *Node) writeReports(ctx context.Context, m peer.LedgerReport) (peer.Message, error) {
	if m.Shard.Kind != object.KindLedger && m.Shard.Kind != object.KindSlots {
		return nil, peer.Failure{Code: "not_a_shard"}
	}
	s, v, err := n.writers.submit(ctx, m.Shard, m.Reports)
	if err != nil {
		return nil, peer.Failure{Code: "not_written", Message: err.Error()}
	}
	return peer.LedgerState{Shard: m.Shard, Version: v, Entries: entriesOf(s, m.Reports)}, nil
}

// handleMessage applies a one-way message of another router. It runs on the control goroutine.
func (n *Node) handleMessage(ev peerEvent, now time.Time) {
	switch m := ev.msg.(type) {
	case peer.Probe:
		n.members.applyActions(n.members.detector.Receive(ev.from.Addr, m.Probe, now))
	case peer.ProbeAck:
		n.members.applyActions(n.members.detector.Receive(ev.from.Addr, m.Ack, now))
	case peer.ProbeReq:
		n.members.applyActions(n.members.detector.Receive(ev.from.Addr, m.ProbeReq, now))
	case peer.Leaving:
		n.members.applyActions(n.members.detector.Learn(m.Member, now))
	case peer.Digest:
		if w := n.feeds.objects.Diff(m.Digest); !w.Empty() {
			n.sendToAddr(ev.from.Addr, peer.Want{Want: w})
		}
	case peer.Want:
		if p := n.feeds.objects.AnswerWant(m.Want); !p.Empty() {
			n.sendToAddr(ev.from.Addr, peer.Push{Push: p})
		}
	case peer.Push:
		n.handlePush(ev, m)
	default:
		n.handleStateMessage(ev, now)
	}
}

// handlePush applies configuration objects of another router, and requests the next ones.
func (n *Node) handlePush(ev peerEvent, m peer.Push) {
	changed, want := n.feeds.objects.ApplyPush(m.Push)
	n.applyObjects(changed)
	if !want.Empty() {
		n.sendToAddr(ev.from.Addr, peer.Want{Want: want})
	}
}

// handleStateMessage applies the messages that do not concern membership or configuration.
func (n *Node) handleStateMessage(ev peerEvent, now time.Time) {
	switch m := ev.msg.(type) {
	case peer.LedgerState:
		n.ledger.applyEntries(entriesEvent{key: m.Shard, version: m.Version, entries: m.Entries}, now)
	case peer.TransferAsk:
		n.transfers.answer(ev.from, m)
	case peer.Transfer:
		n.transfers.receive(ev.from, m)
	case peer.TransferAck:
		if a := n.accounts.find(m.Entry); a != nil && a.Holder() == m.From {
			a.TransferAcked(m.To, m.Total)
		}
	case peer.Evidence:
		n.releases.mergeEvidence(m)
	case peer.Verdict:
		n.releases.mergeVerdicts(m, now)
	case peer.Load:
		n.loadReports.receive(m, now)
	case peer.VMs:
		n.vmList.receive(m, now)
	}
}

// pushObjects sends objects that a watch has delivered to the routers of the own failure domain, because not
// all of them have a watch.
func (n *Node) pushObjects(objs []config.Object) {
	r := n.members.roster.Load()
	if len(r.ownDomain) <= watchersPerDomain {
		return
	}
	var others []config.Object
	for _, o := range objs {
		if o.Kind != object.KindLedger && o.Kind != object.KindSlots {
			others = append(others, o)
		}
	}
	if len(others) == 0 || len(others) > maxPushObjects {
		return // The exchange of digests delivers these objects.
	}
	for _, id := range r.ownDomain {
		if id != n.id {
			n.sendToRouter(id, peer.Push{Push: config.Push{Objects: others}})
		}
	}
}

// maxPushObjects bounds the objects that are pushed at once. More objects are left to the exchange of digests, whose
// answers are bounded.
const maxPushObjects = 64

// pushEntries sends the entries of a shard to the routers of the own failure domain that are holders in them.
func (n *Node) pushEntries(k object.Key, version ident.ObjectVersion, s escrow.Shard) {
	r := n.members.roster.Load()
	if len(r.ownDomain) <= watchersPerDomain {
		return
	}
	for _, id := range r.ownDomain {
		if id == n.id {
			continue
		}
		var es []escrow.Entry
		for i := range s.Entries {
			for j := range s.Entries[i].Holders {
				if s.Entries[i].Holders[j].ID.Router() == id {
					es = append(es, s.Entries[i])
					break
				}
			}
		}
		if len(es) > 0 {
			n.sendToRouter(id, peer.LedgerState{Shard: k, Version: version, Entries: es})
		}
	}
}

// reportToWriter sends reports to the router of the failure domain that writes the shard. If that is this router, or
// the writer does not answer, this router writes them itself.
func (n *Node) reportToWriter(ctx context.Context, k object.Key, reports []escrow.Report) ([]escrow.Entry, ident.ObjectVersion, error) {
	w := n.shardWriterFor(k)
	if addr, ok := n.members.roster.Load().addrs[w]; ok && w != n.id {
		m, err := n.transport.Call(ctx, addr, peer.LedgerReport{Shard: k, Reports: reports})
		if st, ok := m.(peer.LedgerState); ok && err == nil {
			return st.Entries, st.Version, nil
		}
		var f peer.Failure
		if errors.As(err, &f) {
			return nil, 0, err // The writer could not write to the platform, and another router probably could not either.
		}
	}
	s, v, err := n.writers.submit(ctx, k, reports)
	if err != nil {
		return nil, 0, err
	}
	return entriesOf(s, reports), v, nil
}
