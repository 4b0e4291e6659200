package node

import (
	"context"
	"errors"
	"strings"
	"time"

	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/member"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/record"
	"geraniumsaddle/io/engine"
	"geraniumsaddle/io/store"
)

const (
	// noJournalDelay is how long recovery without a replica of the journal waits for the router that has one. It covers
	// the time in which a target may still hold the dead router's requests.
	noJournalDelay     = maxRequestHold
	resolveInterval    = 500 * time.Millisecond
	closeRetryInterval = 2 * time.Second
	// replicaRetention is how long the replica of a recovered router is kept to answer retries of callers.
	replicaRetention = 10 * time.Minute
	// reasonNoJournal marks a holder whose journal has no replica.
	reasonNoJournal = "no_journal"
	// reasonLimitNotJournaled marks the limit of a key or class, whose use is not in the journal.
	reasonLimitNotJournaled = "limit_not_journaled"
	// reasonOutcomeUnknown marks requests whose targets cannot report the outcome.
	reasonOutcomeUnknown = "request_outcome_unknown"
	// reasonOtherJournalPeer marks a row that names another journal peer.
	reasonOtherJournalPeer = "other_journal_peer"
)

// recovery detects dead routers and starts to close their holders. It belongs to the control goroutine.
type recovery struct {
	n         *Node
	deadSince map[ident.RouterID]time.Time
	started   map[ident.RouterID]bool
}

func newRecovery(n *Node) *recovery {
	return &recovery{n: n, deadSince: make(map[ident.RouterID]time.Time), started: make(map[ident.RouterID]bool)}
}

// tick starts the recovery of routers that are certain to be dead. A failed probe is not sufficient.
func (r *recovery) tick(now time.Time) {
	v := r.n.view.Load()
	for _, id := range sortedRouterIDs(v) {
		if id == r.n.id || r.started[id] || !r.isDead(v, id) {
			continue
		}
		if _, ok := r.deadSince[id]; !ok {
			r.deadSince[id] = now
		}
		replica := r.n.replicas.get(id)
		if replica == nil && (now.Sub(r.deadSince[id]) < noJournalDelay || !r.isElected(v.routers[id])) {
			continue
		}
		r.started[id] = true
		r.n.log.Info("recovering a dead router", "dead_router", id, "journal", replica != nil)
		r.n.spawn(func(ctx context.Context) { r.n.recoverRouter(ctx, id, replica) })
	}
}

// isDead reports whether a router's VM is gone, or a later incarnation of the router has the same peer address. Only
// one process at a time can bind an address, even while it is paused, so the earlier process has ended in that case.
func (r *recovery) isDead(v *view, id ident.RouterID) bool {
	router := v.routers[id]
	if r.n.members.vmStates[router.VM] == store.VMGone {
		return true
	}
	_, epoch, err := id.Split()
	if err != nil || router.Peer == "" {
		return false
	}
	for other, otherRouter := range v.routers {
		_, otherEpoch, err := other.Split()
		if err == nil && other.Name() == id.Name() && otherEpoch > epoch && otherRouter.Peer == router.Peer {
			return true
		}
	}
	return false
}

// isElected reports whether this router recovers a dead router that has no journal replica here. Rendezvous hashing
// elects a usable router of the dead one's failure domain, or of the whole fleet if that has none.
func (r *recovery) isElected(dead object.Router) bool {
	ros := r.n.members.roster.Load()
	var candidates []ident.RouterID
	for _, row := range ros.members {
		if row.Usable() && row.Domain == dead.Domain {
			candidates = append(candidates, row.ID)
		}
	}
	if dead.Domain == r.n.domain {
		candidates = ros.ownDomain
	}
	if len(candidates) == 0 {
		candidates = ros.all
	}
	return member.Rank("recover/"+string(dead.ID), candidates)[0] == r.n.id
}

// recoverRouter settles the open requests of a dead router, closes its holders and deletes its record. It retries until
// the platform has confirmed all of it, and drops the replica some time later.
func (n *Node) recoverRouter(ctx context.Context, id ident.RouterID, replica *record.Replica) {
	rr := &routerRecovery{n: n, id: id, accountStates: make(map[rowID]record.AccountState), reason: reasonNoJournal}
	for {
		rows, err := rr.listShardRows(ctx)
		if err == nil {
			if replica != nil && !rr.replicaEvaluated {
				rr.evaluateReplica(ctx, replica, rows)
			}
			err = rr.closeShards(ctx, rows)
		}
		if err == nil {
			err = rr.deleteRecord(ctx)
		}
		if err == nil {
			break
		}
		n.log.Warn("recovery of a dead router failed and is retried", "dead_router", id, "error", err)
		select {
		case <-n.clock.After(closeRetryInterval):
		case <-ctx.Done():
			return
		}
	}
	n.log.Info("dead router recovered", "dead_router", id, "proved", rr.proved)
	select {
	case <-n.clock.After(replicaRetention):
		n.replicas.remove(id)
	case <-ctx.Done():
	}
}

