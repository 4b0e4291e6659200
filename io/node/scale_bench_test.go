package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/spf13/pflag"

	"geraniumsaddle/core/config"
	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/record"
	fakeengine "geraniumsaddle/io/fakes/engine"
	fakestore "geraniumsaddle/io/fakes/store"
	"geraniumsaddle/io/flags"
)

// benchNode is a router whose control goroutine does not run, so that a benchmark can call its steps directly.
type benchNode struct {
	*Node
	clock        *clockwork.FakeClock
	fakePlatform *fakestore.Server
}

func newBenchNode(b testing.TB) *benchNode {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC))
	platform := fakestore.New(fakestore.Config{}, clock)
	srv := httptest.NewServer(platform)
	var cfg flags.Router
	flags.BindRouter(pflag.NewFlagSet("router", pflag.ContinueOnError), &cfg)
	cfg.Name, cfg.VM, cfg.Domain, cfg.PlatformURL = "router-001", "vm-001", "d1", srv.URL
	cfg.CallerAddr, cfg.AdminAddr, cfg.PeerAddr = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	cfg.OperatorToken, cfg.OperationKey = "operator-token-1", "operation-key-0001"
	n, err := New(cfg, Deps{Clock: clock, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Registry: prometheus.NewRegistry()})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		n.cancel()
		n.workers.Wait()
		_, _ = n.callerListener.Close(), n.adminListener.Close()
		platform.Close()
		srv.Close()
	})
	return &benchNode{Node: n, clock: clock, fakePlatform: platform}
}

// fillConfig adds organisations, of which 18 in 31 have a budget, and engines, of which one in six is in the own
// failure domain. It returns the number of objects.
func (n *benchNode) fillConfig(b *testing.B, orgs, engines int) (objects int) {
	version := ident.ObjectVersion(0)
	put := func(v object.Value) {
		raw, err := json.Marshal(v)
		if err != nil {
			b.Fatal(err)
		}
		version++
		n.feeds.objects.Apply(config.Object{Kind: v.Key().Kind, Name: v.Key().Name, Version: version, Value: raw})
	}
	for i := range orgs {
		o := object.Organisation{Format: 1, ID: ident.OrgID(fmt.Sprintf("org-%05d", i)), Name: fmt.Sprintf("Organisation %d", i), Class: "chat",
			Keys: []object.APIKey{{ID: "key-1", SHA256: fmt.Sprintf("%064x", i)}}}
		if i%31 < 18 {
			id := ident.BudgetID(fmt.Sprintf("budget-%05d", i))
			o.Budgets = []ident.BudgetID{id}
			put(object.Budget{Format: 1, ID: id, Org: o.ID})
		}
		put(o)
	}
	for i := range engines {
		put(object.Target{Format: 1, ID: ident.TargetID(fmt.Sprintf("engine-%04d", i)), Domain: ident.DomainID(fmt.Sprintf("d%d", i%6+1)),
			VM: ident.VMID(fmt.Sprintf("vm-e%04d", i)), Kind: object.TargetEngine, URL: fmt.Sprintf("http://127.0.0.1:%d", 10_000+i),
			Versions: []ident.VersionID{ident.VersionID(fmt.Sprintf("model-%d-v1", i%7))}, Capacity: 8, State: object.TargetActive})
	}
	for i := range 7 {
		put(object.Version{Format: 1, ID: ident.VersionID(fmt.Sprintf("model-%d-v1", i)), Model: ident.ModelID(fmt.Sprintf("model-%d", i)), Serving: true})
	}
	return int(version)
}

// openAccounts opens the accounts of the first organisations with budgets, each with a confirmed grant that needs no
// refill.
func (n *benchNode) openAccounts(accounts int) {
	v, opened := n.view.Load(), 0
	for i := 0; opened < accounts; i++ {
		org := ident.OrgID(fmt.Sprintf("org-%05d", i))
		if i%31 >= 18 {
			continue
		}
		n.accounts.wallet(v, org)
		opened++
	}
	now := n.clock.Now()
	for _, a := range n.accounts.all() {
		e := escrow.Entry{ID: a.Entry(), Paid: 1 << 40, RowsOpened: 1, Holders: []escrow.Holder{{ID: a.Holder(), RowNumber: 1, Granted: 1 << 30}}}
		a.ApplyEntry(1, &e, now)
	}
}

