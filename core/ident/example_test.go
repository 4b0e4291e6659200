package ident_test

import (
	"fmt"

	"geraniumsaddle/core/ident"
)

func ExampleRouterID_Split() {
	id := ident.NewRouterID("router-a1", 7)
	name, epoch, err := id.Split()
	fmt.Println(id, name, epoch, err)
	// Output: router-a1.7 router-a1 7 <nil>
}
