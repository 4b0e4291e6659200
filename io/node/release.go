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
	// evaluateInterval is the interval at which evidence is evaluated. It bounds the time from a fault until this router
	// stops sending traffic to the version.
	evaluateInterval      = 250 * time.Millisecond
	broadcastInterval     = time.Second
	outcomeRecordInterval = 2 * time.Second
	// maxEvidenceCells bounds the cells of one message.
	maxEvidenceCells = 512
	// resendBroadcasts is the number of broadcasts after which unchanged evidence is sent again.
	resendBroadcasts = 10
)

// cellKey identifies a cell of the evidence that this router recorded.
type cellKey struct {
	version ident.VersionID
	route   string
	band    uint8
}

// releases runs the canary releases of the failure domain. It belongs to the control goroutine, except for the
// recorder, which traffic goroutines use.
type releases struct {
	n          *Node
	controller *canary.Controller
	recorder   *canary.Recorder
	// releases and versions are those that the controller has. bad holds the versions that were judged bad.
	releases           map[ident.ReleaseID]bool
	versions           map[ident.VersionID]bool
	bad                map[ident.VersionID]bool
	evaluatedAt        time.Time
	broadcastAt        time.Time
	outcomesRecordedAt time.Time
	recordingOutcomes  bool
	// sentRequests holds the number of requests in each cell of this router when it was last sent.
	sentRequests map[cellKey]uint64
	broadcasts   int
}

func newReleases(n *Node) *releases {
	policy := canary.DefaultPolicy()
	if n.cfg.ReleasePolicy == "small" {
		policy = canary.SmallPolicy()
	}
	return &releases{
		n: n, controller: canary.New(canary.Config{Domain: n.domain, Policy: policy}), recorder: canary.NewRecorder(n.id, 0),
		releases: make(map[ident.ReleaseID]bool), versions: make(map[ident.VersionID]bool), bad: make(map[ident.VersionID]bool),
		sentRequests: make(map[cellKey]uint64),
	}
}

// configure applies the releases, versions and outcomes of a view.
func (r *releases) configure(v *view, now time.Time) {
	for id := range r.versions {
		if _, ok := v.versions[id]; !ok {
			r.controller.DeleteVersion(id)
			r.recorder.DeleteVersion(id)
			delete(r.versions, id)
		}
	}
	for _, id := range sortedVersionIDs(v.versions) {
		r.controller.PutVersion(v.versions[id])
		r.versions[id] = true
	}
	for id := range r.releases {
		if _, ok := v.releases[id]; !ok {
			r.controller.DeleteRelease(id)
			delete(r.releases, id)
		}
	}
	for id, rel := range v.releases {
		r.controller.PutRelease(r.n.feeds.objects.Version(rel.Key()), rel)
		r.releases[id] = true
	}
	for _, o := range v.outcomes {
		r.controller.PutOutcome(o)
	}
	r.evaluate(now)
}

