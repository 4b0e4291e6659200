package place

import (
	"fmt"
	"testing"
)

// BenchmarkChoose measures the time to choose one of n engines.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{18, 32, 140, 3000} {
		b.Run(fmt.Sprint(n, "engines"), func(b *testing.B) {
			f := newTestFleet()
			for i := range n {
				f.Put(testEngine(fmt.Sprint("i-", i)))
			}
			r := testRequest(testPrompt("part"))
			b.ReportAllocs()
			for b.Loop() {
				c, err := f.Choose(r)
				if err != nil {
					b.Fatal(err)
				}
				c.Done(ResultOK, testStart)
			}
		})
	}
}
