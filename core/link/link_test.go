package link

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
)

var start = time.Unix(1_700_000_000, 0)

// TestRate guards against a rate that includes bytes of earlier seconds or the sum of both directions.
func TestRate(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		setup func(m *Meter)
		at    time.Duration
		want  ident.Bytes
	}{
		{"nothing", func(*Meter) {}, time.Second, 0},
		{"one direction", func(m *Meter) { m.Add(In, 700, start) }, 0, 700},
		{"busier direction", func(m *Meter) { m.Add(In, 700, start); m.Add(Out, 900, start) }, 0, 900},
		{"within the second", func(m *Meter) { m.Add(In, 700, start) }, 900 * time.Millisecond, 700},
		{"after the second", func(m *Meter) { m.Add(In, 700, start) }, 1100 * time.Millisecond, 0},
		{"an hour later", func(m *Meter) { m.Add(In, 700, start) }, time.Hour, 0},
		{"clock goes back", func(m *Meter) { m.Add(In, 700, start); m.Add(In, 1, start.Add(-time.Minute)) }, 0, 701},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var m Meter
			c.setup(&m)
			is.Equal(m.Rate(start.Add(c.at)), c.want)
		})
	}
}

// TestShedderThresholds guards against a router that keeps its callers on a full link, closes their connections before
// the balancer has noticed that it is not ready, or changes its state with each small change of the rate.
func TestShedderThresholds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := NewShedder(1000)
	is.True(!s.Observe(599, start))
	is.True(!s.Busy())
	is.True(s.Observe(600, start))
	is.True(s.Busy())
	is.True(!s.Full())
	is.True(!s.CloseNext(start.Add(time.Hour))) // a busy link that is not full keeps its callers
	is.True(!s.Observe(800, start.Add(time.Millisecond)))
	is.True(s.Full())
	for range 2 * closeEvery {
		is.True(!s.CloseNext(start.Add(closeDelay - time.Millisecond))) // the balancer may not have noticed
	}
	closed := 0
	for range 4 * closeEvery {
		if s.CloseNext(start.Add(closeDelay)) {
			closed++
		}
	}
	is.Equal(closed, 4)
	is.True(!s.Observe(600, start.Add(3*time.Second)))
	is.True(s.Full())
	is.True(!s.Observe(599, start.Add(3*time.Second)))
	is.True(!s.Full())
	is.True(s.Busy())
	is.True(s.Observe(449, start.Add(4*time.Second)))
	is.True(!s.Busy())
	is.True(!s.CloseNext(start.Add(time.Minute)))
}

// TestUnknownLinkRate guards against shedding callers when the rate of the link is not known.
func TestUnknownLinkRate(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := NewShedder(0)
	is.True(!s.Observe(1<<40, start))
	is.True(!s.Full())
	is.True(!s.Busy())
}

// simulatedRouter has a link that carries a limited number of requests per tick; the other requests wait.
type simulatedRouter struct {
	meter   Meter
	shed    *Shedder
	waiting int
}

// TestOverloadedRouterSheds guards against requests that queue in one link while other links have free capacity. The
// balancer's hash assigns all callers to the first of four routers, and their requests (28 of 5 KB per tick of 0.1 s,
// 1.4 MB per second) exceed its link, which carries 1.25 MB or 250 requests per second.
func TestOverloadedRouterSheds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const (
		callers  = 50
		size     = 5000
		tick     = 100 * time.Millisecond
		capacity = 125_000 // bytes per tick
		perTick  = 28      // requests of all callers per tick: 1.4 MB per second
	)
	routers := make([]*simulatedRouter, 4)
	for i := range routers {
		routers[i] = &simulatedRouter{shed: NewShedder(10 * capacity)}
	}
	routerOf := make([]int, callers) // index of the router that each caller is connected to
	longest := 0
	for tickNo := range 300 {
		now := start.Add(time.Duration(tickNo) * tick)
		for i := range perTick {
			routers[routerOf[(tickNo*perTick+i)%callers]].waiting++
		}
		for id, r := range routers {
			served := min(r.waiting, capacity/size)
			r.waiting -= served
			r.meter.Add(In, served*size, now)
			r.shed.Observe(r.meter.Rate(now), now)
			for i := range served {
				if !r.shed.CloseNext(now) {
					continue
				}
				// The caller reconnects, and the balancer assigns it to the next router that accepts callers.
				for c := range routerOf {
					if routerOf[(c+i)%callers] == id {
						routerOf[(c+i)%callers] = nextReadyRouter(routers, id)
						break
					}
				}
			}
			if tickNo > 100 {
				longest = max(longest, r.waiting)
			}
		}
	}
	// From ten seconds on, no more requests wait than the link carries in one tick.
	is.True(longest <= capacity/size)
}

// nextReadyRouter returns the first router after id that accepts new callers, or id if there is none.
func nextReadyRouter(routers []*simulatedRouter, id int) int {
	for i := 1; i <= len(routers); i++ {
		n := (id + i) % len(routers)
		if !routers[n].shed.Busy() {
			return n
		}
	}
	return id
}
