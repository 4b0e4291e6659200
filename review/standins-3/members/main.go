//go:build review

// Command members plays a fleet whose machines are replaced by others, as machines are in the course of weeks, and then
// requests with a part that crashes engines.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"geraniumsaddle/review/standins-3/kit"
)

const (
	host    = "h.example"
	badPart = "bad0000001"
	// machines is the size of the fleet, and rounds how often each machine is replaced.
	machines = 6
	rounds   = 9
	contact  = 3 * time.Second
	settle   = 8 * time.Second
	length   = 50 * time.Second
	downTime = 3 * time.Second
	// The intervals between sound requests and between those with the part that crashes engines.
	soundInterval = 50 * time.Millisecond
	badInterval   = 1200 * time.Millisecond
	// allowed is the number of requests with the part that may reach engines later than contact after the fifth crash.
	allowed = 3
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

const config = `{"version":1,"routes":[
 {"name":"chat","host":"h.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":5000,"target_latency_ms":400,"target_gap_ms":250,"priority":1,"service":"llm","max_attempts":1,"public":false,"sticky":true,"resumable":false}],
"services":[{"name":"llm","health_path":"/healthz","max_connections":620,"protocol":"h1","tls":false,"engine":{"slots":128,"kv_capacity_tokens":652207,"stride":4,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

type watch struct {
	rec   *kit.Record
	fleet *kit.Fleet
	// alive are the routers in use.
	alive []*kit.Router

	mu            sync.Mutex
	crashes       []time.Time
	bad, late     int
	sound, served int
}

// run answers with a stream in chunks. An engine that begins to write an answer on the part crashes.
func (w *watch) run(e *kit.Engine, j *kit.Job) bool {
	isBad := j.HasPart(badPart)
	w.rec.Printf("%s runs %s, bad part: %v", e.ID, j.ID, isBad)
	if isBad {
		w.noteBad()
	}
	if !j.Sleep(20 * time.Millisecond) {
		return false
	}
	head := e.Head(j, http.StatusOK) + kit.StreamType + "Transfer-Encoding: chunked\r\n\r\n"
	if isBad {
		_, _ = io.WriteString(j.Conn, head)
		w.crash(e)
		return false
	}
	for n := range 6 {
		if _, err := io.WriteString(j.Conn, head+kit.Chunk(kit.Event(n))); err != nil || !j.Sleep(10*time.Millisecond) {
			return false
		}
		head = ""
	}
	_, err := io.WriteString(j.Conn, "0\r\n\r\n")
	return err == nil
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
	router := w.alive[rand.IntN(len(w.alive))]
	id := kit.NewID(prefix)
	w.rec.Printf("client sends %s to %s, parts %s", id, router.Name, parts)
	a := kit.Do(router, id, kit.Request{Method: "POST", Host: host, Path: "/chat/" + id, Body: "prompt of " + id, Deadline: 5 * time.Second,
		Input: 400, Output: 24, Prefix: parts})
	w.rec.Printf("client gets %d for %s, %d bytes, error %v", a.Status, id, len(a.Body), a.Err)
	if prefix != "sound" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sound++
	if a.Status == http.StatusOK && a.Err == nil {
		w.served++
	}
}

// sendAll sends sound requests and, among them, those with the part.
func (w *watch) sendAll() {
	var clients sync.WaitGroup
	nextBad := time.Now().Add(2 * time.Second)
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(soundInterval) {
		clients.Go(func() { w.send("sound", "shared001:100,s"+kit.NewID("x")+":300") })
		if time.Now().After(nextBad) {
			nextBad = nextBad.Add(badInterval)
			clients.Go(func() { w.send("bad", "shared001:100,"+badPart+":100,s"+kit.NewID("y")+":200") })
		}
	}
	clients.Wait()
}

// replace starts a new machine beside each machine and then stops the old ones.
func (w *watch) replace() error {
	old := w.alive
	w.alive = nil
	for _, r := range old {
		added, err := w.fleet.Add(r.Zone)
		if err != nil {
			return err
		}
		if err := added.Start(false); err != nil {
			return err
		}
		w.alive = append(w.alive, added)
	}
	for _, r := range w.alive {
		for end := time.Now().Add(10 * time.Second); !r.IsReady(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				return fmt.Errorf("%s isn't ready", r.Name)
			}
		}
	}
	for _, r := range old {
		r.Signal(syscall.SIGTERM)
	}
	for _, r := range old {
		r.WaitExit()
	}
	return nil
}

func run(rec *kit.Record, trouble bool) (bool, error) {
	fleet, err := kit.NewFleet(rec, machines, zones)
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	w := &watch{rec: rec, fleet: fleet, alive: fleet.Routers}
	for i := range 12 {
		e := &kit.Engine{ID: fmt.Sprintf("i-%d", i+1), Service: "llm", Zone: zones[i%3], Version: "v1", Slots: 128, Queue: 100, Run: w.run}
		if err := e.Start(); err != nil {
			return false, err
		}
		fleet.Store.Put("servers", e.ID, e.Entry("ready"))
	}
	fleet.Store.Put("config", "main", config)
	if err := fleet.StartAll(); err != nil {
		return false, err
	}
	for round := range rounds {
		if !trouble {
			break
		}
		if err := w.replace(); err != nil {
			return false, err
		}
		rec.Printf("all machines have been replaced %d times", round+1)
	}
	time.Sleep(settle)
	w.sendAll()
	w.mu.Lock()
	defer w.mu.Unlock()
	rec.Printf("%d requests with the part reached engines, %d crashes, %d of %d sound requests served", w.bad, len(w.crashes), w.served, w.sound)
	for _, line := range fleet.LogLines("part of prompts quarantined") {
		rec.Printf("log: %.330s", line)
	}
	rec.Printf("BUDGET: %d requests with the part reached engines later than %v after the fifth crash; %d are allowed", w.late, contact, allowed)
	return w.late > allowed, nil
}

func main() { kit.Main(run) }
