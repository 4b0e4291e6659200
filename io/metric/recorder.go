package metric

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"geraniumsaddle/core/ident"
)

const namespace = "geraniumsaddle"

var (
	requestTimeBuckets   = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2, 5, 10, 30, 60, 300}
	firstTokenBuckets    = []float64{.005, .01, .025, .05, .1, .25, .5, 1, 1.9, 3, 5, 10, 30}
	journalWaitBuckets   = []float64{.0001, .00025, .0005, .001, .0025, .005, .01, .02, .05, .1, 1, 15}
	betweenTokensBuckets = []float64{.001, .002, .005, .01, .015, .02, .027, .04, .06, .1, .25, 1, 5}
)

// Recorder updates the metrics of a router.
type Recorder struct {
	orgs    *labelSet
	classes *labelSet

	requests        *prometheus.CounterVec
	requestTime     *prometheus.HistogramVec
	firstToken      *prometheus.HistogramVec
	betweenTokens   *prometheus.HistogramVec
	billedTokens    *prometheus.CounterVec
	peerBytes       *prometheus.CounterVec
	platformCalls   *prometheus.CounterVec
	state           *prometheus.GaugeVec
	journalWait     prometheus.Histogram
	overBoundTokens prometheus.Counter
}

// New returns a Recorder whose collectors are registered with reg.
func New(reg prometheus.Registerer) *Recorder {
	r := &Recorder{
		orgs:          newLabelSet(MaxOrgLabels),
		classes:       newLabelSet(maxClassLabels),
		requests:      newCounter("requests_total", "Requests by route, refusal code and outcome.", "route", "code", "outcome"),
		requestTime:   newHistogram("request_seconds", "Time of a request.", requestTimeBuckets),
		firstToken:    newHistogram("first_token_seconds", "Time to the first token.", firstTokenBuckets),
		betweenTokens: newHistogram("between_tokens_seconds", "Mean time between the tokens of a stream.", betweenTokensBuckets),
		billedTokens:  newCounter("billed_tokens_total", "Tokens billed.", "class", "org"),
		peerBytes:     newCounter("peer_bytes_total", "Bytes exchanged with other routers.", "direction", "type"),
		platformCalls: newCounter("platform_calls_total", "Calls of the platform by kind and result.", "call", "result"),
		state: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "state", Help: "Current values of control state by name."}, []string{"name"}),
	}
	r.journalWait = prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: "journal_wait_seconds",
		Help: "Wait for the journal peer before a request is sent.", Buckets: journalWaitBuckets})
	r.overBoundTokens = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "over_bound_tokens_total",
		Help: "Tokens that targets reported above the bound of a request."})
	reg.MustRegister(r.journalWait, r.overBoundTokens, r.requests, r.requestTime, r.firstToken, r.betweenTokens, r.billedTokens,
		r.peerBytes, r.platformCalls, r.state)
	return r
}

func newCounter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func newHistogram(name, help string, buckets []float64) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: buckets}, []string{"class", "org"})
}

// Request counts a finished HTTP request and its time.
func (r *Recorder) Request(route, code string, outcome ident.Outcome, class ident.Class, org ident.OrgID, elapsed time.Duration) {
	r.requests.WithLabelValues(route, code, string(outcome)).Inc()
	r.requestTime.WithLabelValues(r.classOrgLabels(class, org)...).Observe(elapsed.Seconds())
}

// StreamLatency records the time to the first token of a finished chat completion and, unless it is zero, the mean time
// between its tokens.
func (r *Recorder) StreamLatency(class ident.Class, org ident.OrgID, firstToken, betweenTokens time.Duration) {
	labels := r.classOrgLabels(class, org)
	r.firstToken.WithLabelValues(labels...).Observe(firstToken.Seconds())
	if betweenTokens > 0 {
		r.betweenTokens.WithLabelValues(labels...).Observe(betweenTokens.Seconds())
	}
}

// BilledTokens counts billed tokens.
func (r *Recorder) BilledTokens(class ident.Class, org ident.OrgID, n ident.Tokens) {
	r.billedTokens.WithLabelValues(r.classOrgLabels(class, org)...).Add(float64(n))
}

// JournalWait records the wait for the journal peer.
func (r *Recorder) JournalWait(wait time.Duration) { r.journalWait.Observe(wait.Seconds()) }

// OverBoundTokens counts tokens that a target reported above the token bound of its request.
func (r *Recorder) OverBoundTokens(n ident.Tokens) { r.overBoundTokens.Add(float64(n)) }

// PeerBytes counts bytes sent to or received from other routers.
func (r *Recorder) PeerBytes(direction, kind string, n float64) {
	r.peerBytes.WithLabelValues(direction, kind).Add(n)
}

// PlatformCall counts a call to the platform.
func (r *Recorder) PlatformCall(call, result string) {
	r.platformCalls.WithLabelValues(call, result).Inc()
}

// SetState sets the gauge of a named value of control state.
func (r *Recorder) SetState(name string, v float64) {
	r.state.WithLabelValues(name).Set(v)
}

func (r *Recorder) classOrgLabels(class ident.Class, org ident.OrgID) []string {
	classLabel := "none"
	if class != "" {
		classLabel = r.classes.value(string(class))
	}
	return []string{classLabel, orgLabel(r.orgs, org)}
}
