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
	// foreignAfter is the time for which a dead router is left to the keeper of its journal.
	// It covers the time in which a target may still hold the router's requests.
	noJournalDelay     = maxRequestHold
	resolveInterval    = 500 * time.Millisecond
	closeRetryInterval = 2 * time.Second
	// replicaKeep is the time for which a recovered journal still answers retries of callers.
	replicaRetention = 10 * time.Minute
	// reasonNoJournal marks a holder of whose journal there is no copy.
	reasonNoJournal = "no_journal"
	// reasonLimit marks the limit of a key or class, whose spending is not in the journal.
	reasonLimitNotJournaled = "limit_not_journaled"
	// reasonOpen marks requests whose end their targets cannot tell.
	reasonOutcomeUnknown = "request_outcome_unknown"
	// reasonUndeclared marks a row that names another journal peer.
	reasonOtherJournalPeer = "other_journal_peer"
)

// recovery closes the holders of dead routers. It belongs to the control goroutine.
type recovery struct {
	n         *Node
	deadSince map[ident.RouterID]time.Time
	started   map[ident.RouterID]bool
}

func newRecovery(n *Node) *recovery {
	return &recovery{n: n, deadSince: make(map[ident.RouterID]time.Time), started: make(map[ident.RouterID]bool)}
}

// tick starts the recovery of routers that are dead for certain. Suspicion by probing never starts one.
func (r *recovery) tick(now time.Time) {
	v := r.n.view.Load()
	for _, id := range sortedRouters(v) {
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
		r.n.log.Info("recovery of a dead router starts", "dead_router", id, "journal", replica != nil)
		r.n.spawn(func(ctx context.Context) { r.n.recoverRouter(ctx, id, replica) })
	}
}

// dead reports whether a router's VM is gone, or a later incarnation of the router has the same peer address. An address
// is bound by one process at a time, also while that process is paused, so the earlier process has ended then.
func (r *recovery) isDead(v *view, id ident.RouterID) bool {
	router := v.routers[id]
	if r.n.members.vms[router.VM] == store.VMGone {
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

// chosen reports whether this router closes a dead one without a journal: the first of its failure domain, or of the
// fleet when none is left there.
func (r *recovery) isElected(dead object.Router) bool {
	ros := r.n.members.roster.Load()
	var candidates []ident.RouterID
	for _, row := range ros.rows {
		if row.Usable() && row.Domain == dead.Domain {
			candidates = append(candidates, row.ID)
		}
	}
	if dead.Domain == r.n.domain {
		candidates = ros.domain
	}
	if len(candidates) == 0 {
		candidates = ros.all
	}
	return member.Rank("recover/"+string(dead.ID), candidates)[0] == r.n.id
}

// recoverRouter settles the open requests of a dead router and closes its holders.
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
		n.log.Warn("recovery of a dead router waits for the platform", "dead_router", id, "error", err)
		select {
		case <-n.clock.After(closeRetryInterval):
		case <-ctx.Done():
			return
		}
	}
	n.log.Info("dead router recovered", "dead_router", id, "proved", rr.proven)
	select {
	case <-n.clock.After(replicaRetention):
		n.replicas.remove(id)
	case <-ctx.Done():
	}
}

// closing is the recovery of one router.
type routerRecovery struct {
	n                *Node
	id               ident.RouterID
	replicaEvaluated bool
	proven           bool
	declaredID       ident.RouterID
	reason           string
	// known is what the journal has of each row; it is complete when proof is set.
	accountStates map[rowID]record.AccountState
}

// rowID names the row of a holder in an entry.
type rowID struct {
	entry  escrow.EntryID
	holder escrow.HolderID
}

// shardRows is a shard with the holders of a dead router in it.
type shardRows struct {
	key     object.Key
	holders []escrow.HolderID
	peers   []ident.RouterID
}

// rows lists the shards in which the router has holders.
func (rr *routerRecovery) listShardRows(ctx context.Context) ([]shardRows, error) {
	var out []shardRows
	for _, kind := range ledgerKinds {
		after := ""
		for {
			page, err := rr.n.store.List(ctx, kind, after, listPage)
			rr.n.platformCall("list", err)
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

// judge takes the coverage verdict and settles the open requests by what their targets tell.
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
	rr.proven = recovered.Proof != nil
	rr.setAccountStates(recovered.Accounts)
}

// keep takes over what the journal has of each row.
func (rr *routerRecovery) setAccountStates(states []record.AccountState) {
	for _, state := range states {
		id := escrow.EntryID(state.Counters.Budget)
		// The slots of an unproved router are judged by the rows alone. The bills of the journal stand in any case, so
		// what they settle must not become unresolved and be released a second time.
		if rr.proven || !isSlotEntry(id) {
			rr.accountStates[rowID{id, escrow.NewHolderID(rr.id, state.Counters.AccountNumber)}] = state
		}
	}
}

// declaration returns the newest declaration of this router as journal peer in the rows.
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

// resolve asks the targets for the end of open requests. Requests that no caller can ask for again are cancelled;
// others may run on until their stream is dropped.
func (rr *routerRecovery) resolveHolds(ctx context.Context, open []record.Hold) map[ident.RequestID]record.Result {
	results := make(map[ident.RequestID]record.Result)
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

// resolveHold returns what the target tells of a request, or nil while it runs.
func (n *Node) resolveHold(ctx context.Context, h record.Hold) record.Result {
	t, ok := n.view.Load().targets[h.Target]
	if !ok || t.Kind != object.TargetEngine {
		return record.Unknown{}
	}
	client, err := n.pools.engine(t.URL)
	if err != nil {
		return record.Unknown{}
	}
	if h.IdempotencyKey == (record.Hash{}) {
		_, _ = client.Cancel(ctx, h.Request) // The status below tells whether it had an effect.
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

// close removes the router's rows from the shards.
func (rr *routerRecovery) closeShards(ctx context.Context, rows []shardRows) error {
	for _, row := range rows {
		r := rr.n.writers.update(ctx, row.key, func(s escrow.Shard) (escrow.Shard, bool) { return rr.closeInShard(s, row.holders) })
		if r.err != nil {
			return r.err
		}
	}
	return nil
}

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

// proofOf returns what is proved of one row.
func (rr *routerRecovery) proofFor(e *escrow.Entry, h escrow.Holder) escrow.Proof {
	state := rr.accountStates[rowID{e.ID, h.ID}]
	p := escrow.Proof{
		Holder: h.ID, RowNumber: h.RowNumber, Settled: state.Counters.Settled, Returned: state.Counters.Returned,
		In: totalTokens(state.Counters.In), Out: totalTokens(state.Counters.Out), Reason: rr.reason,
	}
	if isSlotEntry(e.ID) {
		p.Settled = 0
		// Its requests are no longer at the target, for which the recovery has waited. Without a proof the number of
		// slots that it has sent to others is known only when none of the entry's holders ever took part in a transfer.
		p.Complete = rr.proven || hasNoTransfers(e)
		return p
	}
	switch {
	case !rr.proven:
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

// forget removes the record of the dead router.
func (rr *routerRecovery) deleteRecord(ctx context.Context) error {
	_, err := rr.n.store.Delete(ctx, object.Key{Kind: object.KindRouter, Name: string(rr.id)}, store.Any())
	rr.n.platformCall("delete_routers", err)
	if errors.Is(err, store.ErrAbsent) {
		return nil
	}
	return err
}
