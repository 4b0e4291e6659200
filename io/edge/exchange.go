package edge

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/place"
	"geraniumsaddle/core/quota"
	"geraniumsaddle/core/route"
	"geraniumsaddle/platform"
)

const (
	// defaultTimeout is the timeout of a request for which neither the route nor the caller sets one.
	defaultTimeout = 30 * time.Second
	// maxTokenWait limits the wait for tokens from the ledger. A write takes a few milliseconds.
	maxTokenWait = 400 * time.Millisecond
	// minTokenRetryAfter and maxTokenRetryAfter limit the Retry-After of a refusal for lack of tokens.
	minTokenRetryAfter = 200 * time.Millisecond
	maxTokenRetryAfter = 3 * time.Second
	// tokenWaitDivisor limits the wait for tokens to a fraction of the remaining time of the request:
	// 1/tokenWaitDivisor.
	tokenWaitDivisor = 4
	// writeMargin is the time after the deadline of a request within which its answer may still be written.
	writeMargin = 200 * time.Millisecond
)

// exchange is one request of a caller and its answer.
type exchange struct {
	s       *Server
	w       http.ResponseWriter
	r       *http.Request
	started time.Time
	// ctx ends at the deadline or when the caller disconnects.
	ctx      context.Context
	deadline time.Time

	table          *route.Table
	route          *route.Route
	org            *route.Org
	requestHeaders platform.RequestHeaders
	body           []byte
	service        ident.ServiceID
	// versions restricts the versions of the targets that may be chosen, if the service has a release.
	versions place.VersionFilter

	// heldTokens is the number of reserved tokens of the organisation, and outputTokens the number delivered to the
	// caller.
	heldTokens   ident.Tokens
	outputTokens ident.Tokens
	// mayHaveRun says that a target may have run the request. billable says that a target may have produced a token: a
	// part of an answer arrived, or the connection failed while the caller was still waiting.
	mayHaveRun, billable bool
	// triedTargets lists the targets that the request was offered to, and sends counts the ones that may have run it.
	triedTargets []ident.TargetID
	sends        int

	// The remaining fields are for the log line and the metrics. The estimates and prefixOwner are those of the last
	// chosen target.
	status            int
	reason            string
	timeToFirstByte   time.Duration
	estimatedCost     float64
	estimatedRequests float64
	prefixOwner       bool
	tokenWaitTime     time.Duration
	targetVersion     ident.VersionID
}

// serveCaller answers one request of a caller.
func (s *Server) serveCaller(w http.ResponseWriter, r *http.Request) {
	x := &exchange{s: s, w: w, r: r, started: s.deps.Clock.Now(), table: s.table.Load()}
	defer x.finish()
	if refused, ok := x.admit(); !ok {
		x.refuse(refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	x.ctx = ctx
	if refused, ok := x.holdTokens(); !ok {
		x.refuse(refused)
		return
	}
	// A caller that does not read its answer must not keep the request running beyond its deadline.
	_ = http.NewResponseController(w).SetWriteDeadline(x.deadline.Add(writeMargin))
	defer func() { _ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) }()
	if x.route.Kind == route.Stream {
		x.serveStream()
		return
	}
	x.serveBuffered()
}

// admit checks the request against the configuration and reads its body. If it returns false, the request is refused.
func (x *exchange) admit() (refusal, bool) {
	headers, err := platform.ReadRequestHeaders(x.r.Header)
	x.requestHeaders = headers
	switch {
	case x.table == nil:
		return refuseStarting, false
	case errors.Is(err, platform.ErrNoID):
		return refuseNoID, false
	case err != nil:
		return refuseMalformedHeader, false
	}
	limits := x.table.Limits()
	if limits.MaxHeader > 0 && headerSize(x.r) > limits.MaxHeader {
		return refuseHeadersTooLarge, false
	}
	x.route = x.table.Match(x.r.Host, x.r.URL.Path)
	if x.route == nil {
		return refuseNoRoute, false
	}
	if x.table.RequiresKey() && !x.route.Public {
		if x.org = x.table.OrgByKey(headers.APIKey); x.org == nil {
			return refuseUnknownKey, false
		}
	}
	x.service = x.route.PickService(rand.Uint64())
	x.versions = x.s.releases.pickVersions(x.service, x.started)
	x.s.countRequest(x.service)
	x.deadline = x.started.Add(x.timeout())
	// A caller that sends its body slowly or without end must not keep the request beyond its deadline.
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(x.deadline)
	refused, ok := x.readBody(limits.MaxBody)
	if ok {
		_ = control.SetReadDeadline(time.Time{})
	}
	return refused, ok
}

// timeout returns the shorter of the timeouts of the route and of the caller.
func (x *exchange) timeout() time.Duration {
	d := defaultTimeout
	if x.route.Timeout > 0 {
		d = x.route.Timeout
	}
	if x.requestHeaders.Timeout > 0 {
		d = min(d, x.requestHeaders.Timeout)
	}
	return d
}

// headerSize returns the approximate size of the request line and the headers.
func headerSize(r *http.Request) ident.Bytes {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for k, values := range r.Header {
		for _, v := range values {
			n += len(k) + len(v) + len(": \r\n")
		}
	}
	return ident.Bytes(n)
}

// readBody reads the body. A limit of zero or less selects the default limit of 4 MB.
func (x *exchange) readBody(limit ident.Bytes) (refusal, bool) {
	if limit <= 0 {
		limit = 4 << 20
	}
	if x.r.ContentLength > int64(limit) {
		return refuseBodyTooLarge, false
	}
	if x.r.ContentLength > 0 {
		x.body = make([]byte, x.r.ContentLength)
		if _, err := io.ReadFull(x.r.Body, x.body); err != nil {
			return bodyRefusal(err), false
		}
		return refusal{}, true
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, int64(limit)))
	if err != nil {
		return bodyRefusal(err), false
	}
	x.body = body
	return refusal{}, true
}

