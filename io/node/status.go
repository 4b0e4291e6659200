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

// statusTimeout bounds the wait for the control goroutine and for other routers in a status request.
const statusTimeout = 500 * time.Millisecond

// Operator implements admin.Fleet. The operator token of the settings has the owner role, so that the first operators
// can be created. It is valid without the platform.
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
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	st := admin.Status{AsOf: n.clock.Now().UTC(), Routers: []admin.RouterStatus{}, Targets: []admin.TargetStatus{}, Releases: []admin.ReleaseStatus{}}
	st.Platform.Reachable = n.platformReachable()
	if last := n.lastPlatformReply.Load(); last > 0 {
		st.Platform.LastReply = time.Unix(0, last).UTC()
	}
	_ = n.runOnControl(ctx, func() { n.addLocalStatus(&st) })
	n.addRemoteStatus(ctx, &st)
	return st
}

// addLocalStatus adds what this router knows. It runs on the control goroutine.
func (n *Node) addLocalStatus(st *admin.Status) {
	self := admin.RouterStatus{ID: n.id, Domain: n.domain, Reachable: true, State: "alive", Applied: appliedVersions(n.feeds.objects.Digest())}
	st.Routers = append(st.Routers, self)
	for _, m := range n.members.detector.Members() {
		state := m.State.String()
		if m.Leaving || m.Excluded {
			state = "leaving"
		}
		st.Routers = append(st.Routers, admin.RouterStatus{ID: m.ID, Domain: m.Domain, State: state})
	}
	v := n.view.Load()
	for id, t := range v.targets {
		row := admin.TargetStatus{ID: id, Domain: t.Domain, State: n.pools.registry.State(id)}
		if a := n.accounts.slotAccount(id); a != nil {
			row.FreeSlots = a.Free()
		}
		st.Targets = append(st.Targets, row)
	}
	sort.Slice(st.Targets, func(i, j int) bool { return st.Targets[i].ID < st.Targets[j].ID })
	n.addReleaseStatus(st, v)
}

// addReleaseStatus adds the outcomes and shares of all releases.
func (n *Node) addReleaseStatus(st *admin.Status, v *view) {
	for id := range v.releases {
		row := admin.ReleaseStatus{ID: id, Domains: slices.Clone(v.outcomes[id].Domains)}
		for _, s := range n.releases.controller.LocalVerdicts() {
			if s.Release == id && s.Domain == n.domain && !hasDomainOutcome(row.Domains, n.domain) {
				row.Domains = append(row.Domains, object.DomainOutcome{Domain: s.Domain, Verdict: s.Verdict, Reason: s.Reason, At: time.UnixMilli(s.At).UTC()})
			}
		}
		row.TrafficShare = n.releaseShare(v.releases[id])
		st.Releases = append(st.Releases, row)
	}
	sort.Slice(st.Releases, func(i, j int) bool { return st.Releases[i].ID < st.Releases[j].ID })
}

func hasDomainOutcome(rows []object.DomainOutcome, d ident.DomainID) bool {
	return slices.ContainsFunc(rows, func(o object.DomainOutcome) bool { return o.Domain == d })
}

// releaseShare returns the largest traffic share that a version of a release has in the own failure domain.
func (n *Node) releaseShare(r object.Release) float64 {
	share := 0.0
	for _, k := range poolKeys(n.view.Load()) {
		for _, s := range n.releases.controller.Shares(k).Shifts {
			for _, c := range slices.Concat(r.Added, r.Changed) {
				if c.Version == s.Version {
					share = max(share, s.Share)
				}
			}
		}
	}
	return share
}

// addRemoteStatus adds the configuration versions that the other routers have applied.
func (n *Node) addRemoteStatus(ctx context.Context, st *admin.Status) {
	r := n.members.roster.Load()
	var wg sync.WaitGroup
	for i := range st.Routers {
		row := &st.Routers[i]
		addr, ok := r.addrs[row.ID]
		if !ok || row.ID == n.id {
			continue
		}
		wg.Go(func() {
			m, err := n.transport.Call(ctx, addr, peer.Digest{})
			if d, ok := m.(peer.Digest); ok && err == nil {
				row.Reachable, row.Applied = true, appliedVersions(d.Digest)
			}
		})
	}
	wg.Wait()
}

func appliedVersions(d config.Digest) []admin.AppliedVersion {
	out := make([]admin.AppliedVersion, 0, len(d.Kinds))
	for _, k := range d.Kinds {
		out = append(out, admin.AppliedVersion{Kind: k.Kind, Version: k.Highest})
	}
	return out
}

// ownDigest returns the digest of the applied configuration.
func (n *Node) ownDigest(ctx context.Context) (peer.Message, error) {
	var d peer.Digest
	err := n.runOnControl(ctx, func() { d.Digest = n.feeds.objects.Digest() })
	return d, err
}

// CheckRelease implements admin.Fleet. A changed version needs an active target in each failure domain that serves the
// version it replaces, and the weights of the release must be loadable in time.
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

// Provisioned reports whether this router has its configuration, free tokens or slots in every account and, if its
// failure domain has another router, a declared journal peer.
func (n *Node) Provisioned() bool {
	if len(n.view.Load().orgs) == 0 || n.table.Load() == nil {
		return false
	}
	for _, a := range n.accounts.all() {
		if a.Free() == 0 {
			return false
		}
	}
	domain := n.members.roster.Load().ownDomain
	return n.transport == nil || len(domain) < 2 || n.journal.hasDeclaredPeer()
}
