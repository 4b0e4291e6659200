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
	// fleetStart is the time in which the routers of a fleet that starts list themselves.
	fleetStart = time.Second
	// authorityFor is the validity of the fleet's certificate authority, which lives as long as the store's content.
	authorityFor = 20 * 365 * 24 * time.Hour
	// certificateFor is the validity of a router's certificate. Each process has a new one.
	certificateFor = 365 * 24 * time.Hour
)

// layoutKey is the object with what the first router of a fleet has set up.
var layoutKey = object.Key{Kind: platform.KindLayout, Name: "main"}

// fleetSetup is what the first router stores and nobody changes: how the organisations are spread over the ledgers, and the
// authority whose certificates routers show each other. Whoever can read the store is trusted as a router.
type fleetSetup struct {
	quota.Layout
	Authority authority `json:"peer_authority"`
}

// authority is a certificate and its key in PEM form.
type authority struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
}

func (a authority) pair() peer.KeyPair { return peer.KeyPair{Cert: []byte(a.Cert), Key: []byte(a.Key)} }

// fleetInfo is what a router learns of its fleet when it starts.
type fleetInfo struct {
	members []elect.Member
	setup   fleetSetup
}

// join lists this VM and learns the fleet. It returns false at the end of the context.
func (t *ledgerTask) join(ctx context.Context) (fleetInfo, bool) {
	for failures := 0; ; failures++ {
		f, err := t.tryJoin(ctx)
		if err == nil {
			t.s.accounts.SetRouterCount(len(f.members))
			t.s.accounts.SetLayout(f.setup.Layout)
			t.s.accounts.SetStart(t.start)
			t.s.deps.Log.Info("layout of the ledgers known", "routers", len(f.members), "shards", f.setup.Shards)
			return f, true
		}
		t.s.wrote("layout", err)
		if !t.s.link.pause(ctx, failures) {
			return fleetInfo{}, false
		}
	}
}

func (t *ledgerTask) tryJoin(ctx context.Context) (fleetInfo, error) {
	if err := t.list(ctx); err != nil {
		return fleetInfo{}, err
	}
	if t.s.cfg.FirstStart && !t.s.sleep(ctx, fleetStart) {
		return fleetInfo{}, ctx.Err()
	}
	members, err := t.members(ctx)
	if err != nil {
		return fleetInfo{}, err
	}
	setup, err := t.layout(ctx)
	return fleetInfo{members, setup}, err
}

// memberEntry is the entry of a VM. The process makes each start a new version, which orders the processes of the VM.
type memberEntry struct {
	elect.Member
	Process ident.RouterID `json:"process"`
}

// list makes this VM known to the others.
func (t *ledgerTask) list(ctx context.Context) error {
	key := object.Key{Kind: platform.KindMember, Name: t.s.cfg.VM}
	value, err := json.Marshal(memberEntry{t.s.member(), t.s.self})
	if err != nil {
		return fmt.Errorf("encode member: %w", err)
	}
	o, err := t.s.deps.Store.Create(ctx, key, value)
	if exists := errors.Is(err, store.ErrConflict) && o.Version != 0; exists {
		o, err = t.s.deps.Store.Replace(ctx, key, o.Version, value)
	}
	if err == nil {
		t.start = o.Version
	}
	return err
}

// member is this router as others may use it.
func (s *Server) member() elect.Member {
	return elect.Member{
		VM: ident.VMID(s.cfg.VM), Domain: ident.DomainID(s.cfg.Domain), Addr: s.cfg.PeerAddr, LinkRate: s.cfg.LinkRate,
	}
}

// members lists the VMs of the fleet. An entry that cannot be read counts as a VM that writes for nobody.
func (t *ledgerTask) members(ctx context.Context) ([]elect.Member, error) {
	var members []elect.Member
	after := ""
	for {
		p, err := t.s.deps.Store.List(ctx, platform.KindMember, after)
		if err != nil {
			return nil, err
		}
		for _, o := range p.Objects {
			var m elect.Member
			if err := json.Unmarshal(o.Value, &m); err != nil {
				t.s.deps.Log.Warn("member entry left out", "vm", o.Key.Name, "error", err)
				m = elect.Member{VM: ident.VMID(o.Key.Name)}
			}
			members = append(members, m)
		}
		if after = p.Next; after == "" {
			return members, nil
		}
	}
}

// layout returns what the first router has set up, or sets it up.
func (t *ledgerTask) layout(ctx context.Context) (fleetSetup, error) {
	if !t.s.cfg.FirstStart {
		o, err := t.s.deps.Store.Get(ctx, layoutKey)
		if !errors.Is(err, store.ErrAbsent) {
			return decodeSetup(o, err)
		}
	}
	value, err := t.newSetup()
	if err != nil {
		return fleetSetup{}, err
	}
	o, err := t.s.deps.Store.Create(ctx, layoutKey, value)
	if errors.Is(err, store.ErrConflict) && o.Version != 0 {
		err = nil
	}
	return decodeSetup(o, err)
}

func (t *ledgerTask) newSetup() ([]byte, error) {
	ca, err := peer.NewAuthority("edge", time.UnixMilli(t.s.deps.VM.Now().Wall), authorityFor)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	value, err := json.Marshal(fleetSetup{quota.NewLayout(), authority{string(ca.Cert), string(ca.Key)}})
	return value, trace.Wrap(err)
}

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
		return fleetSetup{}, fmt.Errorf("decode layout: %w", err)
	}
	return setup, nil
}
