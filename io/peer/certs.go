package peer

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"sync/atomic"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
)

// alpn is the ALPN protocol name of the peer transport. An incompatible version needs a new name.
const alpn = "geraniumsaddle-peer/1"

// Certs holds the certificates of a transport. Load replaces them while connections are open.
type Certs struct {
	clock clockwork.Clock
	state atomic.Pointer[certState]
}

type certState struct {
	cert  tls.Certificate
	name  string
	roots *x509.CertPool
	// resetKey is the key for QUIC stateless resets. New explains its use.
	resetKey [32]byte
}

// NewCerts returns a Certs with the key pair of the node and the bundle of the fleet's certificate authorities, in PEM
// form. During a rotation of the authority the bundle holds the old and the new one.
func NewCerts(clock clockwork.Clock, node KeyPair, authorities []byte) (*Certs, error) {
	c := &Certs{clock: clock}
	if err := c.Load(node, authorities); err != nil {
		return nil, trace.Wrap(err)
	}
	return c, nil
}

// Load replaces the key pair and the authorities. It returns an error and changes nothing if the certificate is not
// signed by one of the authorities or names another router than the current one.
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
	s := &certState{cert: cert, roots: roots, resetKey: sha256.Sum256(append([]byte("stateless reset\x00"), node.Key...))}
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
		// Peers are identified by the router name in the certificate and not by a host name, so VerifyConnection
		// replaces the standard check.
		InsecureSkipVerify: true,
		// A resumed session would skip the certificate exchange and keep using a certificate from before a rotation.
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

// verifyPeer checks the certificate chain of a peer against the current authorities and returns the router name.
func (c *Certs) verifyPeer(chain []*x509.Certificate) (string, error) {
	if len(chain) == 0 {
		return "", trace.AccessDenied("peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range chain[1:] {
		intermediates.AddCert(cert)
	}
	return verify(c.state.Load(), chain[0], intermediates, c.clock)
}

func verify(s *certState, leaf *x509.Certificate, intermediates *x509.CertPool, clock clockwork.Clock) (string, error) {
	for _, use := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		_, err := leaf.Verify(x509.VerifyOptions{
			Roots: s.roots, Intermediates: intermediates, CurrentTime: clock.Now(), KeyUsages: []x509.ExtKeyUsage{use},
		})
		if err != nil {
			return "", trace.AccessDenied("certificate is not valid in this fleet: %v", err)
		}
	}
	return RouterName(leaf)
}
