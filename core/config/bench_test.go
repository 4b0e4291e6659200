package config_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"geraniumsaddle/core/config"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

const (
	organisations = 31_000
	budgets       = 18_000
)

func fleetObjects() []config.Object {
	objs := make([]config.Object, 0, organisations+budgets)
	for i := range organisations {
		objs = append(objs, organisation(i, ident.ObjectVersion(i+1)))
	}
	for i := range budgets {
		objs = append(objs, config.Object{
			Kind: object.KindBudget, Name: fmt.Sprintf("budget-%05d", i), Version: ident.ObjectVersion(organisations + i + 1),
			Value: fmt.Appendf(nil, `{"format":1,"id":"budget-%05d","org":"org-%05d","expires_at":"2030-01-01T00:00:00Z"}`, i, i),
		})
	}
	return objs
}

// BenchmarkApply reports the time and the memory per object for a fleet of the size expected in two years. The memory
// includes the JSON value.
func BenchmarkApply(b *testing.B) {
	var valueBytes int
	for _, o := range fleetObjects() {
		valueBytes += len(o.Value)
	}
	var usedBytes uint64
	for b.Loop() {
		b.StopTimer()
		before := heapBytes()
		objs := fleetObjects()
		b.StartTimer()
		s := config.New()
		for _, o := range objs {
			s.Apply(o)
		}
		b.StopTimer()
		usedBytes = heapBytes() - before
		runtime.KeepAlive(s)
		b.StartTimer()
	}
	n := float64(organisations + budgets)
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/n, "ns/object")
	b.ReportMetric(float64(usedBytes)/n, "B/object")
	b.ReportMetric(float64(valueBytes)/n, "value-B/object")
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func encodedSize(b *testing.B, v any) float64 {
	raw, err := cbor.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(raw))
}

// BenchmarkDigest reports the time of a digest and the encoded bytes of an exchange in three cases: the stores are
// equal, one store has one newer object, and the stores differ in one older object.
func BenchmarkDigest(b *testing.B) {
	s, peer := config.New(), config.New()
	for _, o := range fleetObjects() {
		s.Apply(o)
		peer.Apply(o)
	}
	var digest config.Digest
	for b.Loop() {
		digest = s.Digest()
		if !peer.Diff(digest).Empty() {
			b.Fatal("equal stores differ")
		}
	}
	b.ReportMetric(encodedSize(b, digest), "digest-B")

	newer := organisation(7, 100_000)
	s.Apply(newer)
	want := peer.Diff(s.Digest())
	push := s.AnswerWant(want)
	peer.ApplyPush(push)
	b.ReportMetric(encodedSize(b, want)+encodedSize(b, push), "newer-B")

	s.Apply(organisation(9, 100_001))
	top := organisation(8, 100_002)
	s.Apply(top)
	peer.Apply(top)
	want = peer.Diff(s.Digest())
	push = s.AnswerWant(want)
	_, next := peer.ApplyPush(push)
	last := s.AnswerWant(next)
	peer.ApplyPush(last)
	b.ReportMetric(encodedSize(b, want)+encodedSize(b, push)+encodedSize(b, next)+encodedSize(b, last), "older-B")
	if !peer.Diff(s.Digest()).Empty() {
		b.Fatal("stores differ after the exchange")
	}
}

// BenchmarkStart reports the rounds and bytes of the exchange in which a starting router fetches all objects from a
// peer.
func BenchmarkStart(b *testing.B) {
	s := config.New()
	for _, o := range fleetObjects() {
		s.Apply(o)
	}
	rounds, pushedBytes := 0, 0.0
	for b.Loop() {
		rounds, pushedBytes = 0, 0
		fresh := config.New()
		for want := fresh.Diff(s.Digest()); !want.Empty(); rounds++ {
			push := s.AnswerWant(want)
			b.StopTimer()
			pushedBytes += encodedSize(b, push)
			b.StartTimer()
			_, want = fresh.ApplyPush(push)
		}
	}
	b.ReportMetric(float64(rounds), "rounds")
	b.ReportMetric(pushedBytes, "pushed-B")
}
