package edge

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"geraniumsaddle/core/budget"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/io/conns"
	"geraniumsaddle/io/report"
	"geraniumsaddle/io/store"
)

// Metrics holds the Prometheus collectors of a router.
type Metrics struct {
	registry        *prometheus.Registry
	requests        *prometheus.CounterVec
	requestTime     *prometheus.HistogramVec
	timeToFirstByte *prometheus.HistogramVec
	sends           *prometheus.CounterVec
	billedTokens    *prometheus.CounterVec
	storeCalls      *prometheus.CounterVec
	holds           *prometheus.CounterVec
	changesCalls    *prometheus.CounterVec
	losses          *prometheus.CounterVec
	quarantined     prometheus.Gauge
	panics          prometheus.Counter
	rewinds         prometheus.Counter
	storeEra        prometheus.Gauge
	shutdownGrace   prometheus.Gauge
	notices         *prometheus.CounterVec
	coldSends       *prometheus.CounterVec
	evacuated       prometheus.Gauge
	choices         *prometheus.CounterVec
	room            *prometheus.CounterVec
	// reports counts the digests that routers exchange.
	reports *report.Metrics
}

const (
	namespace = "geraniumsaddle"
	subsystem = "edge"
)

// latencyBuckets are in seconds. They are finest around the latency targets of a few hundred milliseconds.
var latencyBuckets = []float64{.01, .025, .05, .1, .2, .3, .4, .6, .8, 1, 2, 4, 8, 16}

// NewMetrics returns the collectors of a router, registered in a registry of their own.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry:        prometheus.NewRegistry(),
		requests:        counter("requests_total", "Requests of callers by class and status.", "class", "status"),
		requestTime:     histogram("request_seconds", "Time of a request, to its end."),
		timeToFirstByte: histogram("first_byte_seconds", "Time to the answer, for a stream to its first event."),
		sends:           counter("sends_total", "Sends to targets by service and result.", "service", "result"),
		billedTokens:    counter("billed_tokens_total", "Tokens billed by organisation.", "organisation"),
		storeCalls:      counter("store_calls_total", "Calls of the platform's store by kind and result.", "call", "result"),
		holds:           counter("hold_calls_total", "Calls to holders of prepaid tokens by kind and result.", "call", "result"),
		changesCalls:    counter("changes_calls_total", "Calls to watchers of the store by result.", "result"),
		losses:          counter("target_losses_total", "Targets that ended with unanswered requests of this router, by service.", "service"),
		notices:         counter("target_notices_total", "Answers in which targets say that they leave or want no requests, by service.", "service", "notice"),
		room:            counter("room_total", "Requests that found every target full, by service and result (waited, refused).", "service", "result"),
		choices:         counter("choices_total", "Choices of targets by service, failure domain (own, other) and whether the target owns the prompt's shared part.", "service", "domain", "owner"),
		quarantined: prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Subsystem: subsystem,
			Name: "quarantined_parts", Help: "Parts of prompts whose requests are refused because they crash targets."}),
		coldSends: counter("cold_sends_total", "Requests for which a target was chosen that is or may be cold, by service.", "service"),
		evacuated: prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Subsystem: subsystem,
			Name: "evacuated_domains", Help: "Failure domains whose targets get no requests, because the operator evacuates them."}),
		rewinds: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem,
			Name: "store_rewinds_total", Help: "Returns of the store from an older copy."}),
		storeEra: prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Subsystem: subsystem,
			Name: "store_era", Help: "Era of the store since its latest return from an older copy, zero without one."}),
		panics: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem,
			Name: "panics_total", Help: "Panics of requests, messages and background tasks."}),
		shutdownGrace: prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Subsystem: subsystem,
			Name: "shutdown_grace_seconds", Help: "Shutdown grace of the settings in force, which SIGHUP reloads."}),
	}
	m.registry.MustRegister(m.requests, m.requestTime, m.timeToFirstByte, m.sends, m.billedTokens, m.storeCalls, m.holds, m.changesCalls,
		m.losses, m.quarantined, m.panics, m.notices, m.shutdownGrace, m.coldSends, m.evacuated, m.choices, m.room, m.rewinds, m.storeEra)
	m.reports = report.NewMetrics(m.registry, namespace, subsystem)
	return m
}

// CountLostLogLines exports the number of log lines that could not be written. It is called at most once.
func (m *Metrics) CountLostLogLines(lost func() uint64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem,
		Name: "log_lines_lost_total", Help: "Log lines that could not be written."}, func() float64 { return float64(lost()) }))
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(
		prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help}, labels)
}

func histogram(name, help string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Subsystem: subsystem, Name: name, Help: help, Buckets: latencyBuckets}, []string{"class"})
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{DisableCompression: true})
}

