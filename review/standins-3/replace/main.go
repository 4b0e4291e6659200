//go:build review

// Command replace plays a small fleet whose machines are replaced by others, a few at a time, as machines are in the course
// of weeks, and then looks which tenants are served.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"geraniumsaddle/review/standins-3/kit"
)

const (
	host    = "h.example"
	tenants = 10
	prepaid = 50_000_000
	// rounds is how often each machine is replaced.
	rounds = 7
	// settle is the time between the last change and the requests that count, and length the time of these.
	settle    = 8 * time.Second
	length    = 20 * time.Second
	perSecond = 40
	// plainShare is the share of the requests that go to the service without tokens.
	plainShare = 0.26
	// starvedShare is the share of the service of all requests below which a tenant starves.
	starvedShare = 0.25
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

func config() string {
	var orgs []string
	for i := range tenants {
		orgs = append(orgs, fmt.Sprintf(`{"name":%q,"api_keys":["key-%s"],"prepaid":%d}`, tenant(i), tenant(i), prepaid))
	}
	return `{"version":1,"routes":[
 {"name":"chat","host":"h.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":4000,"target_latency_ms":400,"target_gap_ms":250,"priority":1,"service":"llm","max_attempts":1,"public":false,"sticky":true,"resumable":false},
 {"name":"look","host":"h.example","path_prefix":"/look/","kind":"safe","timeout_ms":800,"target_latency_ms":100,"priority":2,"service":"desk","max_attempts":2,"public":false}],
"services":[{"name":"llm","health_path":"/healthz","max_connections":620,"protocol":"h1","tls":false,"engine":{"slots":128,"kv_capacity_tokens":652207,"stride":4,"models":[{"name":"m"}]}},
 {"name":"desk","health_path":"/healthz","max_connections":100,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[` + strings.Join(orgs, ",") + `]}`
}

func tenant(i int) string { return fmt.Sprintf("tenant%d", i+1) }

// count counts requests and those that were served.
type count struct{ asked, served int }

func (c count) share() float64 { return float64(c.served) / float64(max(c.asked, 1)) }

type watch struct {
	rec   *kit.Record
	fleet *kit.Fleet
	// alive are the routers in use.
	alive []*kit.Router

	mu       sync.Mutex
	byTenant [tenants]count
	all      count
	statuses map[string]int
}

func (w *watch) run(e *kit.Engine, j *kit.Job) bool {
	w.rec.Printf("%s runs %s of %s", e.ID, j.ID, j.Tenant)
	if !j.Sleep(15 * time.Millisecond) {
		return false
	}
	if e.Service == "desk" {
		return e.Answer(j, http.StatusOK, "answer to "+j.ID)
	}
	text := e.Head(j, http.StatusOK) + kit.StreamType + "Transfer-Encoding: chunked\r\n\r\n"
	for n := range 6 {
		if _, err := io.WriteString(j.Conn, text+kit.Chunk(kit.Event(n))); err != nil || !j.Sleep(10*time.Millisecond) {
			return false
		}
		text = ""
	}
	_, err := io.WriteString(j.Conn, "0\r\n\r\n")
	return err == nil
}

// send sends one request, which the client repeats once elsewhere if it is refused, as the platform's clients do.
func (w *watch) send() {
	i := rand.IntN(tenants)
	r := kit.Request{Method: "POST", Host: host, Path: "/chat/", Key: "key-" + tenant(i), Body: "prompt", Deadline: 4 * time.Second, Input: 500, Output: 24}
	if rand.Float64() < plainShare {
		r = kit.Request{Method: "GET", Host: host, Path: "/look/", Key: "key-" + tenant(i), Deadline: 1500 * time.Millisecond}
	}
	served := false
	first := rand.IntN(len(w.alive))
	for try := range 2 {
		router := w.alive[(first+try)%len(w.alive)]
		id := kit.NewID("r")
		if r.Output > 0 {
			r.Prefix = "shared001:200,own" + id + ":300"
		}
		w.rec.Printf("client of %s sends %s %s to %s", tenant(i), r.Path, id, router.Name)
		a := kit.Do(router, id, r)
		w.rec.Printf("client gets %d for %s, %d bytes, error %v: %.60q", a.Status, id, len(a.Body), a.Err, a.Body)
		w.mu.Lock()
		w.statuses[fmt.Sprintf("%s%d", r.Path, a.Status)]++
		w.mu.Unlock()
		if served = a.Status == http.StatusOK && a.Err == nil; served {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.all.asked++
	if served {
		w.all.served++
	}
	if r.Output > 0 {
		w.byTenant[i].asked++
		if served {
			w.byTenant[i].served++
		}
	}
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
	fleet, err := kit.NewFleet(rec, len(zones), zones)
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	w := &watch{rec: rec, fleet: fleet, alive: fleet.Routers, statuses: make(map[string]int)}
	for i := range 9 {
		e := &kit.Engine{ID: fmt.Sprintf("i-%d", i+1), Service: "llm", Zone: zones[i%3], Version: "v1", Slots: 128, Queue: 100, Run: w.run}
		if i >= 6 {
			e.Service, e.Slots = "desk", 6
		}
		if err := e.Start(); err != nil {
			return false, err
		}
		fleet.Store.Put("servers", e.ID, e.Entry("ready"))
	}
	fleet.Store.Put("config", "main", config())
	if err := fleet.StartAll(); err != nil {
		return false, err
	}
	for round := range rounds {
		if !trouble {
			time.Sleep(3 * time.Second)
			continue
		}
		if err := w.replace(); err != nil {
			return false, err
		}
		rec.Printf("all machines have been replaced %d times", round+1)
	}
	time.Sleep(settle)
	var clients sync.WaitGroup
	tick := time.NewTicker(time.Second / perSecond)
	defer tick.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); {
		<-tick.C
		clients.Go(w.send)
	}
	clients.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	rec.Printf("answers: %v", w.statuses)
	starved := 0
	for i, c := range w.byTenant {
		isStarved := c.share() < starvedShare*w.all.share()
		if isStarved {
			starved++
		}
		rec.Printf("%s: %d of %d requests for tokens served, starved: %v", tenant(i), c.served, c.asked, isStarved)
	}
	rec.Printf("STARVED: %d of %d tenants; %d of %d of all requests served", starved, tenants, w.all.served, w.all.asked)
	return starved > 0, nil
}

func main() { kit.Main(run) }
