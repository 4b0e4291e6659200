package peer

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"github.com/quic-go/quic-go"

	"geraniumsaddle/core/ident"
)

// Sender is the authenticated origin of a message.
type Sender struct {
	ID   ident.RouterID
	Addr string
}

// Handler receives messages. Its methods are called from several goroutines.
type Handler interface {
	// HandleMessage takes a one-way message. It must not block, because it holds up later messages of
	// the same peer.
	HandleMessage(from Sender, m Message)
	// HandleCall answers a call. An error becomes a Failure at the caller.
	HandleCall(ctx context.Context, from Sender, m Message) (Message, error)
}

// Errors of Send and Call.
var (
	ErrOverBudget  = errors.New("message exceeds the peer's byte budget")
	ErrUnreachable = errors.New("peer is unreachable")
	ErrClosed      = errors.New("transport is closed")
)

// Config holds the settings of a transport. Zero limits take the defaults.
type Config struct {
	Self    ident.RouterID
	Addr    string // UDP address to listen on, with an IP number
	Certs   *Certs
	Handler Handler
	Clock   clockwork.Clock
	Log     *slog.Logger
	// PeerRate and PeerBurst bound the bytes sent to one peer, calls included. The burst must hold one
	// message of MaxMessage.
	PeerRate  ident.Bytes // bytes per second
	PeerBurst ident.Bytes
	// QueueFrames and QueueBytes bound the one-way messages that wait for one peer.
	QueueFrames int
	QueueBytes  ident.Bytes
	// MaxCalls bounds the calls of one peer that run at once.
	MaxCalls int
	// MaxConns bounds the accepted connections.
	MaxConns int
	// Filter, if set, drops packets. It is for tests only.
	Filter *PacketFilter
}

const (
	dialTimeout     = 3 * time.Second
	callTimeout     = 10 * time.Second
	writeTimeout    = 5 * time.Second
	redialDelay     = 250 * time.Millisecond
	redialDelayMax  = 4 * time.Second
	flowWindow      = 512 << 10
	maxStreamWindow = 2 << 20
	maxConnWindow   = 4 << 20
	// connWindow leaves the flow window to the calls and messages when all streams wait for their receivers.
	connWindow = flowWindow + maxStreams*streamWindow
	// idleTimeout is longer than a router's probe cycle through the members of its failure domain,
	// because a handshake costs more bytes than a minute of probes.
	idleTimeout = 3 * time.Minute
	// staleAfter bounds how long a connection is used whose peer acknowledges nothing. A peer that
	// restarts elsewhere or behind a cut sends no reset.
	staleAfter = 3 * time.Second
)

func (c *Config) setDefaults() {
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	c.PeerRate = orBytes(c.PeerRate, 8<<20)
	c.PeerBurst = orBytes(c.PeerBurst, 16<<20)
	c.QueueBytes = orBytes(c.QueueBytes, 4<<20)
	c.QueueFrames = orInt(c.QueueFrames, 1024)
	c.MaxCalls = orInt(c.MaxCalls, 256)
	c.MaxConns = orInt(c.MaxConns, 2048)
}

func orBytes(n, def ident.Bytes) ident.Bytes {
	if n == 0 {
		return def
	}
	return n
}

func orInt(n, def int) int {
	if n == 0 {
		return def
	}
	return n
}

// Transport sends messages to routers and receives theirs, all over one UDP socket.
type Transport struct {
	cfg    Config
	udp    *net.UDPConn
	quic   *quic.Transport
	ln     *quic.Listener
	counts counters
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	links  map[string]*link
	conns  map[*session]struct{}
	closed bool
}

