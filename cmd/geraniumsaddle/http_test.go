package main_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/testscript"

	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/io/store"
)

// volatileParts are the parts of responses that differ between runs, with their replacements.
var volatileParts = []struct {
	re *regexp.Regexp
	to string
}{
	{regexp.MustCompile(`req-[0-9a-f]{32}`), "req-ID"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z`), "TIME"},
	{regexp.MustCompile(`"created":\d+`), `"created":0`},
	{regexp.MustCompile(`"version":\d+`), `"version":N`},
	{regexp.MustCompile(`,20\d{4},`), ",MONTH,"},
	{regexp.MustCompile(`(r\d)\.\d{13}`), "$1.EPOCH"},
}

// cmdHTTP sends a request and prints the status, the Request-Outcome header and the body, with the volatile parts
// replaced:
//
//	http [-H 'name: value']... [-until STATUS[/TEXT]] [-raw] METHOD URL [BODY or @FILE]
//
// With -until it repeats the request until the response has the status and contains the text. With -raw it prints only
// the body, unchanged.
func cmdHTTP(ts *testscript.TestScript, neg bool, args []string) {
	req := parseHTTPArgs(ts, args)
	deadline := time.Now().Add(pollTimeout)
	for {
		status, out, err := req.send()
		ok := err == nil && (req.wantStatus == "" || status == req.wantStatus) && strings.Contains(out, req.wantText)
		if req.wantStatus == "" && req.wantText == "" {
			ok = err == nil
		}
		if ok != neg {
			_, _ = io.WriteString(ts.Stdout(), out+"\n")
			return
		}
		if time.Now().After(deadline) || req.wantStatus == "" && req.wantText == "" {
			ts.Fatalf("%s %s: status %s, error %v: %s", req.method, req.url, status, err, out)
		}
		time.Sleep(pollInterval)
	}
}

// httpRequest is a request of a script and the response that -until waits for.
type httpRequest struct {
	method, url, body    string
	header               http.Header
	wantStatus, wantText string
	raw                  bool
}

// parseHTTPArgs parses the arguments of the command http.
func parseHTTPArgs(ts *testscript.TestScript, args []string) *httpRequest {
	req := &httpRequest{header: http.Header{}}
	for len(args) > 0 && strings.HasPrefix(args[0], "-") {
		switch args[0] {
		case "-H":
			name, value, _ := strings.Cut(args[1], ": ")
			req.header.Set(name, value)
			args = args[2:]
		case "-until":
			req.wantStatus, req.wantText, _ = strings.Cut(args[1], "/")
			args = args[2:]
		case "-raw":
			req.raw = true
			args = args[1:]
		default:
			ts.Fatalf("unknown flag %s", args[0])
		}
	}
	req.method, req.url = args[0], args[1]
	if len(args) > 2 {
		req.body = args[2]
	}
	if file, ok := strings.CutPrefix(req.body, "@"); ok {
		req.body = ts.ReadFile(file)
	}
	return req
}

// send sends the request once and returns the status and the text to print.
func (r *httpRequest) send() (status, out string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, r.url, strings.NewReader(r.body))
	if err != nil {
		return "", "", err
	}
	req.Header = r.header.Clone()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	status = strconv.Itoa(resp.StatusCode)
	out = status + " " + resp.Header.Get("Request-Outcome") + "\n" + strings.TrimSpace(string(body))
	if r.raw {
		return status, strings.TrimSpace(string(body)), err
	}
	for _, v := range volatileParts {
		out = v.re.ReplaceAllString(out, v.to)
	}
	return status, out, err
}

// cmdFund tops up a budget directly in the platform's ledger. It creates the entry if there is none:
// fund PLATFORM_URL BUDGET TOKENS.
func cmdFund(ts *testscript.TestScript, _ bool, args []string) {
	st, err := store.New(store.Config{URL: args[0]}, clockwork.NewRealClock())
	ts.Check(err)
	tokens, err := strconv.ParseInt(args[2], 10, 64)
	ts.Check(err)
	id := escrow.BudgetEntryID(ident.BudgetID(args[1]))
	shard, version := readShard(ts, st, id)
	entry := escrow.Entry{ID: id}
	if existing := shard.Entry(id); existing != nil {
		entry = existing.Clone()
	}
	_, err = entry.ApplyOp(escrow.Op{ID: fmt.Sprint("fund-", version), Kind: escrow.OpTopUp, Tokens: ident.Tokens(tokens)})
	ts.Check(err)
	raw, err := shard.With(entry).Encode()
	ts.Check(err)
	_, err = st.Put(context.Background(), escrow.LedgerKey(id), raw, store.Match(version))
	ts.Check(err)
}

// readShard reads the ledger shard of an entry and its version. It returns an empty shard and version 0
// if the read fails.
func readShard(ts *testscript.TestScript, st *store.Client, id escrow.EntryID) (escrow.Shard, ident.ObjectVersion) {
	obj, err := st.Get(context.Background(), escrow.LedgerKey(id))
	if err != nil {
		return escrow.NewShard(), 0
	}
	shard, err := escrow.Decode(obj.Value)
	ts.Check(err)
	return shard, obj.Version
}

// cmdLedger waits until the billed tokens of a budget have the given value and prints the totals of its ledger entry:
// ledger PLATFORM_URL BUDGET BILLED.
func cmdLedger(ts *testscript.TestScript, _ bool, args []string) {
	st, err := store.New(store.Config{URL: args[0]}, clockwork.NewRealClock())
	ts.Check(err)
	id := escrow.BudgetEntryID(ident.BudgetID(args[1]))
	deadline := time.Now().Add(pollTimeout)
	for {
		shard, _ := readShard(ts, st, id)
		entry := shard.Entry(id)
		if entry != nil && fmt.Sprint(entry.Settled()) == args[2] {
			printTotals(ts, entry)
			return
		}
		if time.Now().After(deadline) {
			b, _ := json.Marshal(entry)
			ts.Fatalf("the billed tokens are not %s: %s", args[2], b)
		}
		time.Sleep(pollInterval)
	}
}

// printTotals validates a ledger entry and prints its totals over all routers.
func printTotals(ts *testscript.TestScript, e *escrow.Entry) {
	if faults := e.Validate(); len(faults) > 0 {
		ts.Fatalf("entry %s: %v", e.ID, faults)
	}
	_, _ = fmt.Fprintf(ts.Stdout(), "paid %d billed %d unresolved %d over %d\n", e.Paid-e.Refunded, e.Settled(), e.UnresolvedTokens(), max(0, e.Settled()-e.Paid+e.Refunded))
}
