package node

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
	fakestore "geraniumsaddle/io/fakes/store"
	"geraniumsaddle/io/metric"
	"geraniumsaddle/io/store"
)

// TestFlushCoversAllRouters guards against a router whose settlements are never written, because another router of the
// failure domain always reports first when a flush is due.
func TestFlushCoversAllRouters(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	platform := httptest.NewServer(fakestore.New(fakestore.Config{}, clock))
	defer platform.Close()
	st, err := store.New(store.Config{URL: platform.URL}, clockwork.NewRealClock())
	is.NoErr(err)
	n := &Node{clock: clock, platform: st, log: slog.New(slog.DiscardHandler), metrics: metric.New(prometheus.NewRegistry())}
	n.accounts = newAccounts("r1.1")
	w := newShardWriters(n)
	id := escrow.BudgetEntryID("b")
	key := escrow.LedgerKey(id)
	e := escrow.Entry{ID: id}
	_, err = e.ApplyOp(escrow.Op{ID: "paid", Kind: escrow.OpTopUp, Tokens: 1000})
	is.NoErr(err)
	r := w.updateShard(context.Background(), key, func(s escrow.Shard) (escrow.Shard, bool) { return s.With(e), true })
	is.NoErr(r.err)
	s := w.writer(key)

	reports := []escrow.Report{{Entry: id, Holder: "r1.1"}, {Entry: id, Holder: "r2.1"}}
	for i := range reports {
		r = w.writeBatch(context.Background(), s, reports[i:i+1])
		is.NoErr(r.err)
		reports[i].RowNumber = r.shard.Entry(id).Holder(reports[i].Holder).RowNumber
		reports[i].Want = 100
		is.NoErr(w.writeBatch(context.Background(), s, reports[i:i+1]).err)
	}
	const seconds = 20
	for range seconds {
		clock.Advance(time.Second)
		for i := range reports {
			p := &reports[i]
			p.Granted = s.value.Entry(id).Holder(p.Holder).Granted
			p.Seq, p.Settled, p.Want = p.Seq+1, p.Settled+1, 0
			is.NoErr(w.writeBatch(context.Background(), s, reports[i:i+1]).err)
		}
	}
	for _, p := range reports {
		h := s.value.Entry(id).Holder(p.Holder)
		is.True(h.Settled >= ident.Tokens(seconds-2*flushInterval/time.Second)) // settlements of each router are written
	}
}
