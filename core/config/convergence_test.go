package config_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumsaddle/core/config"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

const kind = object.KindTarget

// The faults of a request or of an exchange.
const (
	faultNone = iota
	faultLose
	faultRepeat
)

// platform simulates the object service for one kind, with its history of changes.
type platform struct {
	version ident.ObjectVersion
	objects map[string]config.Object
	history []config.Object
	floor   ident.ObjectVersion // changes up to this version are compacted
}

func (p *platform) change(name string, deleted bool) {
	if _, ok := p.objects[name]; deleted && !ok {
		return
	}
	p.version++
	o := config.Object{Kind: kind, Name: name, Version: p.version, Deleted: deleted}
	if !deleted {
		o.Value = fmt.Appendf(nil, `{"v":%d}`, p.version)
		p.objects[name] = o
	} else {
		delete(p.objects, name)
	}
	p.history = append(p.history, o)
}

func (p *platform) page(after string, limit int) config.ListPage {
	page := config.ListPage{Version: p.version, Last: true}
	var names []string
	for name := range p.objects {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		if len(page.Objects) == limit {
			page.Last = false
			break
		}
		page.Objects = append(page.Objects, p.objects[name])
	}
	return page
}

// process simulates a router with a store. A process that watches the platform also has a feed and a running request.
type process struct {
	store *config.Store
	feed  *config.Feed
	req   config.FeedAction
	// watchVersion is the last version that the running watch has delivered.
	watchVersion ident.ObjectVersion
	seenVersions map[string]ident.ObjectVersion
}

func newProcess(watches bool, seed uint64) *process {
	p := &process{store: config.New(), seenVersions: make(map[string]ident.ObjectVersion)}
	if watches {
		p.feed = config.NewFeed(p.store, kind, rand.New(rand.NewPCG(seed, 1)))
	}
	return p
}

// step makes one request or delivers one event. faultLose fails the request, faultRepeat delivers the event twice.
func (p *process) step(pl *platform, now time.Time, fault int) {
	if p.feed == nil {
		return
	}
	if p.req == nil {
		if p.req = p.feed.Next(now); p.req == nil {
			return
		}
		if w, ok := p.req.(config.WatchFrom); ok {
			p.watchVersion = w.Version
		}
	}
	switch req := p.req.(type) {
	case config.ListFrom:
		p.req = nil
		if fault == faultLose {
			p.feed.Handle(config.ListFailed{}, now)
			return
		}
		p.feed.Handle(pl.page(req.After, 2), now)
	case config.WatchFrom:
		if fault == faultLose || p.watchVersion < pl.floor {
			p.req = nil
			if fault == faultLose {
				p.feed.Handle(config.WatchClosed{}, now)
			} else {
				p.feed.Handle(config.WatchCompacted{}, now)
			}
			return
		}
		for _, o := range pl.history {
			if o.Version > p.watchVersion {
				p.feed.Handle(config.WatchEvent{Object: o}, now)
				if fault == faultRepeat {
					p.feed.Handle(config.WatchEvent{Object: o}, now)
				}
				p.watchVersion = o.Version
				return
			}
		}
	}
}

// exchange sends to the process "to" what it lacks of the objects of "from". faultLose loses the push, faultRepeat
// delivers it twice.
func exchange(from, to *process, fault int) {
	want := to.store.Diff(from.store.Digest())
	for range 8 {
		if want.Empty() {
			return
		}
		push := from.store.AnswerWant(want)
		switch fault {
		case faultLose:
			return
		case faultRepeat:
			to.store.ApplyPush(push)
		}
		_, want = to.store.ApplyPush(push)
	}
}

func (p *process) checkVersions(t *rapid.T, names []string) {
	for _, name := range names {
		v := p.store.Version(object.Key{Kind: kind, Name: name})
		if v < p.seenVersions[name] {
			t.Fatalf("%s went back from version %d to %d", name, p.seenVersions[name], v)
		}
		p.seenVersions[name] = v
	}
}

