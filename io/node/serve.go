package node

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/io/admin"
	"geraniumsaddle/io/caller"
)

func (n *Node) callerHandler() http.Handler {
	return caller.New(n, caller.Limits{MaxBodyBytes: ident.Bytes(n.cfg.BodyBytes), RequestTimeout: n.cfg.RequestTimeout},
		n.log, observer{n}, n.clock.Now)
}

// observer records finished requests.
type observer struct{ n *Node }

// RequestFinished implements caller.Observer.
func (o observer) RequestFinished(f caller.FinishedRequest) {
	o.n.metrics.Request(f.Route, string(f.Code), f.Outcome, f.Caller.Class, f.Caller.Org, f.Duration)
}

func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /readyz", n.ready)
	if n.switches != nil {
		mux.Handle("PUT /faults", n.switches)
	}
	mux.Handle("/admin/v1/", admin.New(n.store, n, n.clock, n.log))
	return mux
}

// ready answers 204 while the router takes requests: it has a configuration and is not shutting down.
func (n *Node) ready(w http.ResponseWriter, _ *http.Request) {
	if n.traffic.leaving.Load() || !n.loaded.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
