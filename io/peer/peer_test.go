package peer_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/quic-go/quic-go"
	"go.uber.org/goleak"

	"geraniumsaddle/core/config"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/member"
	"geraniumsaddle/io/peer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echo answers a Probe with a ProbeAck of the same sequence number and passes one-way messages to received. It answers
// Want with a reply that exceeds MaxMessage, and Leaving with no reply.
type echo struct{ received chan peer.Envelope }

func (e *echo) HandleMessage(from peer.Sender, m peer.Message) {
	e.received <- peer.Envelope{From: from.ID, Msg: m}
}

func (e *echo) HandleCall(_ context.Context, _ peer.Sender, m peer.Message) (peer.Message, error) {
	switch m := m.(type) {
	case peer.Probe:
		return peer.ProbeAck{Ack: member.Ack{Seq: m.Seq}}, nil
	case peer.Want:
		return peer.Push{Push: config.Push{Objects: []config.Object{{Value: make([]byte, 2<<20)}}}}, nil
	case peer.Leaving:
		return nil, nil
	}
	return nil, peer.Failure{Code: "unexpected", Message: m.Type().String()}
}

// fleet creates nodes whose certificates one authority has signed.
type fleet struct {
	tb        testing.TB
	clock     clockwork.Clock
	authority peer.KeyPair
}

func newFleet(tb testing.TB, clock clockwork.Clock) *fleet {
	ca, err := peer.NewAuthority("fleet", clock.Now(), time.Hour)
	if err != nil {
		tb.Fatal(err)
	}
	return &fleet{tb: tb, clock: clock, authority: ca}
}

func (f *fleet) issue(name string) peer.KeyPair {
	p, err := f.authority.Issue(name, f.clock.Now(), time.Hour)
	if err != nil {
		f.tb.Fatal(err)
	}
	return p
}

// node is a transport whose handler is an echo.
type node struct {
	*peer.Transport
	certs    *peer.Certs
	filter   *peer.PacketFilter
	received chan peer.Envelope
}

func (f *fleet) newNode(id ident.RouterID, change func(*peer.Config)) *node {
	certs, err := peer.NewCerts(f.clock, f.issue(id.Name()), f.authority.Cert)
	if err != nil {
		f.tb.Fatal(err)
	}
	n := &node{certs: certs, received: make(chan peer.Envelope, 4096)}
	cfg := peer.Config{Self: id, Addr: "127.0.0.1:0", Certs: certs, Clock: f.clock, Handler: &echo{received: n.received}}
	if change != nil {
		change(&cfg)
	}
	n.filter = cfg.Filter
	n.Transport, err = peer.New(cfg)
	if err != nil {
		f.tb.Fatal(err)
	}
	f.tb.Cleanup(func() {
		if err := n.Close(); err != nil {
			f.tb.Error(err)
		}
	})
	return n
}

// withFilter gives a node an empty packet filter.
func withFilter(c *peer.Config) { c.Filter = &peer.PacketFilter{} }

func probe(seq uint64) peer.Probe { return peer.Probe{Probe: member.Probe{Seq: seq}} }

// TestCallAndSend guards against lost or swapped replies, against one-way messages out of order, and against a caller
// that waits for a reply over the size limit.
func TestCallAndSend(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, clockwork.NewRealClock())
	a, b := f.newNode("a.1", nil), f.newNode("b.1", nil)
	ctx := t.Context()
	for seq := range uint64(50) {
		m, err := a.Call(ctx, b.Addr(), probe(seq))
		is.NoErr(err)
		is.Equal(m.(peer.ProbeAck).Seq, seq)
		is.NoErr(a.Send(b.Addr(), probe(seq)))
	}
	for seq := range uint64(50) {
		env := <-b.received
		is.Equal(env.From, ident.RouterID("a.1"))
		is.Equal(env.Msg.(peer.Probe).Seq, seq) // one-way messages keep their order
	}
	is.NoErr(b.Send(a.Addr(), peer.Leaving{})) // sent over the connection that b accepted
	is.Equal((<-a.received).Msg.Type(), peer.TypeLeaving)
	m, err := a.Call(ctx, b.Addr(), peer.Leaving{})
	is.NoErr(err)
	is.Equal(m.Type(), peer.TypeDone)
	_, err = a.Call(ctx, b.Addr(), peer.Want{})
	var fail peer.Failure
	is.True(errors.As(err, &fail))
	is.Equal(fail.Code, "reply_too_large")
	is.Equal(a.Counts()[peer.TypeProbe-1].Sent, uint64(100))
}

