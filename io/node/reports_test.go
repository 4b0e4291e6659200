package node

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/target"
	"geraniumsaddle/io/engine"
	fakeengine "geraniumsaddle/io/fakes/engine"
	"geraniumsaddle/io/peer"
	"geraniumsaddle/io/store"
)

type freeSlots struct{}

func (freeSlots) TryReserve(ident.TargetID) bool { return true }
func (freeSlots) Release(ident.TargetID)         {}

// chatBody returns the body of a chat completion with alternating roles.
func chatBody(contents ...any) []byte {
	type message struct {
		Role    string `json:"role"`
		Content any    `json:"content"`
	}
	body := struct {
		MaxTokens int       `json:"max_tokens"`
		Stream    bool      `json:"stream"`
		Messages  []message `json:"messages"`
		Model     string    `json:"model"`
	}{MaxTokens: 8, Stream: true, Model: "m"}
	for i, c := range contents {
		body.Messages = append(body.Messages, message{[]string{"system", "user", "assistant"}[min(i, 1+i%2)], c})
	}
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return raw
}

// TestPrefixOf guards against a hash that no cache event of an engine names, and against one hash for all short prompts.
func TestPrefixOf(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	b.engine("e", "a", fakeengine.Config{}, "v1")
	n := b.router("r", "a")
	c, err := n.pools.engine(b.view.targets["e"].URL)
	is.NoErr(err)
	body := chatBody(strings.Repeat("plan the yard bays for tomorrow ", 100), "q")
	s, err := c.Start(context.Background(), engine.Request{ID: "x", Version: "v1", Body: body})
	is.NoErr(err)
	is.NoErr(s.Close())
	events, err := c.CacheEvents(context.Background(), 0)
	is.NoErr(err)
	for _, size := range []int{64, 100, 2048} {
		h := prefixOf(promptOf(body)[:size])
		is.True(slices.ContainsFunc(events.Events, func(e engine.CacheEvent) bool { return e.Prefix == fmt.Sprintf("%016x", h) }))
	}
	is.True(prefixOf([]byte("a")) != prefixOf([]byte("b")))
}

// promptOf returns the text that an engine reads.
func promptOf(body []byte) []byte {
	r, err := fakeengine.Expect(body)
	if err != nil {
		panic(err)
	}
	return []byte(r.Prompt)
}

// TestReports guards against cache hints, loads and loaded versions that reach only the router that polls the target, and
// against hints that outlive a gap in the cache events.
func TestReports(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	engines := make(map[ident.TargetID]*fakeengine.Server)
	for i := range 6 {
		id := fmt.Sprint("e", i)
		engines[ident.TargetID(id)] = b.engine(id, "a", fakeengine.Config{Versions: []string{"v1"}}, "v1", "v2")
	}
	poller, other := b.router("r1", "a"), b.router("r2", "a")
	body := chatBody(strings.Repeat("long system prompt ", 10), "q")
	key := target.Key{Model: "m", Domain: "a"}
	send := func(id ident.TargetID, request string, body []byte) {
		c, err := poller.pools.engine(b.view.targets[id].URL)
		is.NoErr(err)
		s, err := c.Start(context.Background(), engine.Request{ID: ident.RequestID(request), Version: "v1", Body: body})
		is.NoErr(err)
		is.NoErr(s.Close())
	}
	poll := func() {
		b.clock.Advance(loadEvery)
		poller.pools.tick(b.clock.Now())
		applyEvents(poller)
		other.reports.receive(peer.Load{Domain: "a", Rows: poller.reports.rows}, b.clock.Now())
		poller.reports.rows = nil
		for _, n := range []*Node{poller, other} {
			n.pools.build(b.clock.Now())
		}
	}
	hinted := func(n *Node) (ident.TargetID, bool) {
		c, err := n.table.Load().Pool(key).Choose(target.Request{Prefix: prefixOf(promptOf(body)), Version: "v1", Now: b.clock.Now()}, freeSlots{})
		is.NoErr(err)
		c.Release(target.ResultOK)
		return c.Target, c.Reason == target.ReasonHint
	}
	send("e4", "x", body)
	poll()
	for _, n := range []*Node{poller, other} {
		id, hint := hinted(n)
		is.True(hint)
		is.Equal(id, ident.TargetID("e4"))
		_, err := n.table.Load().Pool(key).Choose(target.Request{Version: "v2", Now: b.clock.Now()}, freeSlots{})
		is.Equal(err, target.ErrNoTarget) // no target has loaded v2
	}
	engines["e4"].SetFaults(fakeengine.Faults{CacheGap: 1})
	send("e4", "y", chatBody(strings.Repeat("another system prompt ", 20), "q"))
	poll()
	for _, n := range []*Node{poller, other} {
		_, hint := hinted(n)
		is.True(!hint)
	}
}

