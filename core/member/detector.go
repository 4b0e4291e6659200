package member

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"geraniumsaddle/core/ident"
)

// Config holds the settings of a detector. Zero durations and counts take the defaults.
type Config struct {
	// Self describes this router. Its incarnation starts at the given value.
	Self Update
	Rand *rand.Rand
	// Seeds are addresses of routers from the settings. One of them is asked for the member table while
	// all known members are dead, and once in each SyncInterval, so that groups that do not know each other merge.
	Seeds []string
	// ProbeInterval is the time between two probes in the own failure domain and between two in other domains.
	ProbeInterval time.Duration
	// ProbeTimeout is the wait for a direct answer and, again, for an indirect one.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a suspect has to refute in a fleet of up to 10 members. It grows with the
	// logarithm of the number of members, as does the time in which a refutation spreads.
	SuspicionTimeout time.Duration
	// IndirectProbers is the number of members asked to probe a member that did not answer.
	IndirectProbers int
	// RemotePerDomain is the number of members probed in each other failure domain.
	RemotePerDomain int
	// MaxUpdates bounds the updates on a message.
	MaxUpdates int
	// SyncInterval is the time between two exchanges of the whole member table with one member.
	SyncInterval time.Duration
	// DeadProbeInterval is the time between two probes of members that are believed dead.
	DeadProbeInterval time.Duration
	// DropAfter is how long a dead member that the VM list does not name is kept.
	DropAfter time.Duration
}

func (c *Config) setDefaults() {
	for _, d := range []struct {
		p   *time.Duration
		def time.Duration
	}{
		{&c.ProbeInterval, time.Second},
		{&c.ProbeTimeout, 500 * time.Millisecond},
		{&c.SuspicionTimeout, 3 * time.Second},
		{&c.SyncInterval, 2 * time.Minute},
		{&c.DeadProbeInterval, 5 * time.Second},
		{&c.DropAfter, time.Minute},
	} {
		if *d.p == 0 {
			*d.p = d.def
		}
	}
	for _, n := range []struct {
		p   *int
		def int
	}{{&c.IndirectProbers, 3}, {&c.RemotePerDomain, 2}, {&c.MaxUpdates, 8}} {
		if *n.p == 0 {
			*n.p = n.def
		}
	}
}

const (
	// maxMembers bounds the member table in case a faulty peer sends too many members.
	maxMembers = 4096
	// maxRelays bounds the concurrent indirect probes for other members.
	maxRelays = 64
	// retransmitFactor is how often an update is sent, as a multiple of the binary logarithm of the number of members.
	retransmitFactor = 3
	// fillerUpdates is the number of unchanged members that are added to each message, so that a lost update is
	// repeated eventually.
	fillerUpdates = 2
)

// Detector is the failure detector of one router. It is not safe for concurrent use.
//
// The caller calls Tick at NextTick and Receive for each message, and carries out the returned actions.
type Detector struct {
	cfg      Config
	self     Update
	selfName string
	members  map[string]*entry
	names    []string // sorted

	seq            uint64
	probes         []*probe
	relays         []*relay
	localQueue     []string
	remoteQueue    []string
	fillerIndex    int
	deadIndex      int
	nextProbeRound time.Time
	nextSync       time.Time
	nextDeadProbe  time.Time
	nextSeedSync   time.Time
	lastReceived   time.Time // last message of any member
	nextTick       time.Time
	health         health
	vms            map[ident.VMID]VMState
	hasVMList      bool
}

// entry is the detector's row for one member.
type entry struct {
	// update is sent to other members. It only increases, ordered by epoch, incarnation and state.
	update Update
	// localState is a suspicion or death that is not sent to others, because this router received no message while
	// the probe was unanswered.
	localState State
	// suspectUntil is the time at which a suspect is declared dead.
	suspectUntil time.Time
	stateSince   time.Time
	excluded     bool
	listed       bool
	// staleExclusion is set if the VM list already excluded the VM when this epoch of the member appeared. The row
	// of the list may then belong to an earlier VM of the same name, so the exclusion ends with that row.
	staleExclusion bool
	// sendsLeft is how many more times the update is to be sent.
	sendsLeft int
}

func (e *entry) state() State { return max(e.update.State, e.localState) }

func (e *entry) member() Member {
	m := Member{Update: e.update, StateSince: e.stateSince, Excluded: e.excluded, Listed: e.listed}
	m.State = e.state()
	return m
}

