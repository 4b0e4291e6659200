package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/quota"
	"geraniumsaddle/io/store"
	"geraniumsaddle/platform"
)

const (
	// armsInterval is the time between two writes of this router's arms, which bounds what its crash strands.
	armsInterval = 500 * time.Millisecond
	// maxCrowd bounds how much a large fleet stretches the times for which requests wait.
	maxCrowd = 2
	// grantsCheck is the time between two looks at whether a ledger has to be written.
	grantsCheck = 300 * time.Millisecond
	// syncPause is the least time between two writes.
	syncPause = 50 * time.Millisecond
	// fleetStart is the time in which the routers of a fleet that starts write their arms.
	fleetStart = time.Second
	// clockWait is the time that other routers have to show their clocks after a start.
	clockWait = 8 * time.Second
	// slowPart is the part of the time that writes of the ledger may take. A slow store gets fewer of them, because they
	// conflict with those of the other routers.
	slowPart = 0.1
	// maxConflicts bounds the attempts of one write. Each conflict means that another router's write succeeded.
	maxConflicts = 5
	// conflictPause is the longest pause after the first conflict. It grows with each further one, so that the writes of
	// a large fleet come apart.
	conflictPause = 30 * time.Millisecond
)

// grantIntervals are the times between two writes of a ledger, by how much they matter. The longest bounds how old the
// others' knowledge of this router is.
var grantIntervals = map[quota.Due]time.Duration{
	quota.Settled: 5 * time.Second,
	quota.Changed: 3 * time.Second,
	quota.Low:     time.Second,
	quota.Lacking: 300 * time.Millisecond,
}

// armsName names the writes of arms. They begin before a configuration is known.
const armsName = "arms"

// layoutKey is the object that says how the organisations are spread over the ledgers.
var layoutKey = object.Key{Kind: platform.KindLayout, Name: "main"}

// ledgerKey is the object that divides the prepaid tokens of a shard.
func ledgerKey(n quota.Shard) object.Key {
	return object.Key{Kind: platform.KindLedger, Name: strconv.Itoa(int(n))}
}

// armsKey is the object with the arms of a router.
func armsKey(id ident.RouterID) object.Key {
	return object.Key{Kind: platform.KindArms, Name: string(id)}
}

// stored is an object as this router has last seen it.
type stored struct {
	object store.Object
	known  bool
}

// ledgerTask writes this router's part of the ledgers.
type ledgerTask struct {
	s       *Server
	started quota.Moment
	shards  map[quota.Shard]*shardState
	arms    stored
}

// shardState is one ledger as this router knows it.
type shardState struct {
	stored
	// earlierEnded says that the ledger as last read has no holder of an earlier process of this VM.
	earlierEnded bool
	// writtenAt is when the ledger was last written, and slow how long that took.
	writtenAt time.Time
	slow      time.Duration
}

func newLedgerTask(s *Server) *ledgerTask {
	return &ledgerTask{s: s, shards: make(map[quota.Shard]*shardState)}
}

// shard returns the state of a ledger.
func (t *ledgerTask) shard(n quota.Shard) *shardState {
	st := t.shards[n]
	if st == nil {
		st = &shardState{}
		t.shards[n] = st
	}
	return st
}

// keepLedger writes this router's rows of the ledgers until the context ends.
func (s *Server) keepLedger(ctx context.Context) {
	t := newLedgerTask(s)
	t.started = s.deps.VM.Now()
	if !t.lay(ctx) {
		return
	}
	s.keep(ctx, "ledger", s.grantsNow, func() time.Duration { return grantsCheck }, t.syncGrants)
}

// keepArms writes this router's arms until the context ends.
func (s *Server) keepArms(ctx context.Context) {
	t := newLedgerTask(s)
	s.keep(ctx, armsName, s.armsNow, s.armsInterval, t.writeArms)
}

// keep runs a write at an interval and when it is triggered, and wakes the requests that wait for tokens. The write
// reports whether it called the store.
func (s *Server) keep(ctx context.Context, name string, now <-chan struct{}, interval func() time.Duration,
	write func(context.Context) (bool, error)) {
	failures := 0
	for ctx.Err() == nil {
		if name == armsName || s.table.Load() != nil {
			called, err := write(ctx)
			if ctx.Err() != nil {
				return
			}
			if err != nil {
				s.wrote(name, err)
				s.link.pause(ctx, failures)
				failures++
				continue
			}
			failures = 0
			if called {
				s.wrote(name, nil)
				s.freed.send()
			}
		}
		if !s.sleep(ctx, time.Duration(float64(syncPause)*min(s.crowd(), maxCrowd))) {
			return
		}
		wait := interval()
		select {
		case <-ctx.Done():
		case <-now:
		case <-s.deps.Clock.After(wait - time.Duration(rand.Int64N(int64(wait/4)))):
		}
	}
}

// wrote notes the result of a write.
func (s *Server) wrote(name string, err error) {
	s.link.result(err)
	s.deps.Metrics.storeCall(name, err)
	if err != nil {
		s.deps.Log.Warn("tokens not written", "object", name, "error", err)
	}
}

