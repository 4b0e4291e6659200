//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const drainConfig = `{"version":7,"routes":[
 {"name":"r-book","host":"desk.example","path_prefix":"/book/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":1,"public":true,"sticky":false,"resumable":false}],
"services":[{"name":"desk","health_path":"/healthz","max_connections":100,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// drainMS is the bound of the settings.
const drainMS = 2000 * time.Millisecond

const (
	// removals is the number of engines that leave, one after the other.
	removals = 3
	// removeAfter is the time between the beginning of the watches that are cut off and the removal of an entry, and cutAfter
	// that until they are cut off. Between both lies more than contact_ms (3 s).
	removeAfter = 4530 * time.Millisecond
	cutAfter    = 900 * time.Millisecond
	// exitAfter is when an engine exits after the removal of its entry: drain_ms and a little longer.
	exitAfter = 2200 * time.Millisecond
)

// runDrain removes the entry of an engine that leaves. With trouble the watches of the engines' entries that wait are cut
// off once, over 4 s before that.
func runDrain(f *fleet, trouble bool) (broken bool, err error) {
	engines := []*engine{}
	for i := range 6 {
		e := &engine{service: "desk", zone: fmt.Sprint("z", i%3+1), slots: 6, work: 60 * time.Millisecond}
		if err := e.start(fmt.Sprint("i-desk-", i)); err != nil {
			return false, err
		}
		engines = append(engines, e)
		f.store.Put("servers", e.id, e.entry("ready"))
	}
	f.store.Put("config", "main", drainConfig)
	if err := f.start(fleetConfig{routers: 3, memoryMB: 284, maxFDs: 4100, graceS: 8, zones: []string{"z1", "z2", "z3"}}); err != nil {
		return false, err
	}
	type answer struct {
		sent   time.Time
		id     string
		status int
	}
	var mu sync.Mutex
	var answers []answer
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for c := range 9 {
		r := f.routers[c%len(f.routers)]
		wg.Go(func() {
			client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{}}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
				id := fmt.Sprintf("a%d-%d", c, n)
				req, err := http.NewRequest(http.MethodPost, "http://"+r.front+"/book/1", bytes.NewReader([]byte("sacks")))
				if err != nil {
					return
				}
				req.Host = "desk.example"
				req.Header.Set("Attempt-Id", id)
				req.Header.Set("Deadline-Ms", "3000")
				sent := time.Now()
				status := 0
				if resp, err := client.Do(req); err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
					if err == nil {
						status = resp.StatusCode
					}
				}
				mu.Lock()
				answers = append(answers, answer{sent, id, status})
				mu.Unlock()
			}
		})
	}
	// The routers are in touch and the store is calm for longer than contact_ms (3 s).
	time.Sleep(6 * time.Second)
	acknowledged := make([]time.Time, removals)
	for i := range removals {
		gone := engines[i]
		since := f.gate.awaitWatches("servers", len(f.routers), time.Now())
		time.Sleep(time.Until(since.Add(cutAfter)))
		if trouble {
			f.record.say("%d watches of the engines' entries are cut off", f.gate.cutWatches("servers"))
		}
		time.Sleep(time.Until(since.Add(removeAfter)))
		acknowledged[i] = time.Now()
		f.store.Delete("servers", gone.id)
		f.record.say("the store has removed the entry of %s, %.3f s after the cut", gone.id, (removeAfter - cutAfter).Seconds())
		time.Sleep(exitAfter)
		gone.stop()
		f.record.say("%s exits %.3f s after the removal of its entry", gone.id, time.Since(acknowledged[i]).Seconds())
		time.Sleep(time.Second)
	}
	close(stop)
	wg.Wait()
	runs := make(map[string]bool)
	for _, e := range engines {
		for _, r := range e.copyRuns() {
			runs[r.id] = true
		}
	}
	failed, lost := 0, 0
	for _, a := range answers {
		f.record.printf("request %s sent at %.3f s: %d, run: %v", a.id, a.sent.Sub(f.record.start).Seconds(), a.status, runs[a.id])
		if a.status != http.StatusOK {
			failed++
			if runs[a.id] {
				lost++
			}
		}
	}
	late := 0
	for i, at := range acknowledged {
		lateHere, last := 0, time.Duration(0)
		for _, r := range engines[i].copyArrived() {
			after := r.at.Sub(at)
			last = max(last, after)
			if after > drainMS {
				lateHere++
				f.record.printf("request %s reaches %s %.3f s after the removal", r.id, engines[i].id, after.Seconds())
			}
		}
		f.record.say("%s: the last request reached it %.3f s after the removal of its entry; %d came later than drain_ms", engines[i].id, last.Seconds(), lateHere)
		late += lateHere
	}
	f.record.say("%d of %d requests were not answered with 200; %d of these had begun to run", failed, len(answers), lost)
	return late > 0, nil
}