// bodyRefusal returns the refusal of a request whose body could not be read.
func bodyRefusal(err error) refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuseBodyTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuseBodyTimeout
	}
	return refuseUnreadableBody
}

// usesPrepaidTokens reports whether the request consumes prepaid tokens.
func (x *exchange) usesPrepaidTokens() bool {
	return x.org != nil && x.org.Metered && x.requestHeaders.Prompt != nil && x.route.UsesEngine
}

// holdTokens reserves the maximum number of tokens that the request can consume. If they are not available, it waits as
// tokenWait determines.
func (x *exchange) holdTokens() (refusal, bool) {
	if !x.usesPrepaidTokens() {
		return refusal{}, true
	}
	need := x.requestHeaders.Prompt.MaxTokens()
	start := x.s.deps.Clock.Now()
	waitUntil := start.Add(min(maxTokenWait, x.deadline.Sub(start)/tokenWaitDivisor))
	for {
		changed := x.s.tokensChanged.channel()
		result := x.s.accounts.Hold(x.org.ID, need, x.s.deps.VMClock.Now().Uptime)
		switch result.Verdict {
		case quota.Held:
			x.heldTokens = need
			x.tokenWaitTime = x.s.deps.Clock.Since(start)
			return refusal{}, true
		case quota.Exhausted:
			x.logTokenShortage(need, result)
			return refuseTokensExhausted, false
		}
		if result.Granted {
			trigger(x.s.allowancesNow)
		} else {
			trigger(x.s.grantsNow)
		}
		wait, ok := x.tokenWait(result, waitUntil)
		if !ok {
			x.logTokenShortage(need, result)
			return x.tokenShortage(result), false
		}
		select {
		case <-changed:
		case <-x.ctx.Done():
			return refuseDeadlinePassed, false
		case <-x.s.deps.Clock.After(wait):
		}
	}
}

// tokenWait returns how long a request that lacks tokens waits before it tries again, or false if it is refused
// immediately. While the store is unreachable, tokens become available only as time passes. Tokens that other routers
// hold are not worth waiting for, because it takes several writes of those routers to return them.
func (x *exchange) tokenWait(result quota.HoldResult, waitUntil time.Time) (time.Duration, bool) {
	remaining := waitUntil.Sub(x.s.deps.Clock.Now())
	if !x.s.storeMonitor.isUnreachable() {
		return remaining, remaining > 0 && (result.NextWriteMayCover || result.Granted)
	}
	return result.GrowthDelay, result.GrowthDelay > 0 && result.GrowthDelay <= remaining
}

// tokenShortage returns the refusal of a request that lacks tokens, with the time after which tokens are expected. If
// they depend on the store becoming reachable again, it is the longest Retry-After.
func (x *exchange) tokenShortage(result quota.HoldResult) refusal {
	refused := refuseTokensHeld
	switch {
	case result.GrowthDelay > 0:
		refused.retryAfter = min(max(result.GrowthDelay, minTokenRetryAfter), maxTokenRetryAfter)
	case x.s.storeMonitor.isUnreachable():
		refused.retryAfter = maxTokenRetryAfter
	}
	return refused
}

