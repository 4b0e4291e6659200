package place

import (
	"fmt"
	"testing"
)

// BenchmarkChoose measures the choice of an engine out of n.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{18, 140} {
		b.Run(fmt.Sprint(n, "engines"), func(b *testing.B) {
			f := testFleet()
			for i := range n {
				f.Put(engine(fmt.Sprint("i-", i)))
			}
			r := request(prompt("part"))
			b.ReportAllocs()
			for b.Loop() {
				c, err := f.Choose(r)
				if err != nil {
					b.Fatal(err)
				}
				c.Done(OK, testStart)
			}
		})
	}
}