// recordRequest records a finished request. A timeToFirstByte of zero means that no answer of a target was passed on.
func (m *Metrics) recordRequest(class string, status int, total, timeToFirstByte time.Duration) {
	m.requests.WithLabelValues(class, strconv.Itoa(status)).Inc()
	m.requestTime.WithLabelValues(class).Observe(total.Seconds())
	if timeToFirstByte > 0 {
		m.timeToFirstByte.WithLabelValues(class).Observe(timeToFirstByte.Seconds())
	}
}

func (m *Metrics) countSend(service ident.ServiceID, result string) {
	m.sends.WithLabelValues(string(service), result).Inc()
}

func (m *Metrics) countBilledTokens(org ident.OrgID, n ident.Tokens) {
	m.billedTokens.WithLabelValues(string(org)).Add(float64(n))
}

// countStoreCall counts a call of the store by its result.
func (m *Metrics) countStoreCall(call string, err error) {
	result := "ok"
	var e *store.Error
	switch {
	case errors.As(err, &e):
		result = e.Kind.Error()
	case err != nil:
		result = "error"
	}
	m.storeCalls.WithLabelValues(call, result).Inc()
}

// countHold counts a call to a holder of prepaid tokens by its result.
func (m *Metrics) countHold(call string, err error) {
	m.holds.WithLabelValues(call, callResult(err)).Inc()
}

// countChangesCall counts a call to a watcher of the store by its result.
func (m *Metrics) countChangesCall(err error) { m.changesCalls.WithLabelValues(callResult(err)).Inc() }

// countLoss counts a target that has ended with unanswered requests.
func (m *Metrics) countLoss(service ident.ServiceID) { m.losses.WithLabelValues(string(service)).Inc() }

// countNotice counts an answer in which a target says that it leaves, or wants no requests for a while.
func (m *Metrics) countNotice(service ident.ServiceID, notice string) {
	m.notices.WithLabelValues(string(service), notice).Inc()
}

// countColdSend counts a request for which a cold target was chosen.
func (m *Metrics) countColdSend(service ident.ServiceID) {
	m.coldSends.WithLabelValues(string(service)).Inc()
}

// setEvacuated sets the number of evacuated failure domains.
func (m *Metrics) setEvacuated(n int) { m.evacuated.Set(float64(n)) }

// countRoom counts a request that found every target of its service full.
func (m *Metrics) countRoom(service ident.ServiceID, result string) {
	m.room.WithLabelValues(string(service), result).Inc()
}

// countChoice counts a choice of a target.
func (m *Metrics) countChoice(service ident.ServiceID, ownDomain, owner bool) {
	domain := "other"
	if ownDomain {
		domain = "own"
	}
	m.choices.WithLabelValues(string(service), domain, strconv.FormatBool(owner)).Inc()
}

// recordRewind counts a rewind of the store.
func (m *Metrics) recordRewind(era ident.Era) {
	m.rewinds.Inc()
	m.storeEra.Set(float64(era))
}

// setQuarantined sets the number of quarantined parts.
func (m *Metrics) setQuarantined(n int) { m.quarantined.Set(float64(n)) }

// observeMemory exports what the budget holds and whom it evicts.
func (m *Metrics) observeMemory(b *budget.Budget, callers *conns.Set) {
	gauge := func(name, help string, labels prometheus.Labels, value func() ident.Bytes) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Subsystem: subsystem,
			Name: name, Help: help, ConstLabels: labels}, func() float64 { return float64(value()) }))
	}
	total := func(name, help string, labels prometheus.Labels, value func() uint64) {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem,
			Name: name, Help: help, ConstLabels: labels}, func() float64 { return float64(value()) }))
	}
	gauge("memory_limit_bytes", "Limit on the memory that callers and targets can make the router hold.", nil, b.Limit)
	for _, c := range budget.Classes() {
		gauge("memory_held_bytes", "Memory reserved for callers and targets by class.", prometheus.Labels{"class": c.String()},
			func() ident.Bytes { return b.Used(c) })
	}
	for _, stage := range budget.EvictableStages() {
		total("evictions_total", "Connections of callers that were evicted to make room, by the stage of the request.",
			prometheus.Labels{"stage": stage.String()}, func() uint64 { return callers.Evictions(stage) })
	}
	total("memory_release_errors_total", "Releases of more memory than was reserved, which are errors of the program.", nil, b.Excess)
	total("rejected_connections_total", "Connections of callers that were closed at once because no memory was left.", nil, callers.Rejected)
}

// setShutdownGrace sets the shutdown grace of the settings in force.
func (m *Metrics) setShutdownGrace(d time.Duration) { m.shutdownGrace.Set(d.Seconds()) }

func callResult(err error) string {
	if err != nil {
		return "error"
	}
	return "ok"
}
