package edge

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"geraniumsaddle/core/elect"
	"geraniumsaddle/core/quota"
	"geraniumsaddle/io/peer"
)

// claimTimeout bounds a claim: the flush delay, two writes of a slow store and the network round trip.
const claimTimeout = 1500 * time.Millisecond

// codeRefused is the failure code for a claim that has had no effect and never will.
const codeRefused = "refused"

// codePanic is the failure code for a call that this router failed to handle. Whether it had an effect is unknown.
const codePanic = "panic"

// errNoPeerAddr means that this router has no address at which other routers reach it.
var errNoPeerAddr = errors.New("no address for other routers")

// openPeerTransport opens the transport between routers with a certificate issued for this process.
func (s *Server) openPeerTransport(setup fleetSetup) (*peer.Transport, error) {
	if s.cfg.PeerAddr == "" {
		return nil, errNoPeerAddr
	}
	now := time.UnixMilli(s.deps.VMClock.Now().Wall)
	ca := setup.Authority.keyPair()
	node, err := ca.Issue(s.cfg.VM, now, certificateValidity)
	if err != nil {
		return nil, trace.Wrap(err, "issue certificate")
	}
	certs, err := peer.NewCerts(s.deps.Clock, node, ca.Cert)
	if err != nil {
		return nil, trace.Wrap(err, "read certificate")
	}
	return peer.New(peer.Config{
		Self: s.self, Addr: s.cfg.PeerAddr, Certs: certs, Handler: peerHandler{s}, Clock: s.deps.Clock, Log: s.deps.Log,
	})
}

// peerHandler handles messages from other routers.
type peerHandler struct{ s *Server }

// HandleMessage takes the reports of other routers.
func (h peerHandler) HandleMessage(from peer.Sender, m peer.Message) {
	defer func() {
		if v := recover(); v != nil {
			h.s.logPanic("message", v)
		}
	}()
	switch m := m.(type) {
	case peer.Poison:
		h.s.gossip.Load().receive(from, m.Report)
	case peer.Work:
		if e := h.s.reports.Load(); e != nil {
			e.Receive(from, m.Digest)
		}
	}
}

// HandleCall passes a claim to this router's writer, and serves the holds of other routers.
func (h peerHandler) HandleCall(ctx context.Context, from peer.Sender, m peer.Message) (answer peer.Message, err error) {
	defer func() {
		if v := recover(); v != nil {
			h.s.logPanic("call", v)
			answer, err = nil, peer.Failure{Code: codePanic}
		}
	}()
	lending := h.s.lending.Load()
	switch m := m.(type) {
	case peer.TokenClaim:
		return h.handleClaim(ctx, from, m)
	case peer.TokenHold:
		if lending == nil {
			return nil, peer.Failure{Code: codeRefused, Message: "this router has not joined the fleet yet"}
		}
		return lending.serveHold(ctx, from.ID, m)
	case peer.TokenSettle:
		if lending != nil {
			lending.serveSettle(from.ID, m)
		}
		return peer.Done{}, nil
	case peer.ChangesWanted:
		if feed := h.s.changes.Load(); feed != nil {
			return feed.serve(ctx, m)
		}
		return nil, peer.Failure{Code: codeNoHistory}
	}
	return nil, peer.Failure{Code: "bad_message"}
}

// handleClaim passes a claim to this router's writer and answers with its outcome.
func (h peerHandler) handleClaim(ctx context.Context, from peer.Sender, claim peer.TokenClaim) (peer.Message, error) {
	wrongVM := !claim.Probe && string(claim.VM) != from.ID.Name()
	if claim.Router != from.ID || wrongVM || claim.Allowances == nil && !claim.Probe {
		return nil, peer.Failure{Code: "bad_message"}
	}
	outcome, err := h.s.writer.submit(ctx, &claim.Claim)
	if errors.Is(err, errRefused) {
		return nil, peer.Failure{Code: codeRefused, Message: err.Error()}
	}
	if err != nil {
		return nil, err
	}
	return peer.TokenOutcome{Outcome: *outcome}, nil
}

// sendClaim sends a claim to a writer. The error is errRefused if the claim has had no effect and never will.
func (s *Server) sendClaim(ctx context.Context, to elect.Member, claim *quota.Claim) (*quota.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if to == s.selfMember() {
		return s.writer.submit(ctx, claim)
	}
	answer, err := s.peerTransport.Call(ctx, to.Addr, peer.TokenClaim{Claim: *claim})
	var failure peer.Failure
	switch {
	case errors.As(err, &failure) && failure.Code == codeRefused, errors.Is(err, peer.ErrUnreachable):
		return nil, trace.Wrap(errRefused, "%v", err)
	case err != nil:
		return nil, err
	}
	outcome, ok := answer.(peer.TokenOutcome)
	if !ok {
		return nil, trace.BadParameter("answer to a claim has type %s", answer.Type())
	}
	return &outcome.Outcome, nil
}
