package store_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"

	"github.com/jonboulle/clockwork"

	"geraniumsaddle/core/object"
	fake "geraniumsaddle/io/fakes/store"
	"geraniumsaddle/io/store"
)

func ExampleClient_Put() {
	clock := clockwork.NewRealClock()
	srv := httptest.NewServer(fake.New(fake.Config{}, clock))
	defer srv.Close()
	c, err := store.New(store.Config{URL: srv.URL}, clock)
	if err != nil {
		panic(err)
	}
	ctx := context.Background()
	key := object.Key{Kind: object.KindLease, Name: "orders"}
	v, err := c.Put(ctx, key, []byte(`{"fence":1}`), store.Absent())
	fmt.Println(v, err)
	_, err = c.Put(ctx, key, []byte(`{"fence":1}`), store.Absent())
	fmt.Println(errors.Is(err, store.ErrConflict))
	v, err = c.Put(ctx, key, []byte(`{"fence":2}`), store.Match(v))
	fmt.Println(v, err)
	// Output:
	// 1 <nil>
	// true
	// 2 <nil>
}
