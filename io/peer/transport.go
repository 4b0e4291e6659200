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

// Sender is the authenticated sender of a message.
type Sender struct {
	ID   ident.RouterID
	Addr string
}

// Handler processes received messages. Its methods are called from several goroutines.
type Handler interface {
	// HandleMessage processes a one-way message. It must not block, because later messages from the same peer wait for
	// it.
	HandleMessage(from Sender, m Message)
	// HandleCall answers a call. The caller receives an error as a Failure.
	HandleCall(ctx context.Context, from Sender, m Message) (Message, error)
}

// Errors of Send, Call and OpenStream.
var (
	ErrOverBudget  = errors.New("message exceeds the peer's byte budget")
	ErrUnreachable = errors.New("peer is unreachable")
	ErrClosed      = errors.New("transport is closed")
)

// Config holds the settings of a transport. Zero limits are replaced by defaults.
type Config struct {
	Self    ident.RouterID
	Addr    string // UDP address to listen on, with an IP address
	Certs   *Certs
	Handler Handler
	Clock   clockwork.Clock
	Log     *slog.Logger
	// PeerRate and PeerBurst limit the bytes sent to one peer, calls included. PeerBurst must be at least MaxMessage.
	PeerRate  ident.Bytes // bytes per second
	PeerBurst ident.Bytes
	// QueueFrames and QueueBytes limit the one-way messages queued for one peer.
	QueueFrames int
	QueueBytes  ident.Bytes
	// MaxCalls limits the concurrent calls and streams that one connection may open to this router.
	MaxCalls int
	// MaxConns is the number of open connections, dialled ones included, at which incoming ones are refused.
	MaxConns int
	// Filter, if set, drops packets. It is for tests and fault injection only.
	Filter *PacketFilter
}

const (
	dialTimeout         = 3 * time.Second
	callTimeout         = 10 * time.Second
	writeTimeout        = 5 * time.Second
	redialDelay         = 250 * time.Millisecond
	redialDelayMax      = 4 * time.Second
	initialStreamWindow = 512 << 10
	maxStreamWindow     = 2 << 20
	maxConnWindow       = 4 << 20
	// initialConnWindow leaves initialStreamWindow bytes to calls and one-way messages when all streams have used up
	// their credit.
	initialConnWindow = initialStreamWindow + maxStreams*streamCreditWindow
	// idleTimeout is longer than a router takes to probe each member of its failure domain once, because a new handshake
	// costs more bytes than a minute of probes.
	idleTimeout = 3 * time.Minute
	// staleAfter limits how long a connection is used on which the peer acknowledges nothing. A peer that restarts at
	// another address or behind a network partition sends no reset.
	staleAfter = 3 * time.Second
)

func (c *Config) setDefaults() {
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	c.PeerRate = bytesOrDefault(c.PeerRate, 8<<20)
	c.PeerBurst = bytesOrDefault(c.PeerBurst, 16<<20)
	c.QueueBytes = bytesOrDefault(c.QueueBytes, 4<<20)
	c.QueueFrames = intOrDefault(c.QueueFrames, 1024)
	c.MaxCalls = intOrDefault(c.MaxCalls, 256)
	c.MaxConns = intOrDefault(c.MaxConns, 2048)
}

func bytesOrDefault(n, def ident.Bytes) ident.Bytes {
	if n == 0 {
		return def
	}
	return n
}

func intOrDefault(n, def int) int {
	if n == 0 {
		return def
	}
	return n
}

// Transport sends messages to other routers and receives theirs over one UDP socket.
type Transport struct {
	cfg    Config
	udp    *net.UDPConn
	quic   *quic.Transport
	ln     *quic.Listener
	counts counters
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	links    map[string]*link
	sessions map[*session]struct{}
	closed   bool
}

// New opens the UDP socket and starts accepting connections.
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
		conn = &filteredConn{udp: udp, filter: cfg.Filter}
	}
	// The stateless reset key is derived from the node's private key. A restarted router can then reset the connections
	// of its previous incarnation, and its peers reconnect at once.
	reset := quic.StatelessResetKey(cfg.Certs.state.Load().resetKey)
	t := &Transport{
		cfg:      cfg,
		udp:      udp,
		quic:     &quic.Transport{Conn: conn, StatelessResetKey: &reset},
		links:    make(map[string]*link),
		sessions: make(map[*session]struct{}),
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.ln, err = t.quic.Listen(cfg.Certs.tlsConfig(), t.quicConfig())
	if err != nil {
		t.cancel()
		return nil, trace.NewAggregate(trace.ConnectionProblem(err, "listen on %s", cfg.Addr), udp.Close())
	}
	t.wg.Go(t.acceptConns)
	return t, nil
}

func (t *Transport) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           dialTimeout,
		MaxIdleTimeout:                 idleTimeout,
		InitialStreamReceiveWindow:     initialStreamWindow,
		InitialConnectionReceiveWindow: initialConnWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		MaxConnectionReceiveWindow:     maxConnWindow,
		MaxIncomingStreams:             int64(t.cfg.MaxCalls),
		MaxIncomingUniStreams:          4,
	}
}

// Addr returns the local UDP address.
func (t *Transport) Addr() string { return t.udp.LocalAddr().String() }

// Close closes all connections and waits for the running handlers. Queued one-way messages are lost. Use Call for
// messages that must arrive before a shutdown.
func (t *Transport) Close() error {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		t.wg.Wait() // an earlier Close may still be waiting for handlers
		return nil
	}
	t.closed = true
	for s := range t.sessions {
		_ = s.conn.CloseWithError(0, "router stops")
	}
	t.mu.Unlock()
	t.cancel()
	err := trace.NewAggregate(t.ln.Close(), t.quic.Close(), t.udp.Close())
	t.wg.Wait()
	return trace.Wrap(err)
}

// RecheckCerts closes the connections whose peer certificate is no longer valid. Call it after Certs.Load and
// periodically, because a connection may outlive a certificate.
func (t *Transport) RecheckCerts() {
	t.mu.Lock()
	sessions := make([]*session, 0, len(t.sessions))
	for s := range t.sessions {
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

// Send queues a one-way message and returns without waiting for it to be sent. The message may be lost.
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

// link returns the link to an address, and starts one if there is none.
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

func (t *Transport) removeLink(l *link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.links[l.addr] == l {
		delete(t.links, l.addr)
	}
}

// startSession registers a connection and serves it until it is closed.
func (t *Transport) startSession(c *quic.Conn) (*session, error) {
	s, err := t.newSession(c)
	if err != nil {
		return nil, err
	}
	ok := t.spawn(func() {
		s.serve()
		t.mu.Lock()
		delete(t.sessions, s)
		t.mu.Unlock()
	}, s)
	if !ok {
		return nil, ErrClosed
	}
	return s, nil
}

// spawn runs f in a goroutine that Close waits for, and registers s unless it is nil. It returns false if the transport
// is closed.
func (t *Transport) spawn(f func(), s *session) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	if s != nil {
		t.sessions[s] = struct{}{}
	}
	t.wg.Go(f)
	return true
}