// TestOneWayPartition guards against a blocked direction that also blocks the other one, and against a connection that
// stays unusable after the partition has healed.
func TestOneWayPartition(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, clockwork.NewRealClock())
	a, b := f.newNode("a.1", withFilter), f.newNode("b.1", nil)
	is.NoErr(a.Send(b.Addr(), probe(1)))
	is.Equal((<-b.received).Msg.(peer.Probe).Seq, uint64(1))
	a.filter.Set(b.Addr(), peer.FromPeer)
	is.NoErr(a.Send(b.Addr(), probe(2)))
	is.Equal((<-b.received).Msg.(peer.Probe).Seq, uint64(2)) // still arrives
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := a.Call(ctx, b.Addr(), probe(3))
	is.True(errors.Is(err, context.DeadlineExceeded)) // the reply is dropped
	a.filter.Clear()
	m, err := a.Call(t.Context(), b.Addr(), probe(4))
	is.NoErr(err)
	is.Equal(m.(peer.ProbeAck).Seq, uint64(4))
}

// TestCertificateChecks guards against accepting a certificate of another fleet, and against a rotation of certificates
// that needs a restart.
func TestCertificateChecks(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, clockwork.NewRealClock())
	other := newFleet(t, f.clock)
	a, b, x := f.newNode("a.1", nil), f.newNode("b.1", nil), other.newNode("b.1", nil)
	_, err := x.Call(t.Context(), a.Addr(), probe(1))
	is.True(err != nil) // the peer's certificate is from another authority
	_, err = peer.NewCerts(f.clock, other.issue("a"), f.authority.Cert)
	is.True(err != nil) // the node's own certificate is from an authority outside the bundle

	_, err = a.Call(t.Context(), b.Addr(), probe(1))
	is.NoErr(err)
	is.True(a.certs.Load(other.issue("a"), f.authority.Cert) != nil) // the old certificate stays in use
	both := append(append([]byte{}, f.authority.Cert...), other.authority.Cert...)
	is.NoErr(b.certs.Load(f.issue("b"), both))
	is.NoErr(a.certs.Load(other.issue("a"), both))
	a.RecheckCerts()
	is.NoErr(b.certs.Load(other.issue("b"), other.authority.Cert))
	b.RecheckCerts() // closes the connection with the certificate of the old authority
	var seq uint64
	for err = errors.New("not yet"); err != nil && seq < 1000; seq++ {
		_, err = a.Call(t.Context(), b.Addr(), probe(seq)) // fails until a has received the close
	}
	is.NoErr(err)
}

// TestReconnectAfterRestart guards against using the connection to the previous incarnation of a router that died
// without closing it. With the same private key the restarted router resets the connection at once. With a new key the
// sender abandons it when nothing has been acknowledged for some time.
func TestReconnectAfterRestart(t *testing.T) {
	for name, advance := range map[string]time.Duration{"same key": 0, "new key": 4 * time.Second} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			f := newFleet(t, clock)
			a, b := f.newNode("a.1", nil), f.newNode("b.1", withFilter)
			_, err := a.Call(t.Context(), b.Addr(), probe(1))
			is.NoErr(err)
			b.filter.Set(a.Addr(), peer.ToPeer) // a must not receive the close
			is.NoErr(b.Close())
			f.newNode("b.2", func(c *peer.Config) {
				c.Addr = b.Addr()
				if advance == 0 {
					c.Certs = b.certs
				}
			})
			for err = errors.New("not yet"); err != nil && t.Context().Err() == nil; {
				ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
				_, err = a.Call(ctx, b.Addr(), probe(2))
				cancel()
				clock.Advance(advance)
			}
			is.NoErr(err)
		})
	}
}

// dialRaw connects to a node over plain QUIC, with a certificate for the given router name.
func (f *fleet) dialRaw(name string, to *node) *quic.Conn {
	is := is.New(f.tb)
	pair := f.issue(name)
	cert, err := tls.X509KeyPair(pair.Cert, pair.Key)
	is.NoErr(err)
	conn, err := quic.DialAddr(f.tb.Context(), to.Addr(), &tls.Config{
		Certificates: []tls.Certificate{cert}, InsecureSkipVerify: true, NextProtos: []string{"geraniumsaddle-peer/1"},
	}, nil)
	is.NoErr(err)
	return conn
}

