package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"geraniumsaddle/core/elect"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/quota"
	"geraniumsaddle/io/peer"
	"geraniumsaddle/io/store"
	"geraniumsaddle/platform"
)

const (
	// fleetStartWait is how long a router of a new fleet waits for the others to register before it lists the members.
	fleetStartWait = time.Second
	// authorityValidity is the validity of the fleet's certificate authority, which lives as long as the store's
	// content.
	authorityValidity = 20 * 365 * 24 * time.Hour
	// certificateValidity is the validity of a router's certificate. Each process issues a new one.
	certificateValidity = 365 * 24 * time.Hour
)

// setupKey is the key of the fleetSetup, which the first router of a fleet stores.
var setupKey = object.Key{Kind: platform.KindLayout, Name: "main"}

// fleetSetup is stored by the first router and never changes: how the organisations are spread over the ledgers, and
// the authority that issues the certificates of routers. It includes the private key of the authority, so that whoever
// can read the store is trusted as a router.
type fleetSetup struct {
	quota.Layout
	// Era is the era of the store in which the fleet began.
	Era       ident.Era `json:"era,omitempty"`
	Authority authority `json:"peer_authority"`
}

// authority is a certificate and its private key in PEM form.
type authority struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
}

func (a authority) keyPair() peer.KeyPair {
	return peer.KeyPair{Cert: []byte(a.Cert), Key: []byte(a.Key)}
}

// fleetInfo is what a router learns about its fleet when it starts.
type fleetInfo struct {
	members []elect.Member
	setup   fleetSetup
}

// join registers this VM, loads the members and the setup of the fleet, and retries until that succeeds. It returns
// false at the end of the context.
func (lc *ledgerClient) join(ctx context.Context) (fleetInfo, bool) {
	for failures := 0; ; failures++ {
		fleet, err := lc.tryJoin(ctx)
		if err == nil {
			lc.s.accounts.SetRouterCount(len(fleet.members))
			lc.s.setRouters(fleet.members)
			lc.s.accounts.SetLayout(fleet.setup.Layout)
			lc.s.accounts.SetStartVersion(lc.startVersion)
			lc.s.rewinds.setFleet(fleet)
			lc.s.deps.Log.Info("router joined the fleet", "routers", len(fleet.members), "shards", fleet.setup.Shards)
			return fleet, true
		}
		lc.s.recordSync("layout", err)
		if !lc.s.storeMonitor.backOff(ctx, failures) {
			return fleetInfo{}, false
		}
	}
}

// tryJoin makes one attempt to join.
func (lc *ledgerClient) tryJoin(ctx context.Context) (fleetInfo, error) {
	if err := lc.registerVM(ctx); err != nil {
		return fleetInfo{}, err
	}
	if lc.s.cfg.FirstStart && !lc.s.sleep(ctx, fleetStartWait) {
		return fleetInfo{}, ctx.Err()
	}
	members, err := lc.listMembers(ctx)
	if err != nil {
		return fleetInfo{}, err
	}
	setup, err := lc.loadOrCreateSetup(ctx, len(members))
	return fleetInfo{members, setup}, err
}

// memberEntry is the stored entry of a VM. Each process writes it with its own ID and so gives it a new version, which
// orders the processes of the VM.
type memberEntry struct {
	elect.Member
	Process ident.RouterID `json:"process"`
}

// registerVM stores the entry of this VM and remembers its version as the start of this process.
func (lc *ledgerClient) registerVM(ctx context.Context) error {
	o, err := lc.putMember(ctx)
	if err == nil {
		lc.startVersion = o.Version
	}
	return err
}

// putMember stores the entry of this VM.
func (lc *ledgerClient) putMember(ctx context.Context) (store.Object, error) {
	key := object.Key{Kind: platform.KindMember, Name: lc.s.cfg.VM}
	value, err := json.Marshal(memberEntry{lc.s.selfMember(), lc.s.self})
	if err != nil {
		return store.Object{}, fmt.Errorf("encode member: %w", err)
	}
	o, err := lc.s.deps.Store.Create(ctx, key, value)
	if exists := errors.Is(err, store.ErrConflict) && o.Version != 0; exists {
		o, err = lc.s.deps.Store.Replace(ctx, key, o.Version, value)
	}
	return o, err
}

// selfMember returns this router as a member of the fleet.
func (s *Server) selfMember() elect.Member {
	return elect.Member{
		VM: ident.VMID(s.cfg.VM), Domain: ident.DomainID(s.cfg.Domain), Addr: s.cfg.PeerAddr, LinkRate: s.cfg.LinkRate,
	}
}

// listMembers lists the VMs of the fleet. An entry that cannot be decoded counts as a VM without an address, which
// cannot write for others.
func (lc *ledgerClient) listMembers(ctx context.Context) ([]elect.Member, error) {
	var members []elect.Member
	after := ""
	for {
		page, err := lc.s.deps.Store.List(ctx, platform.KindMember, after)
		if err != nil {
			return nil, err
		}
		for _, o := range page.Objects {
			var m elect.Member
			if err := json.Unmarshal(o.Value, &m); err != nil {
				lc.s.deps.Log.Warn("member entry cannot be decoded; the VM cannot write for others", "vm", o.Key.Name,
					"error", err)
				m = elect.Member{VM: ident.VMID(o.Key.Name)}
			}
			members = append(members, m)
		}
		if after = page.Next; after == "" {
			return members, nil
		}
	}
}

// loadOrCreateSetup returns the stored setup of the fleet, or stores a new one if there is none.
func (lc *ledgerClient) loadOrCreateSetup(ctx context.Context, routers int) (fleetSetup, error) {
	if !lc.s.cfg.FirstStart {
		o, err := lc.s.deps.Store.Get(ctx, setupKey)
		if !errors.Is(err, store.ErrAbsent) {
			return decodeSetup(o, err)
		}
	}
	value, err := lc.newSetup(routers)
	if err != nil {
		return fleetSetup{}, err
	}
	o, err := lc.s.deps.Store.Create(ctx, setupKey, value)
	if errors.Is(err, store.ErrConflict) && o.Version != 0 {
		err = nil
	}
	return decodeSetup(o, err)
}

// newSetup encodes a new setup with a new certificate authority.
func (lc *ledgerClient) newSetup(routers int) ([]byte, error) {
	ca, err := peer.NewAuthority("edge", time.UnixMilli(lc.s.deps.VMClock.Now().Wall), authorityValidity)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	layout := quota.NewLayout()
	if routers > lc.s.deps.DirectFleet {
		layout = quota.NewLargeLayout()
	}
	value, err := json.Marshal(fleetSetup{layout, lc.s.deps.Store.Era(), authority{string(ca.Cert), string(ca.Key)}})
	return value, trace.Wrap(err)
}

// decodeSetup decodes the result of reading or storing the setup.
func decodeSetup(o store.Object, err error) (fleetSetup, error) {
	if err != nil {
		return fleetSetup{}, err
	}
	layout, err := quota.DecodeLayout(o.Value)
	if err != nil {
		return fleetSetup{}, err
	}
	setup := fleetSetup{Layout: layout}
	if err := json.Unmarshal(o.Value, &setup); err != nil {
		return fleetSetup{}, fmt.Errorf("decode fleet setup: %w", err)
	}
	return setup, nil
}
