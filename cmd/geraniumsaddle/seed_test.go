package main_test

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/testscript"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/admin"
	"geraniumsaddle/io/store"
)

// cmdSeed writes the objects of a small fleet: seed PLATFORM_URL CAPACITY TARGET=DOMAIN=ADDR... A target whose name
// starts with "e" is an engine, any other a service.
func cmdSeed(ts *testscript.TestScript, _ bool, args []string) {
	st, err := store.New(store.Config{URL: args[0]}, clockwork.NewRealClock())
	ts.Check(err)
	var capacity int
	ts.Check(json.Unmarshal([]byte(args[1]), &capacity))
	objs := []object.Value{
		object.Organisation{Format: 1, ID: "demo", Name: "Demo", Class: "chat", Budgets: []ident.BudgetID{"demo"},
			Keys: []object.APIKey{{ID: "key-1", SHA256: admin.HashSecret("demo-key")}}},
		object.Budget{Format: 1, ID: "demo", Org: "demo"},
		object.Version{Format: 1, ID: "v1", Model: "demo-chat", Serving: true},
		object.Service{Format: 1, ID: "demo-orders", Routes: []object.ServiceRoute{
			{Method: "POST", Path: "/reservations", CostTokens: 1}, {Method: "GET", Path: "/stock/{item}", Idempotent: true}}},
	}
	for _, a := range args[2:] {
		f := strings.Split(a, "=")
		t := object.Target{Format: 1, ID: ident.TargetID(f[0]), Domain: ident.DomainID(f[1]), VM: ident.VMID("vm-" + f[0]),
			Kind: object.TargetService, Service: "demo-orders", URL: "http://" + f[2], Capacity: capacity, State: object.TargetActive}
		if strings.HasPrefix(f[0], "e") {
			t.Kind, t.Service, t.Versions = object.TargetEngine, "", []ident.VersionID{"v1"}
		}
		objs = append(objs, t)
	}
	for _, o := range objs {
		raw, err := json.Marshal(o)
		ts.Check(err)
		_, err = st.Put(context.Background(), o.Key(), raw, store.Any())
		ts.Check(err)
	}
}

// cmdVM sets the state of a VM in the platform's list: vm PLATFORM_URL NAME DOMAIN STATE.
func cmdVM(ts *testscript.TestScript, _ bool, args []string) {
	st, err := store.New(store.Config{URL: args[0]}, clockwork.NewRealClock())
	ts.Check(err)
	ts.Check(st.PutVM(context.Background(), store.VM{Name: ident.VMID(args[1]), Domain: ident.DomainID(args[2]), State: store.VMState(args[3])}))
}
