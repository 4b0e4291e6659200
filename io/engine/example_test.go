package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"

	"github.com/jonboulle/clockwork"

	"geraniumsaddle/io/engine"
	fake "geraniumsaddle/io/fakes/engine"
)

func ExampleClient_Start() {
	clock := clockwork.NewRealClock()
	srv := httptest.NewServer(fake.New(fake.Config{}, clock))
	defer srv.Close()
	c, err := engine.New(engine.Config{URL: srv.URL}, clock)
	if err != nil {
		panic(err)
	}
	body := `{"model":"m","stream":true,"max_tokens":2,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":"hello"}]}`
	s, err := c.Start(context.Background(), engine.Request{ID: "req-1", Body: []byte(body)})
	if err != nil {
		panic(err)
	}
	defer func() { _ = s.Close() }()
	for {
		chunk, err := s.Next()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(err)
		}
		fmt.Printf("%d %q %q %v\n", chunk.Offset, chunk.Content, chunk.FinishReason, chunk.Usage)
	}
	// Output:
	// 0 "ehfhldpg " "" {0 0 0}
	// 1 "bdeiglen " "" {0 0 0}
	// 2 "" "length" {0 0 0}
	// 3 "" "" {3 2 0}
}
