package target_test

import (
	"fmt"
	"math/rand/v2"

	"geraniumsaddle/core/object"
	"geraniumsaddle/core/target"
)

func ExamplePool_Choose() {
	r := target.New(target.Config{Domain: "a", Router: "router.1", Start: testStart}, rand.New(rand.NewPCG(1, 2)))
	r.PutVersion(object.Version{ID: "v1", Model: "chat", Serving: true})
	r.PutTarget(testEngine("engine-1", "a", "v1"))
	r.PutTarget(testEngine("engine-2", "a", "v1"))
	r.SetVMState("vm-engine-2", object.TargetLeaving)
	table := r.Build(testStart)
	c, err := table.Pool(target.Key{Model: "chat", Domain: "a"}).Choose(target.Request{Sticky: "c-1", Now: testStart}, unlimitedSlots{})
	fmt.Println(c.Target, c.Version, c.Reason, err)
	c.Release(target.ResultOK)
	// Output: engine-1 v1 load <nil>
}
