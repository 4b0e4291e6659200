package peer_test

import (
	"encoding/hex"
	"errors"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/change"
	"geraniumsaddle/core/config"
	"geraniumsaddle/core/digest"
	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/member"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/poison"
	"geraniumsaddle/core/quota"
	"geraniumsaddle/core/record"
	"geraniumsaddle/io/peer"
)

// sampleMessages returns one message of each type, in the order of the type numbers.
func sampleMessages() []peer.Message {
	update := member.Update{ID: "b.2", Addr: "127.0.0.1:7001", Domain: "d1", VM: "vm-b", Incarnation: 3, State: member.StateSuspect}
	key := object.Key{Kind: object.KindLedger, Name: "07"}
	at := time.Date(2030, 1, 2, 3, 4, 5, 6000, time.UTC)
	moment := quota.Moment{Boot: "b", Uptime: time.Minute, Wall: 1_700_000_000_000}
	hold := record.Hold{Request: "r1", Org: "o", Budget: "b", Tokens: 500, IdempotencyKey: record.Hash{7}, At: at}
	return []peer.Message{
		peer.Probe{Probe: member.Probe{Seq: 1, From: update, Updates: []member.Update{update}, Sync: true}},
		peer.ProbeAck{Ack: member.Ack{Seq: 1, From: update, Relayed: true}},
		peer.ProbeReq{ProbeReq: member.ProbeReq{Seq: 2, From: update, Target: update}},
		peer.Leaving{Member: update},
		peer.Digest{Digest: config.Digest{Kinds: []config.KindDigest{{Kind: object.KindTarget, Highest: 5, Hash: 1 << 63}}}},
		peer.Want{Want: config.Want{Kinds: []config.KindWant{{Kind: object.KindTarget, Newer: true, Buckets: []uint64{1, 2}, Names: []string{"x"}}}}},
		peer.Push{Push: config.Push{Objects: []config.Object{{Kind: object.KindTarget, Name: "t", Version: 4, Value: []byte("{}")}}}},
		peer.LedgerReport{Shard: key, Reports: []escrow.Report{{Entry: "b", Holder: "a.1", Returned: 5, Seq: 1}}},
		peer.LedgerState{Shard: key, Version: 9, Entries: []escrow.Entry{{ID: "b", Paid: 5, ExpiresAt: at, Holders: []escrow.Holder{{ID: "a.1", Granted: 3}}}}},
		peer.TransferAsk{Ask: escrow.Ask{Entry: "b", From: "a.1", Need: 10, Smallest: 3}},
		peer.Transfer{Transfer: escrow.Transfer{Entry: "b", From: "a.1", To: "b.2", Total: 7}},
		peer.TransferAck{Transfer: escrow.Transfer{Entry: "b", From: "a.1", To: "b.2", Total: 7}},
		peer.JournalAppend{Append: &record.Append{Router: "a.1", Term: 2, Entries: []record.Entry{{Seq: 9, Open: &hold}}}},
		peer.JournalAck{Ack: record.Ack{Peer: "b.2", Term: 2, Instance: 1 << 63, Seq: 9, Number: 4}},
		peer.JournalFind{Key: record.Hash{1}, Request: "r1"},
		peer.JournalFound{Owner: "a.1", Hold: &hold, Settlement: &record.Settlement{Request: "r1", Outcome: "run", At: at, Answer: &record.Answer{Status: 200, Body: []byte("x")}}},
		peer.Evidence{Domain: "d1", Cells: []peer.EvidenceCell{{Router: "a.1", Version: "v2", Route: "/x", Requests: 9, Latency: []uint64{1}}}},
		peer.Verdict{Rows: []peer.VerdictRow{{Release: "rel", Version: "v2", Bad: true, Verdict: object.VerdictTakenBack}}},
		peer.Load{Domain: "d1", Pools: []peer.PoolRow{{Model: "m", Active: 2, Capacity: 8, Busy: 3, AsOf: 4}},
			Rows: []peer.LoadRow{{Target: "t", Running: 1, Capacity: 8, HasLoaded: true, Loaded: []ident.VersionID{"v"}, Cache: []peer.CacheEvent{{Seq: 1, Prefix: 1 << 63, Evicted: true}}, Reset: true}}},
		peer.Done{},
		peer.Failure{Code: "c", Message: "m"},
		peer.ClaimAsk{Org: "o", Key: "k", Body: record.Hash{2}, Request: "r1", Call: peer.ServiceCall{Service: "s", Method: "POST", Path: "/x", Headers: []peer.Header{{Name: "Accept", Values: []string{"*"}}}, Body: []byte("b"), TimeoutMS: 5}},
		peer.ClaimAnswer{Request: "r1", Status: 201, Body: []byte("b"), Outcome: "run"},
		peer.Forward{Request: "r1", Org: "o", Model: "m", Body: []byte("{}"), Prefix: []byte("p"), Priority: 2},
		peer.ForwardOffer{Target: "t", Version: "v1"},
		peer.ForwardGo{},
		peer.ForwardChunk{Offset: 3, Data: []byte("{}"), Content: true},
		peer.ForwardEnd{Chunks: 4, Usage: []byte("{}"), HasUsage: true, PromptTokens: 5, OutputTokens: 6, Outcome: "run", Code: "c", Message: "m"},
		peer.StreamAck{Received: 1 << 40},
		peer.VMs{Hash: 1 << 63, Full: true, Rows: []peer.VMRow{{Name: "vm", Domain: "d1", State: "gone"}}},
		peer.TokenClaim{Claim: quota.Claim{Router: "a.1", VM: "a", Writes: 3, Started: moment, Leaves: true,
			Needs: map[ident.OrgID]quota.Need{"o": {Floor: 1, Used: 2, Spent: 3, Want: 4, Rate: 1.5, Size: 2.5}},
			Allowances: &quota.Allowances{Format: 1, Sent: moment, HoldOff: time.Second, Clocks: map[ident.VMID]int64{"b": 5},
				Rows: map[ident.OrgID]quota.Allowance{"o": {Limit: 6, Growth: 7}}}}},
		peer.TokenOutcome{Outcome: quota.Outcome{AllowancesStored: true, Clocks: map[ident.VMID]int64{"b": 5},
			Grants:     map[ident.OrgID]quota.Grant{"o": {Row: quota.Row{Granted: 1, Spent: 2, Rate: 3, Want: 4}, Entitlement: 5, SpentByOthers: 6, Unallotted: -7}},
			Allowances: map[ident.OrgID]quota.Allowance{"o": {Limit: 6, Growth: 7}}}},
		peer.TokenHold{Request: "r1", Org: "o", Tokens: 7, TTL: time.Second, Wait: time.Millisecond},
		peer.TokenHeld{Result: quota.HoldResult{Verdict: quota.Insufficient}, Total: 9, StoreUnreachable: true},
		peer.TokenSettle{Request: "r1", Used: 5},
		peer.ChangesWanted{Kind: "targets", From: 7, Wait: time.Second},
		peer.Changes{Batch: change.Batch{Version: 9, Events: []change.Event{
			{Name: "t1", Version: 8, Value: []byte("{}"), Status: []byte("1")}, {Name: "t2", Version: 9, Deleted: true},
		}}, Age: time.Second, Held: time.Millisecond},
		peer.Poison{Report: poison.Report{
			Losses:      []poison.Loss{{Target: poison.Target{ID: "t", Born: 4}, Service: "llm", Age: time.Second, Prompts: []poison.Prompt{{"a", "b"}}}},
			Clearances:  []poison.Clearance{{Part: poison.Part{Service: "llm", ID: "a"}, Age: time.Second}},
			Quarantines: []poison.Quarantine{{Part: poison.Part{Service: "llm", ID: "b"}, Age: 1, LossAge: 2, Losses: 3, Prompts: 4, Strikes: 1, Term: time.Minute}},
		}},
		peer.Work{Digest: digest.Digest{Seq: 4, Domain: "d1", Packed: digest.Pack([]digest.Row{{Target: 7, Work: digest.Work{Running: 2}}})}},
	}
}

// TestRoundTrip guards against fields that are lost in encoding and against types without a decoder or a sample.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	is.Equal(peer.Type(len(sampleMessages())+1).String(), "unknown")
	for i, m := range sampleMessages() {
		is.Equal(int(m.Type()), i+1) // one sample for each type
		b, err := peer.Encode("a.1", m)
		is.NoErr(err)
		env, err := peer.Decode(b)
		is.NoErr(err)
		is.True(reflect.DeepEqual(env.Msg, m))
		is.Equal(env.From.Name(), "a")
	}
}

// TestDecodeTable guards against a decoder that fails on messages of a newer release or accepts malformed ones. Each
// line of the file has the name of the case, the expected result and the bytes in hexadecimal.
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

// FuzzDecode guards against panics in the decoder, and against decoded messages that cannot be encoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range sampleMessages() {
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
			return // Encode writes fields that the input may have left out, so its output can be longer
		}
		if err != nil {
			t.Fatal(err)
		}
		if _, err := peer.Decode(again); err != nil {
			t.Fatal(err)
		}
	})
}