// New returns a detector that knows only its own router.
func New(cfg Config, now time.Time) *Detector {
	cfg.setDefaults()
	cfg.Self.State = StateAlive
	d := &Detector{
		cfg: cfg, self: cfg.Self, selfName: cfg.Self.ID.Name(), members: make(map[string]*entry),
		nextProbeRound: now, nextSync: now, nextSeedSync: now, nextDeadProbe: now.Add(cfg.DeadProbeInterval),
		lastReceived: now, nextTick: now,
		vms: make(map[ident.VMID]VMState),
	}
	return d
}

// Self returns this router's own update with its current incarnation.
func (d *Detector) Self() Update { return d.self }

// NextTick returns when Tick should be called next. A later call counts as a delay of the local loop.
func (d *Detector) NextTick() time.Time { return d.nextTick }

// Members returns all known members except this router, sorted by name.
func (d *Detector) Members() []Member {
	ms := make([]Member, 0, len(d.names))
	for _, name := range d.names {
		ms = append(ms, d.members[name].member())
	}
	return ms
}

// Member returns the member with the given router name.
func (d *Detector) Member(name string) (Member, bool) {
	e, ok := d.members[name]
	if !ok {
		return Member{}, false
	}
	return e.member(), true
}

// Health returns the local health score. Zero is healthy; timeouts are multiplied by 1 + score.
func (d *Detector) Health() int { return d.health.score }

// Leave marks this router as leaving. Later messages carry the update.
func (d *Detector) Leave() Update {
	d.self.Leaving = true
	return d.self
}

// Learn applies an update from the settings, a router record or a leaving announcement. Its state is
// ignored, so that such a source cannot declare a member suspect or dead.
func (d *Detector) Learn(u Update, now time.Time) []Action {
	u.State = StateAlive
	return d.merge(u, now, nil)
}

// Tick sends the probes that are due and handles expired timeouts.
func (d *Detector) Tick(now time.Time) []Action {
	resumed := d.compensateDelay(now)
	var acts []Action
	acts = d.expireProbes(now, acts)
	acts = d.expireSuspicions(now, acts)
	if resumed {
		d.nextSync = now
	}
	if !now.Before(d.nextProbeRound) {
		d.nextProbeRound = d.nextProbeRound.Add(d.cfg.ProbeInterval)
		if d.nextProbeRound.Before(now) {
			d.nextProbeRound = now.Add(d.cfg.ProbeInterval)
		}
		acts = d.probeRound(now, acts)
	}
	acts = d.dropExpired(now, acts)
	d.setNextTick()
	return acts
}

// compensateDelay handles a delay of the local loop of at least minLoopDelay, such as a pause of the process: it
// moves every deadline by the delay, because answers may wait unread in the socket. It reports whether the delay is at
// least minPause.
func (d *Detector) compensateDelay(now time.Time) bool {
	delay := now.Sub(d.nextTick)
	if !d.health.observeDelay(delay, now) {
		return false
	}
	for _, p := range d.probes {
		p.waitStart = p.waitStart.Add(delay)
	}
	for _, r := range d.relays {
		r.until = r.until.Add(delay)
	}
	for _, e := range d.members {
		e.suspectUntil = e.suspectUntil.Add(delay)
	}
	d.lastReceived = d.lastReceived.Add(delay)
	// Messages that waited in the socket may be received before the next Tick. They must not count the delay again.
	d.nextTick, d.nextProbeRound = now, now
	return delay >= minPause
}

func (d *Detector) setNextTick() {
	w := d.nextProbeRound
	for _, p := range d.probes {
		if at := p.waitStart.Add(d.probeTimeout()); at.Before(w) {
			w = at
		}
	}
	d.nextTick = w
}

func (d *Detector) probeTimeout() time.Duration { return d.health.scale(d.cfg.ProbeTimeout) }

func (d *Detector) suspicionTimeout() time.Duration {
	n := math.Log10(float64(len(d.members) + 1))
	return d.health.scale(time.Duration(float64(d.cfg.SuspicionTimeout) * max(1, n)))
}

func (d *Detector) retransmits() int {
	return retransmitFactor * int(math.Ceil(math.Log2(float64(len(d.members)+2))))
}

func (d *Detector) insert(name string, e *entry) {
	d.members[name] = e
	i, _ := slices.BinarySearch(d.names, name)
	d.names = slices.Insert(d.names, i, name)
}

func (d *Detector) remove(name string) {
	delete(d.members, name)
	if i, ok := slices.BinarySearch(d.names, name); ok {
		d.names = slices.Delete(d.names, i, i+1)
	}
}
