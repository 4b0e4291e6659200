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

	"geraniumsaddle/core/budget"
	"geraniumsaddle/core/digest"
	"geraniumsaddle/core/elect"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/place"
	"geraniumsaddle/core/route"
	"geraniumsaddle/core/stream"
	"geraniumsaddle/io/conns"
	"geraniumsaddle/platform"
)

const (
	// defaultTimeout is the timeout of a request for which neither the route nor the caller sets one.
	defaultTimeout = 30 * time.Second
	// writeMargin is the time after the deadline of a request within which its answer may still be written.
	writeMargin = 200 * time.Millisecond
	// refusalTime limits how long a caller may take to read a refusal, and to send the rest of a body that is not wanted.
	refusalTime = 2 * time.Second
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
	bodyRead       bool
	service        ident.ServiceID
	// versions restricts the versions of the targets that may be chosen, if the service has a release.
	versions place.VersionFilter

	// heldTokens is the number of reserved tokens of the organisation, and outputTokens the number delivered to the
	// caller.
	heldTokens   ident.Tokens
	outputTokens ident.Tokens
	// lender is the router that holds the tokens for this one, or nil. holdTTL is the time after which they count as used.
	lender  *elect.Member
	holdTTL time.Duration
	// mayHaveRun says that a target may have run the request. billable says that a target may have produced a token: a
	// part of an answer arrived, or the connection failed while the caller was still waiting.
	mayHaveRun, billable bool
	// triedTargets lists the targets that the request was offered to, and sends counts the ones that may have run it.
	triedTargets []ident.TargetID
	sends        int
	// sendEvents is the number of events of a stream that the last target has sent.
	sendEvents int
	// buffers holds the reservations of memory for the body and the answers.
	buffers []*buffer
	// requestHeld is what is reserved for the request beside its buffers, and promptHeld what is for the parts of its prompt.
	requestHeld, promptHeld ident.Bytes
	// quarantinedPart is the part of the prompt that is quarantined.
	quarantinedPart string

	// The remaining fields are for the log line and the metrics. The estimates and prefixOwner are those of the last
	// chosen target.
	status            int
	reason            string
	timeToFirstByte   time.Duration
	estimatedCost     float64
	estimatedRequests float64
	prefixOwner       bool
	targetCold        bool
	tokenWaitTime     time.Duration
	roomWait          time.Duration
	targetVersion     ident.VersionID
	// expectedWork is what the request was expected to cost at the last chosen target.
	expectedWork digest.Work
}

