package node

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/io/admin"
	"geraniumsaddle/io/caller"
)

func (n *Node) callerHandler() http.Handler {
	return caller.New(n, caller.Limits{MaxBodyBytes: ident.Bytes(n.cfg.MaxBodyBytes), RequestTimeout: n.cfg.RequestTimeout},
		n.log, requestObserver{n}, n.clock.Now)
}

// requestObserver records the metrics of finished requests.
type requestObserver struct{ n *Node }

// RequestFinished implements caller.Observer.
func (o requestObserver) RequestFinished(f caller.FinishedRequest) {
	o.n.metrics.Request(f.Route, string(f.Code), f.Outcome, f.Caller.Class, f.Caller.Org, f.Duration)
}

func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /readyz", n.ready)
	if n.faultSwitches != nil {
		mux.Handle("PUT /faults", n.faultSwitches)
	}
	mux.Handle("/admin/v1/", admin.New(n.platform, n, n.clock, n.log))
	return mux
}

// ready answers 204 while the router accepts requests: its configuration is complete and it is not shutting down.
func (n *Node) ready(w http.ResponseWriter, _ *http.Request) {
	if n.traffic.leaving.Load() || !n.configLoaded.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
