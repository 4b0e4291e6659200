package stream_test

import (
	"fmt"
	"time"

	"geraniumsaddle/core/stream"
)

func ExampleWindow() {
	now := time.Unix(0, 0)
	w := stream.NewWindow("r1", 0)
	fmt.Println(w.Push(stream.Chunk{Request: "r1", Data: []byte("hello")}, now))
	fmt.Println(w.Push(stream.Chunk{Request: "r2", Offset: 1, Data: []byte("x")}, now))
	fmt.Println(w.Push(stream.Chunk{Request: "r1", Offset: 3, Data: []byte("x")}, now))
	b, ok := w.Pop(nil)
	fmt.Println(string(b), ok, w.End("r1", 1), w.Complete())
	// Output:
	// <nil>
	// chunk belongs to another request
	// chunk 3 arrived where 1 was expected
	// hello true <nil> true
}
