package plain_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"

	"github.com/jonboulle/clockwork"

	fake "geraniumsaddle/io/fakes/plain"
	"geraniumsaddle/io/plain"
)

func ExampleClient_Call() {
	srv := httptest.NewServer(fake.New(fake.Config{DefaultStock: 5}, clockwork.NewRealClock()))
	defer srv.Close()
	c, err := plain.New(plain.Config{URL: srv.URL})
	if err != nil {
		panic(err)
	}
	header := http.Header{"Idempotency-Key": {"order-1"}}
	resp, err := c.Call(context.Background(), http.MethodPost, "/reservations", header, []byte(`{"item":"shelf-4","quantity":2}`))
	if err != nil {
		panic(err)
	}
	fmt.Println(resp.Status, string(resp.Body))
	// Output: 201 {"reservation_id":"res-1","item":"shelf-4","quantity":2,"left":3}
}
