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
	foreignAfter = reapFor
	resolveEvery = 500 * time.Millisecond
	closeRetry   = 2 * time.Second
	// replicaKeep is the time for which a recovered journal still answers retries of callers.
	replicaKeep = 10 * time.Minute
	// reasonNoJournal marks a holder of whose journal there is no copy.
	reasonNoJournal = "no_journal"
	// reasonLimit marks the limit of a key or class, whose spending is not in the journal.
	reasonLimit = "limit_not_journaled"
	// reasonOpen marks requests whose end their targets cannot tell.
	reasonOpen = "request_outcome_unknown"
	// reasonUndeclared marks a row that names another journal peer.
	reasonUndeclared = "other_journal_peer"
)

// recovery closes the holders of dead routers. It belongs to the control goroutine.
type recovery struct {
	n    *Node
	seen map[ident.RouterID]time.Time
	busy map[ident.RouterID]bool
}

func newRecovery(n *Node) *recovery {
	return &recovery{n: n, seen: make(map[ident.RouterID]time.Time), busy: make(map[ident.RouterID]bool)}
}

// tick starts the recovery of routers that are dead for certain. Suspicion by probing never starts one.
func (r *recovery) tick(now time.Time) {
	v := r.n.view.Load()
	for _, id := range sortedRouterIDs(v) {
		if id == r.n.id || r.busy[id] || !r.dead(v, id) {
			continue
		}
		if _, ok := r.seen[id]; !ok {
			r.seen[id] = now
		}
		replica := r.n.replicas.take(id)
		if replica == nil && (now.Sub(r.seen[id]) < foreignAfter || !r.chosen(v.routers[id])) {
			continue
		}
		r.busy[id] = true
		r.n.log.Info("recovery of a dead router starts", "dead_router", id, "journal", replica != nil)
		r.n.spawn(func(ctx context.Context) { r.n.recoverRouter(ctx, id, replica) })
	}
}

// dead reports whether a router's VM is gone, or a later incarnation of the router has the same peer address. An address
// is bound by one process at a time, also while that process is paused, so the earlier process has ended then.
func (r *recovery) dead(v *view, id ident.RouterID) bool {
	rec := v.routers[id]
	if r.n.members.vms[rec.VM] == store.VMGone {
		return true
	}
	_, epoch, err := id.Split()
	if err != nil || rec.Peer == "" {
		return false
	}
	for other, next := range v.routers {
		_, later, err := other.Split()
		if err == nil && other.Name() == id.Name() && later > epoch && next.Peer == rec.Peer {
			return true
		}
	}
	return false
}

// chosen reports whether this router closes a dead one without a journal: the first of its failure domain, or of the
// fleet when none is left there.
func (r *recovery) chosen(dead object.Router) bool {
	ros := r.n.members.roster.Load()
	var near []ident.RouterID
	for _, row := range ros.members {
		if row.Usable() && row.Domain == dead.Domain {
			near = append(near, row.ID)
		}
	}
	if dead.Domain == r.n.domain {
		near = ros.local
	}
	if len(near) == 0 {
		near = ros.all
	}
	return member.Rank("recover/"+string(dead.ID), near)[0] == r.n.id
}

// recoverRouter settles the open requests of a dead router and closes its holders.
func (n *Node) recoverRouter(ctx context.Context, id ident.RouterID, replica *record.Replica) {
	c := &closing{n: n, id: id, known: make(map[rowID]record.AccountState), reason: reasonNoJournal}
	for {
		rows, err := c.rows(ctx)
		if err == nil {
			if replica != nil && !c.judged {
				c.judge(ctx, replica, rows)
			}
			err = c.close(ctx, rows)
		}
		if err == nil {
			err = c.forget(ctx)
		}
		if err == nil {
			break
		}
		n.log.Warn("recovery of a dead router waits for the platform", "dead_router", id, "error", err)
		select {
		case <-n.clock.After(closeRetry):
		case <-ctx.Done():
			return
		}
	}
	n.log.Info("dead router recovered", "dead_router", id, "proved", c.proof)
	select {
	case <-n.clock.After(replicaKeep):
		n.replicas.drop(id)
	case <-ctx.Done():
	}
}

