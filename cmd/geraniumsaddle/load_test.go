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

// load sends chat completions in the background until it is cancelled and compares each answer with the expected one.
type load struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	counts loadCounts
}

// loadCounts counts the requests of a load by their result.
type loadCounts struct {
	Sent    int `json:"sent"`
	Whole   int `json:"whole"`   // complete and as expected
	Wrong   int `json:"wrong"`   // status 200 with an unexpected body
	Refused int `json:"refused"` // outcome not_run
	Failed  int `json:"failed"`  // broken connections and other errors
	Tokens  int `json:"tokens"`  // sum of total_tokens of the whole answers
}

// cmdLoadGen starts a load with WORKERS workers for each router: loadgen NAME WORKERS MAX_TOKENS CALLER_ADDR...
func cmdLoadGen(ts *testscript.TestScript, _ bool, args []string) {
	var workers, tokens int
	_, err := fmt.Sscan(args[1], &workers)
	ts.Check(err)
	_, err = fmt.Sscan(args[2], &tokens)
	ts.Check(err)
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel}
	sessionOf(ts).loads[args[0]] = l
	for i, addr := range args[3:] {
		for w := range workers {
			l.wg.Go(func() {
				client := &http.Client{Transport: &http.Transport{}}
				for n := 0; ctx.Err() == nil; n++ {
					l.sendRequest(client, addr, fmt.Sprintf("load %s %d %d %d", args[0], i, w, n), tokens)
				}
			})
		}
	}
}

// sendRequest sends one chat completion and counts its result.
func (l *load) sendRequest(client *http.Client, addr, prompt string, tokens int) {
	body := fmt.Appendf(nil, `{"model":"demo-chat","messages":[{"role":"user","content":%q}],"max_tokens":%d}`, prompt, tokens)
	var counts loadCounts
	counts.Sent = 1
	status, outcome, answer, err := postChat(client, addr, body)
	switch {
	case err != nil:
		counts.Failed = 1
	case outcome == "not_run":
		counts.Refused = 1
	case status != http.StatusOK:
		counts.Failed = 1
	default:
		counts.classify(body, answer)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Sent += counts.Sent
	l.counts.Whole += counts.Whole
	l.counts.Wrong += counts.Wrong
	l.counts.Refused += counts.Refused
	l.counts.Failed += counts.Failed
	l.counts.Tokens += counts.Tokens
}

// postChat sends a chat completion and returns the status, the Request-Outcome header and the body of the response.
func postChat(client *http.Client, addr string, body []byte) (status int, outcome string, answer []byte, err error) {
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

// classify counts the answer to a request as whole or wrong by comparing it with the one that the engine must give.
func (c *loadCounts) classify(body, answer []byte) {
	var completion struct {
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
	if err != nil || json.Unmarshal(answer, &completion) != nil || len(completion.Choices) != 1 || completion.Choices[0].Message.Content != want.Text {
		c.Wrong = 1
		return
	}
	c.Whole, c.Tokens = 1, completion.Usage.Total
}

// cmdLoadStop stops a load and waits for its workers. It sets the variable NAME_tokens and prints the counts that do
// not differ between runs: loadstop NAME.
func cmdLoadStop(ts *testscript.TestScript, _ bool, args []string) {
	l := sessionOf(ts).loads[args[0]]
	l.cancel()
	l.wg.Wait()
	ts.Setenv(args[0]+"_tokens", fmt.Sprint(l.counts.Tokens))
	full, err := json.Marshal(l.counts)
	ts.Check(err)
	ts.Logf("load %s: %s", args[0], full)
	out := fmt.Sprintf("wrong %d failed %d", l.counts.Wrong, l.counts.Failed)
	if l.counts.Whole == 0 {
		out += " none whole"
	}
	if l.counts.Refused > 0 {
		out += " some refused"
	}
	_, _ = io.WriteString(ts.Stdout(), strings.TrimSpace(out)+"\n")
}

// cmdWaitLoad waits until a load has counted COUNT whole answers in all, or COUNT more than now if it starts with "+":
// waitload NAME [+]COUNT.
func cmdWaitLoad(ts *testscript.TestScript, _ bool, args []string) {
	l := sessionOf(ts).loads[args[0]]
	count, relative := strings.CutPrefix(args[1], "+")
	var want int
	_, err := fmt.Sscan(count, &want)
	ts.Check(err)
	if relative {
		l.mu.Lock()
		want += l.counts.Whole
		l.mu.Unlock()
	}
	l.waitFor(ts, args[0], func(c loadCounts) bool { return c.Whole >= want })
}

// waitFor waits until the counts of a load meet a condition.
func (l *load) waitFor(ts *testscript.TestScript, name string, done func(loadCounts) bool) {
	deadline := time.Now().Add(pollTimeout)
	for {
		l.mu.Lock()
		counts := l.counts
		l.mu.Unlock()
		if done(counts) {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("load %s did not reach the expected counts: %+v", name, counts)
		}
		time.Sleep(pollInterval)
	}
}

// cmdDrain sends SIGTERM to a router under load and, like a load balancer, stops sending requests to it only when
// /readyz returns 503: drain ROUTER LOAD.
func cmdDrain(ts *testscript.TestScript, _ bool, args []string) {
	sess := sessionOf(ts)
	ts.Check(sess.procs[args[0]].cmd.Process.Signal(syscall.SIGTERM))
	ready := "http://" + ts.Getenv(args[0]+"_admin_addr") + "/readyz"
	deadline := time.Now().Add(pollTimeout)
	for {
		resp, err := http.Get(ready)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusServiceUnavailable {
				break
			}
		}
		if err != nil || time.Now().After(deadline) {
			ts.Fatalf("%s did not return 503 on /readyz: %v", args[0], err)
		}
		time.Sleep(pollInterval)
	}
	sess.loads[args[1]].cancel()
}

// cmdBilled waits until the billed tokens of a budget are the sum of the given numbers, and prints the totals as
// cmdLedger does: billed PLATFORM_URL BUDGET N...
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
