package main_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/testscript"

	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/io/fakes/engine"
	"geraniumsaddle/io/fakes/plain"
	"geraniumsaddle/io/store"
)

// getJSON sends a GET request and decodes the JSON body of the response.
func getJSON(url string, out any) error {
	client := &http.Client{Timeout: startTimeout}
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out)
}

// cmdRuns prints how many request IDs (engines) or idempotency keys (services) a target ran more than once, and how
// often the capacity was exceeded. Runs are counted for each target by itself: runs engine|service ADDR...
func cmdRuns(ts *testscript.TestScript, _ bool, args []string) {
	double, breaches := 0, 0
	for _, addr := range args[1:] {
		runs, n := runStats(ts, args[0], addr)
		breaches += n
		for _, r := range runs {
			if r > 1 {
				double++
			}
		}
	}
	_, _ = fmt.Fprintf(ts.Stdout(), "double %d breaches %d\n", double, breaches)
}

// runStats returns how often a target ran each request ID or idempotency key, and its number of capacity breaches.
func runStats(ts *testscript.TestScript, kind, addr string) (runs map[string]int, breaches int) {
	if kind == "engine" {
		var st engine.Stats
		ts.Check(getJSON("http://"+addr+"/v1/stats", &st))
		return st.Runs, st.Breaches
	}
	var st plain.Stats
	ts.Check(getJSON("http://"+addr+"/v1/stats", &st))
	return st.Runs, st.Breaches
}

// cmdServed sets a variable to the number of requests that engines got for a version, or for all versions with "-":
// served VAR VERSION ADDR...
func cmdServed(ts *testscript.TestScript, _ bool, args []string) {
	n := 0
	for _, addr := range args[2:] {
		var st engine.Stats
		ts.Check(getJSON("http://"+addr+"/v1/stats", &st))
		for v, count := range st.Versions {
			if args[1] == "-" || args[1] == v {
				n += count
			}
		}
	}
	ts.Setenv(args[0], strconv.Itoa(n))
}

// cmdSame checks that two values are equal, or different with "!": same A B.
func cmdSame(ts *testscript.TestScript, neg bool, args []string) {
	if (args[0] == args[1]) == neg {
		ts.Fatalf("unexpected comparison result for %q and %q", args[0], args[1])
	}
}

var tokenGauge = regexp.MustCompile(`^geraniumsaddle_state\{name="(free|held)_tokens"\} (\S+)$`)

// routerTokens reads the sum of a router's free and held tokens from its metrics.
func routerTokens(addr string) (ident.Tokens, error) {
	client := &http.Client{Timeout: startTimeout}
	resp, err := client.Get("http://" + addr + "/metrics")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var sum ident.Tokens
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		m := tokenGauge.FindStringSubmatch(lines.Text())
		if m == nil {
			continue
		}
		v, err := strconv.ParseFloat(m[2], 64)
		if err != nil {
			return 0, err
		}
		sum += ident.Tokens(v)
	}
	return sum, lines.Err()
}

// cmdBalance waits until the paid tokens equal the sum of those that are billed, free or held at the routers,
// unallotted and unresolved, and prints the overspend and the unresolved tokens. The fleet must have a single budget
// and no running requests: balance PLATFORM_URL BUDGET ADMIN_ADDR...
func cmdBalance(ts *testscript.TestScript, _ bool, args []string) {
	st, err := store.New(store.Config{URL: args[0]}, clockwork.NewRealClock())
	ts.Check(err)
	id := escrow.BudgetEntryID(ident.BudgetID(args[1]))
	deadline := time.Now().Add(pollTimeout)
	for {
		shard, _ := readShard(ts, st, id)
		entry := shard.Entry(id)
		var atRouters ident.Tokens
		for _, addr := range args[2:] {
			n, err := routerTokens(addr)
			ts.Check(err)
			atRouters += n
		}
		paid := entry.Paid - entry.Refunded
		if paid == entry.Settled()+atRouters+entry.Unallotted()+entry.UnresolvedTokens() {
			ts.Logf("paid %d billed %d at routers %d unallotted %d", paid, entry.Settled(), atRouters, entry.Unallotted())
			_, _ = fmt.Fprintf(ts.Stdout(), "balanced over %d unresolved %d\n", max(0, entry.Settled()-paid), entry.UnresolvedTokens())
			return
		}
		if time.Now().After(deadline) {
			b, _ := json.Marshal(entry)
			ts.Fatalf("%d tokens at routers do not balance %s", atRouters, b)
		}
		time.Sleep(pollInterval)
	}
}

// cmdWaitRefused waits until a load has counted COUNT refused requests: waitrefused NAME COUNT.
func cmdWaitRefused(ts *testscript.TestScript, _ bool, args []string) {
	l := sessionOf(ts).loads[args[0]]
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	l.waitFor(ts, args[0], func(c loadCounts) bool { return c.Refused >= want })
}

// cmdMint requests a new operation token from a router and stores it in a variable: mint VAR CALLER_ADDR.
func cmdMint(ts *testscript.TestScript, _ bool, args []string) {
	req := &httpRequest{method: http.MethodPost, url: "http://" + args[1] + "/v1/operations", raw: true,
		header: http.Header{"Authorization": {"Bearer demo-key"}}}
	_, out, err := req.send()
	ts.Check(err)
	var tok struct {
		Key string `json:"idempotency_key"`
	}
	ts.Check(json.Unmarshal([]byte(out), &tok))
	ts.Setenv(args[0], tok.Key)
}

// call is a request sent in the background. out and err are valid once done is closed.
type call struct {
	done chan struct{}
	out  string
	err  error
}

// cmdCall sends a request in the background: call NAME followed by the arguments of the command http.
func cmdCall(ts *testscript.TestScript, _ bool, args []string) {
	req := parseHTTPArgs(ts, args[1:])
	c := &call{done: make(chan struct{})}
	sessionOf(ts).calls[args[0]] = c
	go func() {
		defer close(c.done)
		_, c.out, c.err = req.send()
	}()
}

// cmdCallEnd waits until a background request has ended and prints the response, or "no answer" after an error:
// callend NAME.
func cmdCallEnd(ts *testscript.TestScript, _ bool, args []string) {
	c := sessionOf(ts).calls[args[0]]
	select {
	case <-c.done:
	case <-time.After(pollTimeout):
		ts.Fatalf("call %s did not end", args[0])
	}
	if c.err != nil {
		c.out = "no answer"
	}
	_, _ = fmt.Fprintln(ts.Stdout(), c.out)
}

// cmdWaitTokens waits until a router has at least COUNT free and held tokens: waittokens ADMIN_ADDR COUNT.
func cmdWaitTokens(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.ParseInt(args[1], 10, 64)
	ts.Check(err)
	deadline := time.Now().Add(pollTimeout)
	for {
		n, err := routerTokens(args[0])
		ts.Check(err)
		if n >= ident.Tokens(want) {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("the router has only %d tokens", n)
		}
		time.Sleep(pollInterval)
	}
}
