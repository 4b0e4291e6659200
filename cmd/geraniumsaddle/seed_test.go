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

// cmdSeed writes the objects of a small fleet to the platform. A target whose name starts with "e" is an engine, any
// other a service: seed PLATFORM_URL CAPACITY TARGET=DOMAIN=ADDR...
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
	for _, arg := range args[2:] {
		fields := strings.Split(arg, "=")
		target := object.Target{Format: 1, ID: ident.TargetID(fields[0]), Domain: ident.DomainID(fields[1]), VM: ident.VMID("vm-" + fields[0]),
			Kind: object.TargetService, Service: "demo-orders", URL: "http://" + fields[2], Capacity: capacity, State: object.TargetActive}
		if strings.HasPrefix(fields[0], "e") {
			target.Kind, target.Service, target.Versions = object.TargetEngine, "", []ident.VersionID{"v1"}
		}
		objs = append(objs, target)
	}
	for _, obj := range objs {
		raw, err := json.Marshal(obj)
		ts.Check(err)
		_, err = st.Put(context.Background(), obj.Key(), raw, store.Any())
		ts.Check(err)
	}
}

// cmdVM sets the state of a VM in the platform's VM list: vm PLATFORM_URL NAME DOMAIN STATE.
func cmdVM(ts *testscript.TestScript, _ bool, args []string) {
	st, err := store.New(store.Config{URL: args[0]}, clockwork.NewRealClock())
	ts.Check(err)
	ts.Check(st.PutVM(context.Background(), store.VM{Name: ident.VMID(args[1]), Domain: ident.DomainID(args[2]), State: store.VMState(args[3])}))
}
