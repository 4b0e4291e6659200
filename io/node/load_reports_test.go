package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
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

// unlimitedSlots grants every slot.
type unlimitedSlots struct{}

func (unlimitedSlots) TryReserve(ident.TargetID) bool { return true }
func (unlimitedSlots) Release(ident.TargetID)         {}

// chatBody returns the body of a chat completion with a system message and alternating user and assistant messages.
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

// TestPrefixHash guards against a hash that differs from those in the cache events of an engine, and against one hash
// for all short prompts.
func TestPrefixHash(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.engine("e", "a", fakeengine.Config{}, "v1")
	n := f.router("r", "a")
	c, err := n.pools.engineClient(f.view.targets["e"].URL)
	is.NoErr(err)
	body := chatBody(strings.Repeat("plan the yard bays for tomorrow ", 100), "q")
	s, err := c.Start(context.Background(), engine.Request{ID: "x", Version: "v1", Body: body})
	is.NoErr(err)
	is.NoErr(s.Close())
	events, err := c.CacheEvents(context.Background(), 0)
	is.NoErr(err)
	for _, size := range []int{64, 100, 2048} {
		h := prefixHash(promptOf(body)[:size])
		is.True(slices.ContainsFunc(events.Events, func(e engine.CacheEvent) bool { return e.Prefix == fmt.Sprintf("%016x", h) }))
	}
	is.True(prefixHash([]byte("a")) != prefixHash([]byte("b")))
}

// promptOf returns the prompt that the fake engine derives from a request body.
func promptOf(body []byte) []byte {
	r, err := fakeengine.Expect(body)
	if err != nil {
		panic(err)
	}
	return []byte(r.Prompt)
}

// TestLoadReports guards against cache hints, loads and loaded versions that reach only the router that polls the
// target, and against hints that are kept after a gap in the cache events.
func TestLoadReports(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	engines := make(map[ident.TargetID]*fakeengine.Server)
	for i := range 6 {
		id := fmt.Sprint("e", i)
		engines[ident.TargetID(id)] = f.engine(id, "a", fakeengine.Config{Versions: []string{"v1"}}, "v1", "v2")
	}
	poller, other := f.router("r1", "a"), f.router("r2", "a")
	body := chatBody(strings.Repeat("long system prompt ", 10), "q")
	key := target.Key{Model: "m", Domain: "a"}
	send := func(id ident.TargetID, request string, body []byte) {
		c, err := poller.pools.engineClient(f.view.targets[id].URL)
		is.NoErr(err)
		s, err := c.Start(context.Background(), engine.Request{ID: ident.RequestID(request), Version: "v1", Body: body})
		is.NoErr(err)
		is.NoErr(s.Close())
	}
	poll := func() {
		f.clock.Advance(targetPollInterval)
		poller.pools.tick(f.clock.Now())
		applyEvents(poller)
		other.loadReports.receive(peer.Load{Domain: "a", Rows: poller.loadReports.unsent}, f.clock.Now())
		poller.loadReports.unsent = nil
		for _, n := range []*Node{poller, other} {
			n.pools.publishTable(f.clock.Now())
		}
	}
	hinted := func(n *Node) (ident.TargetID, bool) {
		c, err := n.table.Load().Pool(key).Choose(target.Request{Prefix: prefixHash(promptOf(body)), Version: "v1", Now: f.clock.Now()}, unlimitedSlots{})
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
		_, err := n.table.Load().Pool(key).Choose(target.Request{Version: "v2", Now: f.clock.Now()}, unlimitedSlots{})
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

// TestVMList guards against a leaving target that gets new requests from a router that does not read the VM list,
// against members that are dropped because a partial list was taken for the whole, and against lists that never agree.
func TestVMList(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.engine("e0", "a", fakeengine.Config{}, "v1")
	f.engine("e1", "a", fakeengine.Config{}, "v1")
	watcher, other := f.router("r1", "a"), f.router("r2", "a")
	now := f.clock.Now()
	live := []store.VM{{Name: "vm-e0", Domain: "a", State: store.VMLive}, {Name: "vm-e1", Domain: "a", State: store.VMLive}}
	watcher.applyVMList(vmListEvent{vms: live}, now)
	leaving := slices.Clone(live)
	leaving[1].State = store.VMLeaving
	watcher.applyVMList(vmListEvent{vms: leaving}, now)
	f.putVMs(leaving)                          // the control loop polls the list too, at any time from its start on
	is.Equal(len(watcher.vmList.changedAt), 1) // only the change is pushed

	other.vmList.receive(peer.VMs{Rows: []peer.VMRow{{Name: "vm-e1", Domain: "a", State: "leaving"}}}, now)
	is.Equal(other.pools.registry.State("e1"), object.TargetLeaving)
	is.Equal(other.pools.registry.State("e0"), object.TargetActive)
	is.Equal(other.vmList.hash(), uint64(0)) // a partial list is not compared
	is.True(!other.vmList.complete)

	go watcher.controlLoop()
	defer func() { watcher.cancel(); <-watcher.controlDone }()
	answer, err := watcher.vmList.answer(context.Background(), peer.VMs{Hash: other.vmList.hash()})
	is.NoErr(err)
	full := answer.(peer.VMs)
	is.True(full.Full)
	other.vmList.receive(full, now)
	is.Equal(other.vmList.hash(), full.Hash)
	is.Equal(other.members.vmStates["vm-e1"], store.VMLeaving)
	answer, err = watcher.vmList.answer(context.Background(), peer.VMs{Hash: other.vmList.hash()})
	is.NoErr(err)
	is.Equal(answer, peer.VMs{Hash: full.Hash}) // nothing to send
}

// putVMs stores a VM list at the platform.
func (f *fixture) putVMs(vms []store.VM) {
	f.t.Helper()
	for _, vm := range vms {
		body := fmt.Sprintf(`{"name":%q,"domain":%q,"state":%q}`, vm.Name, vm.Domain, vm.State)
		r, err := http.NewRequest(http.MethodPut, f.platformURL+"/v1/vms/"+string(vm.Name), strings.NewReader(body))
		if err != nil {
			f.t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			f.t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode >= http.StatusBadRequest {
			f.t.Fatalf("put of VM %s: status %d", vm.Name, resp.StatusCode)
		}
	}
}

// TestPoolTotals guards against a failure domain that counts as having free slots although its totals report none, and
// against one that counts as fresh without a report.
func TestPoolTotals(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	for _, domain := range []string{"a", "b", "c"} {
		f.engine("e-"+domain, domain, fakeengine.Config{}, "v1")
	}
	n, remote := f.router("r1", "a"), f.router("r2", "b")
	now := f.clock.Now().Add(time.Minute)
	remote.pools.registry.ReportLoad(target.Load{Target: "e-b", Running: 3, Queued: 3, AsOf: now})
	remote.pools.publishTable(now)
	load := peer.Load{Domain: "b"}
	for _, t := range remote.pools.registry.Totals() {
		load.Pools = append(load.Pools, peer.PoolRow{Model: t.Key.Model, Active: t.Active, Capacity: t.Capacity, Busy: t.Busy, AsOf: peer.UnixMilli(t.AsOf)})
	}
	is.Equal(len(load.Pools), 1)
	n.loadReports.receive(load, now)
	n.pools.publishTable(now)
	got := n.table.Load().SpillCandidates(target.Key{Model: "m", Domain: "a"}, now)
	is.Equal(got, []target.SpillCandidate{{Domain: "b", Free: -2, Fresh: true}, {Domain: "c", Free: 4}})
}
