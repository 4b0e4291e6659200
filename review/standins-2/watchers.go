//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// watcherFleet is the number of routers, more than 16.
	watcherFleet = 18
	// grownDrainMS is the bound of the settings.
	grownDrainMS = 3000 * time.Millisecond
	// nodeCutTime is how long a machine is cut off from the store.
	nodeCutTime = 5500 * time.Millisecond
	cutRounds   = 3
)

// runWatchers lets engines drain in a fleet of more than 16 routers. With trouble one machine, a watcher, is cut off from the
// store just before.
func runWatchers(f *fleet, trouble bool) (broken bool, err error) {
	var engines []*engine
	for i := range 7 {
		e := &engine{service: "desk", zone: fmt.Sprint("z", i%2+1), slots: 6, work: 20 * time.Millisecond}
		if err := e.start(fmt.Sprint("i-desk-", i)); err != nil {
			return false, err
		}
		engines = append(engines, e)
		f.store.Put("servers", e.id, e.entry("ready"))
	}
	f.store.Put("config", "main", drainConfig)
	if err := f.start(fleetConfig{routers: watcherFleet, memoryMB: 284, maxFDs: 4100, graceS: 8, zones: []string{"z1", "z2"}, grown: true}); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var mu sync.Mutex
	statuses := make(map[int]int)
	var wg sync.WaitGroup
	for c, r := range f.routers {
		wg.Go(func() {
			client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{}}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				id := fmt.Sprintf("r%d-%d", c, n)
				req, err := http.NewRequest(http.MethodPost, "http://"+r.front+"/book/1", bytes.NewReader([]byte("sacks")))
				if err != nil {
					return
				}
				req.Host = "desk.example"
				req.Header.Set("Attempt-Id", id)
				req.Header.Set("Deadline-Ms", "3000")
				status := 0
				if resp, err := client.Do(req); err == nil {
					if _, err = io.Copy(io.Discard, resp.Body); err == nil {
						status = resp.StatusCode
					}
					_ = resp.Body.Close()
				}
				f.record.printf("request %s: %d", id, status)
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			}
		})
	}
	time.Sleep(14 * time.Second) // all routers have joined, and those that are no watchers follow one
	late := 0
	for round := range cutRounds {
		watchers := f.activeWatchers()
		if len(watchers) == 0 {
			return false, fmt.Errorf("no router watches the store")
		}
		f.record.say("%d of %d routers watch the store", len(watchers), len(f.routers))
		w := watchers[round%len(watchers)]
		f.awaitFreshWatches(w, engines[len(engines)-1], 8+round)
		if trouble {
			w.gate.setCut(true)
			f.record.say("%s is cut off from the store for %v", w.name, nodeCutTime)
		}
		time.Sleep(20 * time.Millisecond)
		leaving := engines[round]
		acknowledged := time.Now()
		f.store.Put("servers", leaving.id, leaving.entry("draining"))
		time.Sleep(nodeCutTime)
		w.gate.setCut(false)
		cutPrefix := fmt.Sprintf("r%d-", slices.Index(f.routers, w))
		here, last := 0, time.Duration(0)
		for _, r := range leaving.copyArrived() {
			after := r.at.Sub(acknowledged)
			if strings.HasPrefix(r.id, cutPrefix) {
				continue // sent by the machine that was cut off
			}
			last = max(last, after)
			if after > grownDrainMS {
				here++
				f.record.printf("request %s reaches %s %.3f s after its leaving was acknowledged", r.id, leaving.id, after.Seconds())
			}
		}
		leaving.stop()
		f.store.Delete("servers", leaving.id)
		f.record.say("%s: the last request of other machines reached it %.3f s after its leaving was acknowledged; %d came later than drain_ms", leaving.id, last.Seconds(), here)
		late += here
		time.Sleep(6 * time.Second)
	}
	close(stop)
	wg.Wait()
	f.record.say("answers %v; %d requests of machines in touch reached leaving engines later than drain_ms", statuses, late)
	return late > 0, nil
}

// awaitFreshWatches waits until the watches of a router have begun not long ago: another engine changes its entry, and the
// operator writes the next version of the configuration.
func (f *fleet) awaitFreshWatches(w *router, other *engine, version int) {
	for time.Since(w.gate.watchOf("rollouts")) > 5*time.Second {
		time.Sleep(10 * time.Millisecond)
	}
	servers, config := w.gate.watchOf("servers"), w.gate.watchOf("config")
	other.slots = 11 - other.slots // 6 or 5
	f.store.Put("servers", other.id, other.entry("ready"))
	time.Sleep(200 * time.Millisecond) // a watcher pauses for 0.4 s before its next watch of the entries, and for 0.2 s otherwise
	f.store.Put("config", "main", strings.Replace(drainConfig, `"version":7`, fmt.Sprintf(`"version":%d`, version), 1))
	for until := time.Now().Add(2 * time.Second); time.Now().Before(until); {
		if w.gate.watchOf("servers").After(servers) && time.Since(w.gate.watchOf("config")) < 100*time.Millisecond && w.gate.watchOf("config").After(config) {
			break
		}
		time.Sleep(2 * time.Millisecond)
	}
	time.Sleep(10 * time.Millisecond)
}

// activeWatchers returns the routers that have begun to watch the configuration in the last time.
func (f *fleet) activeWatchers() []*router {
	before := make([]int, len(f.routers))
	for i, r := range f.routers {
		before[i] = r.gate.watchCount()
	}
	time.Sleep(5 * time.Second)
	var out []*router
	for i, r := range f.routers {
		if r.gate.watchCount() > before[i] {
			out = append(out, r)
		}
	}
	return out
}
