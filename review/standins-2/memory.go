//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// memoryMB is the memory of a machine of the site, crowdSize the number of connections of the crowd, and crowdTime how long
	// it stays.
	memoryMB  = 134
	crowdSize = 1200
	crowdTime = 60 * time.Second
	// endsAllowed is the number of ends by themselves from which two machines make the day count 0.
	endsAllowed = 3
	// crowdParts is the number of parts of each prompt of the crowd, all with an ID of one hexadecimal digit.
	crowdParts = (headSize - 400) / len("a:1,")
	// headSize is the size of the heads of the crowd, below max_header_bytes (16,384).
	headSize = 16_000
)

// runMemory keeps many requests open that are legal in size but describe prompts of very many parts.
func runMemory(f *fleet, trouble bool) (broken bool, err error) {
	for i := range 12 {
		e := &engine{service: "llm", zone: fmt.Sprint("z", i%3+1), slots: 128, work: 30 * time.Millisecond, gap: 200 * time.Millisecond, events: 20, stride: 4}
		if err := e.start(fmt.Sprint("i-llm-", i)); err != nil {
			return false, err
		}
		f.store.Put("servers", e.id, e.entry("ready"))
	}
	f.store.Put("config", "main", fmt.Sprintf(poisonConfig, 100_000_000))
	if err := f.start(fleetConfig{routers: 2, memoryMB: memoryMB, maxFDs: 4100, graceS: 8, zones: []string{"z1", "z2"}}); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	prefix, count := "5ec00001:20,c0000001:20", fmt.Sprintf("%d,80", crowdParts)
	if trouble {
		prefix = strings.TrimSuffix(strings.Repeat("a:1,", crowdParts), ",")
	}
	client := &http.Client{Transport: &http.Transport{}}
	for _, r := range f.routers {
		status, _, whole := chat(client, r, "first-"+r.name, "key1", "40,80", "5ec00001:20,c0000001:20", 5*time.Second)
		f.record.say("%s: an ordinary request before the crowd: %d, whole: %v; memory %d MB", r.name, status, whole, memoryOf(r, "VmHWM:"))
	}
	stop := time.Now().Add(crowdTime)
	var wg sync.WaitGroup
	var mu sync.Mutex
	ends, peaks := make(map[string]int), make(map[string]int)
	statuses := make(map[string]int)
	for _, r := range f.routers {
		wg.Go(func() { f.limitMemory(r, stop, &mu, ends, peaks) })
		for c := range crowdSize {
			wg.Go(func() {
				for n := 0; time.Now().Before(stop); n++ {
					s := crowdRequest(r, fmt.Sprintf("m%d-%d", c, n), count, prefix)
					mu.Lock()
					statuses[s]++
					mu.Unlock()
					if s != "HTTP/1.1 200 OK" {
						time.Sleep(200 * time.Millisecond)
					}
				}
			})
		}
	}
	wg.Wait()
	f.record.say("answers to the crowds: %v", statuses)
	broken = true
	for _, r := range f.routers {
		f.record.say("%s: peak memory %d MB of %d MB; ended %d times for its memory", r.name, peaks[r.name], memoryMB, ends[r.name])
		broken = broken && ends[r.name] >= endsAllowed
	}
	return broken, nil
}

// limitMemory does what the platform does: it kills a process that exceeds its memory, and starts it again after a short delay.
func (f *fleet) limitMemory(r *router, stop time.Time, mu *sync.Mutex, ends, peaks map[string]int) {
	for time.Now().Before(stop) {
		time.Sleep(20 * time.Millisecond)
		now := memoryOf(r, "VmRSS:")
		mu.Lock()
		peaks[r.name] = max(peaks[r.name], now)
		mu.Unlock()
		if now <= memoryMB && r.isRunning() {
			continue
		}
		f.record.say("%s has %d MB of %d MB and is killed", r.name, now, memoryMB)
		_ = r.cmd.Process.Kill()
		<-r.exited
		mu.Lock()
		ends[r.name]++
		mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		if err := f.restart(r); err != nil {
			f.record.say("%s does not start: %v", r.name, err)
			return
		}
	}
}

// crowdRequest sends one request, reads its answer, and returns the status line.
func crowdRequest(r *router, id, count, prefix string) string {
	c, err := net.DialTimeout("tcp", r.front, time.Second)
	if err != nil {
		return "no connection"
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(6 * time.Second))
	_, err = fmt.Fprintf(c, "POST /chat/1 HTTP/1.1\r\nHost: llm.example\r\nAttempt-Id: %s\r\nAuthorization: Token key1\r\nModel: m\r\nToken-Count: %s\r\nPrompt-Prefix: %s\r\nDeadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n", id, count, prefix)
	if err != nil {
		return "not sent"
	}
	br := bufio.NewReader(c)
	line, err := br.ReadString('\n')
	if err != nil {
		return "no answer"
	}
	_, _ = io.Copy(io.Discard, br)
	return strings.TrimSpace(line)
}

// memoryOf returns a field of the kernel's report on a router in megabytes, or 0 if the process has ended.
func memoryOf(r *router, field string) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	kb := 0
	if _, after, ok := strings.Cut(string(b), field); ok {
		_, _ = fmt.Sscan(after, &kb)
	}
	return kb >> 10
}