// New opens the UDP socket and starts to accept connections.
func New(cfg Config) (*Transport, error) {
	cfg.setDefaults()
	if cfg.Self.Name() != cfg.Certs.Name() {
		return nil, trace.BadParameter("router %q has a certificate for %q", cfg.Self, cfg.Certs.Name())
	}
	if cfg.PeerBurst < MaxMessage {
		return nil, trace.BadParameter("peer burst of %d bytes is less than the largest message of %d bytes", cfg.PeerBurst, MaxMessage)
	}
	addr, err := net.ResolveUDPAddr("udp", cfg.Addr)
	if err != nil {
		return nil, trace.BadParameter("peer address %q: %v", cfg.Addr, err)
	}
	udp, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "listen on %s", cfg.Addr)
	}
	var conn net.PacketConn = udp
	if cfg.Filter != nil {
		conn = &cutConn{udp: udp, cuts: cfg.Filter}
	}
	// The reset key follows from the node's private key, so that a restarted router can reset the
	// connections of its previous incarnation and peers reconnect at once.
	reset := quic.StatelessResetKey(cfg.Certs.state.Load().reset)
	t := &Transport{
		cfg:   cfg,
		udp:   udp,
		quic:  &quic.Transport{Conn: conn, StatelessResetKey: &reset},
		links: make(map[string]*link),
		conns: make(map[*session]struct{}),
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.ln, err = t.quic.Listen(cfg.Certs.tlsConfig(), t.quicConfig())
	if err != nil {
		t.cancel()
		return nil, trace.NewAggregate(trace.ConnectionProblem(err, "listen on %s", cfg.Addr), udp.Close())
	}
	t.wg.Go(t.accept)
	return t, nil
}

func (t *Transport) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           dialTimeout,
		MaxIdleTimeout:                 idleTimeout,
		InitialStreamReceiveWindow:     flowWindow,
		InitialConnectionReceiveWindow: connWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		MaxConnectionReceiveWindow:     maxConnWindow,
		MaxIncomingStreams:             int64(t.cfg.MaxCalls),
		MaxIncomingUniStreams:          4,
	}
}

// Addr returns the local UDP address.
func (t *Transport) Addr() string { return t.udp.LocalAddr().String() }

// Close closes all connections and waits for the running handlers. Queued one-way messages are lost, so
// what must arrive before a shutdown is sent with Call.
func (t *Transport) Close() error {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		t.wg.Wait() // An earlier call may still wait for the handlers.
		return nil
	}
	t.closed = true
	for s := range t.conns {
		_ = s.conn.CloseWithError(0, "router stops")
	}
	t.mu.Unlock()
	t.cancel()
	err := trace.NewAggregate(t.ln.Close(), t.quic.Close(), t.udp.Close())
	t.wg.Wait()
	return trace.Wrap(err)
}

// RecheckCerts closes the connections whose peer certificate is no longer valid. Call it after Certs.Load
// and from time to time, because a connection may outlive a certificate.
func (t *Transport) RecheckCerts() {
	t.mu.Lock()
	sessions := make([]*session, 0, len(t.conns))
	for s := range t.conns {
		sessions = append(sessions, s)
	}
	t.mu.Unlock()
	for _, s := range sessions {
		if _, err := t.cfg.Certs.verifyPeer(s.conn.ConnectionState().TLS.PeerCertificates); err != nil {
			t.cfg.Log.Warn("closing peer connection", "addr", s.addr, "error", err.Error())
			_ = s.conn.CloseWithError(1, "certificate is not valid")
		}
	}
}

// Send queues a one-way message. It does not wait, and the message may be lost.
func (t *Transport) Send(addr string, m Message) error {
	b, err := Encode(t.cfg.Self, m)
	if err != nil {
		return trace.Wrap(err)
	}
	for {
		l, err := t.link(addr)
		if err != nil {
			return trace.Wrap(err)
		}
		ok, err := l.enqueue(frame{typ: m.Type(), data: b})
		if ok || err != nil {
			return trace.Wrap(err)
		}
	}
}

func (t *Transport) link(addr string) (*link, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, ErrClosed
	}
	if l, ok := t.links[addr]; ok {
		return l, nil
	}
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, trace.BadParameter("peer address %q: %v", addr, err)
	}
	l := newLink(t, udp, addr)
	t.links[addr] = l
	t.wg.Go(l.run)
	return l, nil
}

func (t *Transport) dropLink(l *link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.links[l.addr] == l {
		delete(t.links, l.addr)
	}
}

// track registers a connection, and serves it until it is closed.
func (t *Transport) track(c *quic.Conn) (*session, error) {
	s, err := t.newSession(c)
	if err != nil {
		return nil, err
	}
	ok := t.start(func() {
		s.serve()
		t.mu.Lock()
		delete(t.conns, s)
		t.mu.Unlock()
	}, s)
	if !ok {
		return nil, ErrClosed
	}
	return s, nil
}

// start runs f in a goroutine that Close waits for, and registers s if it is set. It returns false
// when the transport is closed.
func (t *Transport) start(f func(), s *session) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	if s != nil {
		t.conns[s] = struct{}{}
	}
	t.wg.Go(f)
	return true
}