// logTokenShortage logs the state on which a refusal for lack of tokens is based.
func (x *exchange) logTokenShortage(need ident.Tokens, result quota.HoldResult) {
	balance := x.s.accounts.Balance(x.org.ID)
	x.s.deps.Log.Info("request refused for lack of prepaid tokens", "id", x.requestHeaders.ID, "organisation", x.org.ID,
		"need", need, "verdict", result.Verdict, "near", result.NextWriteMayCover,
		"grows_ms", result.GrowthDelay.Milliseconds(),
		"total", balance.Total, "spent", balance.Spent, "held", balance.Held, "granted", balance.Granted,
		"limit", balance.Limit, "growth", balance.Growth, "elsewhere", balance.SpentByOthers, "free", balance.Unallotted,
		"allowance_age_ms", x.s.accounts.Age(x.s.deps.VMClock.Now().Uptime).Milliseconds(),
		"store_away", x.s.storeMonitor.isUnreachable())
}

// settleTokens bills the used tokens and releases the rest of the reservation. The used tokens are the prompt and the
// delivered output, up to the maximum output that the request declares. A request whose context ended before the first
// event is not billed: an engine starts to run a request with its first token.
func (x *exchange) settleTokens() {
	if x.heldTokens == 0 {
		return
	}
	var used ident.Tokens
	if x.billable {
		used = x.requestHeaders.Prompt.Input + min(x.outputTokens, x.requestHeaders.Prompt.MaxOutput)
	}
	x.s.accounts.Settle(x.org.ID, x.heldTokens, used)
	x.s.deps.Metrics.countBilledTokens(x.org.ID, used)
}

// finish settles the reserved tokens, and records and logs the outcome of the request.
func (x *exchange) finish() {
	x.settleTokens()
	total := x.s.deps.Clock.Since(x.started)
	class, routeName, org := "none", "", ident.OrgID("")
	if x.route != nil {
		routeName = x.route.Name
		class = string(x.service) + "/" + x.route.Kind.String() + "/" + strconv.Itoa(x.route.Priority)
	}
	if x.org != nil {
		org = x.org.ID
	}
	x.s.deps.Metrics.recordRequest(class, x.status, total, x.timeToFirstByte)
	var version uint64
	if x.table != nil {
		version = x.table.Version()
	}
	x.s.deps.Log.Info("request", "id", x.requestHeaders.ID, "route", routeName, "config", version, "organisation", org,
		"status", x.status, "reason", x.reason, "targets", x.triedTargets, "version", x.targetVersion, "home", x.prefixOwner,
		"cost_ms", int(x.estimatedCost), "busy", int(x.estimatedRequests), "tokens_held", x.heldTokens,
		"input", x.inputTokens(), "output", x.outputTokens, "token_wait_ms", x.tokenWaitTime.Milliseconds(),
		"first_ms", x.timeToFirstByte.Milliseconds(), "total_ms", total.Milliseconds())
}

// enginePriority returns the priority of the request at an engine, or -1 if the service has no engine.
func (x *exchange) enginePriority() int {
	if !x.route.UsesEngine {
		return -1
	}
	p := x.route.Priority
	if x.org != nil && x.org.Priority != nil {
		p = *x.org.Priority
	}
	return min(p, platform.LowestPriority)
}

// chooseTarget chooses the next target. If the version that a release selects for the request has no target, targets of
// all versions are eligible.
func (x *exchange) chooseTarget() (*place.Choice, error) {
	r := place.Request{
		Service: x.service, Exclude: x.triedTargets, Now: x.s.deps.Clock.Now(), Versions: x.versions,
	}
	if x.route.UsesEngine {
		r.Prompt = x.requestHeaders.Prompt
	}
	c, err := x.s.targets.Choose(r)
	if errors.Is(err, place.ErrNoTarget) && r.Versions.Only != "" {
		r.Versions = place.VersionFilter{}
		c, err = x.s.targets.Choose(r)
	}
	if err != nil {
		return nil, err
	}
	x.estimatedCost, x.estimatedRequests = c.Cost, c.EstimatedRequests
	x.prefixOwner, x.targetVersion = c.PrefixOwner, c.Target.Version
	return c, nil
}

// inputTokens returns the number of prompt tokens, or zero for a request without a prompt.
func (x *exchange) inputTokens() ident.Tokens {
	if x.requestHeaders.Prompt == nil {
		return 0
	}
	return x.requestHeaders.Prompt.Input
}