func sortedVersionIDs(m map[ident.VersionID]object.Version) []ident.VersionID {
	out := make([]ident.VersionID, 0, len(m))
	for id := range m {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// tick evaluates the evidence, sends it to other routers and records outcomes.
func (r *releases) tick(now time.Time) {
	if len(r.releases) == 0 {
		return
	}
	if now.Sub(r.evaluatedAt) >= evaluateInterval {
		r.evaluate(now)
	}
	if now.Sub(r.broadcastAt) >= broadcastInterval {
		r.broadcast(now)
	}
	if !r.recordingOutcomes && now.Sub(r.outcomesRecordedAt) >= outcomeRecordInterval {
		r.recordOutcomes(now)
	}
}

// evaluate advances the releases and applies their traffic shares. When a version is newly judged bad, the verdicts are
// sent to all routers at once.
func (r *releases) evaluate(now time.Time) {
	r.evaluatedAt = now
	r.controller.MergeEvidence(r.recorder.Export())
	r.controller.Tick(now)
	newlyBad := false
	for id := range r.versions {
		if !r.bad[id] && r.controller.IsBad(id) {
			r.bad[id] = true
			newlyBad = true
			r.n.log.Warn("version is bad and gets no more traffic", "version", id)
		}
	}
	for _, k := range poolKeys(r.n.view.Load()) {
		r.n.pools.registry.SetShares(k, r.controller.Shares(k))
	}
	if newlyBad {
		r.n.pools.publishTable(now)
		r.broadcast(now)
	}
}

// poolKeys returns one key for each model and service that has a version in a view.
func poolKeys(v *view) []target.Key {
	var out []target.Key
	for _, id := range sortedVersionIDs(v.versions) {
		k := target.Key{Model: v.versions[id].Model, Service: v.versions[id].Service}
		if !slices.Contains(out, k) {
			out = append(out, k)
		}
	}
	return out
}

// broadcast sends the evidence of this router to its failure domain, and the verdicts to all routers.
func (r *releases) broadcast(now time.Time) {
	r.broadcastAt = now
	ros := r.n.members.roster.Load()
	batches := r.changedEvidence()
	var rows []peer.VerdictRow
	for _, v := range r.controller.LocalVerdicts() {
		rows = append(rows, peer.VerdictRow(v))
	}
	for _, id := range ros.all {
		if id == r.n.id {
			continue
		}
		if slices.Contains(ros.ownDomain, id) {
			for _, ev := range batches {
				r.n.sendToRouter(id, ev)
			}
		}
		if len(rows) > 0 {
			r.n.sendToRouter(id, peer.Verdict{Rows: rows})
		}
	}
}

// changedEvidence returns the cells of this router for versions in running releases that have changed since they were
// last sent, in batches of bounded size. Once every resendBroadcasts calls it returns all of them, for routers that
// missed a message or started later.
func (r *releases) changedEvidence() []peer.Evidence {
	r.broadcasts++
	running := r.runningVersions()
	var out []peer.Evidence
	for _, c := range r.recorder.Export() {
		key := cellKey{c.Version, c.Route, c.Band}
		if !running[c.Version] || r.sentRequests[key] == c.Requests && r.broadcasts%resendBroadcasts != 0 {
			continue
		}
		r.sentRequests[key] = c.Requests
		if len(out) == 0 || len(out[len(out)-1].Cells) == maxEvidenceCells {
			out = append(out, peer.Evidence{Domain: r.n.domain})
		}
		last := &out[len(out)-1]
		last.Cells = append(last.Cells, peer.EvidenceCell(c))
	}
	return out
}

// runningVersions returns the versions whose evidence a running release needs: the added and changed ones, and those
// that they replace or are compared with.
func (r *releases) runningVersions() map[ident.VersionID]bool {
	ended := make(map[ident.ReleaseID]bool)
	for _, v := range r.controller.LocalVerdicts() {
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

// addSiblings adds the versions of the same model or service. An added version is compared with them.
func (r *releases) addSiblings(out map[ident.VersionID]bool, id ident.VersionID) {
	vs := r.n.view.Load().versions
	for other, v := range vs {
		if v.Model == vs[id].Model && v.Service == vs[id].Service {
			out[other] = true
		}
	}
}

// mergeEvidence merges the evidence of another router of the failure domain.
func (r *releases) mergeEvidence(m peer.Evidence) {
	if m.Domain != r.n.domain {
		return
	}
	cells := make([]canary.Cell, 0, len(m.Cells))
	for _, c := range m.Cells {
		cells = append(cells, canary.Cell(c))
	}
	r.controller.MergeEvidence(cells)
}

// mergeVerdicts merges the verdicts of another router and applies them at once.
func (r *releases) mergeVerdicts(m peer.Verdict, now time.Time) {
	rows := make([]canary.Verdict, 0, len(m.Rows))
	for _, v := range m.Rows {
		rows = append(rows, canary.Verdict(v))
	}
	r.controller.MergeVerdicts(rows)
	r.evaluate(now)
}

// recordOutcomes writes the outcomes that the platform does not have yet. Only one router of the failure domain, chosen
// by rendezvous hashing, writes them.
func (r *releases) recordOutcomes(now time.Time) {
	r.outcomesRecordedAt = now
	if member.Rank("outcomes", r.n.members.roster.Load().ownDomain)[0] != r.n.id {
		return
	}
	updates := r.controller.OutcomeUpdates()
	if len(updates) == 0 {
		return
	}
	r.recordingOutcomes = true
	r.n.spawn(func(ctx context.Context) {
		for _, u := range updates {
			if err := r.n.recordOutcome(ctx, u); err != nil {
				r.n.log.Warn("outcome could not be recorded", "release", u.Release, "error", err)
			}
		}
		r.n.post(funcEvent{func() { r.recordingOutcomes = false }})
	})
}

// recordOutcome merges an outcome into the stored object with a conditional update.
func (n *Node) recordOutcome(ctx context.Context, u canary.OutcomeUpdate) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	key := object.Key{Kind: object.KindOutcome, Name: string(u.Release)}
	var last error
	for range maxWriteAttempts {
		o, err := n.platform.Get(ctx, key)
		n.recordPlatformCall("get_outcomes", err)
		if err != nil && !errors.Is(err, store.ErrAbsent) {
			return err
		}
		cur := object.ReleaseOutcome{Format: object.Format, Release: u.Release}
		if err == nil {
			if err := json.Unmarshal(o.Value, &cur); err != nil {
				return err
			}
		}
		raw, err := json.Marshal(mergeOutcome(cur, u))
		if err != nil {
			return err
		}
		_, err = n.platform.Put(ctx, key, raw, store.Match(o.Version))
		n.recordPlatformCall("put_outcomes", err)
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

// mergeOutcome sets the verdict of one failure domain. It never replaces VerdictTakenBack and never removes a bad
// version.
func mergeOutcome(cur object.ReleaseOutcome, u canary.OutcomeUpdate) object.ReleaseOutcome {
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
	for _, v := range u.BadVersions {
		if !slices.Contains(cur.BadVersions, v) {
			cur.BadVersions = append(cur.BadVersions, v)
		}
	}
	slices.Sort(cur.BadVersions)
	return cur
}
