//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const poisonConfig = `{"version":7,"routes":[
 {"name":"r-chat","host":"llm.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":5000,"target_latency_ms":400,"priority":1,"service":"llm","max_attempts":2,"public":false,"sticky":true,"resumable":false,"target_gap_ms":250}],
"services":[{"name":"llm","health_path":"/healthz","max_connections":620,"protocol":"h1","tls":false,"engine":{"slots":128,"kv_capacity_tokens":652207,"stride":4}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t1","api_keys":["key1"],"priority":1,"prepaid":%d}]}`

const (
	// poisonPart is the part that crashes each engine that begins to write an answer on it.
	poisonPart = "bad0bad0"
	// backAfter is how long a crashed engine is away, and expiry when the store removes its entry: three heartbeats.
	backAfter = 2500 * time.Millisecond
	expiry    = 3600 * time.Millisecond
	contact   = 3 * time.Second
	// poisonPause is the pause between two requests with the part.
	poisonPause = 600 * time.Millisecond
	poisonTime  = 40 * time.Second
)

// promptParts is the number of parts of a prompt. PARTS=4 shows that the part is quarantined in a short prompt.
func promptParts() int {
	if n, err := strconv.Atoi(os.Getenv("PARTS")); err == nil {
		return n
	}
	return 18
}

// prefix returns the parts of a prompt: the given first one, shared ones, and one of the request alone.
func prefix(first, own string) string {
	parts := []string{first + ":200"}
	for i := range promptParts() - 2 {
		parts = append(parts, fmt.Sprintf("5ec%05x:20", i))
	}
	return strings.Join(append(parts, own+":50"), ",")
}

// chat sends one request to the model engines and returns the status, the complete events and whether the answer is whole.
func chat(client *http.Client, r *router, id, key, count, prefix string, deadline time.Duration) (status, events int, whole bool) {
	req, err := http.NewRequest(http.MethodPost, "http://"+r.front+"/chat/1", strings.NewReader("prompt"))
	if err != nil {
		return 0, 0, false
	}
	req.Host = "llm.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("Model", "m")
	req.Header.Set("Token-Count", count)
	req.Header.Set("Prompt-Prefix", prefix)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	c := *client
	c.Timeout = deadline
	resp, err := c.Do(req)
	if err != nil {
		return 0, 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.Count(string(body), "\n\n"), err == nil
}

// runPoison sends requests of which some have a part that crashes engines.
func runPoison(f *fleet, trouble bool) (broken bool, err error) {
	var mu sync.Mutex
	var crashes []time.Time
	isPoison := func(r *http.Request) bool { return strings.Contains(r.Header.Get("Prompt-Prefix"), poisonPart+":") }
	var engines []*engine
	for i := range 12 {
		e := &engine{service: "llm", zone: fmt.Sprint("z", i%3+1), slots: 128, work: 30 * time.Millisecond, gap: 10 * time.Millisecond, events: 6, stride: 4}
		e.decide = func(r *http.Request) reply {
			if trouble && isPoison(r) {
				return replyCrash
			}
			return replyWhole
		}
		generation := 0
		name := func() string { return fmt.Sprintf("i-llm-%d-%d", i, generation) }
		e.onCrash = func() {
			old := name()
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			f.record.printf("engine %s crashes", old)
			time.AfterFunc(expiry, func() { f.store.Delete("servers", old) })
			time.Sleep(backAfter)
			generation++
			if err := e.start(name()); err != nil {
				f.record.say("engine %s does not start: %v", name(), err)
				return
			}
			f.store.Put("servers", name(), e.entry("ready"))
		}
		if err := e.start(name()); err != nil {
			return false, err
		}
		engines = append(engines, e)
		f.store.Put("servers", name(), e.entry("ready"))
	}
	f.store.Put("config", "main", fmt.Sprintf(poisonConfig, 100_000_000))
	if err := f.start(fleetConfig{routers: 3, memoryMB: 284, maxFDs: 4100, graceS: 8, zones: []string{"z1", "z2", "z3"}}); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var served, asked int
	for c := range 9 { // sound requests with the same key and the same other parts
		r := f.routers[c%len(f.routers)]
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(60 * time.Millisecond):
				}
				id := fmt.Sprintf("s%d-%d", c, n)
				status, events, whole := chat(client, r, id, "key1", "560,24", prefix("600d600d", fmt.Sprintf("c%03d%04x", c, n)), 5*time.Second)
				f.record.printf("sound request %s: %d, %d events, whole: %v", id, status, events, whole)
				mu.Lock()
				asked++
				if status == http.StatusOK && whole {
					served++
				}
				mu.Unlock()
			}
		})
	}
	begin := time.Now()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; time.Since(begin) < poisonTime; n++ {
		r := f.routers[n%len(f.routers)]
		id := fmt.Sprint("p", n)
		wg.Go(func() {
			status, events, whole := chat(client, r, id, "key1", "560,24", prefix(poisonPart, fmt.Sprintf("d%07x", n)), 5*time.Second)
			f.record.printf("request %s with the part: %d, %d events, whole: %v", id, status, events, whole)
		})
		time.Sleep(poisonPause)
	}
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	f.record.say("prompts of %d parts; %d crashes of engines; %d of %d sound requests served", promptParts(), len(crashes), served, asked)
	if len(crashes) < 5 {
		return false, nil
	}
	sort.Slice(crashes, func(i, j int) bool { return crashes[i].Before(crashes[j]) })
	bound := crashes[4].Add(contact)
	late := 0
	for _, e := range engines {
		for _, r := range e.copyArrived() {
			if strings.HasPrefix(r.id, "p") && r.at.After(bound) {
				late++
				f.record.printf("request %s with the part reaches an engine %.3f s after the fifth crash", r.id, r.at.Sub(crashes[4]).Seconds())
			}
		}
	}
	f.record.say("%d requests with the part reached engines later than contact_ms after the fifth crash; 3 are allowed", late)
	return late > 3, nil
}
