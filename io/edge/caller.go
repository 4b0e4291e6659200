package edge

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/place"
	"geraniumsaddle/core/quota"
	"geraniumsaddle/core/route"
	"geraniumsaddle/platform"
)

const (
	// defaultTimeout bounds a request whose route and caller name no time.
	defaultTimeout = 30 * time.Second
	// tokenWait bounds the wait for tokens from the ledger. A write takes some milliseconds.
	tokenWait = 400 * time.Millisecond
	// shortAfterLeast and shortAfterMost bound the time after which a caller may come back for tokens.
	shortAfterLeast = 200 * time.Millisecond
	shortAfterMost  = 3 * time.Second
	// tokenWaitPart is the part of the remaining time that a request may wait for tokens.
	tokenWaitPart = 4
	// writeMargin is the time after the deadline of a request in which its answer may still be written.
	writeMargin = 200 * time.Millisecond
)

// exchange is one request of a caller, from its arrival to its answer.
type exchange struct {
	s       *Server
	w       http.ResponseWriter
	r       *http.Request
	started time.Time
	// ctx ends at the deadline or when the caller leaves.
	ctx      context.Context
	deadline time.Time

	table   *route.Table
	route   *route.Route
	org     *route.Org
	call    platform.RequestHeaders
	body    []byte
	service ident.ServiceID
	// versions restricts the versions of targets while a release runs.
	versions place.Versions

	// held is what is reserved of the organisation's tokens, and output what was delivered.
	held   ident.Tokens
	output ident.Tokens
	// maybeRun says that a target may have run the request, and billable that it may have produced a token: an event
	// came, or the connection failed while the caller still waited.
	maybeRun, billable bool
	// tried lists the targets that were sent the request, and sends counts those that may have run it.
	tried []ident.TargetID
	sends int

	// For the log line.
	status  int
	reason  string
	first   time.Duration
	cost    float64
	busy    float64
	home    bool
	waited  time.Duration
	version ident.VersionID
}

// serveCaller answers one request.
func (s *Server) serveCaller(w http.ResponseWriter, r *http.Request) {
	x := &exchange{s: s, w: w, r: r, started: s.deps.Clock.Now(), table: s.table.Load()}
	defer x.finish()
	if no, ok := x.admit(); !ok {
		x.refuse(no)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	x.ctx = ctx
	if no, ok := x.hold(); !ok {
		x.refuse(no)
		return
	}
	// A caller that does not read must not keep the request beyond its deadline.
	_ = http.NewResponseController(w).SetWriteDeadline(x.deadline.Add(writeMargin))
	defer func() { _ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) }()
	if x.route.Kind == route.Stream {
		x.serveStream()
		return
	}
	x.servePlain()
}

// admit checks the request against the configuration and reads its body.
func (x *exchange) admit() (refusal, bool) {
	call, err := platform.ReadRequestHeaders(x.r.Header)
	x.call = call
	switch {
	case x.table == nil:
		return refuseStarting, false
	case errors.Is(err, platform.ErrNoID):
		return refuseNoID, false
	case err != nil:
		return refuseHeader, false
	}
	limits := x.table.Limits()
	if limits.MaxHeader > 0 && headerSize(x.r) > limits.MaxHeader {
		return refuseHeaders, false
	}
	x.route = x.table.Match(x.r.Host, x.r.URL.Path)
	if x.route == nil {
		return refuseNoRoute, false
	}
	if x.table.RequiresKey() && !x.route.Public {
		if x.org = x.table.OrgByKey(call.APIKey); x.org == nil {
			return refuseKey, false
		}
	}
	x.service = x.route.PickService(rand.Uint64())
	x.versions = x.s.releases.versions(x.service, x.started)
	x.s.countRequest(x.service)
	x.deadline = x.started.Add(x.patience())
	return x.readBody(limits.MaxBody)
}

// patience returns the time for the request: the shorter of what the route and the caller allow.
func (x *exchange) patience() time.Duration {
	d := defaultTimeout
	if x.route.Timeout > 0 {
		d = x.route.Timeout
	}
	if x.call.Timeout > 0 {
		d = min(d, x.call.Timeout)
	}
	return d
}

func headerSize(r *http.Request) ident.Bytes {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for k, values := range r.Header {
		for _, v := range values {
			n += len(k) + len(v) + len(": \r\n")
		}
	}
	return ident.Bytes(n)
}

func (x *exchange) readBody(limit ident.Bytes) (refusal, bool) {
	if limit <= 0 {
		limit = 4 << 20
	}
	if x.r.ContentLength > int64(limit) {
		return refuseBody, false
	}
	if x.r.ContentLength > 0 {
		x.body = make([]byte, x.r.ContentLength)
		if _, err := io.ReadFull(x.r.Body, x.body); err != nil {
			return refuseBodyRead, false
		}
		return refusal{}, true
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, int64(limit)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuseBody, false
	case err != nil:
		return refuseBodyRead, false
	}
	x.body = body
	return refusal{}, true
}

// metered reports whether the request uses prepaid tokens.
func (x *exchange) metered() bool {
	return x.org != nil && x.org.Metered && x.call.Prompt != nil && x.route.UsesEngine
}