// TestVersionsNeverGoBackAndStoresConverge guards against a process that returns to an older version of an object or
// restores a deleted one, and against processes that still differ after all faults have ended. The faults are failed
// requests, lost and repeated pushes, restarts and compacted history, which makes feeds list again.
func TestVersionsNeverGoBackAndStoresConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d", "e", "f"}
		pl := &platform{objects: make(map[string]config.Object)}
		procs := []*process{newProcess(true, 1), newProcess(true, 2), newProcess(false, 3), newProcess(false, 4)}
		now := time.Unix(0, 0)
		index := rapid.IntRange(0, len(procs)-1)
		fault := rapid.SampledFrom([]int{faultNone, faultNone, faultLose, faultRepeat})
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				pl.change(rapid.SampledFrom(names).Draw(t, "name"), rapid.Bool().Draw(t, "deleted"))
			},
			"compact": func(t *rapid.T) { pl.floor = pl.version },
			"platform": func(t *rapid.T) {
				now = now.Add(time.Second)
				procs[index.Draw(t, "process")].step(pl, now, fault.Draw(t, "fault"))
			},
			"sync": func(t *rapid.T) {
				exchange(procs[index.Draw(t, "from")], procs[index.Draw(t, "to")], fault.Draw(t, "fault"))
			},
			"restart": func(t *rapid.T) {
				i := index.Draw(t, "process")
				procs[i] = newProcess(i < 2, uint64(i))
			},
			"": func(t *rapid.T) {
				for _, p := range procs {
					p.checkVersions(t, names)
				}
			},
		})
		for range 60 + len(pl.history) {
			now = now.Add(10 * time.Second)
			for i, p := range procs {
				p.step(pl, now, faultNone)
				exchange(p, procs[(i+1)%len(procs)], faultNone)
				exchange(p, procs[(i+2)%len(procs)], faultNone)
				p.checkVersions(t, names)
			}
		}
		for i, p := range procs {
			got := p.store.All(kind)
			want := pl.page("", len(names)).Objects
			if !slices.EqualFunc(got, want, func(a, b config.Object) bool {
				return a.Name == b.Name && a.Version == b.Version && string(a.Value) == string(b.Value)
			}) {
				t.Fatalf("process %d holds %v, the platform %v", i, got, want)
			}
			if !p.store.Diff(procs[0].store.Digest()).Empty() {
				t.Fatalf("process %d has another digest after healing", i)
			}
		}
	})
}

func organisation(i int, v ident.ObjectVersion) config.Object {
	return config.Object{
		Kind: object.KindOrganisation, Name: fmt.Sprintf("org-%05d", i), Version: v,
		Value: fmt.Appendf(nil, `{"format":1,"id":"org-%05d","name":"organisation %d","class":"chat","keys":[{"id":"k1","sha256":"%064d"}],"budgets":["b%d"]}`, i, i, i, i),
	}
}

// TestLargeStore guards against a bounded push that leaves gaps, and against a starting router that cannot fetch all of
// a large store from one peer.
func TestLargeStore(t *testing.T) {
	is := is.New(t)
	a, b := config.New(), config.New()
	const n = 5000
	for i := range ident.ObjectVersion(n) { // a second kind that alone fills several pushes
		o := organisation(int(i), i+1)
		o.Kind = object.KindBudget
		a.Apply(o)
	}
	for i := range n {
		is.Equal(a.Apply(organisation(i, ident.ObjectVersion(i+1))), config.Applied)
	}
	rounds := 0
	for want := b.Diff(a.Digest()); !want.Empty(); rounds++ {
		_, want = b.ApplyPush(a.AnswerWant(want))
	}
	is.True(rounds < 30)
	for _, row := range b.Status() {
		is.Equal(row.Objects, n)
		is.True(!row.Behind())
	}

	for _, i := range []int{17, 2500} { // two changes below the highest version of the other store
		is.Equal(a.Apply(organisation(i, n+1+ident.ObjectVersion(i))), config.Applied)
	}
	top := organisation(4999, 3*n)
	a.Apply(top)
	b.Apply(top)
	want := b.Diff(a.Digest())
	is.Equal(len(want.Kinds[0].Buckets), 256)
	push := a.AnswerWant(want)
	is.True(len(push.Refs[0].Refs) < 100)
	_, want = b.ApplyPush(push)
	is.Equal(len(want.Kinds[0].Names), 2)
	b.ApplyPush(a.AnswerWant(want))
	is.True(b.Diff(a.Digest()).Empty())
}

func ExampleStore_Apply() {
	s := config.New()
	o := config.Object{Kind: object.KindTarget, Name: "e1", Version: 7, Value: []byte(`{}`)}
	fmt.Println(s.Apply(o) == config.Applied)
	o.Version = 6
	fmt.Println(s.Apply(o) == config.Older)
	fmt.Println(s.Status()[0].Highest)
	// Output:
	// true
	// true
	// 7
}
