// Package report exchanges digests of the work in progress between the routers of a failure domain.
//
// Each router sends its own counts to a bounded number of others and passes none on, so that a lost message is made up for by
// the next one, and a router answers for nothing but its own counts.
package report

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"geraniumsaddle/core/digest"
	"geraniumsaddle/core/elect"
	"geraniumsaddle/core/place"
	"geraniumsaddle/io/peer"
)

const (
	// MaxNeighbors bounds the routers to which a router sends its digests, and so the messages that it sends and gets.
	MaxNeighbors = 12
	// Interval is the time between two digests of a router, and jitter how much each differs from it, so that routers that
	// started together don't send together.
	Interval = 200 * time.Millisecond
	jitter   = 0.2
	// renewal is the age at which an unchanged digest is sent again, before it ends at its receivers.
	renewal = digest.MaxAge - 2*Interval
)

// Sender sends a one-way message to a router at an address. The message may be lost.
type Sender interface {
	Send(addr string, m peer.Message) error
}

// Config holds the dependencies of an Exchange.
type Config struct {
	Clock   clockwork.Clock
	Log     *slog.Logger
	Sender  Sender
	Targets *place.Fleet
	Metrics *Metrics
	// Self is this router, and Members all routers of the fleet.
	Self    elect.Member
	Members []elect.Member
}

// Metrics counts digests.
type Metrics struct {
	digests *prometheus.CounterVec
}

// NewMetrics returns the collectors, registered in the registry under the given names.
func NewMetrics(registry prometheus.Registerer, namespace, subsystem string) *Metrics {
	m := &Metrics{digests: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem,
		Name: "work_digests_total", Help: "Digests of work in progress at targets, by result."}, []string{"result"})}
	registry.MustRegister(m.digests)
	return m
}

func (m *Metrics) count(result string) { m.digests.WithLabelValues(result).Inc() }

// Exchange sends this router's digests and takes those of others.
type Exchange struct {
	cfg       Config
	neighbors []elect.Member
	seq       uint64
	// sent is the last digest that was sent, at sentAt.
	sent   []byte
	sentAt time.Time
}

// New returns an exchange that does not send yet.
func New(cfg Config) *Exchange {
	h := elect.Neighbors(cfg.Members, cfg.Self, MaxNeighbors)
	cfg.Targets.SetPeers(place.Peers{Index: h.Index, Routers: h.Routers, Heard: len(h.Neighbors)})
	return &Exchange{cfg: cfg, neighbors: h.Neighbors}
}

// Run sends digests until the context ends.
func (e *Exchange) Run(ctx context.Context) {
	e.cfg.Log.Info("exchange of work in progress begins", "domain", e.cfg.Self.Domain, "neighbors", len(e.neighbors))
	for len(e.neighbors) > 0 {
		pause := time.Duration(float64(Interval) * (1 - jitter + 2*jitter*rand.Float64()))
		select {
		case <-ctx.Done():
			return
		case <-e.cfg.Clock.After(pause):
		}
		e.send()
	}
}

// send sends a digest unless nothing has changed and the last one still counts.
func (e *Exchange) send() {
	packed := digest.Pack(e.cfg.Targets.Work())
	now := e.cfg.Clock.Now()
	unchanged := bytes.Equal(packed, e.sent)
	if unchanged && (len(packed) == 0 || now.Sub(e.sentAt) < renewal) {
		return
	}
	e.seq++
	e.sent, e.sentAt = packed, now
	m := peer.Work{Digest: digest.Digest{Seq: e.seq, Domain: e.cfg.Self.Domain, Packed: packed}}
	for _, n := range e.neighbors {
		if err := e.cfg.Sender.Send(n.Addr, m); err != nil {
			e.cfg.Metrics.count("unsent")
			e.cfg.Log.Debug("digest not sent", "addr", n.Addr, "error", err)
			continue
		}
		e.cfg.Metrics.count("sent")
	}
}

// Receive takes the digest of another router.
func (e *Exchange) Receive(from peer.Sender, d digest.Digest) {
	err := e.cfg.Targets.ApplyDigest(from.ID, d, e.cfg.Clock.Now())
	switch {
	case err == nil:
		e.cfg.Metrics.count("received")
	case errors.Is(err, place.ErrOldDigest):
		e.cfg.Metrics.count("old")
	default:
		e.cfg.Metrics.count("refused")
		e.cfg.Log.Debug("digest refused", "router", from.ID, "error", err)
	}
}
