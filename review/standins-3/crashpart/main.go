//go:build review

// Command crashpart plays engines that a part of a prompt crashes and whose streams have neither a length nor chunks.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"geraniumsaddle/review/standins-3/kit"
)

const (
	host     = "h.example"
	key      = "key1"
	llm      = "llm"
	badPart  = "bad0000001"
	contact  = 3 * time.Second
	downTime = 3 * time.Second
	length   = 40 * time.Second
	// The intervals between sound requests and between those with the part that crashes engines.
	soundInterval = 100 * time.Millisecond
	badInterval   = 800 * time.Millisecond
	// allowed is the number of requests with the part that may reach engines later than contact after the fifth crash.
	allowed = 3
)

const config = `{"version":1,"routes":[
 {"name":"chat","host":"h.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":5000,"target_latency_ms":400,"target_gap_ms":250,"priority":1,"service":"llm","max_attempts":1,"public":false,"sticky":true,"resumable":false}],
"services":[{"name":"llm","health_path":"/healthz","max_connections":620,"protocol":"h1","tls":false,"engine":{"slots":128,"kv_capacity_tokens":652207,"stride":4,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"org1","api_keys":["key1"],"prepaid":100000000}]}`

// watch counts the crashes and the requests with the part that reach engines.
type watch struct {
	rec     *kit.Record
	trouble bool
	fleet   *kit.Fleet

	mu      sync.Mutex
	crashes []time.Time
	late    int
	bad     int
	served  int
	sound   int
}

func (w *watch) run(e *kit.Engine, j *kit.Job) bool {
	isBad := j.HasPart(badPart)
	w.rec.Printf("%s runs %s, bad part: %v", e.ID, j.ID, isBad)
	if isBad {
		w.noteBad()
	}
	if !j.Sleep(20 * time.Millisecond) {
		return false
	}
	if isBad && w.trouble {
		// The engine begins to write its answer and crashes.
		_, _ = io.WriteString(j.Conn, e.Head(j, http.StatusOK)+kit.StreamType+"Connection: close\r\n\r\n"+kit.Event(0))
		w.crash(e)
		return false
	}
	if _, err := io.WriteString(j.Conn, e.Head(j, http.StatusOK)+kit.StreamType+"Connection: close\r\n\r\n"); err != nil {
		return false
	}
	for n := range 6 {
		if _, err := io.WriteString(j.Conn, kit.Event(n)); err != nil || !j.Sleep(15*time.Millisecond) {
			return false
		}
	}
	return false // The end of the connection ends the answer.
}

// noteBad counts a request with the part at an engine.
func (w *watch) noteBad() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bad++
	if len(w.crashes) >= 5 && time.Since(w.crashes[4]) > contact {
		w.late++
	}
}

// crash ends an engine, which is back after downTime.
func (w *watch) crash(e *kit.Engine) {
	w.mu.Lock()
	w.crashes = append(w.crashes, time.Now())
	w.rec.Printf("%s crashes, crash %d", e.ID, len(w.crashes))
	w.mu.Unlock()
	e.Crash()
	time.AfterFunc(downTime, func() {
		if err := e.Start(); err != nil {
			w.rec.Printf("%s doesn't start: %v", e.ID, err)
			return
		}
		w.fleet.Store.Put("servers", e.ID, e.Entry("ready"))
		w.rec.Printf("%s is back", e.ID)
	})
}

func (w *watch) send(prefix, parts string) {
	router := w.fleet.Routers[rand.IntN(len(w.fleet.Routers))]
	id := kit.NewID(prefix)
	w.rec.Printf("client sends %s to %s, parts %s", id, router.Name, parts)
	a := kit.Do(router, id, kit.Request{Method: "POST", Host: host, Path: "/chat/" + id, Key: key, Body: "prompt of " + id,
		Deadline: 5 * time.Second, Input: 400, Output: 24, Prefix: parts})
	w.rec.Printf("client gets %d for %s, %d bytes, error %v", a.Status, id, len(a.Body), a.Err)
	w.mu.Lock()
	defer w.mu.Unlock()
	if prefix == "sound" {
		w.sound++
		if a.Status == http.StatusOK && a.Err == nil {
			w.served++
		}
	}
}

// sendAll sends sound requests and, among them, those with the part. All share their caller and their first part.
func (w *watch) sendAll() {
	var clients sync.WaitGroup
	start := time.Now()
	nextBad := start.Add(3 * time.Second)
	for time.Since(start) < length {
		clients.Go(func() { w.send("sound", "shared001:100,s"+kit.NewID("x")+":300") })
		if time.Now().After(nextBad) {
			nextBad = nextBad.Add(badInterval)
			clients.Go(func() { w.send("bad", "shared001:100,"+badPart+":100,s"+kit.NewID("y")+":200") })
		}
		time.Sleep(soundInterval)
	}
	clients.Wait()
}

func run(rec *kit.Record, trouble bool) (bool, error) {
	fleet, err := kit.NewFleet(rec, 3, []string{"zone-a", "zone-b", "zone-c"})
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	w := &watch{rec: rec, trouble: trouble, fleet: fleet}
	for i := range 9 {
		e := &kit.Engine{ID: fmt.Sprintf("i-%d", i+1), Service: llm, Zone: fleet.Routers[i%3].Zone, Version: "v1", Slots: 128,
			Queue: 100, Run: w.run}
		if err := e.Start(); err != nil {
			return false, err
		}
		fleet.Store.Put("servers", e.ID, e.Entry("ready"))
	}
	fleet.Store.Put("config", "main", config)
	if err := fleet.StartAll(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	w.sendAll()
	w.mu.Lock()
	defer w.mu.Unlock()
	rec.Printf("%d requests with the part reached engines, %d crashes, %d of %d sound requests served", w.bad, len(w.crashes),
		w.served, w.sound)
	rec.Printf("BUDGET: %d requests with the part reached engines later than %v after the fifth crash; %d are allowed", w.late,
		contact, allowed)
	for _, line := range fleet.LogLines("part of prompts quarantined") {
		rec.Printf("log: %.300s", line)
	}
	if !trouble && w.served < w.sound*9/10 {
		return false, fmt.Errorf("%d of %d sound requests served without the disruption", w.served, w.sound)
	}
	return w.late > allowed, nil
}

func main() { kit.Main(run) }
