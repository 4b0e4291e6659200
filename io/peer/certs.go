package peer

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"sync/atomic"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
)

// alpn is the application protocol of the peer transport. An incompatible successor gets a new one.
const alpn = "geraniumsaddle-peer/1"

// Certs is the certificate source of a transport. Load replaces its content while connections run.
type Certs struct {
	clock clockwork.Clock
	state atomic.Pointer[certState]
}

type certState struct {
	cert  tls.Certificate
	name  string
	roots *x509.CertPool
	reset [32]byte
}

// NewCerts returns a source with the node's pair and the bundle of fleet authorities, in PEM form.
// During a rotation of the authority the bundle holds the old and the new one.
func NewCerts(clock clockwork.Clock, node KeyPair, authorities []byte) (*Certs, error) {
	c := &Certs{clock: clock}
	if err := c.Load(node, authorities); err != nil {
		return nil, trace.Wrap(err)
	}
	return c, nil
}

// Load replaces the pair and the authorities. A pair that the authorities do not sign is refused, and
// the previous content stays in use.
func (c *Certs) Load(node KeyPair, authorities []byte) error {
	leaf, _, err := node.parse()
	if err != nil {
		return trace.Wrap(err)
	}
	cert, err := tls.X509KeyPair(node.Cert, node.Key)
	if err != nil {
		return trace.BadParameter("node certificate: %v", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authorities) {
		return trace.BadParameter("authority bundle holds no certificate")
	}
	s := &certState{cert: cert, roots: roots, reset: sha256.Sum256(append([]byte("stateless reset\x00"), node.Key...))}
	if s.name, err = verify(s, leaf, nil, c.clock); err != nil {
		return trace.Wrap(err)
	}
	if old := c.state.Load(); old != nil && old.name != s.name {
		return trace.BadParameter("new certificate is for router %q, the current one for %q", s.name, old.name)
	}
	c.state.Store(s)
	return nil
}

// Name returns the router name of the node's certificate.
func (c *Certs) Name() string { return c.state.Load().name }

func (c *Certs) tlsConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{alpn},
		ClientAuth: tls.RequireAnyClientCert,
		// Peers are known by the router name in the certificate and not by a host name, so the
		// standard check is replaced by VerifyConnection.
		InsecureSkipVerify: true,
		// A resumed session would skip the certificates, and a rotation would not reach it.
		SessionTicketsDisabled: true,
		GetCertificate:         func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &c.state.Load().cert, nil },
		GetClientCertificate:   func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &c.state.Load().cert, nil },
		VerifyConnection: func(cs tls.ConnectionState) error {
			_, err := c.verifyPeer(cs.PeerCertificates)
			return err
		},
		Time: c.clock.Now,
	}
}

// verifyPeer checks the chain of a peer against the current authorities and returns the router name.
func (c *Certs) verifyPeer(chain []*x509.Certificate) (string, error) {
	if len(chain) == 0 {
		return "", trace.AccessDenied("peer sent no certificate")
	}
	inter := x509.NewCertPool()
	for _, cert := range chain[1:] {
		inter.AddCert(cert)
	}
	return verify(c.state.Load(), chain[0], inter, c.clock)
}

func verify(s *certState, leaf *x509.Certificate, inter *x509.CertPool, clock clockwork.Clock) (string, error) {
	for _, use := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		_, err := leaf.Verify(x509.VerifyOptions{
			Roots: s.roots, Intermediates: inter, CurrentTime: clock.Now(), KeyUsages: []x509.ExtKeyUsage{use},
		})
		if err != nil {
			return "", trace.AccessDenied("certificate is not valid in this fleet: %v", err)
		}
	}
	return RouterName(leaf)
}