func (s *Server) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.deps.Clock.After(d):
		return true
	}
}

// trigger makes a write come at once.
func trigger(now chan<- struct{}) {
	select {
	case now <- struct{}{}:
	default:
	}
}

// crowd is the number of times that the fleet is larger than the one that the intervals are made for, at least 1. A
// larger fleet writes less often, because its writes conflict and each of them is paid for.
func (s *Server) crowd() float64 {
	const usual = 16 // routers
	return max(float64(s.accounts.Fleet())/usual, 1)
}

func (s *Server) armsInterval() time.Duration {
	return time.Duration(float64(armsInterval) * min(s.crowd(), maxCrowd))
}

// lay learns the number of routers and the layout of the ledgers, which the first router stores. It returns false at
// the end of the context.
func (t *ledgerTask) lay(ctx context.Context) bool {
	if !t.s.sleep(ctx, fleetStart) {
		return false
	}
	for failures := 0; ; failures++ {
		err := t.learnLayout(ctx)
		if err == nil {
			return true
		}
		t.s.wrote("layout", err)
		if !t.s.link.pause(ctx, failures) {
			return false
		}
	}
}

func (t *ledgerTask) learnLayout(ctx context.Context) error {
	routers, err := t.countRouters(ctx)
	if err != nil {
		return err
	}
	t.s.accounts.SetFleet(routers)
	var o store.Object
	if t.s.cfg.FirstStart {
		o, err = t.s.deps.Store.Create(ctx, layoutKey, quota.LayoutFor(routers).Encode())
	} else {
		o, err = t.s.deps.Store.Get(ctx, layoutKey)
	}
	if errors.Is(err, store.ErrAbsent) {
		o, err = t.s.deps.Store.Create(ctx, layoutKey, quota.LayoutFor(routers).Encode())
	}
	if exists := errors.Is(err, store.ErrConflict) && o.Version != 0; err != nil && !exists {
		return err
	}
	layout, err := quota.DecodeLayout(o.Value)
	if err != nil {
		return err
	}
	t.s.accounts.SetLayout(layout)
	t.s.deps.Log.Info("layout of the ledgers known", "routers", routers, "shards", layout.Shards)
	return nil
}

// countRouters counts the VMs by the arms that each router writes when it starts.
func (t *ledgerTask) countRouters(ctx context.Context) (int, error) {
	vms := make(map[string]bool)
	after := ""
	for {
		p, err := t.s.deps.Store.List(ctx, platform.KindArms, after)
		if err != nil {
			return 0, err
		}
		for _, o := range p.Objects {
			vms[ident.RouterID(o.Key.Name).Name()] = true
		}
		if after = p.Next; after == "" {
			return len(vms), nil
		}
	}
}

// syncGrants writes the ledgers that are due.
func (t *ledgerTask) syncGrants(ctx context.Context) (called bool, err error) {
	for _, n := range t.s.accounts.Shards() {
		if !t.grantsDue(n) {
			continue
		}
		lacking := t.s.accounts.GrantsDue(n) == quota.Lacking
		if err := t.writeGrants(ctx, n); err != nil {
			return true, err
		}
		called = true
		if lacking {
			trigger(t.s.armsNow)
		}
	}
	return called, nil
}

func (t *ledgerTask) grantsDue(n quota.Shard) bool {
	st := t.shard(n)
	due := t.s.accounts.GrantsDue(n)
	if !st.known && t.s.cfg.FirstStart && due == quota.Settled && t.s.crowd() > 1 {
		// No earlier process has a row, and a large fleet keeps no tokens without demand.
		return false
	}
	if !st.known || !st.earlierEnded {
		return true
	}
	least := time.Duration(float64(st.slow) / slowPart)
	interval := grantIntervals[due]
	interval = time.Duration(float64(interval) * t.stretch(due))
	return t.s.deps.Clock.Since(st.writtenAt) >= max(interval, least)
}

// stretch returns by how much a large fleet, and for what is not urgent also a large number of ledgers, stretches the
// time between two writes.
func (t *ledgerTask) stretch(due quota.Due) float64 {
	const usualLedgers = 8
	switch due {
	case quota.Lacking:
		return min(t.s.crowd(), maxCrowd)
	case quota.Low:
		return t.s.crowd()
	default:
		return t.s.crowd() * max(float64(len(t.shards))/usualLedgers, 1)
	}
}

