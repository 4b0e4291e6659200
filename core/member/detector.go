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
	// Seeds are addresses of routers from the settings. They are asked for the member table while no
	// member is alive, and now and then, so that groups that do not know each other join.
	Seeds []string
	// ProbeInterval is the time between two probes in the own failure domain and between two remote ones.
	ProbeInterval time.Duration
	// ProbeTimeout is the wait for a direct answer and, again, for an indirect one.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the time to refute in a fleet of up to 10 members. It grows with the logarithm of
	// the number of members, as the spread of a refutation does.
	SuspicionTimeout time.Duration
	// IndirectProbers is the number of members asked for an indirect probe.
	IndirectProbers int
	// RemotePerDomain is the number of members probed in each other failure domain.
	RemotePerDomain int
	// MaxUpdates bounds the updates on a message.
	MaxUpdates int
	// SyncInterval is the time between two exchanges of the whole member table with one member.
	SyncInterval time.Duration
	// DeadProbeInterval is the time between two probes of members that are believed dead.
	DeadProbeInterval time.Duration
	// ForgetAfter is how long a dead member is kept that the VM list does not name.
	ForgetAfter time.Duration
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
		{&c.ForgetAfter, time.Minute},
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
	// maxMembers bounds the table against a faulty peer.
	maxMembers = 4096
	// maxRelays bounds the indirect probes that run for others at once.
	maxRelays = 64
	// spread is how often an update is sent, as a multiple of the logarithm of the number of members.
	spread = 3
	// fill is the number of unchanged members that ride on each message, so that a missed update is
	// made up for.
	fill = 2
)

// Detector is the failure detector of one router. It is not safe for concurrent use.
//
// The caller calls Tick when Wake is due, Receive for each message, and carries out the actions.
type Detector struct {
	cfg     Config
	self    Update
	name    string
	members map[string]*entry
	names   []string // sorted

	seq      uint64
	probes   []*probe
	relays   []*relay
	ring     []string
	remote   []string
	fillAt   int
	deadAt   int
	nextAt   time.Time
	nextSync time.Time
	nextDead time.Time
	nextSeed time.Time
	heard    time.Time // last message of any member
	wake     time.Time
	health   health
	vms      map[ident.VMID]VMState
	vmsKnown bool
}

// entry is what the detector knows of one member.
type entry struct {
	// u is shared with other members and only grows by epoch, incarnation and state.
	u Update
	// local is a suspicion or death that is not shared, because this router heard nobody at the time.
	local State
	// until is the end of a suspicion.
	until  time.Time
	since  time.Time
	barred bool
	listed bool
	// stale says that the VM list was barring the VM when this epoch of the member appeared. The entry
	// may then belong to an earlier VM of the same name, so the bar ends with the entry.
	stale bool
	// left is how often the update is still to be sent.
	left int
}

func (e *entry) state() State { return max(e.u.State, e.local) }

func (e *entry) member() Member {
	m := Member{Update: e.u, StateSince: e.since, Excluded: e.barred, Listed: e.listed}
	m.State = e.state()
	return m
}

// New returns a detector that knows only its own router.
func New(cfg Config, now time.Time) *Detector {
	cfg.setDefaults()
	cfg.Self.State = StateAlive
	d := &Detector{
		cfg: cfg, self: cfg.Self, name: cfg.Self.ID.Name(), members: make(map[string]*entry),
		nextAt: now, nextSync: now, nextSeed: now, nextDead: now.Add(cfg.DeadProbeInterval), heard: now, wake: now,
		vms: make(map[ident.VMID]VMState),
	}
	return d
}

// Self returns this router's own update with its current incarnation.
func (d *Detector) Self() Update { return d.self }

// NextTick returns when Tick should be called next. A later call counts as a slow local loop.
func (d *Detector) NextTick() time.Time { return d.wake }

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

// Leave marks this router as leaving. The update travels on later messages.
func (d *Detector) Leave() Update {
	d.self.Leaving = true
	return d.self
}

// Learn takes an update from settings, from a router record or from a leaving announcement. Such a
// source cannot declare a member suspect or dead.
func (d *Detector) Learn(u Update, now time.Time) []Action {
	u.State = StateAlive
	return d.merge(u, now, nil)
}

// Tick sends probes and ends timeouts that are due.
func (d *Detector) Tick(now time.Time) []Action {
	resumed := d.late(now)
	var acts []Action
	acts = d.expireProbes(now, acts)
	acts = d.expireSuspicions(now, acts)
	if resumed {
		d.nextSync = now
	}
	if !now.Before(d.nextAt) {
		d.nextAt = d.nextAt.Add(d.cfg.ProbeInterval)
		if d.nextAt.Before(now) {
			d.nextAt = now.Add(d.cfg.ProbeInterval)
		}
		acts = d.period(now, acts)
	}
	acts = d.forget(now, acts)
	d.setWake()
	return acts
}

// late makes up for time in which this process did not run: an answer may wait unread in the socket,
// so every deadline moves by the same time. It reports whether the process was paused for long.
func (d *Detector) late(now time.Time) bool {
	by := now.Sub(d.wake)
	if !d.health.observe(by, now) {
		return false
	}
	for _, p := range d.probes {
		p.at = p.at.Add(by)
	}
	for _, r := range d.relays {
		r.until = r.until.Add(by)
	}
	for _, e := range d.members {
		e.until = e.until.Add(by)
	}
	d.heard = d.heard.Add(by)
	// Messages that waited arrive before the next Tick and must not count the same delay again.
	d.wake, d.nextAt = now, now
	return by >= pauseAfter
}

func (d *Detector) setWake() {
	w := d.nextAt
	for _, p := range d.probes {
		if at := p.at.Add(d.timeout()); at.Before(w) {
			w = at
		}
	}
	d.wake = w
}

func (d *Detector) timeout() time.Duration { return d.health.scale(d.cfg.ProbeTimeout) }

func (d *Detector) suspicion() time.Duration {
	n := math.Log10(float64(len(d.members) + 1))
	return d.health.scale(time.Duration(float64(d.cfg.SuspicionTimeout) * max(1, n)))
}

func (d *Detector) spreads() int {
	return spread * int(math.Ceil(math.Log2(float64(len(d.members)+2))))
}

func (d *Detector) add(name string, e *entry) {
	d.members[name] = e
	i, _ := slices.BinarySearch(d.names, name)
	d.names = slices.Insert(d.names, i, name)
}

func (d *Detector) drop(name string) {
	delete(d.members, name)
	if i, ok := slices.BinarySearch(d.names, name); ok {
		d.names = slices.Delete(d.names, i, i+1)
	}
}
