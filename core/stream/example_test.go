package stream_test

import (
	"errors"
	"fmt"

	"geraniumsaddle/core/stream"
)

func ExampleLimiter() {
	l := stream.NewLimiter(100, 150)
	fmt.Println(l.Reserve("a", 80), l.Reserve("b", 60))
	var limit *stream.LimitError
	fmt.Println(errors.As(l.Reserve("a", 30), &limit), limit.Limit)
	l.Release("a", 80)
	fmt.Println(l.Reserve("a", 30), l.Used())
	// Output:
	// <nil> <nil>
	// true 150
	// <nil> 90
}