// routerRecovery is the recovery of one dead router.
type routerRecovery struct {
	n                *Node
	id               ident.RouterID
	replicaEvaluated bool
	proved           bool
	declaredID       ident.RouterID
	reason           string
	// accountStates holds the state of each row according to the journal. It is complete if proved is set.
	accountStates map[rowID]record.AccountState
}

// rowID identifies the row of a holder in an entry.
type rowID struct {
	entry  escrow.EntryID
	holder escrow.HolderID
}

// shardRows lists the rows of a dead router in one shard. The peers are the journal peers that the rows name.
type shardRows struct {
	key     object.Key
	holders []escrow.HolderID
	peers   []ident.RouterID
}

// listShardRows returns the shards in which the dead router has rows.
func (rr *routerRecovery) listShardRows(ctx context.Context) ([]shardRows, error) {
	var out []shardRows
	for _, kind := range ledgerKinds {
		after := ""
		for {
			page, err := rr.n.platform.List(ctx, kind, after, listPageSize)
			rr.n.recordPlatformCall("list", err)
			if err != nil {
				return nil, err
			}
			for _, o := range page.Objects {
				if row := rr.rowsInShard(o); len(row.holders) > 0 {
					out = append(out, row)
				}
			}
			if page.Next == "" {
				break
			}
			after = page.Next
		}
	}
	return out, nil
}

// rowsInShard returns the rows of the dead router in a stored shard.
func (rr *routerRecovery) rowsInShard(o store.Object) shardRows {
	row := shardRows{key: o.Key}
	s, err := escrow.Decode(o.Value)
	if err != nil {
		rr.n.log.Error("ledger shard cannot be used", "name", o.Key.Name, "error", err)
		return row
	}
	for i := range s.Entries {
		for _, h := range s.Entries[i].Holders {
			if h.ID.Router() == rr.id {
				row.holders = append(row.holders, h.ID)
				row.peers = append(row.peers, h.JournalPeer)
			}
		}
	}
	return row
}

// evaluateReplica closes the replica, settles its open requests by what their targets report, and records whether the
// replica proves the final state of the accounts.
func (rr *routerRecovery) evaluateReplica(ctx context.Context, replica *record.Replica, rows []shardRows) {
	rr.replicaEvaluated = true
	declaration := rr.newestDeclaration(rows)
	rr.declaredID = declarationID(declaration)
	rr.n.replicas.mu.Lock()
	verdict := replica.Close(declaration, rr.n.clock.Now())
	open := replica.OpenHolds()
	rr.n.replicas.mu.Unlock()
	results := rr.resolveHolds(ctx, open)
	rr.n.replicas.mu.Lock()
	recovered := replica.Recover(verdict, results, rr.n.clock.Now().UTC())
	rr.n.replicas.mu.Unlock()
	for _, b := range recovered.Bills {
		if b.Outcome != ident.OutcomeNotRun {
			rr.n.bills.add(b)
		}
	}
	rr.reason = string(recovered.Reason)
	rr.proved = recovered.Proof != nil
	rr.setAccountStates(recovered.Accounts)
}

// setAccountStates records the state of each row according to the journal.
func (rr *routerRecovery) setAccountStates(states []record.AccountState) {
	for _, state := range states {
		id := escrow.EntryID(state.Counters.Budget)
		// Without a proof, slots are recovered from the rows alone. Bills from the journal are valid in any case, so the
		// tokens that they settle must not become unresolved and be released a second time.
		if rr.proved || !isSlotEntry(id) {
			rr.accountStates[rowID{id, escrow.NewHolderID(rr.id, state.Counters.AccountNumber)}] = state
		}
	}
}

// newestDeclaration returns the newest declaration in the rows that names this router as journal peer.
func (rr *routerRecovery) newestDeclaration(rows []shardRows) record.Declaration {
	var newest record.Declaration
	for _, row := range rows {
		for _, p := range row.peers {
			name, term, err := p.Split()
			if err == nil && name == string(rr.n.id)+"#" && term > newest.Term {
				newest = record.Declaration{Peer: rr.n.id, Term: term}
			}
		}
	}
	return newest
}

// resolveHolds asks the targets for the results of open requests until all are known or the targets can no longer hold
// the requests. Requests without an idempotency key are cancelled, because no caller can retry them; others may run on
// until the target drops their stream.
func (rr *routerRecovery) resolveHolds(ctx context.Context, open []record.Hold) map[ident.RequestID]record.TargetResult {
	results := make(map[ident.RequestID]record.TargetResult)
	deadline := rr.n.clock.Now().Add(maxRequestHold)
	for len(results) < len(open) && rr.n.clock.Now().Before(deadline) {
		for _, h := range open {
			if _, ok := results[h.Request]; ok {
				continue
			}
			if result := rr.n.resolveHold(ctx, h); result != nil {
				results[h.Request] = result
			}
		}
		if len(results) == len(open) {
			break
		}
		select {
		case <-rr.n.clock.After(resolveInterval):
		case <-ctx.Done():
			return results
		}
	}
	return results
}

