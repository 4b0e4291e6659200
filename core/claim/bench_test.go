package claim

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"geraniumsaddle/core/ident"
)

const domains = 4

// claimModes are the ways of claiming that BenchmarkPartition compares.
var claimModes = []struct {
	name   string
	tokens float64 // share of the calls that use operation tokens
	ranges bool    // key ranges allotted to failure domains ahead, instead of platform claims
}{
	{"platform_only", 0, false},
	{"ranges", 0, true},
	{"tokens=0.5", 0.5, false},
	{"tokens=1", 1, false},
}

// BenchmarkPartition reports the share of new calls that run while one of four failure domains is cut off from the
// platform and the others, by side of the cut, and the platform calls for each call. A call arrives once, at a domain
// chosen at random. A range's calls run only in the domain that owns it.
func BenchmarkPartition(b *testing.B) {
	for _, mode := range claimModes {
		b.Run(mode.name, func(b *testing.B) {
			const calls = 20000
			var ran, all [2]float64 // 0 in the cut domain, 1 elsewhere
			claims := 0
			for b.Loop() {
				rng := rand.New(rand.NewPCG(1, 2))
				now := time.Unix(1000, 0)
				var registries [domains]*Registry
				for i := range registries {
					registries[i] = New(ident.NewRouterID(fmt.Sprint("d", i), 1), []byte("secret"), Limits{Calls: calls})
				}
				ran, all, claims = [2]float64{}, [2]float64{}, 0
				for i := range calls {
					at, side := rng.IntN(domains), 1
					if at == 0 {
						side = 0
					}
					a := Attempt{Org: "o", Key: fmt.Sprint("k", i), Request: ident.RequestID(fmt.Sprint("q", i))}
					if rng.Float64() < mode.tokens {
						a.Key, _ = registries[at].MintToken("o", now)
					}
					all[side]++
					if mode.ranges {
						owner := int(NewID(a.Org, a.Key)[0]) % domains
						if owner == at || owner != 0 && at != 0 {
							ran[side]++
						}
						continue
					}
					d := registries[at].Begin(a, now)
					if c, ok := d.(Create); ok && side == 0 {
						d = registries[at].Handle(PlatformUnavailable{c.Ref}, now)
					} else if ok {
						claims++
						d = registries[at].Handle(Created{c.Ref}, now)
					}
					if _, ok := d.(Run); ok {
						ran[side]++
					}
				}
			}
			b.ReportMetric(100*ran[0]/all[0], "%ran-cut")
			b.ReportMetric(100*ran[1]/all[1], "%ran-rest")
			b.ReportMetric(float64(claims)/(all[0]+all[1]), "claims/call")
		})
	}
}
