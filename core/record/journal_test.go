package record

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
)

type journalPair struct {
	j *Journal
	r *Replica
	d Declaration
}

// newPair returns a journal with a declared peer and the time of the peer's latest confirmed acknowledgement, now.
func newPair(is *is.I, now time.Time) *journalPair {
	p := &journalPair{j: New("r.1", DefaultLimits()), r: NewReplica("p.1", "r.1", 9, DefaultLimits())}
	is.NoErr(p.j.ChoosePeer("p.1"))
	p.exchange(now)
	var ok bool
	p.d, ok = p.j.BeginDeclaration()
	is.True(ok)
	p.j.ConfirmDeclaration(p.d)
	p.exchange(now)
	p.exchange(now)
	return p
}

func (p *journalPair) exchange(now time.Time) {
	for _, o := range p.j.Outbox(now) {
		if a, ok := p.r.Apply(o.Message, now); ok {
			p.j.HandleAck(a, now)
		}
	}
}

// TestReleaseByGrace guards against a release before the grace has passed, and against a proof from an acknowledgement
// that arrives late, after an entry unknown to the peer was released.
func TestReleaseByGrace(t *testing.T) {
	is := is.New(t)
	t0 := time.Unix(1000, 0)
	p := newPair(is, t0)
	seq, err := p.j.OpenHold(Hold{Request: "q1", Budget: "b", Tokens: 10})
	is.NoErr(err)
	is.Equal(p.j.Release(seq, t0.Add(Grace-1)), Release{RetryAt: t0.Add(Grace)})
	keepAlive := &Append{Router: "r.1", Term: p.d.Term, Instance: 9}
	late, ok := p.r.Apply(keepAlive, t0.Add(Grace-time.Second))
	is.True(ok)
	is.Equal(p.j.Release(seq, t0.Add(Grace)), Release{OK: true})
	is.True(p.j.HandleAck(late, t0.Add(Grace+time.Second)))
	for _, o := range p.j.Outbox(t0.Add(Grace + 2*time.Second)) {
		m := *o.Message.(*Append)
		m.Entries = nil // The message with the entry is lost, the confirmation arrives.
		p.r.Apply(&m, t0.Add(Grace+2*time.Second))
	}
	is.Equal(p.r.Close(p.d, t0.Add(Grace+3*time.Second)), NotProvable{ReasonLearnedLate})
}

// TestCloseWithinGrace guards against a proof after the grace, from a peer that the ledger does not name, without a
// confirmation, or for a router that does not number its accounts, and against a missing proof when everything is
// covered.
func TestCloseWithinGrace(t *testing.T) {
	is := is.New(t)
	t0 := time.Unix(1000, 0)
	for _, c := range []struct {
		name string
		d    Declaration
		at   time.Duration
		want Verdict
	}{
		{"covered", Declaration{"p.1", 1}, Grace - ClockMargin - 1, nil},
		{"late", Declaration{"p.1", 1}, Grace - ClockMargin, NotProvable{ReasonLearnedLate}},
		{"other peer", Declaration{"p.2", 1}, 0, NotProvable{ReasonNotDeclared}},
		{"other term", Declaration{"p.1", 2}, 0, NotProvable{ReasonNotDeclared}},
		{"alone", Declaration{}, 0, NotProvable{ReasonNotDeclared}},
	} {
		v := newPair(is, t0).r.Close(c.d, t0.Add(c.at))
		if c.want == nil {
			_, ok := v.(Proof)
			is.True(ok) // covered
			continue
		}
		is.Equal(v, c.want) // reason
	}
	fresh := NewReplica("p.1", "r.1", 1, DefaultLimits())
	fresh.Apply(&Snapshot{Router: "r.1", Term: 1}, t0)
	is.Equal(fresh.Close(Declaration{"p.1", 1}, t0), NotProvable{ReasonNeverConfirmed})
	earlier := NewReplica("p.1", "r.1", 1, DefaultLimits())
	a, _ := earlier.Apply(&Snapshot{Router: "r.1", Term: 1}, t0)
	earlier.Apply(&Append{Router: "r.1", Term: 1, Instance: 1, Confirm: a.Number}, t0)
	is.Equal(earlier.Close(Declaration{"p.1", 1}, t0), NotProvable{ReasonUnnumbered})
}

// TestRecoverOutcomes guards against a bill above the hold, a not_run outcome that is not certain, and an unknown
// request whose tokens are returned.
func TestRecoverOutcomes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := newPair(is, now)
	for _, req := range []ident.RequestID{"absent", "gone", "over", "unknown"} {
		_, err := p.j.OpenHold(Hold{Request: req, Budget: "b", Tokens: 100})
		is.NoErr(err)
	}
	p.exchange(now)
	rec := p.r.Recover(p.r.Close(p.d, now), map[ident.RequestID]TargetResult{
		"absent": Absent{Certain: true}, "gone": Absent{}, "over": Ran{70, 50}, "unknown": Unknown{},
	}, now)
	is.Equal(rec.Settlements, []Settlement{
		{Request: "absent", Outcome: ident.OutcomeNotRun, At: now},
		{Request: "gone", Outcome: ident.OutcomeUnknown, At: now},
		{Request: "over", PromptTokens: 70, OutputTokens: 50, Billed: 100, OverBound: 20, Outcome: ident.OutcomeRun, At: now},
		{Request: "unknown", Unresolved: 100, Outcome: ident.OutcomeUnknown, At: now},
	})
	is.Equal(len(rec.Bills), 3)
	is.Equal(rec.Proof.Accounts, []AccountState{{Counters: Counters{Budget: "b", Settled: 100}, Unresolved: 100}})
}

// BenchmarkRequest measures a hold, its release and its settlement, with the exchange of both with the peer.
func BenchmarkRequest(b *testing.B) {
	now := time.Unix(1000, 0)
	p := newPair(is.New(b), now)
	h := Hold{Request: "q", Budget: "b", Tokens: 100, IdempotencyKey: Hash{1}}
	b.ReportAllocs()
	for i := range b.N {
		h.Request = ident.RequestID([]byte{byte(i), byte(i >> 8), byte(i >> 16), byte(i >> 24), 'q'})
		seq, err := p.j.OpenHold(h)
		if err != nil {
			b.Fatal(err)
		}
		p.exchange(now)
		if !p.j.Release(seq, now).OK {
			b.Fatal("not released")
		}
		if _, err := p.j.Settle(Settlement{Request: h.Request, Billed: 50, Outcome: ident.OutcomeRun}); err != nil {
			b.Fatal(err)
		}
		p.exchange(now)
	}
}
