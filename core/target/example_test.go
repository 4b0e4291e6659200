package target_test

import (
	"fmt"
	"math/rand/v2"

	"geraniumsaddle/core/object"
	"geraniumsaddle/core/target"
)

func ExamplePool_Choose() {
	r := target.New(target.Config{Domain: "a", Router: "router.1", Start: start}, rand.New(rand.NewPCG(1, 2)))
	r.PutVersion(object.Version{ID: "v1", Model: "chat", Serving: true})
	r.PutTarget(engine("engine-1", "a", "v1"))
	r.PutTarget(engine("engine-2", "a", "v1"))
	r.SetVMState("vm-engine-2", object.TargetLeaving)
	table := r.Build(start)
	c, err := table.Pool(target.Key{Model: "chat", Domain: "a"}).Choose(target.Request{Sticky: "c-1", Now: start}, freeSlots{})
	fmt.Println(c.Target, c.Version, c.Reason, err)
	c.Release(target.ResultOK)
	// Output: engine-1 v1 load <nil>
}
