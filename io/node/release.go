package node

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"geraniumsaddle/core/canary"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/member"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/target"
	"geraniumsaddle/io/peer"
	"geraniumsaddle/io/store"
)

const (
	// judgeEvery is the interval at which evidence is judged. It bounds the time from a fault to the local stop.
	judgeEvery  = 250 * time.Millisecond
	spreadEvery = time.Second
	recordEvery = 2 * time.Second
	// evidenceCells bounds the cells of one message.
	evidenceCells = 512
	// resendRounds is the number of rounds after which unchanged evidence is sent again.
	resendRounds = 10
)

// cellKey names an own cell of evidence.
type cellKey struct {
	version ident.VersionID
	route   string
	band    uint8
}

// releases runs the canary releases of the failure domain. It belongs to the control goroutine, apart from the
// recorder.
type releases struct {
	n        *Node
	ctl      *canary.Controller
	rec      *canary.Recorder
	known    map[ident.ReleaseID]bool
	versions map[ident.VersionID]bool
	bad      map[ident.VersionID]bool
	judgedAt time.Time
	spreadAt time.Time
	wroteAt  time.Time
	writing  bool
	// sent holds the requests of each own cell when it was last sent.
	sent   map[cellKey]uint64
	rounds int
}

func newReleases(n *Node) *releases {
	policy := canary.DefaultPolicy()
	if n.cfg.ReleasePolicy == "small" {
		policy = canary.SmallPolicy()
	}
	return &releases{
		n: n, ctl: canary.New(canary.Config{Domain: n.domain, Policy: policy}), rec: canary.NewRecorder(n.id, 0),
		known: make(map[ident.ReleaseID]bool), versions: make(map[ident.VersionID]bool), bad: make(map[ident.VersionID]bool),
		sent: make(map[cellKey]uint64),
	}
}

// configure takes over the releases, versions and outcomes of a view.
func (r *releases) configure(v *view, now time.Time) {
	for id := range r.versions {
		if _, ok := v.versions[id]; !ok {
			r.ctl.DropVersion(id)
			r.rec.Drop(id)
			delete(r.versions, id)
		}
	}
	for _, id := range sortedKeys(v.versions) {
		r.ctl.PutVersion(v.versions[id])
		r.versions[id] = true
	}
	for id := range r.known {
		if _, ok := v.releases[id]; !ok {
			r.ctl.DropRelease(id)
			delete(r.known, id)
		}
	}
	for id, rel := range v.releases {
		r.ctl.PutRelease(r.n.feeds.store.Version(rel.Key()), rel)
		r.known[id] = true
	}
	for _, o := range v.outcomes {
		r.ctl.PutOutcome(o)
	}
	r.judge(now)
}

