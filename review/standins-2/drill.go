//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"geraniumsaddle/platform/fakes"
)

const (
	// inputTokens and outputTokens are those of each request.
	inputTokens  = 900
	outputTokens = 24
	// firstTokens and raisedTokens are what the tenant has prepaid before and after the change that raises it.
	firstTokens  = 60_000
	raisedTokens = 120_000
	// copyAge is how old the copy is from which the store comes back, and storeAway how long it is away.
	copyAge   = 8 * time.Second
	storeAway = 500 * time.Millisecond
	// restartAfter is when the killed processes are started again, and writtenAgain when the operator's configuration is
	// written again after the store is back.
	restartAfter = 500 * time.Millisecond
	writtenAgain = 1500 * time.Millisecond
)

func drillConfig(version, prepaid int) string {
	text := fmt.Sprintf(poisonConfig, prepaid)
	return fmt.Sprintf(`{"version":%d,`, version) + text[len(`{"version":7,`):]
}

// runDrill raises what a tenant has prepaid. With trouble the store comes back from a copy that is older than the change, and
// all routers are killed at that time.
func runDrill(f *fleet, trouble bool) (broken bool, err error) {
	var engines []*engine
	entries := make(map[string]string)
	for i := range 3 {
		e := &engine{service: "llm", zone: fmt.Sprint("z", i+1), slots: 128, work: 30 * time.Millisecond, gap: 10 * time.Millisecond, events: outputTokens / 4, stride: 4}
		if err := e.start(fmt.Sprint("i-llm-", i)); err != nil {
			return false, err
		}
		engines = append(engines, e)
		entries[e.id] = e.entry("ready")
		f.store.Put("servers", e.id, entries[e.id])
	}
	f.store.SetEra(1)
	f.store.Put("config", "main", drillConfig(7, firstTokens))
	if err := f.start(fleetConfig{routers: 3, memoryMB: 284, maxFDs: 4100, graceS: 8, zones: []string{"z1", "z2", "z3"}}); err != nil {
		return false, err
	}
	time.Sleep(14 * time.Second) // the copy holds all that the routers write at their start
	var mu sync.Mutex
	delivered := make(map[string]int) // tokens of answered requests: the input, and the output that reached the caller
	statuses := make(map[int]int)
	total := func() int {
		mu.Lock()
		defer mu.Unlock()
		n := 0
		for _, tokens := range delivered {
			n += tokens
		}
		return n
	}
	end := time.Now().Add(45 * time.Second)
	var wg sync.WaitGroup
	f.store.Put("config", "main", drillConfig(9, raisedTokens))
	raisedAt := time.Now()
	f.record.say("the operator raises the tenant's prepaid tokens from %d to %d", firstTokens, raisedTokens)
	for c := range 12 {
		r := f.routers[c%len(f.routers)]
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("q%d-%d", c, n)
				status, events, whole := chat(client, r, id, "key1", fmt.Sprintf("%d,%d", inputTokens, outputTokens), fmt.Sprintf("aa:600,c%03d%04x:300", c, n), 3*time.Second)
				mu.Lock()
				statuses[status]++
				if status == http.StatusOK && events > 0 {
					delivered[id] = inputTokens + 4*events
				}
				mu.Unlock()
				f.record.printf("request %s: %d, %d events delivered, whole: %v", id, status, events, whole)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	for total() < raisedTokens*8/10 && time.Since(raisedAt) < copyAge-time.Second {
		time.Sleep(20 * time.Millisecond)
	}
	f.record.say("%d tokens consumed %.3f s after the change", total(), time.Since(raisedAt).Seconds())
	if trouble {
		f.drill(entries)
	}
	wg.Wait()
	ran := 0
	for _, e := range engines {
		ran += len(e.copyRuns())
	}
	consumed := total()
	f.record.say("%d requests ran, answers %v; %d tokens of answered requests, of %d prepaid", ran, statuses, consumed, raisedTokens)
	return consumed > raisedTokens, nil
}

// drill takes the store away and kills all routers, starts these again, and brings the store back from a copy.
func (f *fleet) drill(entries map[string]string) {
	config, _, _ := f.store.Get("config", "main")
	f.store.SetFault(func(*http.Request) fakes.Fault { return fakes.Unavailable })
	for _, r := range f.routers {
		_ = r.cmd.Process.Kill()
	}
	for _, r := range f.routers {
		<-r.exited
	}
	f.record.say("the store is away and all routers are killed")
	time.Sleep(storeAway)
	lost := f.store.Rewind(copyAge)
	f.store.SetFault(nil)
	for id, entry := range entries {
		f.store.Put("servers", id, entry)
	}
	f.record.say("the store is back from a copy of %v before: %d changes are lost; the engines have written again", copyAge, lost)
	time.Sleep(restartAfter - min(storeAway, restartAfter))
	for _, r := range f.routers {
		if err := f.restart(r); err != nil {
			f.record.say("%s does not start: %v", r.name, err)
		}
	}
	time.Sleep(writtenAgain)
	f.store.Put("config", "main", config)
	f.record.say("the operator has written the configuration again")
}