// markReported marks the current counters of all accounts as accepted, so that no report is due.
func (n *benchNode) markReported() {
	for _, a := range n.accounts.all() {
		st := n.ledger.shards[a.shard]
		if st == nil {
			st = &shardReports{accepted: make(map[escrow.EntryID]escrow.Report)}
			n.ledger.shards[a.shard] = st
		}
		st.accepted[a.Entry()] = a.Report()
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

var fleetSizes = []struct{ orgs, engines int }{{310, 30}, {3100, 300}, {31_000, 3000}}

// BenchmarkRebuild reports the time that a router takes to rebuild its configuration snapshot.
func BenchmarkRebuild(b *testing.B) {
	for _, c := range fleetSizes {
		b.Run(fmt.Sprintf("orgs=%d/engines=%d", c.orgs, c.engines), func(b *testing.B) {
			n := newBenchNode(b)
			objects := n.fillConfig(b, c.orgs, c.engines)
			n.rebuildView(n.clock.Now())
			b.ReportAllocs()
			for b.Loop() {
				n.rebuildView(n.clock.Now())
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*objects), "ns/object")
		})
	}
}

// BenchmarkRouterMemory reports the heap of a router that holds all objects and the accounts of all budgets.
func BenchmarkRouterMemory(b *testing.B) {
	for _, c := range fleetSizes {
		b.Run(fmt.Sprintf("orgs=%d/engines=%d", c.orgs, c.engines), func(b *testing.B) {
			var empty, filled, opened float64
			objects, accounts := 0, 0
			for range b.N {
				n := newBenchNode(b)
				empty = heapBytes()
				objects = n.fillConfig(b, c.orgs, c.engines)
				n.rebuildView(n.clock.Now())
				filled = heapBytes()
				accounts = c.orgs / 31 * 18
				n.openAccounts(accounts)
				n.markReported()
				opened = heapBytes()
				runtime.KeepAlive(n)
			}
			b.ReportMetric((opened-empty)/1e6, "MB")
			b.ReportMetric((filled-empty)/float64(objects), "B/object")
			b.ReportMetric((opened-filled)/float64(accounts), "B/account")
		})
	}
}

var accountSizes = []int{180, 1800, 18_000}

// BenchmarkControlTick reports the time of the control goroutine's work on accounts that have nothing to report: the
// work of every 100 ms (fast), that of every second (slow), and that for each request that starts to wait for tokens
// (short).
func BenchmarkControlTick(b *testing.B) {
	for _, accounts := range accountSizes {
		n := newBenchNode(b)
		n.fillConfig(b, accounts/18*31, 0)
		n.rebuildView(n.clock.Now())
		n.openAccounts(accounts)
		n.markReported()
		size := float64(len(n.accounts.all()))
		run := func(name string, step func(now time.Time)) {
			b.Run(fmt.Sprintf("%s/accounts=%d", name, accounts), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					step(n.clock.Now())
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/size, "ns/account")
			})
		}
		now := n.clock.Now()
		run("fast", func(time.Time) {
			for _, st := range n.ledger.shards {
				st.sentAt = now // The shard has just been reported.
			}
			n.ledger.tick(now, false)
		})
		run("slow", func(time.Time) {
			now = now.Add(time.Second)
			for _, a := range n.accounts.all() {
				a.Tick(now)
			}
			n.ledger.tick(now, false)
			n.transfers.tick(now)
			n.updateGauges()
		})
		run("short", func(time.Time) {
			now = now.Add(urgentReportInterval)
			n.ledger.tick(now, true)
			n.transfers.ask(now)
		})
	}
}

// BenchmarkPoolTargets reports the time to list the targets of a pool, which each queued request does.
func BenchmarkPoolTargets(b *testing.B) {
	for _, engines := range []int{30, 300, 3000} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			n := newBenchNode(b)
			n.fillConfig(b, 31, engines)
			n.rebuildView(n.clock.Now())
			k := poolKeys(n.view.Load())[0]
			for b.Loop() {
				n.poolTargets(k)
			}
		})
	}
}

// BenchmarkShardObserved reports the time that a watcher takes to apply a changed shard.
func BenchmarkShardObserved(b *testing.B) {
	for _, c := range []struct{ entries, holders int }{{28, 6}, {281, 1}, {281, 6}, {281, 24}} {
		b.Run(fmt.Sprintf("entries=%d/holders=%d", c.entries, c.holders), func(b *testing.B) {
			n := newBenchNode(b)
			s := escrow.NewShard()
			for i := range c.entries {
				e := escrow.Entry{ID: escrow.EntryID(fmt.Sprintf("budget-%05d", i)), Paid: 1 << 40, RowsOpened: uint64(c.holders)}
				for j := range c.holders {
					e.Holders = append(e.Holders, escrow.Holder{ID: escrow.HolderID(fmt.Sprintf("router-%03d.1796342400000", j)),
						RowNumber: uint64(j + 1), Granted: 1_000_000, Settled: 123_456, Seq: 1000, JournalPeer: "router-001.1796342400000#.1"})
				}
				s.Entries = append(s.Entries, e)
			}
			raw, err := s.Encode()
			if err != nil {
				b.Fatal(err)
			}
			before := heapBytes()
			b.ResetTimer()
			for i := range b.N {
				n.applyShard(config.Object{Kind: object.KindLedger, Name: "07", Version: ident.ObjectVersion(i + 1), Value: raw})
			}
			b.StopTimer()
			b.ReportMetric((heapBytes()-before)/float64(c.entries*c.holders), "heap-B/row")
			b.ReportMetric(float64(len(raw)), "value-B")
			runtime.KeepAlive(n)
			runtime.KeepAlive(s)
			runtime.KeepAlive(raw)
		})
	}
}

