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

// cpuTime returns the user and system CPU time of the process.
func cpuTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

func evidenceMessage(rows int) peer.Evidence {
	e := peer.Evidence{Domain: "d1"}
	for range rows {
		e.Cells = append(e.Cells, peer.EvidenceCell{Router: "router-a1.7", Version: "model-7-v12", Route: "chat", Requests: 10_000, Timed: 9_000, Slow: 30})
	}
	return e
}

// BenchmarkCall measures the round trip of a call over loopback and the CPU time of both sides.
func BenchmarkCall(b *testing.B) {
	f := newFleet(b, clockwork.NewRealClock())
	x, y := f.newNode("a.1", nil), f.newNode("b.1", nil)
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

// BenchmarkPaced sends one-way messages of about 500 bytes at 10 KB/s. It reports the CPU time of both sides and the
// UDP payload per message.
func BenchmarkPaced(b *testing.B) {
	f := newFleet(b, clockwork.NewRealClock())
	x, y := f.newNode("a.1", nil), f.newNode("b.1", nil)
	m := evidenceMessage(9)
	raw, err := peer.Encode("a.1", m)
	if err != nil {
		b.Fatal(err)
	}
	if err := x.Send(y.Addr(), m); err != nil {
		b.Fatal(err)
	}
	<-y.received
	tick := time.NewTicker(time.Duration(len(raw)) * time.Second / 10_000)
	defer tick.Stop()
	cpu, wire := cpuTime(), x.WireBytes()
	for b.Loop() {
		<-tick.C
		if err := x.Send(y.Addr(), m); err != nil {
			b.Fatal(err)
		}
		<-y.received
	}
	n := float64(b.N)
	b.ReportMetric(float64(cpuTime()-cpu)/n, "cpu-ns/op")
	b.ReportMetric(float64(x.WireBytes().Sent-wire.Sent)/n, "wire-sent-B/op")
	b.ReportMetric(float64(x.WireBytes().Received-wire.Received)/n, "wire-rcvd-B/op")
	b.ReportMetric(float64(len(raw)), "msg-B")
}

// BenchmarkConnect measures a new connection with its first call, and the UDP payload of both.
func BenchmarkConnect(b *testing.B) {
	f := newFleet(b, clockwork.NewRealClock())
	y := f.newNode("b.1", nil)
	var wire peer.WireStats
	for b.Loop() {
		x := f.newNode("a.1", nil)
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
	m := evidenceMessage(9)
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

// BenchmarkMemory reports the heap and stack per idle connection, both sides together. One transport has a connection
// to each of the others.
func BenchmarkMemory(b *testing.B) {
	const peers = 100
	f := newFleet(b, clockwork.NewRealClock())
	y := f.newNode("b.1", nil)
	nodes := make([]*node, peers)
	for i := range nodes {
		nodes[i] = f.newNode("a.1", nil)
	}
	before := memoryInUse()
	for b.Loop() {
		for _, x := range nodes {
			if _, err := x.Call(b.Context(), y.Addr(), peer.Probe{}); err != nil {
				b.Fatal(err)
			}
			if err := x.Send(y.Addr(), peer.Probe{}); err != nil {
				b.Fatal(err)
			}
			<-y.received
		}
	}
	b.ReportMetric(float64(memoryInUse()-before)/peers, "B/conn")
}

// memoryInUse returns the bytes of live heap objects and of stacks.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
