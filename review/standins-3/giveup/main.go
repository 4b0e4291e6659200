//go:build review

// Command giveup plays clients of a tenant with prepaid tokens, of which some leave before the first event of their stream.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"geraniumsaddle/review/standins-3/kit"
)

const (
	host    = "h.example"
	key     = "key1"
	org     = "org1"
	prepaid = 1_000_000
	// input and output are the tokens of a request, of which sharedTokens are those of the part that all share, and
	// eventTokens are those of an event.
	input, output = 9190, 52
	sharedTokens  = 6300
	eventTokens   = 4
	// readTime is the time for reading a prompt, at 91.8 tokens in a millisecond, and step the time for a token of each of
	// the requests that an engine runs.
	readTime = 100 * time.Millisecond
	step     = 25 * time.Millisecond
	// leaveAfter is half of the objective of 400 ms, after which leavingShare of the clients leave.
	leaveAfter   = 200 * time.Millisecond
	leavingShare = 0.3
	deadline     = 5 * time.Second
	perSecond    = 12
	length       = 30 * time.Second
)

const config = `{"version":1,"routes":[
 {"name":"plan","host":"h.example","path_prefix":"/plan/","kind":"streaming","timeout_ms":5000,"target_latency_ms":400,"target_gap_ms":250,"priority":1,"service":"llm","max_attempts":1,"public":false,"sticky":true,"resumable":false}],
"services":[{"name":"llm","health_path":"/healthz","max_connections":620,"protocol":"h1","tls":false,"engine":{"slots":128,"kv_capacity_tokens":652207,"stride":4,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"org1","api_keys":["key1"],"prepaid":1000000}]}`

type watch struct {
	rec     *kit.Record
	fleet   *kit.Fleet
	trouble bool

	mu sync.Mutex
	// ran holds the input tokens of each request that an engine has made a token for, and delivered the output tokens that
	// clients have got.
	ran       map[string]int
	delivered int
	left      int
	statuses  map[int]int
}

// run reads the prompt, and then makes a token with each step. It sends an event when it has made all of its tokens.
func (w *watch) run(e *kit.Engine, j *kit.Job) bool {
	if !j.Sleep(readTime) {
		w.rec.Printf("%s: %s ends before it runs", e.ID, j.ID)
		return false
	}
	for made := 1; made <= output; made++ {
		if !j.Sleep(step) {
			w.rec.Printf("%s: the run of %s ends after %d tokens", e.ID, j.ID, made-1)
			return false
		}
		if made == 1 {
			w.rec.Printf("%s runs %s of %s: first token, %d prompt tokens read", e.ID, j.ID, j.Tenant, input)
			w.mu.Lock()
			w.ran[j.ID] = input
			w.mu.Unlock()
		}
		if made%eventTokens != 0 {
			continue
		}
		text := kit.Chunk(kit.Event(made/eventTokens - 1))
		if made == eventTokens {
			text = e.Head(j, http.StatusOK) + kit.StreamType + "Transfer-Encoding: chunked\r\n\r\n" + text
		}
		if _, err := io.WriteString(j.Conn, text); err != nil {
			return false
		}
	}
	_, err := io.WriteString(j.Conn, "0\r\n\r\n")
	w.rec.Printf("%s: the run of %s ends with %d tokens", e.ID, j.ID, output)
	return err == nil
}

func (w *watch) send() {
	router := w.fleet.Routers[rand.IntN(len(w.fleet.Routers))]
	id := kit.NewID("r")
	r := kit.Request{Method: "POST", Host: host, Path: "/plan/" + id, Key: key, Body: "prompt of " + id, Deadline: deadline, Input: input,
		Output: output, Prefix: fmt.Sprintf("shared001:%d,own%s:%d", sharedTokens, id, input-sharedTokens)}
	if w.trouble && rand.Float64() < leavingShare {
		r.LeaveAfter = leaveAfter
	}
	w.rec.Printf("client sends %s to %s, leaves after %v", id, router.Name, r.LeaveAfter)
	a := kit.Do(router, id, r)
	events := strings.Count(a.Body, "data: ")
	w.rec.Printf("client gets %d for %s with %d events, error %v", a.Status, id, events, a.Err)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.statuses[a.Status]++
	if a.Status == http.StatusOK {
		w.delivered += events * eventTokens
	}
	if a.Left() {
		w.left++
	}
}

func run(rec *kit.Record, trouble bool) (bool, error) {
	fleet, err := kit.NewFleet(rec, 3, []string{"zone-a", "zone-b", "zone-c"})
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	w := &watch{rec: rec, fleet: fleet, trouble: trouble, ran: make(map[string]int), statuses: make(map[int]int)}
	for i := range 6 {
		e := &kit.Engine{ID: fmt.Sprintf("i-%d", i+1), Service: "llm", Zone: fleet.Routers[i%3].Zone, Version: "v1", Slots: 128,
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
	inputs := 0
	for _, n := range w.ran {
		inputs += n
	}
	rec.Printf("answers by status: %v; %d clients left", w.statuses, w.left)
	rec.Printf("BUDGET: %s consumed %d tokens, %d input of %d requests that ran and %d output delivered; prepaid are %d", org,
		inputs+w.delivered, inputs, len(w.ran), w.delivered, prepaid)
	if w.statuses[http.StatusOK] == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return inputs+w.delivered > prepaid, nil
}

func main() { kit.Main(run) }