// BenchmarkHandOver reports the platform calls and the time in which a graceful shutdown closes all accounts.
func BenchmarkHandOver(b *testing.B) {
	for _, accounts := range []int{18, 180, 720} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			var writes, reads, left int
			for range b.N {
				n := newBenchNode(b)
				n.fillConfig(b, accounts/18*31, 0)
				n.rebuildView(n.clock.Now())
				n.openAccounts(accounts)
				n.writeLedger(b)
				w0, r0 := n.platformCalls()
				for _, a := range n.accounts.all() {
					a.Leave()
				}
				left = n.closeAccountsOnce()
				w1, r1 := n.platformCalls()
				writes, reads = w1-w0, r1-r0
			}
			b.ReportMetric(float64(writes)/float64(accounts), "writes/account")
			b.ReportMetric(float64(writes), "writes")
			b.ReportMetric(float64(reads), "reads")
			b.ReportMetric(float64(left), "left")
			b.ReportMetric(b.Elapsed().Seconds()/float64(b.N)/float64(accounts)*1e3, "ms/account")
		})
	}
}

// writeLedger writes the ledger that matches the accounts of openAccounts.
func (n *benchNode) writeLedger(b *testing.B) {
	shards := make(map[object.Key]escrow.Shard)
	for _, a := range n.accounts.all() {
		s, ok := shards[a.shard]
		if !ok {
			s = escrow.NewShard()
		}
		shards[a.shard] = s.With(escrow.Entry{ID: a.Entry(), Paid: 1 << 40, RowsOpened: 1,
			Holders: []escrow.Holder{{ID: a.Holder(), RowNumber: 1, Granted: 1 << 30}}})
	}
	for k, s := range shards {
		r := n.writers.updateShard(context.Background(), k, func(escrow.Shard) (escrow.Shard, bool) { return s, true })
		if r.err != nil {
			b.Fatal(r.err)
		}
	}
}

func (n *benchNode) closeAccountsOnce() (left int) {
	byShard := make(map[object.Key][]*account)
	for _, a := range n.accounts.all() {
		byShard[a.shard] = append(byShard[a.shard], a)
	}
	for k, accts := range byShard {
		left += len(n.closeAccounts(context.Background(), k, accts))
	}
	return left
}

// platformCalls returns the number of writes and reads that the platform has served.
func (n *benchNode) platformCalls() (writes, reads int) {
	c := n.fakePlatform.Calls()
	return c["put"] + c["delete"], c["get"] + c["list"]
}

// BenchmarkJournalBudgets reports the share of requests that the journal accepts when each has a different budget. Each
// request is settled at once, so that only the counters of the budgets are kept.
func BenchmarkJournalBudgets(b *testing.B) {
	for _, budgets := range []int{1000, 2000, 4000, 18_000} {
		b.Run(fmt.Sprintf("budgets=%d", budgets), func(b *testing.B) {
			accepted := 0
			for range b.N {
				j := record.New("router-001.1", journalLimits)
				accepted = 0
				for i := range budgets {
					id := ident.RequestID(fmt.Sprintf("req_%05d", i))
					_, err := j.OpenHold(record.Hold{Request: id, Budget: ident.BudgetID(fmt.Sprintf("budget-%05d", i)), Tokens: 10})
					if err == nil {
						_, err = j.Settle(record.Settlement{Request: id, Billed: 5, Outcome: ident.OutcomeRun})
					}
					if err == nil {
						accepted++
					}
				}
			}
			b.ReportMetric(100*float64(accepted)/float64(budgets), "%accepted")
		})
	}
}

// BenchmarkLoadPoll reports the time of one load report of an engine, including the fake engine. The engines of a
// failure domain are polled every 2 s.
func BenchmarkLoadPoll(b *testing.B) {
	for _, engines := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			n := newBenchNode(b)
			var targets []object.Target
			for i := range engines {
				e := fakeengine.New(fakeengine.Config{Capacity: 8}, clockwork.NewRealClock())
				srv := httptest.NewServer(e)
				b.Cleanup(func() { e.Close(); srv.Close() })
				targets = append(targets, object.Target{ID: ident.TargetID(fmt.Sprint(i)), Kind: object.TargetEngine, URL: srv.URL})
			}
			start := cpuTime()
			for i := range b.N {
				if _, err := n.pools.fetchLoad(context.Background(), targets[i%engines]); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64((cpuTime()-start).Nanoseconds())/float64(b.N), "cpu-ns/poll")
		})
	}
}