// serveCaller answers one request of a caller.
func (s *Server) serveCaller(w http.ResponseWriter, r *http.Request) {
	x := &exchange{s: s, w: w, r: r, started: s.deps.Clock.Now(), table: s.table.Load()}
	defer x.finish()
	if refused, ok := x.admit(); !ok {
		x.refuse(refused)
		return
	}
	if refused, ok := x.holdRequest(); !ok {
		x.refuse(refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	x.ctx = ctx
	if x.quarantined() {
		x.refuse(refuseQuarantined)
		return
	}
	if refused, ok := x.holdTokens(); !ok {
		x.refuse(refused)
		return
	}
	// A caller that does not read its answer must not keep the request running beyond its deadline.
	// The server removes the deadline once the answer is written.
	_ = http.NewResponseController(w).SetWriteDeadline(x.deadline.Add(writeMargin))
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
	if refused, ok := x.holdPrompt(); !ok {
		return refused, false
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
	if !x.s.admits(x.deadline) {
		return refuseShuttingDown, false
	}
	// A caller that sends its body slowly or without end must not keep the request beyond its deadline.
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(x.deadline)
	refused, ok := x.readBody(limits.MaxBody)
	if ok {
		conns.RequestOf(x.r.Context()).BodyEnds()
	}
	switch {
	case !x.s.admits(x.deadline):
		return refuseShuttingDown, false
	case ok:
		x.bodyRead = true
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
	if x.r.ContentLength == 0 {
		return refusal{}, true
	}
	buffer := x.newBuffer(budget.Bodies)
	conns.RequestOf(x.r.Context()).BodyBegins(0)
	if x.r.ContentLength > 0 {
		if buffer.grow(ident.Bytes(x.r.ContentLength)) != nil {
			return refuseNoMemory, false
		}
		x.body = make([]byte, x.r.ContentLength)
		if _, err := io.ReadFull(x.r.Body, x.body); err != nil {
			return bodyRefusal(err), false
		}
		return refusal{}, true
	}
	body, err := io.ReadAll(&bufferedReader{r: http.MaxBytesReader(x.w, x.r.Body, int64(limit)), buffer: buffer})
	if err != nil {
		return bodyRefusal(err), false
	}
	x.body = body
	return refusal{}, true
}

// bodyRefusal returns the refusal of a request whose body could not be read.
func bodyRefusal(err error) refusal {
	var tooLarge *http.MaxBytesError
	var noMemory *stream.LimitError
	switch {
	case errors.As(err, &noMemory), errors.Is(err, conns.ErrFull), errors.Is(err, conns.ErrEvicted):
		return refuseNoMemory
	case errors.As(err, &tooLarge):
		return refuseBodyTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuseBodyTimeout
	}
	return refuseUnreadableBody
}

// finish settles the reserved tokens, and records and logs the outcome of the request.
func (x *exchange) finish() {
	x.settleTokens()
	x.releaseBuffers()
	x.s.callers.Release(budget.Answers, x.requestHeld)
	x.s.callers.Release(budget.Heads, x.promptHeld)
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
		"status", x.status, "reason", x.reason, "targets", x.triedTargets, "version", x.targetVersion, "home", x.prefixOwner, "cold", x.targetCold,
		"cost_ms", int(x.estimatedCost), "busy", int(x.estimatedRequests), "prefill", x.expectedWork.Prefill, "expected_output", x.expectedWork.Output, "tokens_held", x.heldTokens,
		"prompt_parts", x.loggedParts(), "input", x.inputTokens(), "output", x.outputTokens, "quarantined_part", x.quarantinedPart, "lender", x.lenderVM(), "token_wait_ms", x.tokenWaitTime.Milliseconds(), "room_wait_ms", x.roomWait.Milliseconds(),
		"first_ms", x.timeToFirstByte.Milliseconds(), "total_ms", total.Milliseconds())
}

// enginePriority returns the priority of the request at an engine, or -1 if the service has no engine.
func (x *exchange) enginePriority() int {
	if !x.route.UsesEngine {
		return -1
	}
	return min(x.priority(), platform.LowestPriority)
}

// priority returns the priority of the request, which its organisation may set in place of its route.
func (x *exchange) priority() int {
	if x.org != nil && x.org.Priority != nil {
		return *x.org.Priority
	}
	return x.route.Priority
}

// pickTarget chooses the next target. If the version that a release selects for the request has no target, or only
// cold ones, targets of all versions are eligible.
func (x *exchange) pickTarget() (*place.Choice, error) {
	if x.quarantined() {
		return nil, errQuarantined
	}
	if !x.s.admits(x.deadline) {
		return nil, errShuttingDown
	}
	r := place.Request{
		Service: x.service, Route: x.route.Name, Goal: x.route.TargetLatency, Exclude: x.triedTargets,
		Now: x.s.deps.Clock.Now(), Versions: x.versions,
		Regions: x.allowedRegions(),
	}
	if x.route.UsesEngine {
		r.Prompt = x.requestHeaders.Prompt
	}
	c, err := x.s.targets.Choose(r)
	if r.Versions.Only != "" && (errors.Is(err, place.ErrNoTarget) || errors.Is(err, place.ErrCold)) {
		r.Versions = place.VersionFilter{}
		c, err = x.s.targets.Choose(r)
	}
	if err != nil {
		return nil, err
	}
	x.estimatedCost, x.estimatedRequests = c.Cost, c.EstimatedRequests
	x.prefixOwner, x.targetCold, x.targetVersion = c.PrefixOwner, c.Cold, c.Target.Version
	if c.Cold {
		x.s.deps.Metrics.countColdSend(x.service)
	}
	x.expectedWork = c.Work
	x.s.deps.Metrics.countChoice(x.service, c.Target.Domain == ident.DomainID(x.s.cfg.Domain), c.PrefixOwner)
	return c, nil
}

// allowedRegions returns the regions whose targets may get the request, or nil if all may.
func (x *exchange) allowedRegions() *place.RegionFilter {
	var ofOrg []ident.RegionID
	if x.org != nil {
		ofOrg = x.org.Regions
	}
	if len(x.route.Regions)+len(ofOrg) == 0 {
		return nil
	}
	return &place.RegionFilter{Lists: [2][]ident.RegionID{x.route.Regions, ofOrg}}
}

// inputTokens returns the number of prompt tokens, or zero for a request without a prompt.
func (x *exchange) inputTokens() ident.Tokens {
	if x.requestHeaders.Prompt == nil {
		return 0
	}
	return x.requestHeaders.Prompt.Input
}