// hold reserves the largest number of tokens that the request can use.
func (x *exchange) hold() (refusal, bool) {
	if !x.metered() {
		return refusal{}, true
	}
	need := x.call.Prompt.MaxTokens()
	from := x.s.deps.Clock.Now()
	limit := from.Add(min(tokenWait, x.deadline.Sub(from)/tokenWaitPart))
	for {
		freed := x.s.freed.wait()
		answer := x.s.accounts.Hold(x.org.ID, need, x.s.deps.VM.Now().Uptime)
		switch answer.Verdict {
		case quota.Held:
			x.held = need
			x.waited = x.s.deps.Clock.Since(from)
			return refusal{}, true
		case quota.Exhausted:
			x.logTokens(need, answer)
			return refuseExhausted, false
		}
		if answer.Granted {
			trigger(x.s.allowancesNow)
		} else {
			trigger(x.s.grantsNow)
		}
		wait, ok := x.tokenWait(answer, limit)
		if !ok {
			x.logTokens(need, answer)
			return x.shortFor(answer), false
		}
		select {
		case <-freed:
		case <-x.ctx.Done():
			return refuseLate, false
		case <-x.s.deps.Clock.After(wait):
		}
	}
}

// tokenWait returns how long a request that lacks tokens waits before it asks again, or false if it is refused at once.
// While the store is away only time brings tokens, and tokens that other routers hold take them some writes to return.
func (x *exchange) tokenWait(a quota.HoldResult, limit time.Time) (time.Duration, bool) {
	left := limit.Sub(x.s.deps.Clock.Now())
	if !x.s.link.isAway() {
		return left, left > 0 && (a.NextWriteMayCover || a.Granted)
	}
	return a.GrowthDelay, a.GrowthDelay > 0 && a.GrowthDelay <= left
}

// shortFor returns the refusal of a request that lacks tokens, with the time at which they come. When only the return of
// the store brings them the caller is asked to wait as long as it can.
func (x *exchange) shortFor(a quota.HoldResult) refusal {
	no := refuseShort
	switch {
	case a.GrowthDelay > 0:
		no.after = min(max(a.GrowthDelay, shortAfterLeast), shortAfterMost)
	case x.s.link.isAway():
		no.after = shortAfterMost
	}
	return no
}

// logTokens logs what a refusal for lack of tokens was decided on.
func (x *exchange) logTokens(need ident.Tokens, a quota.HoldResult) {
	b := x.s.accounts.Balance(x.org.ID)
	x.s.deps.Log.Info("tokens lacking", "id", x.call.ID, "organisation", x.org.ID, "need", need, "verdict", a.Verdict,
		"near", a.NextWriteMayCover, "grows_ms", a.GrowthDelay.Milliseconds(), "total", b.Total, "spent", b.Spent, "held", b.Held,
		"granted", b.Granted, "limit", b.Limit, "growth", b.Growth, "elsewhere", b.SpentByOthers, "free", b.Free,
		"allowance_age_ms", x.s.accounts.Age(x.s.deps.VM.Now().Uptime).Milliseconds(), "store_away", x.s.link.isAway())
}

// settle bills what was used and releases the rest. A request that the router itself ended before its first event has
// produced nothing: a request starts to run with its first token.
func (x *exchange) settle() {
	if x.held == 0 {
		return
	}
	var used ident.Tokens
	if x.billable {
		used = x.call.Prompt.Input + min(x.output, x.call.Prompt.MaxOutput)
	}
	x.s.accounts.Settle(x.org.ID, x.held, used)
	x.s.deps.Metrics.billed(x.org.ID, used)
}

// finish settles the request and logs what became of it.
func (x *exchange) finish() {
	x.settle()
	total := x.s.deps.Clock.Since(x.started)
	class, routeName, org := "none", "", ident.OrgID("")
	if x.route != nil {
		routeName = x.route.Name
		class = string(x.service) + "/" + x.route.Kind.String() + "/" + strconv.Itoa(x.route.Priority)
	}
	if x.org != nil {
		org = x.org.ID
	}
	x.s.deps.Metrics.request(class, x.status, total, x.first)
	var version uint64
	if x.table != nil {
		version = x.table.Version()
	}
	x.s.deps.Log.Info("request", "id", x.call.ID, "route", routeName, "config", version, "organisation", org,
		"status", x.status, "reason", x.reason, "targets", x.tried, "version", x.version, "home", x.home, "cost_ms", int(x.cost),
		"busy", int(x.busy), "tokens_held", x.held, "input", x.input(), "output", x.output, "token_wait_ms", x.waited.Milliseconds(),
		"first_ms", x.first.Milliseconds(), "total_ms", total.Milliseconds())
}

// urgency returns the rank of the request at an engine, or -1 for plain services.
func (x *exchange) urgency() int {
	if !x.route.UsesEngine {
		return -1
	}
	p := x.route.Priority
	if x.org != nil && x.org.Priority != nil {
		p = *x.org.Priority
	}
	return min(p, platform.LowestPriority)
}

// choose picks the next target. A version that the traffic moves to and that has no target leaves the request to the
// others.
func (x *exchange) choose() (*place.Choice, error) {
	r := place.Request{
		Service: x.service, Exclude: x.tried, Now: x.s.deps.Clock.Now(), Versions: x.versions,
	}
	if x.route.UsesEngine {
		r.Prompt = x.call.Prompt
	}
	c, err := x.s.fleet.Choose(r)
	if errors.Is(err, place.ErrNoTarget) && r.Versions.Only != "" {
		r.Versions = place.Versions{}
		c, err = x.s.fleet.Choose(r)
	}
	if err != nil {
		return nil, err
	}
	x.cost, x.busy, x.home, x.version = c.Cost, c.EstimatedRequests, c.PrefixOwner, c.Target.Version
	return c, nil
}

// input returns the number of prompt tokens, or zero for a request without a prompt.
func (x *exchange) input() ident.Tokens {
	if x.call.Prompt == nil {
		return 0
	}
	return x.call.Prompt.Input
}
