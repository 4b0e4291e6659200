package record

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumsaddle/core/ident"
)

// fillJournal adds random rows of all kinds to a journal.
func fillJournal(t *rapid.T, j *Journal, rows int) {
	name := func(kind string, i int) string {
		return fmt.Sprintf("%s-%d%s", kind, i, strings.Repeat("x", rapid.IntRange(0, 300).Draw(t, "length")))
	}
	at := time.Unix(1_796_342_400, 123456789).UTC()
	for i := range rows {
		h := Hold{Request: ident.RequestID(name("q", i)), Org: ident.OrgID(name("o", i)), Budget: ident.BudgetID(name("b", i)),
			Key: ident.KeyID(name("k", i)), Model: ident.ModelID(name("m", i)), Service: ident.ServiceID(name("s", i)),
			Version: ident.VersionID(name("v", i)), Target: ident.TargetID(name("t", i)), Tokens: 1 << 60, IdempotencyKey: Hash{255},
			Body: Hash{255}, Claimed: true, At: at}
		if _, err := j.OpenHold(h); err != nil {
			t.Fatal(err)
		}
		if rapid.Bool().Draw(t, "settled") {
			if _, err := j.Settle(Settlement{Request: h.Request, PromptTokens: 1 << 60, OutputTokens: 1 << 60, Billed: 1 << 59,
				OverBound: 1 << 59, Outcome: ident.OutcomeNotRun, At: at}); err != nil {
				t.Fatal(err)
			}
		}
		c := Counters{Budget: h.Budget, Returned: 1 << 60}
		for k := range rapid.IntRange(0, 4).Draw(t, "transfers") {
			c.Out = append(c.Out, Transfer{ident.RouterID(name("r", k)), 1 << 60})
			c.In = append(c.In, Transfer{ident.RouterID(name("r", k)), 1 << 60})
		}
		if _, err := j.RaiseCounters(c); err != nil {
			t.Fatal(err)
		}
	}
}

// TestPropertySnapshotParts guards against a part above the limit, against a state that differs after parts were lost,
// repeated and reordered and a newer snapshot came in between, against an acknowledgement of an incomplete
// snapshot, and against a transfer that never ends.
func TestPropertySnapshotParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lim := DefaultLimits()
		lim.PartBytes, lim.PendingBytes = 16<<10, 4<<10
		now := time.Unix(1000, 0)
		j, r := New("r.1", lim), NewReplica("p.1", "r.1", 9, lim)
		fillJournal(t, j, rapid.IntRange(1, 120).Draw(t, "rows"))
		if err := j.ChoosePeer("p.1"); err != nil {
			t.Fatal(err)
		}
		var sent []Message
		apply := func(m Message) {
			a, ok := r.Apply(m, now)
			if ok && a.Number != 0 && (!r.loaded || a.Seq != r.state.seq) {
				t.Fatalf("acknowledgement %+v without the state", a)
			}
			if ok && rapid.IntRange(0, 4).Draw(t, "ack lost") > 0 {
				j.HandleAck(a, now)
			}
		}
		sendOutbox := func(delivered bool) {
			now = now.Add(time.Second)
			for _, o := range j.Outbox(now) {
				raw, err := cbor.Marshal(o.Message)
				if p, ok := o.Message.(*SnapshotPart); ok && (err != nil || len(raw) > int(lim.PartBytes)) {
					t.Fatalf("part %d of %d has %d bytes, error %v", p.Index, p.Count, len(raw), err)
				}
				sent = append(sent, o.Message)
				if delivered {
					apply(o.Message)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"lose":    func(*rapid.T) { sendOutbox(false) },
			"deliver": func(*rapid.T) { sendOutbox(true) },
			"late": func(t *rapid.T) {
				if len(sent) > 0 {
					apply(rapid.SampledFrom(sent).Draw(t, "message"))
				}
			},
			"newer": func(t *rapid.T) { // overflows the pending entries, so that a newer snapshot is needed
				for i := range 40 {
					if _, err := j.RaiseCounters(Counters{Budget: "n", Returned: ident.Tokens(i)}); err != nil {
						t.Fatal(err)
					}
				}
			},
			"new replica": func(t *rapid.T) {
				if !r.loaded && rapid.IntRange(0, 3).Draw(t, "loss") == 0 {
					r = NewReplica("p.1", "r.1", r.instance+1, lim)
				}
			},
		})
		for i := 0; i < 2000 && (j.next.snapshotPending || j.next.ackedSeq < j.state.seq); i++ {
			sendOutbox(true)
		}
		if !r.loaded || r.collecting != nil || j.next.parts != nil {
			t.Fatal("the snapshot is not applied, or its parts are kept")
		}
		is.New(t).Equal(r.state.allCounters(), j.state.allCounters())
		is.New(t).Equal(r.state.openHolds(), j.state.openHolds())
		is.New(t).Equal(r.state.recent.list(), j.state.recent.list())
	})
}

// TestPartsOverLimit guards against a replica that collects more rows or parts than its limits allow, and against parts
// of different counts in one collection.
func TestPartsOverLimit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	lim := Limits{Holds: 2, Accounts: 2, Recent: 2, PartBytes: 4096}
	part := func(i, n int, sn Snapshot) *SnapshotPart {
		sn.Router, sn.Term, sn.Seq = "r.1", 1, 5
		return &SnapshotPart{Index: i, Count: n, Snapshot: sn}
	}
	r := NewReplica("p.1", "r.1", 9, lim)
	for _, m := range []*SnapshotPart{part(0, 1, Snapshot{}), part(2, 2, Snapshot{}), part(-1, 2, Snapshot{}), part(0, maxParts+1, Snapshot{})} {
		_, ok := r.Apply(m, now)
		is.True(!ok) // malformed part
		is.True(r.collecting == nil)
	}
	a, ok := r.Apply(part(1, 3, Snapshot{Holds: make([]Hold, 2)}), now)
	is.True(ok)
	is.Equal(a, Ack{Peer: "p.1", Term: 1, Instance: 9, PartsOf: 5})
	_, ok = r.Apply(part(0, 4, Snapshot{}), now)
	is.True(!ok) // another number of parts
	a, _ = r.Apply(part(0, 3, Snapshot{Holds: make([]Hold, 1)}), now)
	is.Equal(a, Ack{Peer: "p.1", Term: 1, Instance: 9, Full: true})
	is.True(r.collecting == nil)
}
