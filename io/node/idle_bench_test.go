package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/spf13/pflag"

	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	fakestore "geraniumsaddle/io/fakes/store"
	"geraniumsaddle/io/flags"
	"geraniumsaddle/io/peer"
	"geraniumsaddle/io/store"
)

const (
	idleWarmup   = 8 * time.Second
	idleDuration = 12 * time.Second
)

// fleet is a set of running routers with a fake platform, on the real clock.
type fleet struct {
	fakePlatform *fakestore.Server
	platform     *store.Client
	routers      []*Node
	seedWrites   int // writes before the routers start
}

// newFleet starts routers that know each other. Each budget has a funded ledger entry. There are no targets.
func newFleet(b *testing.B, routers, domains, orgs int) *fleet {
	clock := clockwork.NewRealClock()
	f := &fleet{fakePlatform: fakestore.New(fakestore.Config{}, clock)}
	srv := httptest.NewServer(f.fakePlatform)
	b.Cleanup(func() { f.fakePlatform.Close(); srv.CloseClientConnections(); srv.Close() })
	var err error
	if f.platform, err = store.New(store.Config{URL: srv.URL}, clock); err != nil {
		b.Fatal(err)
	}
	f.seed(b, orgs)
	f.seedWrites = f.fakePlatform.Calls()["put"]
	ca, err := peer.NewAuthority("bench", clock.Now(), time.Hour)
	if err != nil {
		b.Fatal(err)
	}
	for i := range routers {
		var cfg flags.Router
		flags.BindRouter(pflag.NewFlagSet("router", pflag.ContinueOnError), &cfg)
		cfg.Name, cfg.Domain, cfg.PlatformURL = fmt.Sprintf("router-%03d", i), fmt.Sprintf("d%d", i%domains), srv.URL
		cfg.VM, cfg.CallerAddr, cfg.AdminAddr, cfg.PeerAddr = cfg.Name, "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
		cfg.OperatorToken, cfg.OperationKey = "operator-token-1", "operation-key-0001"
		pair, err := ca.Issue(cfg.Name, clock.Now(), time.Hour)
		if err != nil {
			b.Fatal(err)
		}
		certs, err := peer.NewCerts(clock, pair, ca.Cert)
		if err != nil {
			b.Fatal(err)
		}
		if err := f.platform.PutVM(context.Background(), store.VM{Name: ident.VMID(cfg.VM), Domain: cfg.DomainID(), State: store.VMLive}); err != nil {
			b.Fatal(err)
		}
		n, err := New(cfg, Deps{Clock: clock, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Registry: prometheus.NewRegistry(),
			Certs: certs, Seed: uint64(i)})
		if err != nil {
			b.Fatal(err)
		}
		f.routers = append(f.routers, n)
		go func() { _ = n.Run(context.Background()) }()
		b.Cleanup(n.Kill)
	}
	return f
}

func (f *fleet) seed(b *testing.B, orgs int) {
	put := func(k object.Key, v any) {
		raw, err := json.Marshal(v)
		if err == nil {
			_, err = f.platform.Put(context.Background(), k, raw, store.Any())
		}
		if err != nil {
			b.Fatal(err)
		}
	}
	shards := make(map[object.Key]escrow.Shard)
	for i := range orgs {
		id := fmt.Sprintf("org-%05d", i)
		o := object.Organisation{Format: 1, ID: ident.OrgID(id), Name: id, Class: "chat", Budgets: []ident.BudgetID{ident.BudgetID(id)},
			Keys: []object.APIKey{{ID: "key-1", SHA256: fmt.Sprintf("%064x", i)}}}
		put(o.Key(), o)
		put(object.Key{Kind: object.KindBudget, Name: id}, object.Budget{Format: 1, ID: ident.BudgetID(id), Org: o.ID})
		e := escrow.Entry{ID: escrow.EntryID(id), Paid: 1 << 30}
		k := escrow.LedgerKey(e.ID)
		if _, ok := shards[k]; !ok {
			shards[k] = escrow.NewShard()
		}
		shards[k] = shards[k].With(e)
	}
	for k, s := range shards {
		put(k, s)
	}
}

func (f *fleet) sentPeerBytes() (sent float64) {
	for _, n := range f.routers {
		for _, c := range n.transport.Counts() {
			sent += float64(c.SentBytes)
		}
	}
	return sent
}

// cpuTime returns the CPU time of this process, which includes the fake platform or engine.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkIdle reports the cost of routers without traffic: CPU time and bytes sent to peers per router, and platform
// calls of the whole fleet. It runs on the real clock; use -benchtime 1x.
func BenchmarkIdle(b *testing.B) {
	for _, c := range []struct{ routers, domains, orgs int }{{2, 1, 100}, {4, 1, 100}, {8, 1, 100}, {16, 1, 100}, {32, 1, 100}, {8, 4, 100}, {4, 1, 400}, {4, 1, 1600}} {
		b.Run(fmt.Sprintf("routers=%d/domains=%d/budgets=%d", c.routers, c.domains, c.orgs), func(b *testing.B) {
			for range b.N {
				f := newFleet(b, c.routers, c.domains, c.orgs)
				clock := clockwork.NewRealClock()
				<-clock.After(idleWarmup)
				calls0, cpu0, bytes0 := f.fakePlatform.Calls(), cpuTime(), f.sentPeerBytes()
				<-clock.After(idleDuration)
				calls1, cpu1, bytes1 := f.fakePlatform.Calls(), cpuTime(), f.sentPeerBytes()
				s, n := idleDuration.Seconds(), float64(c.routers)
				b.ReportMetric(100*(cpu1-cpu0).Seconds()/s/n, "%core/router")
				b.ReportMetric((bytes1-bytes0)/s/n, "peer-B/s/router")
				b.ReportMetric(float64(calls1["put"]-calls0["put"])/s, "puts/s")
				b.ReportMetric(float64(calls1["vms"]-calls0["vms"])/s, "vms/s")
				b.ReportMetric(float64(calls1["get"]+calls1["list"]-calls0["get"]-calls0["list"])/s, "reads/s")
				b.ReportMetric(float64(calls1["watch"]), "watches-started")
				b.ReportMetric(float64(calls0["put"]-f.seedWrites)/n, "start-puts/router")
			}
		})
	}
}
