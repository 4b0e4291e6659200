package demo

import (
	"context"
	"encoding/json"

	"github.com/gravitational/trace"

	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/admin"
	"geraniumsaddle/io/store"
)

// The versions of the model demo-chat. The tour releases versionGood without errors and versionBad with an error rate.
const (
	versionOld  = ident.VersionID("demo-chat-v1")
	versionGood = ident.VersionID("demo-chat-v2")
	versionBad  = ident.VersionID("demo-chat-v3")
	modelName   = ident.ModelID("demo-chat")
	serviceName = ident.ServiceID("demo-orders")
)

// seed writes the objects of the demo and tops up its budgets.
func (f *Fleet) seed(ctx context.Context) error {
	objs := []object.Value{
		object.Service{Format: 1, ID: serviceName, Routes: []object.ServiceRoute{
			{Method: "POST", Path: "/reservations", CostTokens: 1},
			{Method: "GET", Path: "/stock/{item}", Idempotent: true},
		}},
		object.Version{Format: 1, ID: versionOld, Model: modelName, Serving: true},
		object.Version{Format: 1, ID: versionGood, Model: modelName},
		object.Version{Format: 1, ID: versionBad, Model: modelName},
	}
	objs = append(objs, f.targetObjects()...)
	objs = append(objs, organisationObjects(demoOrg, "Demo", demoKey)...)
	objs = append(objs, organisationObjects(loadOrg, "Background load of the demonstration", loadKey)...)
	for _, o := range objs {
		if err := f.putObject(ctx, o); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := f.topUp(ctx, demoOrg, demoBudget); err != nil {
		return err
	}
	return f.topUp(ctx, loadOrg, loadBudget)
}

// targetObjects returns the targets of all failure domains.
func (f *Fleet) targetObjects() []object.Value {
	var out []object.Value
	for _, d := range f.domains {
		for id, url := range f.urls {
			t := object.Target{Format: 1, ID: id, Domain: d, VM: ident.VMID("vm-" + string(id)), URL: url, Capacity: engineCapacity, State: object.TargetActive}
			switch {
			case f.domainOf(id) != d:
				continue
			case f.engines[id] != nil:
				t.Kind, t.Versions = object.TargetEngine, []ident.VersionID{versionOld, versionGood, versionBad}
			default:
				t.Kind, t.Service = object.TargetService, serviceName
			}
			out = append(out, t)
		}
	}
	return out
}

// domainOf returns the failure domain in the name of a target.
func (f *Fleet) domainOf(id ident.TargetID) ident.DomainID {
	for _, d := range f.domains {
		for j := range enginesPerDomain {
			if string(id) == "engine-"+string(d)+"-"+string(rune('1'+j)) {
				return d
			}
		}
		if string(id) == "orders-"+string(d) {
			return d
		}
	}
	return ""
}

// organisationObjects returns an organisation with one API key, and its budget, which has the same ID.
func organisationObjects(id, name, secret string) []object.Value {
	return []object.Value{
		object.Budget{Format: 1, ID: ident.BudgetID(id), Org: ident.OrgID(id)},
		object.Organisation{Format: 1, ID: ident.OrgID(id), Name: name, Class: "chat", Budgets: []ident.BudgetID{ident.BudgetID(id)},
			Keys: []object.APIKey{{ID: "key-1", SHA256: admin.HashSecret(secret)}}},
	}
}

func (f *Fleet) putObject(ctx context.Context, o object.Value) error {
	raw, err := json.Marshal(o)
	if err != nil {
		return err
	}
	_, err = f.store.PutResolved(ctx, o.Key(), raw, store.Any())
	return err
}

// topUp writes the ledger entry of a budget with a top-up of n tokens.
func (f *Fleet) topUp(ctx context.Context, id ident.BudgetID, n ident.Tokens) error {
	entry := escrow.Entry{ID: escrow.BudgetEntryID(id)}
	if _, err := entry.ApplyOp(escrow.Op{ID: "seed", Kind: escrow.OpTopUp, Tokens: n}); err != nil {
		return err
	}
	key := escrow.LedgerKey(entry.ID)
	shard := escrow.NewShard()
	o, err := f.store.Get(ctx, key)
	if err == nil {
		if shard, err = escrow.Decode(o.Value); err != nil {
			return err
		}
	}
	raw, err := shard.With(entry).Encode()
	if err != nil {
		return err
	}
	_, err = f.store.Put(ctx, key, raw, store.Any())
	return err
}

// ledgerEntry reads the ledger entry of a budget. It is nil if there is none.
func (f *Fleet) ledgerEntry(ctx context.Context, id ident.BudgetID) (*escrow.Entry, error) {
	o, err := f.store.Get(ctx, escrow.LedgerKey(escrow.BudgetEntryID(id)))
	if err != nil {
		return nil, err
	}
	shard, err := escrow.Decode(o.Value)
	if err != nil {
		return nil, err
	}
	return shard.Entry(escrow.BudgetEntryID(id)), nil
}
