//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	prepaidTokens = 250_000
	inputTokens   = 900
	outputTokens  = 24
	// lostShare is the share of runs whose answers are lost at one of two engines.
	lostShare = 0.3
)

// runPrepaid uses up the tokens of a tenant. With trouble an engine loses some answers for 6 s.
func runPrepaid(f *fleet, trouble bool) (broken bool, err error) {
	var engines []*engine
	var mu sync.Mutex
	var losesFrom, losesUntil time.Time
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))
	for i := range 2 {
		e := &engine{service: "llm", zone: fmt.Sprint("z", i+1), slots: 128, work: 60 * time.Millisecond, gap: 10 * time.Millisecond, events: outputTokens / 4, stride: 4}
		if i == 0 {
			e.decide = func(*http.Request) reply {
				mu.Lock()
				defer mu.Unlock()
				now := time.Now()
				if trouble && now.After(losesFrom) && now.Before(losesUntil) && rng.Float64() < lostShare {
					return replySilent
				}
				return replyWhole
			}
		}
		if err := e.start(fmt.Sprint("i-llm-", i)); err != nil {
			return false, err
		}
		engines = append(engines, e)
		f.store.Put("servers", e.id, e.entry("ready"))
	}
	f.store.Put("config", "main", fmt.Sprintf(poisonConfig, prepaidTokens))
	if err := f.start(fleetConfig{routers: 3, memoryMB: 284, maxFDs: 4100, graceS: 8, zones: []string{"z1", "z2", "z3"}}); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	mu.Lock()
	losesFrom, losesUntil = time.Now(), time.Now().Add(6*time.Second)
	mu.Unlock()
	end := time.Now().Add(30 * time.Second)
	delivered := make(map[string]int)
	statuses := make(map[int]int)
	var wg sync.WaitGroup
	for c := range 12 {
		r := f.routers[c%len(f.routers)]
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("q%d-%d", c, n)
				status, events, whole := chat(client, r, id, "key1", fmt.Sprintf("%d,%d", inputTokens, outputTokens), fmt.Sprintf("aa:600,c%03d%04x:300", c, n), 3*time.Second)
				mu.Lock()
				statuses[status]++
				if status == http.StatusOK {
					delivered[id] = 4 * events
				}
				mu.Unlock()
				f.record.printf("request %s: %d, %d events delivered, whole: %v", id, status, events, whole)
				time.Sleep(120 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	ran := make(map[string]bool)
	input, output := 0, 0
	for _, e := range engines {
		for _, r := range e.copyRuns() {
			f.record.printf("request %s ran at %.3f s with %d tokens", r.id, r.at.Sub(f.record.start).Seconds(), r.input)
			if !ran[r.id] {
				ran[r.id] = true
				input += r.input
				output += delivered[r.id]
			}
		}
	}
	f.record.say("%d requests ran, answers %v; %d tokens of input and %d of delivered output, of %d prepaid", len(ran), statuses, input, output, prepaidTokens)
	return input+output > prepaidTokens, nil
}