// closing is the recovery of one router.
type closing struct {
	n        *Node
	id       ident.RouterID
	judged   bool
	proof    bool
	declared ident.RouterID
	reason   string
	// known is what the journal has of each row; it is complete when proof is set.
	known map[rowID]record.AccountState
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
func (c *closing) rows(ctx context.Context) ([]shardRows, error) {
	var out []shardRows
	for _, kind := range ledgerKinds {
		after := ""
		for {
			page, err := c.n.store.List(ctx, kind, after, listPageSize)
			c.n.recordPlatformCall("list", err)
			if err != nil {
				return nil, err
			}
			for _, o := range page.Objects {
				if row := c.rowsOf(o); len(row.holders) > 0 {
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

func (c *closing) rowsOf(o store.Object) shardRows {
	row := shardRows{key: o.Key}
	s, err := escrow.Decode(o.Value)
	if err != nil {
		c.n.log.Error("ledger shard cannot be used", "name", o.Key.Name, "error", err)
		return row
	}
	for i := range s.Entries {
		for _, h := range s.Entries[i].Holders {
			if h.ID.Router() == c.id {
				row.holders = append(row.holders, h.ID)
				row.peers = append(row.peers, h.JournalPeer)
			}
		}
	}
	return row
}

// judge takes the coverage verdict and settles the open requests by what their targets tell.
func (c *closing) judge(ctx context.Context, replica *record.Replica, rows []shardRows) {
	c.judged = true
	d := c.declaration(rows)
	c.declared = declarationID(d)
	c.n.replicas.mu.Lock()
	verdict := replica.Close(d, c.n.clock.Now())
	open := replica.OpenHolds()
	c.n.replicas.mu.Unlock()
	results := c.resolve(ctx, open)
	c.n.replicas.mu.Lock()
	rec := replica.Recover(verdict, results, c.n.clock.Now().UTC())
	c.n.replicas.mu.Unlock()
	for _, b := range rec.Bills {
		if b.Outcome != ident.OutcomeNotRun {
			c.n.bills.add(b)
		}
	}
	c.reason = string(rec.Reason)
	c.proof = rec.Proof != nil
	c.keep(rec.Accounts)
}

// keep takes over what the journal has of each row.
func (c *closing) keep(known []record.AccountState) {
	for _, b := range known {
		id := escrow.EntryID(b.Counters.Budget)
		// The slots of an unproved router are judged by the rows alone. The bills of the journal stand in any case, so
		// what they settle must not become unresolved and be released a second time.
		if c.proof || !isSlot(id) {
			c.known[rowID{id, escrow.NewHolderID(c.id, b.Counters.AccountNumber)}] = b
		}
	}
}

// declaration returns the newest declaration of this router as journal peer in the rows.
func (c *closing) declaration(rows []shardRows) record.Declaration {
	var d record.Declaration
	for _, row := range rows {
		for _, p := range row.peers {
			name, term, err := p.Split()
			if err == nil && name == string(c.n.id)+"#" && term > d.Term {
				d = record.Declaration{Peer: c.n.id, Term: term}
			}
		}
	}
	return d
}

// resolve asks the targets for the end of open requests. Requests that no caller can ask for again are cancelled;
// others may run on until their stream is dropped.
func (c *closing) resolve(ctx context.Context, open []record.Hold) map[ident.RequestID]record.Result {
	results := make(map[ident.RequestID]record.Result)
	end := c.n.clock.Now().Add(reapFor)
	for len(results) < len(open) && c.n.clock.Now().Before(end) {
		for _, h := range open {
			if _, ok := results[h.Request]; ok {
				continue
			}
			if r := c.n.resolveHold(ctx, h); r != nil {
				results[h.Request] = r
			}
		}
		if len(results) == len(open) {
			break
		}
		select {
		case <-c.n.clock.After(resolveEvery):
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
	st, err := client.Status(ctx, h.Request)
	switch {
	case err != nil:
		return nil
	case st.State == engine.RequestRunning:
		return nil
	case st.State == engine.RequestDone:
		return record.Ran{PromptTokens: st.PromptTokens, OutputTokens: st.OutputTokens}
	}
	return record.Absent{}
}

// close removes the router's rows from the shards.
func (c *closing) close(ctx context.Context, rows []shardRows) error {
	for _, row := range rows {
		r := c.n.writers.update(ctx, row.key, func(s escrow.Shard) (escrow.Shard, bool) { return c.closeIn(s, row.holders) })
		if r.err != nil {
			return r.err
		}
	}
	return nil
}

func (c *closing) closeIn(s escrow.Shard, holders []escrow.HolderID) (escrow.Shard, bool) {
	changed := false
	for i := range s.Entries {
		e := s.Entries[i].Clone()
		touched := false
		for _, id := range holders {
			h := e.Holder(id)
			if h == nil {
				continue
			}
			ok, err := e.Close(c.proofOf(&e, *h))
			if err != nil {
				c.n.log.Error("holder could not be closed", "entry", e.ID, "holder", id, "error", err)
			}
			touched = touched || ok
		}
		if touched {
			s, changed = s.With(e), true
		}
	}
	return s, changed
}

// proofOf returns what is proved of one row.
func (c *closing) proofOf(e *escrow.Entry, h escrow.Holder) escrow.Proof {
	b := c.known[rowID{e.ID, h.ID}]
	p := escrow.Proof{
		Holder: h.ID, RowNumber: h.RowNumber, Settled: b.Counters.Settled, Returned: b.Counters.Returned,
		In: sum(b.Counters.In), Out: sum(b.Counters.Out), Reason: c.reason,
	}
	if isSlot(e.ID) {
		p.Settled = 0
		// Its requests are no longer at the target, for which the recovery has waited. Without a proof the number of
		// slots that it has sent to others is known only when none of the entry's holders ever took part in a transfer.
		p.Complete = c.proof || neverMoved(e)
		return p
	}
	switch {
	case !c.proof:
	case strings.Contains(string(e.ID), "/"):
		p.Reason = reasonLimit
	case h.JournalPeer != c.declared:
		p.Reason = reasonUndeclared
	default:
		p.Complete, p.Held, p.Reason = true, b.Unresolved, reasonOpen
	}
	return p
}

func isSlot(id escrow.EntryID) bool { return strings.HasPrefix(string(id), slotPrefix) }

func neverMoved(e *escrow.Entry) bool {
	for _, h := range e.Holders {
		if h.In != 0 || h.Out != 0 {
			return false
		}
	}
	return e.ClosedNetOut == 0
}

func sum(ts []record.Transfer) ident.Tokens {
	var n ident.Tokens
	for _, t := range ts {
		n += t.Tokens
	}
	return n
}

// forget removes the record of the dead router.
func (c *closing) forget(ctx context.Context) error {
	_, err := c.n.store.Delete(ctx, object.Key{Kind: object.KindRouter, Name: string(c.id)}, store.Any())
	c.n.recordPlatformCall("delete_routers", err)
	if errors.Is(err, store.ErrAbsent) {
		return nil
	}
	return err
}
