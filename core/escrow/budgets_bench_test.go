package escrow

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"geraniumsaddle/core/ident"
)

// BenchmarkBudgets measures how memory, calls and the size of a shard grow with the number of budgets, for six
// domains with one holder each. The budgets share a fixed demand of the fleet. The first hour is not counted, the
// second is.
//
//	B/budget     memory of one router for each account with demand
//	calls/s      conditional updates, at most one for each shard, domain and 5 s
//	flushes/s    those of them that only write settlements, once a minute
//	shard_bytes  size of the largest shard
func BenchmarkBudgets(b *testing.B) {
	for _, budgets := range []int{100, 1000, 18000} {
		b.Run(fmt.Sprint(budgets), func(b *testing.B) {
			for range b.N {
				simulateBudgets(b, budgets)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// benchDomains is the number of failure domains, each with one holder of every budget.
const benchDomains = 6

func newBudgetAccounts(budgets int) [][benchDomains]*Account {
	accounts := make([][benchDomains]*Account, budgets)
	for i := range accounts {
		for d := range benchDomains {
			accounts[i][d] = NewAccount(AccountConfig{
				Entry: EntryID(fmt.Sprintf("budget-%05d", i)), Holder: HolderID(fmt.Sprintf("router-%d.1", d)), Policy: DefaultRecall,
			})
		}
	}
	return accounts
}

func simulateBudgets(b *testing.B, budgets int) {
	const tokensPerSecond, reportSeconds = 520_000, 5
	// Shards are independent of each other, so one in eight is simulated and the calls are multiplied.
	const sampled = 8
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	accounts := newBudgetAccounts(budgets)
	runtime.GC()
	runtime.ReadMemStats(&after)
	var shards [ShardCount]Shard
	var accountsOfShard [ShardCount][]int
	share := ident.Tokens(tokensPerSecond / benchDomains / budgets)
	for i := range accounts {
		id := accounts[i][0].Entry()
		n := ShardNumber(id)
		shards[n] = Shard{Format: Format, Entries: append(shards[n].Entries, Entry{ID: id, Paid: 10_000 * benchDomains * (share + 1)})}
		accountsOfShard[n] = append(accountsOfShard[n], i)
	}
	calls, flushes, size := 0, 0, 0
	for sec := 0; sec < 7200; sec += reportSeconds {
		now := time.Unix(1e9+int64(sec), 0)
		for n := 0; n < ShardCount; n += sampled {
			for d := range benchDomains {
				batch := Batch{Now: now}
				for _, i := range accountsOfShard[n] {
					a := accounts[i][d]
					used := share * reportSeconds
					if a.Hold(used) {
						a.Settle(used, used)
					} else {
						a.refused.Add(int64(used))
					}
					a.Tick(now)
					batch.Reports = append(batch.Reports, a.Report())
				}
				next, changed := Writer{Policy: DefaultRecall}.Apply(shards[n], batch)
				if !changed && sec%60 == 0 {
					batch.Flush = true
					next, changed = Writer{Policy: DefaultRecall}.Apply(shards[n], batch)
				}
				if !changed {
					continue
				}
				shards[n] = next
				if batch.Flush && sec >= 3600 {
					flushes++
				}
				for k, i := range accountsOfShard[n] {
					accounts[i][d].ApplyEntry(ident.ObjectVersion(sec+1), &next.Entries[k], now)
				}
				if sec >= 3600 {
					calls++
				}
			}
		}
	}
	for n := range shards {
		out, err := shards[n].Encode()
		if err != nil {
			b.Fatal(err)
		}
		size = max(size, len(out))
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(budgets*benchDomains), "B/budget")
	b.ReportMetric(sampled*float64(calls)/3600, "calls/s")
	b.ReportMetric(sampled*float64(flushes)/3600, "flushes/s")
	b.ReportMetric(float64(size), "shard_bytes")
}