// TestForeignMessages guards against accepting a message under another router's name, and against losing the connection
// when a newer release sends an unknown message type. The peer is a plain QUIC connection.
func TestForeignMessages(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, clockwork.NewRealClock())
	a := f.newNode("a.1", nil)
	conn := f.dialRaw("x", a)
	defer conn.CloseWithError(0, "")
	call := func(b []byte) peer.Message {
		s, err := conn.OpenStreamSync(t.Context())
		is.NoErr(err)
		_, err = s.Write(b)
		is.NoErr(err)
		is.NoErr(s.Close())
		out, err := io.ReadAll(s)
		is.NoErr(err)
		env, err := peer.Decode(out)
		is.NoErr(err)
		return env.Msg
	}
	good, err := peer.Encode("x.1", probe(1))
	is.NoErr(err)
	wrong, err := peer.Encode("y.1", probe(1))
	is.NoErr(err)
	later := bytes.Replace(good, []byte{0x02, byte(peer.TypeProbe)}, []byte{0x02, 0x18, 0xfe}, 1) // type 254
	is.Equal(call(wrong), peer.Failure{Code: "bad_message"})
	is.Equal(call(later), peer.Failure{Code: "bad_message"})
	is.Equal(call(make([]byte, 100)), peer.Failure{Code: "bad_message"})
	is.Equal(call(good).Type(), peer.TypeProbeAck)
	is.Equal(a.Rejects(), peer.Rejects{UnknownType: 1, Malformed: 1, WrongSender: 1})
}

// TestRefusedStreamEnds guards against cancelling the rest of a refused stream. A caller that has not closed its side
// yet would then see the close fail and treat the call as lost.
func TestRefusedStreamEnds(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, clockwork.NewRealClock())
	conn := f.dialRaw("x", f.newNode("a.1", nil))
	defer conn.CloseWithError(0, "")
	s, err := conn.OpenStreamSync(t.Context())
	is.NoErr(err)
	_, err = s.Write(make([]byte, 100))
	is.NoErr(err)
	out, err := io.ReadAll(s)
	is.NoErr(err)
	env, err := peer.Decode(out)
	is.NoErr(err)
	is.Equal(env.Msg, peer.Failure{Code: "bad_message"})
	is.NoErr(s.Close())
}

// TestByteBudget guards against low-priority messages that use up the byte budget of high-priority ones.
func TestByteBudget(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	f := newFleet(t, clock)
	a, b := f.newNode("a.1", func(c *peer.Config) { c.PeerRate, c.PeerBurst = 1000, peer.MaxMessage }), f.newNode("b.1", nil)
	load := peer.Load{Domain: ident.DomainID(make([]byte, 100_000))}
	var err error
	sent := 0
	for err == nil && sent < 100 {
		if err = a.Send(b.Addr(), load); err == nil {
			sent++
		}
	}
	is.True(errors.Is(err, peer.ErrOverBudget))
	is.Equal(sent, 5)                          // half of the burst
	is.NoErr(a.Send(b.Addr(), peer.Verdict{})) // high-priority messages may use the other half
	is.Equal(a.Counts()[peer.TypeLoad-1].DroppedLowBudget, uint64(1))
	clock.Advance(100 * time.Second)
	is.NoErr(a.Send(b.Addr(), load)) // refilled
}

// TestKeysRefuseBadNames guards against certificates for invalid router names, which could be read as another router's
// name, and against node certificates that sign others.
func TestKeysRefuseBadNames(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, clockwork.NewRealClock())
	for _, name := range []string{"", "a/b", "a b", "ä", "-a"} {
		_, err := f.authority.Issue(name, f.clock.Now(), time.Hour)
		is.True(err != nil)
	}
	_, err := f.issue("a").Issue("b", f.clock.Now(), time.Hour)
	is.True(err != nil) // a node certificate is no authority
}

func ExampleKeyPair_Issue() {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	authority, _ := peer.NewAuthority("be-central", now, 10*365*24*time.Hour)
	node, _ := authority.Issue("router-a1", now, 90*24*time.Hour)
	certs, err := peer.NewCerts(clockwork.NewFakeClockAt(now), node, authority.Cert)
	fmt.Println(certs.Name(), err)
	// Output: router-a1 <nil>
}
