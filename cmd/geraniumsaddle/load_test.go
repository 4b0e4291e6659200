package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"geraniumsaddle/io/fakes/engine"
)

// load is a background load of chat completions. Each answer is compared with the expected one.
type load struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	sum    loadSum
}

// loadSum counts the ends of requests.
type loadSum struct {
	Sent    int `json:"sent"`
	Whole   int `json:"whole"`
	Wrong   int `json:"wrong"`
	Refused int `json:"refused"` // with outcome not_run
	Failed  int `json:"failed"`  // cut connections and other errors
	Tokens  int `json:"tokens"`
}

// cmdLoad starts a load: loadgen NAME WORKERS MAX_TOKENS CALLER_ADDR...
func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	var workers, tokens int
	_, err := fmt.Sscan(args[1], &workers)
	ts.Check(err)
	_, err = fmt.Sscan(args[2], &tokens)
	ts.Check(err)
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel}
	of(ts).loads[args[0]] = l
	for i, addr := range args[3:] {
		for w := range workers {
			l.wg.Go(func() {
				client := &http.Client{Transport: &http.Transport{}}
				for n := 0; ctx.Err() == nil; n++ {
					l.one(client, addr, fmt.Sprintf("load %s %d %d %d", args[0], i, w, n), tokens)
				}
			})
		}
	}
}

func (l *load) one(client *http.Client, addr, prompt string, tokens int) {
	body := fmt.Appendf(nil, `{"model":"demo-chat","messages":[{"role":"user","content":%q}],"max_tokens":%d}`, prompt, tokens)
	var sum loadSum
	sum.Sent = 1
	status, outcome, answer, err := post(client, addr, body)
	switch {
	case err != nil:
		sum.Failed = 1
	case outcome == "not_run":
		sum.Refused = 1
	case status != http.StatusOK:
		sum.Failed = 1
	default:
		sum.judge(body, answer)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sum.Sent += sum.Sent
	l.sum.Whole += sum.Whole
	l.sum.Wrong += sum.Wrong
	l.sum.Refused += sum.Refused
	l.sum.Failed += sum.Failed
	l.sum.Tokens += sum.Tokens
}

func post(client *http.Client, addr string, body []byte) (status int, outcome string, answer []byte, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return 0, "", nil, err
	}
	req.Header.Set("Authorization", "Bearer demo-key")
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", nil, err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get("Request-Outcome"), answer, err
}

// judge compares an answer with the one that the engine gives to the prompt.
func (s *loadSum) judge(body, answer []byte) {
	var a struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
		Usage struct {
			Total int `json:"total_tokens"`
		} `json:"usage"`
	}
	want, err := engine.Expect(body)
	if err != nil || json.Unmarshal(answer, &a) != nil || len(a.Choices) != 1 || a.Choices[0].Message.Content != want.Text {
		s.Wrong = 1
		return
	}
	s.Whole, s.Tokens = 1, a.Usage.Total
}

// cmdLoadStop ends a load, sets the variable LOAD_tokens and prints its counters except those that differ between
// runs: loadstop NAME.
func cmdLoadStop(ts *testscript.TestScript, _ bool, args []string) {
	l := of(ts).loads[args[0]]
	l.cancel()
	l.wg.Wait()
	ts.Setenv(args[0]+"_tokens", fmt.Sprint(l.sum.Tokens))
	full, err := json.Marshal(l.sum)
	ts.Check(err)
	ts.Logf("load %s: %s", args[0], full)
	out := fmt.Sprintf("wrong %d failed %d", l.sum.Wrong, l.sum.Failed)
	if l.sum.Whole == 0 {
		out += " none whole"
	}
	if l.sum.Refused > 0 {
		out += " some refused"
	}
	_, _ = io.WriteString(ts.Stdout(), strings.TrimSpace(out)+"\n")
}

// cmdWaitLoad waits until a load has a number of whole answers, or with "+" before the number so many more than now:
// waitload NAME COUNT.
func cmdWaitLoad(ts *testscript.TestScript, _ bool, args []string) {
	l := of(ts).loads[args[0]]
	count, more := strings.CutPrefix(args[1], "+")
	var want int
	_, err := fmt.Sscan(count, &want)
	ts.Check(err)
	if more {
		l.mu.Lock()
		want += l.sum.Whole
		l.mu.Unlock()
	}
	l.waitFor(ts, args[0], func(s loadSum) bool { return s.Whole >= want })
}

// waitFor waits until the counters of a load meet a condition.
func (l *load) waitFor(ts *testscript.TestScript, name string, done func(loadSum) bool) {
	end := time.Now().Add(pollWait)
	for {
		l.mu.Lock()
		sum := l.sum
		l.mu.Unlock()
		if done(sum) {
			return
		}
		if time.Now().After(end) {
			ts.Fatalf("load %s has %+v", name, sum)
		}
		time.Sleep(pollEvery)
	}
}

// cmdDrain ends a router gracefully under its load, as the balancer sees it: the load goes on until the router says
// that it is not ready: drain ROUTER LOAD.
func cmdDrain(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	ts.Check(s.procs[args[0]].cmd.Process.Signal(syscall.SIGTERM))
	ready := "http://" + ts.Getenv(args[0]+"_admin_addr") + "/readyz"
	end := time.Now().Add(pollWait)
	for {
		resp, err := http.Get(ready)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusServiceUnavailable {
				break
			}
		}
		if err != nil || time.Now().After(end) {
			ts.Fatalf("%s did not announce its end: %v", args[0], err)
		}
		time.Sleep(pollEvery)
	}
	s.loads[args[1]].cancel()
}

// cmdBilled waits until the billed tokens of a budget are the sum of the given numbers: billed PLATFORM_URL BUDGET N...
func cmdBilled(ts *testscript.TestScript, neg bool, args []string) {
	sum := 0
	for _, a := range args[2:] {
		var n int
		_, err := fmt.Sscan(a, &n)
		ts.Check(err)
		sum += n
	}
	cmdLedger(ts, neg, []string{args[0], args[1], fmt.Sprint(sum)})
}
