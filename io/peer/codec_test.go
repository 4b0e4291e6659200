package peer_test

import (
	"encoding/hex"
	"errors"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/core/config"
	"geraniumsaddle/core/member"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/peer"
)

func samples() []peer.Message {
	up := member.Update{ID: "b.2", Addr: "127.0.0.1:7001", Domain: "d1", VM: "vm-b", Incarnation: 3, State: member.StateSuspect}
	key := peer.EntryKey{Kind: object.KindLedger, Object: "07", Entry: "budget-1"}
	row := peer.JournalRow{Seq: 9, Kind: peer.JournalHold, Key: key, Request: "r1", KeyHash: []byte{1, 2}, Tokens: 500, At: 1}
	return []peer.Message{
		peer.Probe{Probe: member.Probe{Seq: 1, From: up, Updates: []member.Update{up}, Sync: true}},
		peer.ProbeAck{Ack: member.Ack{Seq: 1, From: up, Relayed: true}},
		peer.ProbeReq{ProbeReq: member.ProbeReq{Seq: 2, From: up, Target: up}},
		peer.Leaving{Member: up},
		peer.Digest{Digest: config.Digest{Kinds: []config.KindDigest{{Kind: object.KindTarget, Highest: 5, Hash: 1 << 63}}}},
		peer.Want{Want: config.Want{Kinds: []config.KindWant{{Kind: object.KindTarget, Newer: true, Buckets: []uint64{1, 2}, Names: []string{"x"}}}}},
		peer.Push{Push: config.Push{Objects: []config.Object{{Kind: object.KindTarget, Name: "t", Version: 4, Value: []byte("{}")}}}},
		peer.LedgerReport{Rows: []peer.LedgerRow{{Key: key, Holder: "a.1", Returned: 5, Closing: true}}},
		peer.LedgerState{Objects: []config.Object{{Kind: object.KindLedger, Name: "07", Version: 9, Value: []byte("{}")}}},
		peer.TransferAsk{Key: key, Holder: "a.1", Wanted: 10},
		peer.Transfer{Key: key, From: "a.1", To: "b.2", Out: 7},
		peer.TransferAck{Key: key, From: "a.1", To: "b.2", In: 7},
		peer.JournalAppend{Owner: "a.1", Snapshot: true, Last: true, Rows: []peer.JournalRow{row}},
		peer.JournalAck{Owner: "a.1", Seq: 9, NeedSnapshot: true},
		peer.JournalFind{Request: "r1", KeyHash: []byte{1}},
		peer.JournalFound{Owner: "a.1", Rows: []peer.JournalRow{row}, More: true},
		peer.Evidence{Domain: "d1", Cells: []peer.EvidenceCell{{Router: "a.1", Version: "v2", Route: "/x", Requests: 9, Latency: []uint64{1}}}},
		peer.Verdict{Rows: []peer.VerdictRow{{Release: "rel", Version: "v2", Bad: true, Verdict: object.VerdictTakenBack}}},
		peer.Load{Domain: "d1", Rows: []peer.LoadRow{{Target: "t", Running: 1, Capacity: 8}}},
		peer.Done{},
		peer.Failure{Code: "c", Message: "m"},
	}
}

// TestRoundTrip guards against a field that is lost on the wire or a type without a decoder.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	for i, m := range samples() {
		is.Equal(int(m.Type()), i+1) // one sample for each type
		b, err := peer.Encode("a.1", m)
		is.NoErr(err)
		env, err := peer.Decode(b)
		is.NoErr(err)
		is.True(reflect.DeepEqual(env.Msg, m))
		is.Equal(env.From.Name(), "a")
	}
}

// TestDecodeTable guards against a decoder that fails on messages of a newer release, or that accepts
// malformed ones. Each line of the file has a case, the wanted result and the bytes.
func TestDecodeTable(t *testing.T) {
	is := is.New(t)
	b, err := os.ReadFile("testdata/decode.txt")
	is.NoErr(err)
	want := map[string]error{
		"ok": nil, "unknown_type": peer.ErrUnknownType, "unknown_format": peer.ErrUnknownFormat, "malformed": peer.ErrMalformed,
	}
	for line := range strings.Lines(string(b)) {
		f := strings.Fields(line)
		if len(f) != 3 {
			t.Fatalf("line %q has %d fields", line, len(f))
		}
		raw, err := hex.DecodeString(f[2])
		is.NoErr(err)
		_, err = peer.Decode(raw)
		if w, ok := want[f[1]]; !ok || !errors.Is(err, w) {
			t.Errorf("%s: got %v, want %s", f[0], err, f[1])
		}
	}
	_, err = peer.Decode(make([]byte, peer.MaxMessage+1))
	is.True(errors.Is(err, peer.ErrTooLarge))
	_, err = peer.Encode("a.1", peer.Failure{Message: strings.Repeat("x", int(peer.MaxMessage))})
	is.True(errors.Is(err, peer.ErrTooLarge))
}

// FuzzDecode guards against a decoder that panics, or whose result cannot be encoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range samples() {
		b, err := peer.Encode("a.1", m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		env, err := peer.Decode(b)
		if err != nil {
			return
		}
		again, err := peer.Encode(env.From, env.Msg)
		if errors.Is(err, peer.ErrTooLarge) {
			return // the shortest form of a message may still be longer than a form without empty fields
		}
		if err != nil {
			t.Fatal(err)
		}
		if _, err := peer.Decode(again); err != nil {
			t.Fatal(err)
		}
	})
}