func sortedKeys(m map[ident.VersionID]object.Version) []ident.VersionID {
	out := make([]ident.VersionID, 0, len(m))
	for id := range m {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// tick judges the evidence, exchanges it with other routers and records outcomes.
func (r *releases) tick(now time.Time) {
	if len(r.known) == 0 {
		return
	}
	if now.Sub(r.judgedAt) >= judgeEvery {
		r.judge(now)
	}
	if now.Sub(r.spreadAt) >= spreadEvery {
		r.spread(now)
	}
	if !r.writing && now.Sub(r.wroteAt) >= recordEvery {
		r.record(now)
	}
}

// judge advances the releases and applies the shares. A new verdict "bad" is sent to all routers at once.
func (r *releases) judge(now time.Time) {
	r.judgedAt = now
	r.ctl.MergeEvidence(r.rec.Export())
	r.ctl.Tick(now)
	news := false
	for id := range r.versions {
		if !r.bad[id] && r.ctl.Bad(id) {
			r.bad[id] = true
			news = true
			r.n.log.Warn("version is bad and gets no more traffic", "version", id)
		}
	}
	for _, k := range poolKeys(r.n.view.Load()) {
		r.n.pools.registry.SetShares(k, r.ctl.Shares(k))
	}
	if news {
		r.n.pools.publishTable(now)
		r.spread(now)
	}
}

// poolKeys returns the models and services of a view.
func poolKeys(v *view) []target.Key {
	var out []target.Key
	for _, id := range sortedKeys(v.versions) {
		k := target.Key{Model: v.versions[id].Model, Service: v.versions[id].Service}
		if !slices.Contains(out, k) {
			out = append(out, k)
		}
	}
	return out
}

// spread sends the own evidence to the failure domain and the verdicts to all routers.
func (r *releases) spread(now time.Time) {
	r.spreadAt = now
	ros := r.n.members.roster.Load()
	batches := r.changedEvidence()
	var rows []peer.VerdictRow
	for _, v := range r.ctl.LocalVerdicts() {
		rows = append(rows, peer.VerdictRow(v))
	}
	for _, id := range ros.all {
		if id == r.n.id {
			continue
		}
		if slices.Contains(ros.domain, id) {
			for _, ev := range batches {
				r.n.sendTo(id, ev)
			}
		}
		if len(rows) > 0 {
			r.n.sendTo(id, peer.Verdict{Rows: rows})
		}
	}
}

// changedEvidence returns the own cells of versions in running releases that have changed since they were last sent, in
// batches of bounded size. Every few rounds all of them are sent, for routers that missed a message or started late.
func (r *releases) changedEvidence() []peer.Evidence {
	r.rounds++
	running := r.runningVersions()
	var out []peer.Evidence
	for _, c := range r.rec.Export() {
		key := cellKey{c.Version, c.Route, c.Band}
		if !running[c.Version] || r.sent[key] == c.Requests && r.rounds%resendRounds != 0 {
			continue
		}
		r.sent[key] = c.Requests
		if len(out) == 0 || len(out[len(out)-1].Cells) == evidenceCells {
			out = append(out, peer.Evidence{Domain: r.n.domain})
		}
		last := &out[len(out)-1]
		last.Cells = append(last.Cells, peer.EvidenceCell(c))
	}
	return out
}

// runningVersions returns the versions whose evidence a release still needs, with those that they replace.
func (r *releases) runningVersions() map[ident.VersionID]bool {
	ended := make(map[ident.ReleaseID]bool)
	for _, v := range r.ctl.LocalVerdicts() {
		if v.Domain == r.n.domain && v.Verdict != object.VerdictRunning && v.Verdict != "" {
			ended[v.Release] = true
		}
	}
	out := make(map[ident.VersionID]bool)
	for id, rel := range r.n.view.Load().releases {
		if ended[id] {
			continue
		}
		for _, c := range rel.Changed {
			out[c.Version], out[c.Replaces] = true, true
		}
		for _, c := range rel.Added {
			r.addSiblings(out, c.Version)
		}
	}
	return out
}

// addSiblings adds the versions of the same model or service, with which an added version is compared.
func (r *releases) addSiblings(out map[ident.VersionID]bool, id ident.VersionID) {
	vs := r.n.view.Load().versions
	for other, v := range vs {
		if v.Model == vs[id].Model && v.Service == vs[id].Service {
			out[other] = true
		}
	}
}

// evidence takes the counters of another router of the failure domain.
func (r *releases) evidence(m peer.Evidence) {
	if m.Domain != r.n.domain {
		return
	}
	cells := make([]canary.Cell, 0, len(m.Cells))
	for _, c := range m.Cells {
		cells = append(cells, canary.Cell(c))
	}
	r.ctl.MergeEvidence(cells)
}

// verdicts takes the judgements of another router and applies them at once.
func (r *releases) verdicts(m peer.Verdict, now time.Time) {
	rows := make([]canary.Verdict, 0, len(m.Rows))
	for _, v := range m.Rows {
		rows = append(rows, canary.Verdict(v))
	}
	r.ctl.MergeVerdicts(rows)
	r.judge(now)
}

// record writes outcomes that the platform does not hold yet. One router of the failure domain does.
func (r *releases) record(now time.Time) {
	r.wroteAt = now
	if member.Rank("outcomes", r.n.members.roster.Load().domain)[0] != r.n.id {
		return
	}
	updates := r.ctl.OutcomeUpdates()
	if len(updates) == 0 {
		return
	}
	r.writing = true
	r.n.spawn(func(ctx context.Context) {
		for _, u := range updates {
			if err := r.n.recordOutcome(ctx, u); err != nil {
				r.n.log.Warn("outcome could not be recorded", "release", u.Release, "error", err)
			}
		}
		r.n.post(callEvent{func() { r.writing = false }})
	})
}

// recordOutcome merges an outcome into the stored object by a conditional update.
func (n *Node) recordOutcome(ctx context.Context, u canary.OutcomeUpdate) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	key := object.Key{Kind: object.KindOutcome, Name: string(u.Release)}
	var last error
	for range maxWriteAttempts {
		o, err := n.store.Get(ctx, key)
		n.platformCall("get_outcomes", err)
		if err != nil && !errors.Is(err, store.ErrAbsent) {
			return err
		}
		cur := object.Outcome{Format: object.Format, Release: u.Release}
		if err == nil {
			if err := json.Unmarshal(o.Value, &cur); err != nil {
				return err
			}
		}
		raw, err := json.Marshal(mergeOutcome(cur, u))
		if err != nil {
			return err
		}
		_, err = n.store.Put(ctx, key, raw, store.Match(o.Version))
		n.platformCall("put_outcomes", err)
		if err == nil {
			return nil
		}
		last = err
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
			return err
		}
	}
	return last
}

// mergeOutcome sets the verdict of one failure domain. Taken back is not replaced, and bad versions only grow.
func mergeOutcome(cur object.Outcome, u canary.OutcomeUpdate) object.Outcome {
	i := slices.IndexFunc(cur.Domains, func(d object.DomainOutcome) bool { return d.Domain == u.Domain.Domain })
	switch {
	case i < 0:
		cur.Domains = append(cur.Domains, u.Domain)
	case cur.Domains[i].Verdict != object.VerdictTakenBack:
		cur.Domains[i] = u.Domain
	}
	slices.SortFunc(cur.Domains, func(a, b object.DomainOutcome) int {
		if a.Domain < b.Domain {
			return -1
		}
		return 1
	})
	for _, v := range u.Bad {
		if !slices.Contains(cur.BadVersions, v) {
			cur.BadVersions = append(cur.BadVersions, v)
		}
	}
	slices.Sort(cur.BadVersions)
	return cur
}
