package node

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sort"
	"sync"
	"time"

	"geraniumsaddle/core/config"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/admin"
	"geraniumsaddle/io/peer"
)

// statusWait bounds the time in which other routers may answer for the status.
const statusWait = 500 * time.Millisecond

// Operator implements admin.Fleet. The operator of the settings is an owner, so that the first operators can be
// created; it works while the platform is away.
func (n *Node) Operator(hash string) (object.Operator, bool) {
	if n.cfg.OperatorToken != "" {
		sum := sha256.Sum256([]byte(n.cfg.OperatorToken))
		if hex.EncodeToString(sum[:]) == hash {
			return object.Operator{Format: object.Format, ID: "settings", Role: object.RoleOwner}, true
		}
	}
	o, ok := n.view.Load().operators[hash]
	return o, ok
}

// Status implements admin.Fleet.
func (n *Node) Status(ctx context.Context) admin.Status {
	ctx, cancel := context.WithTimeout(ctx, statusWait)
	defer cancel()
	st := admin.Status{AsOf: n.clock.Now().UTC(), Routers: []admin.RouterStatus{}, Targets: []admin.TargetStatus{}, Releases: []admin.ReleaseStatus{}}
	st.Platform.Reachable = n.platformReachable()
	if last := n.lastReply.Load(); last > 0 {
		st.Platform.LastReply = time.Unix(0, last).UTC()
	}
	_ = n.ask(ctx, func() { n.localStatus(&st) })
	n.remoteStatus(ctx, &st)
	return st
}

// localStatus fills in what the control goroutine knows.
func (n *Node) localStatus(st *admin.Status) {
	self := admin.RouterStatus{ID: n.id, Domain: n.domain, Reachable: true, State: "alive", Applied: appliedOf(n.feeds.store.Digest())}
	st.Routers = append(st.Routers, self)
	for _, m := range n.members.det.Members() {
		state := m.State.String()
		if m.Leaving || m.Excluded {
			state = "leaving"
		}
		st.Routers = append(st.Routers, admin.RouterStatus{ID: m.ID, Domain: m.Domain, State: state})
	}
	v := n.view.Load()
	for id, t := range v.targets {
		row := admin.TargetStatus{ID: id, Domain: t.Domain, State: n.pools.registry.State(id)}
		if a := n.accounts.slot(id); a != nil {
			row.FreeSlots = a.Free()
		}
		st.Targets = append(st.Targets, row)
	}
	sort.Slice(st.Targets, func(i, j int) bool { return st.Targets[i].ID < st.Targets[j].ID })
	n.releaseStatus(st, v)
}

func (n *Node) releaseStatus(st *admin.Status, v *view) {
	for id := range v.releases {
		row := admin.ReleaseStatus{ID: id, Domains: slices.Clone(v.outcomes[id].Domains)}
		for _, s := range n.releases.ctl.LocalVerdicts() {
			if s.Release == id && s.Domain == n.domain && !hasDomain(row.Domains, n.domain) {
				row.Domains = append(row.Domains, object.DomainOutcome{Domain: s.Domain, Verdict: s.Verdict, Reason: s.Reason, At: time.UnixMilli(s.At).UTC()})
			}
		}
		row.TrafficShare = n.releaseShare(v.releases[id])
		st.Releases = append(st.Releases, row)
	}
	sort.Slice(st.Releases, func(i, j int) bool { return st.Releases[i].ID < st.Releases[j].ID })
}

func hasDomain(rows []object.DomainOutcome, d ident.DomainID) bool {
	return slices.ContainsFunc(rows, func(o object.DomainOutcome) bool { return o.Domain == d })
}

// releaseShare returns the largest share of the versions of a release in the own failure domain.
func (n *Node) releaseShare(r object.Release) float64 {
	share := 0.0
	for _, k := range poolKeys(n.view.Load()) {
		for _, s := range n.releases.ctl.Shares(k).Shifts {
			for _, c := range slices.Concat(r.Added, r.Changed) {
				if c.Version == s.Version {
					share = max(share, s.Share)
				}
			}
		}
	}
	return share
}

// remoteStatus asks the other routers what they have applied.
func (n *Node) remoteStatus(ctx context.Context, st *admin.Status) {
	r := n.members.roster.Load()
	var wg sync.WaitGroup
	for i := range st.Routers {
		row := &st.Routers[i]
		addr, ok := r.addr[row.ID]
		if !ok || row.ID == n.id {
			continue
		}
		wg.Go(func() {
			m, err := n.transport.Call(ctx, addr, peer.Digest{})
			if d, ok := m.(peer.Digest); ok && err == nil {
				row.Reachable, row.Applied = true, appliedOf(d.Digest)
			}
		})
	}
	wg.Wait()
}

func appliedOf(d config.Digest) []admin.AppliedVersion {
	out := make([]admin.AppliedVersion, 0, len(d.Kinds))
	for _, k := range d.Kinds {
		out = append(out, admin.AppliedVersion{Kind: k.Kind, Version: k.Highest})
	}
	return out
}

// ownDigest returns the digest of the applied configuration.
func (n *Node) ownDigest(ctx context.Context) (peer.Message, error) {
	var d peer.Digest
	err := n.ask(ctx, func() { d.Digest = n.feeds.store.Digest() })
	return d, err
}

// CheckRelease implements admin.Fleet. A version can be released only where targets are to have it, and only if its weights
// can be loaded in time.
func (n *Node) CheckRelease(ctx context.Context, r object.Release) object.Faults {
	v := n.view.Load()
	var faults object.Faults
	for _, c := range slices.Concat(r.Added, r.Changed) {
		for _, d := range v.domainsOf(c.Replaces) {
			if !slices.Contains(v.domainsOf(c.Version), d) {
				faults = append(faults, object.Fault{Path: "version " + string(c.Version),
					Message: "no target in failure domain " + string(d) + " has the version, and the one it replaces is served there"})
			}
		}
	}
	return append(faults, n.checkLoads(ctx, v, r)...)
}

// Joined reports whether this router has its configuration, its allotments and, if its failure domain has another
// router, a declared journal peer.
func (n *Node) Joined() bool {
	if len(n.view.Load().orgs) == 0 || n.table.Load() == nil {
		return false
	}
	for _, a := range n.accounts.all() {
		if a.Free() == 0 {
			return false
		}
	}
	domain := n.members.roster.Load().domain
	return n.transport == nil || len(domain) < 2 || n.journal.declared()
}
