package edge

import (
	"context"
	"errors"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/quota"
	"geraniumsaddle/io/store"
	"geraniumsaddle/platform"
)

// layoutKey is the object that says how the organisations are spread over the ledgers.
var layoutKey = object.Key{Kind: platform.KindLayout, Name: "main"}

// waitLayout learns the number of routers and the layout of the ledgers, which the first router stores. It returns false at
// the end of the context.
func (t *ledgerTask) waitLayout(ctx context.Context) bool {
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

// countRouters counts the VMs by the allowances that each router writes when it starts.
func (t *ledgerTask) countRouters(ctx context.Context) (int, error) {
	vms := make(map[string]bool)
	after := ""
	for {
		p, err := t.s.deps.Store.List(ctx, platform.KindAllowance, after)
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
