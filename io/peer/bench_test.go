package peer_test

import (
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"geraniumsaddle/core/member"
	"geraniumsaddle/io/peer"
)

func cpuTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

func evidence(rows int) peer.Evidence {
	e := peer.Evidence{Domain: "d1"}
	for range rows {
		e.Cells = append(e.Cells, peer.EvidenceCell{Router: "router-a1.7", Version: "model-7-v12", Route: "chat", Requests: 10_000, Timed: 9_000, Slow: 30})
	}
	return e
}

// BenchmarkCall reports the round trip of a call on loopback, with the CPU time of both sides.
func BenchmarkCall(b *testing.B) {
	f := newFleet(b, clockwork.NewRealClock())
	x, y := f.node("a.1", nil), f.node("b.1", nil)
	m := peer.Probe{Probe: member.Probe{Seq: 1}}
	if _, err := x.Call(b.Context(), y.Addr(), m); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	cpu := cpuTime()
	for b.Loop() {
		if _, err := x.Call(b.Context(), y.Addr(), m); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(cpuTime()-cpu)/float64(b.N), "cpu-ns/op")
}

// BenchmarkPaced sends one-way messages of about 500 bytes at 10 KB/s and reports the CPU time of both
// sides and the UDP payload for each message.
func BenchmarkPaced(b *testing.B) {
	f := newFleet(b, clockwork.NewRealClock())
	x, y := f.node("a.1", nil), f.node("b.1", nil)
	m := evidence(9)
	raw, err := peer.Encode("a.1", m)
	if err != nil {
		b.Fatal(err)
	}
	if err := x.Send(y.Addr(), m); err != nil {
		b.Fatal(err)
	}
	<-y.got
	tick := time.NewTicker(time.Duration(len(raw)) * time.Second / 10_000)
	defer tick.Stop()
	cpu, wire := cpuTime(), x.WireBytes()
	for b.Loop() {
		<-tick.C
		if err := x.Send(y.Addr(), m); err != nil {
			b.Fatal(err)
		}
		<-y.got
	}
	n := float64(b.N)
	b.ReportMetric(float64(cpuTime()-cpu)/n, "cpu-ns/op")
	b.ReportMetric(float64(x.WireBytes().Sent-wire.Sent)/n, "wire-sent-B/op")
	b.ReportMetric(float64(x.WireBytes().Received-wire.Received)/n, "wire-rcvd-B/op")
	b.ReportMetric(float64(len(raw)), "msg-B")
}

// BenchmarkConnect reports the cost of a new connection with its first call.
func BenchmarkConnect(b *testing.B) {
	f := newFleet(b, clockwork.NewRealClock())
	y := f.node("b.1", nil)
	var wire peer.WireStats
	for b.Loop() {
		x := f.node("a.1", nil)
		if _, err := x.Call(b.Context(), y.Addr(), peer.Probe{}); err != nil {
			b.Fatal(err)
		}
		wire = x.WireBytes()
		if err := x.Close(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(wire.Sent), "wire-sent-B")
	b.ReportMetric(float64(wire.Received), "wire-rcvd-B")
}

func BenchmarkCodec(b *testing.B) {
	m := evidence(9)
	b.ReportAllocs()
	for b.Loop() {
		raw, err := peer.Encode("a.1", m)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := peer.Decode(raw); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkMemory reports the heap and stack of one idle connection, both sides together, with one
// transport that talks to many.
func BenchmarkMemory(b *testing.B) {
	const peers = 100
	f := newFleet(b, clockwork.NewRealClock())
	y := f.node("b.1", nil)
	nodes := make([]*node, peers)
	for i := range nodes {
		nodes[i] = f.node("a.1", nil)
	}
	before := inUse()
	for b.Loop() {
		for _, x := range nodes {
			if _, err := x.Call(b.Context(), y.Addr(), peer.Probe{}); err != nil {
				b.Fatal(err)
			}
			if err := x.Send(y.Addr(), peer.Probe{}); err != nil {
				b.Fatal(err)
			}
			<-y.got
		}
	}
	b.ReportMetric(float64(inUse()-before)/peers, "B/conn")
}

func inUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