// resolveHold returns the result that the target reports for a request, or nil while it runs or the target does not
// answer.
func (n *Node) resolveHold(ctx context.Context, h record.Hold) record.TargetResult {
	t, ok := n.view.Load().targets[h.Target]
	if !ok || t.Kind != object.TargetEngine {
		return record.Unknown{}
	}
	client, err := n.pools.engineClient(t.URL)
	if err != nil {
		return record.Unknown{}
	}
	if h.IdempotencyKey == (record.Hash{}) {
		_, _ = client.Cancel(ctx, h.Request) // The status below shows whether it had an effect.
	}
	status, err := client.Status(ctx, h.Request)
	switch {
	case err != nil:
		return nil
	case status.State == engine.RequestRunning:
		return nil
	case status.State == engine.RequestDone:
		return record.Ran{PromptTokens: status.PromptTokens, OutputTokens: status.OutputTokens}
	}
	return record.Absent{}
}

// closeShards closes the dead router's rows in all shards.
func (rr *routerRecovery) closeShards(ctx context.Context, rows []shardRows) error {
	for _, row := range rows {
		r := rr.n.writers.updateShard(ctx, row.key, func(s escrow.Shard) (escrow.Shard, bool) { return rr.closeInShard(s, row.holders) })
		if r.err != nil {
			return r.err
		}
	}
	return nil
}

// closeInShard closes the rows of the given holders in a shard and reports whether the shard has changed.
func (rr *routerRecovery) closeInShard(s escrow.Shard, holders []escrow.HolderID) (escrow.Shard, bool) {
	changed := false
	for i := range s.Entries {
		e := s.Entries[i].Clone()
		entryChanged := false
		for _, id := range holders {
			h := e.Holder(id)
			if h == nil {
				continue
			}
			closed, err := e.Close(rr.proofFor(&e, *h))
			if err != nil {
				rr.n.log.Error("holder could not be closed", "entry", e.ID, "holder", id, "error", err)
			}
			entryChanged = entryChanged || closed
		}
		if entryChanged {
			s, changed = s.With(e), true
		}
	}
	return s, changed
}

// proofFor returns the proof for closing one row. It is complete if the final counters of the row are known.
func (rr *routerRecovery) proofFor(e *escrow.Entry, h escrow.Holder) escrow.Proof {
	state := rr.accountStates[rowID{e.ID, h.ID}]
	p := escrow.Proof{
		Holder: h.ID, RowNumber: h.RowNumber, Settled: state.Counters.Settled, Returned: state.Counters.Returned,
		In: totalTokens(state.Counters.In), Out: totalTokens(state.Counters.Out), Reason: rr.reason,
	}
	if isSlotEntry(e.ID) {
		p.Settled = 0
		// Recovery has waited until the target no longer holds the router's requests, so no slot is in use. Without a proof,
		// the number of slots sent to other holders is known only if no holder of the entry ever took part in a transfer.
		p.Complete = rr.proved || hasNoTransfers(e)
		return p
	}
	switch {
	case !rr.proved:
	case strings.Contains(string(e.ID), "/"):
		p.Reason = reasonLimitNotJournaled
	case h.JournalPeer != rr.declaredID:
		p.Reason = reasonOtherJournalPeer
	default:
		p.Complete, p.Held, p.Reason = true, state.Unresolved, reasonOutcomeUnknown
	}
	return p
}

func isSlotEntry(id escrow.EntryID) bool { return strings.HasPrefix(string(id), slotPrefix) }

// hasNoTransfers reports whether no present or closed holder of the entry took part in a transfer, as far as the entry
// shows.
func hasNoTransfers(e *escrow.Entry) bool {
	for _, h := range e.Holders {
		if h.In != 0 || h.Out != 0 {
			return false
		}
	}
	return e.ClosedNetOut == 0
}

func totalTokens(ts []record.Transfer) ident.Tokens {
	var n ident.Tokens
	for _, t := range ts {
		n += t.Tokens
	}
	return n
}

// deleteRecord deletes the router record of the dead router.
func (rr *routerRecovery) deleteRecord(ctx context.Context) error {
	_, err := rr.n.platform.Delete(ctx, object.Key{Kind: object.KindRouter, Name: string(rr.id)}, store.Any())
	rr.n.recordPlatformCall("delete_routers", err)
	if errors.Is(err, store.ErrAbsent) {
		return nil
	}
	return err
}
