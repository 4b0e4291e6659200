package metric

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"geraniumsaddle/core/ident"
)

const namespace = "geraniumsaddle"

var (
	latencyBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2, 5, 10, 30, 60, 300}
	firstBuckets   = []float64{.005, .01, .025, .05, .1, .25, .5, 1, 1.9, 3, 5, 10, 30}
	journalBuckets = []float64{.0001, .00025, .0005, .001, .0025, .005, .01, .02, .05, .1, 1, 15}
	betweenBuckets = []float64{.001, .002, .005, .01, .015, .02, .027, .04, .06, .1, .25, 1, 5}
)

// Recorder records what a router does.
type Recorder struct {
	orgs    *labelSet
	classes *labelSet

	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	first    *prometheus.HistogramVec
	between  *prometheus.HistogramVec
	tokens   *prometheus.CounterVec
	peer     *prometheus.CounterVec
	platform *prometheus.CounterVec
	gauges   *prometheus.GaugeVec
	journal  prometheus.Histogram
	over     prometheus.Counter
}

// New returns a Recorder whose collectors are registered with reg.
func New(reg prometheus.Registerer) *Recorder {
	r := &Recorder{
		orgs:     newLabelSet(MaxOrgLabels),
		classes:  newLabelSet(maxClassLabels),
		requests: counter("requests_total", "Requests by route, refusal code and outcome.", "route", "code", "outcome"),
		latency:  histogram("request_seconds", "Time of a request.", latencyBuckets),
		first:    histogram("first_token_seconds", "Time to the first token.", firstBuckets),
		between:  histogram("between_tokens_seconds", "Mean time between the tokens of a stream.", betweenBuckets),
		tokens:   counter("billed_tokens_total", "Tokens billed.", "class", "org"),
		peer:     counter("peer_bytes_total", "Bytes exchanged with other routers.", "direction", "type"),
		platform: counter("platform_calls_total", "Calls of the platform by kind and result.", "call", "result"),
		gauges: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "state", Help: "Current values of control state by name."}, []string{"name"}),
	}
	r.journal = prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: "journal_wait_seconds",
		Help: "Wait for the journal peer before a request is sent.", Buckets: journalBuckets})
	r.over = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "over_bound_tokens_total",
		Help: "Tokens that targets reported above the bound of a request."})
	reg.MustRegister(r.journal, r.over, r.requests, r.latency, r.first, r.between, r.tokens, r.peer, r.platform, r.gauges)
	return r
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func histogram(name, help string, buckets []float64) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: buckets}, []string{"class", "org"})
}

// Request counts a finished HTTP request and its time.
func (r *Recorder) Request(route, code string, o ident.Outcome, class ident.Class, org ident.OrgID, d time.Duration) {
	r.requests.WithLabelValues(route, code, string(o)).Inc()
	r.latency.WithLabelValues(r.labels(class, org)...).Observe(d.Seconds())
}

// StreamLatency records the time to the first token, the mean time between tokens and the billed tokens of a
// finished chat completion.
func (r *Recorder) StreamLatency(class ident.Class, org ident.OrgID, first, between time.Duration) {
	l := r.labels(class, org)
	r.first.WithLabelValues(l...).Observe(first.Seconds())
	if between > 0 {
		r.between.WithLabelValues(l...).Observe(between.Seconds())
	}
}

// BilledTokens counts billed tokens.
func (r *Recorder) BilledTokens(class ident.Class, org ident.OrgID, n ident.Tokens) {
	r.tokens.WithLabelValues(r.labels(class, org)...).Add(float64(n))
}

// JournalWait records the wait for the journal peer.
func (r *Recorder) JournalWait(d time.Duration) { r.journal.Observe(d.Seconds()) }

// OverBoundTokens counts tokens that a target reported above the bound of its request.
func (r *Recorder) OverBoundTokens(n ident.Tokens) { r.over.Add(float64(n)) }

// PeerBytes counts bytes sent to or received from other routers.
func (r *Recorder) PeerBytes(direction, kind string, n float64) {
	r.peer.WithLabelValues(direction, kind).Add(n)
}

// PlatformCall counts a call of the platform.
func (r *Recorder) PlatformCall(call, result string) {
	r.platform.WithLabelValues(call, result).Inc()
}

// SetState sets a named value of control state.
func (r *Recorder) SetState(name string, v float64) {
	r.gauges.WithLabelValues(name).Set(v)
}

func (r *Recorder) labels(class ident.Class, org ident.OrgID) []string {
	c := "none"
	if class != "" {
		c = r.classes.value(string(class))
	}
	return []string{c, orgLabel(r.orgs, org)}
}