// TestVMList guards against a target that is leaving and gets new work from a router that does not read the VM list, against
// members that are dropped because a part of the list was taken for the whole, and against lists that never agree.
func TestVMList(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	b.engine("e0", "a", fakeengine.Config{}, "v1")
	b.engine("e1", "a", fakeengine.Config{}, "v1")
	watcher, other := b.router("r1", "a"), b.router("r2", "a")
	now := b.clock.Now()
	live := []store.VM{{Name: "vm-e0", Domain: "a", State: store.VMLive}, {Name: "vm-e1", Domain: "a", State: store.VMLive}}
	watcher.learnVMs(vmsEvent{vms: live}, now)
	leaving := slices.Clone(live)
	leaving[1].State = store.VMLeaving
	watcher.learnVMs(vmsEvent{vms: leaving}, now)
	is.Equal(len(watcher.vmList.changedAt), 1) // only the change is pushed

	other.vmList.receive(peer.VMs{Rows: []peer.VMRow{{Name: "vm-e1", Domain: "a", State: "leaving"}}}, now)
	is.Equal(other.pools.registry.State("e1"), object.TargetLeaving)
	is.Equal(other.pools.registry.State("e0"), object.TargetActive)
	is.Equal(other.vmList.hash(), uint64(0)) // a part of the list is not compared
	is.True(!other.vmList.complete)

	go watcher.controlLoop()
	defer func() { watcher.cancel(); <-watcher.controlDone }()
	m, err := watcher.vmList.answer(context.Background(), peer.VMs{Hash: other.vmList.hash()})
	is.NoErr(err)
	full := m.(peer.VMs)
	is.True(full.Full)
	other.vmList.receive(full, now)
	is.Equal(other.vmList.hash(), full.Hash)
	is.Equal(other.members.vms["vm-e1"], store.VMLeaving)
	m, err = watcher.vmList.answer(context.Background(), peer.VMs{Hash: other.vmList.hash()})
	is.NoErr(err)
	is.Equal(m, peer.VMs{Hash: full.Hash}) // nothing to send
}

// TestTotals guards against a failure domain that is taken to have room though it has reported none.
func TestTotals(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	for _, d := range []string{"a", "b", "c"} {
		b.engine("e-"+d, d, fakeengine.Config{}, "v1")
	}
	n, far := b.router("r1", "a"), b.router("r2", "b")
	now := b.clock.Now().Add(time.Minute)
	far.pools.registry.Report(target.Load{Target: "e-b", Running: 3, Queued: 3, AsOf: now})
	far.pools.build(now)
	m := peer.Load{Domain: "b"}
	for _, t := range far.pools.registry.Totals() {
		m.Pools = append(m.Pools, peer.PoolRow{Model: t.Key.Model, Active: t.Active, Capacity: t.Capacity, Busy: t.Busy, AsOf: peer.UnixMilli(t.AsOf)})
	}
	is.Equal(len(m.Pools), 1)
	n.reports.receive(m, now)
	n.pools.build(now)
	got := n.table.Load().SpillCandidates(target.Key{Model: "m", Domain: "a"}, now)
	is.Equal(got, []target.SpillCandidate{{Domain: "b", Free: -2, Fresh: true}, {Domain: "c", Free: 4}})
}