// writeGrants writes this router's rows of a ledger under the condition that nobody else wrote meanwhile.
func (t *ledgerTask) writeGrants(ctx context.Context, shard quota.Shard) error {
	st := t.shard(shard)
	if !st.known {
		if err := t.read(ctx, ledgerKey(shard), &st.stored); err != nil {
			return err
		}
	}
	for n := range maxConflicts {
		if n > 0 && !t.s.sleep(ctx, rand.N(time.Duration(n)*conflictPause)) {
			return ctx.Err()
		}
		l, err := st.decode()
		if err != nil {
			return err
		}
		if err := t.endEarlier(ctx, st, l); err != nil {
			return err
		}
		t.s.accounts.PlanGrants(shard, l, t.s.deps.VM.Now())
		from := t.s.deps.Clock.Now()
		err = t.write(ctx, ledgerKey(shard), &st.stored, l.Encode())
		st.writtenAt = t.s.deps.Clock.Now()
		st.slow = st.writtenAt.Sub(from)
		if err == nil {
			t.s.accounts.CommitGrants(shard)
			return nil
		}
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	// The others' writes succeed; this router's turn comes with the next one.
	return nil
}

// writeArms writes this router's arms, which nobody else writes.
func (t *ledgerTask) writeArms(ctx context.Context) (bool, error) {
	key := armsKey(t.s.self)
	if !t.arms.known {
		if err := t.read(ctx, key, &t.arms); err != nil {
			return true, err
		}
	}
	arms := t.s.accounts.PlanArms(t.s.deps.VM.Now())
	err := t.write(ctx, key, &t.arms, arms.Encode())
	if err == nil {
		t.s.accounts.CommitArms()
		return true, nil
	}
	if !errors.Is(err, store.ErrUnknown) {
		t.s.accounts.RefusedArms()
	}
	return true, err
}

// endEarlier closes the rows of earlier processes of this VM. When only clocks can tell how long such a process has
// lived, its rows stay until enough other routers have written to the ledger.
func (t *ledgerTask) endEarlier(ctx context.Context, st *shardState, l *quota.Ledger) error {
	earlier := l.Earlier(ident.VMID(t.s.cfg.VM), t.s.self)
	st.earlierEnded = len(earlier) == 0
	clocks := t.s.accounts.Clocks(t.started.Uptime)
	last := t.s.deps.VM.Now().Uptime-t.started.Uptime >= clockWait
	for _, id := range earlier {
		arms, err := t.readArms(ctx, id)
		if err != nil {
			return err
		}
		if !last && arms != nil && !arms.Dated(ident.VMID(t.s.cfg.VM), t.started, clocks) {
			continue
		}
		e := l.End(id, arms, t.started, clocks)
		t.s.deps.Log.Info("ledger rows of an earlier process close", "router", id, "age_ms", e.Age.Milliseconds(),
			"age_known", e.Known, "clocks", len(clocks), "tokens_spent", e.Spent, "tokens_used", e.Used,
			"tokens_returned", e.Returned)
	}
	return nil
}

// readArms returns the arms of a router, or nil if they are absent or cannot be read.
func (t *ledgerTask) readArms(ctx context.Context, id ident.RouterID) (*quota.Arms, error) {
	o, err := t.s.deps.Store.Get(ctx, armsKey(id))
	if errors.Is(err, store.ErrAbsent) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	arms, err := quota.DecodeArms(o.Value)
	if err != nil {
		t.s.deps.Log.Warn("arms of an earlier process cannot be read; its whole grant counts as spent", "router", id,
			"error", err)
		return nil, nil
	}
	return arms, nil
}

func (t *ledgerTask) read(ctx context.Context, key object.Key, o *stored) error {
	got, err := t.s.deps.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		return err
	}
	o.object, o.known = got, true
	return nil
}

// write writes an object under the condition that it is as last seen. After an unknown result it is read again before
// the next write.
func (t *ledgerTask) write(ctx context.Context, key object.Key, o *stored, value []byte) error {
	var got store.Object
	var err error
	if o.object.Version == 0 {
		got, err = t.s.deps.Store.Create(ctx, key, value)
	} else {
		got, err = t.s.deps.Store.Replace(ctx, key, o.object.Version, value)
	}
	switch {
	case err == nil:
		o.object = got
	case errors.Is(err, store.ErrConflict) && got.Version != 0:
		o.object = got
	case !errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrLimited):
		o.known = false
	}
	return err
}

func (st *stored) decode() (*quota.Ledger, error) {
	if st.object.Version == 0 {
		return quota.NewLedger(), nil
	}
	return quota.Decode(st.object.Value)
}

// leaveLedger hands back what is unspent when the process stops.
func (s *Server) leaveLedger() {
	spent, ok := s.accounts.Leave()
	if !ok {
		s.deps.Log.Warn("tokens stay taken: requests were cut")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopMargin/2)
	defer cancel()
	if err := s.handBack(ctx, spent); err != nil {
		s.deps.Log.Warn("tokens may stay taken: the ledger was not written", "error", err)
	}
}

func (s *Server) handBack(ctx context.Context, spent map[ident.OrgID]ident.Tokens) error {
	t := newLedgerTask(s)
	for _, n := range s.accounts.Shards() {
		if err := t.leaveShard(ctx, n, spent); err != nil {
			return err
		}
	}
	return nil
}

func (t *ledgerTask) leaveShard(ctx context.Context, n quota.Shard, spent map[ident.OrgID]ident.Tokens) error {
	st := t.shard(n)
	for range maxConflicts {
		if !st.known {
			if err := t.read(ctx, ledgerKey(n), &st.stored); err != nil {
				return err
			}
		}
		l, err := st.decode()
		if err != nil || l.Holders[t.s.self] == nil {
			return err
		}
		l.Leave(t.s.self, spent)
		err = t.write(ctx, ledgerKey(n), &st.stored, l.Encode())
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return store.ErrConflict
}
