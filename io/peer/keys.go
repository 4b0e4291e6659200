package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"time"

	"github.com/gravitational/trace"

	"geraniumsaddle/core/object"
)

// nameScheme is the scheme of the certificate URI that holds the router name.
const nameScheme = "geraniumsaddle-router"

// clockSkew is how far certificates are backdated, because the clocks of VMs differ.
const clockSkew = 5 * time.Minute

// KeyPair is a certificate and its private key in PEM form.
type KeyPair struct {
	Cert []byte
	Key  []byte
}

// NewAuthority returns a new self-signed certificate authority (ECDSA P-256) for a fleet.
func NewAuthority(fleet string, now time.Time, validity time.Duration) (KeyPair, error) {
	tmpl := &x509.Certificate{
		Subject:               pkix.Name{CommonName: fleet},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(validity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		MaxPathLenZero:        true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	return newKeyPair(tmpl, nil, nil)
}

// Issue returns a node certificate for the router with the given name, signed by the authority.
func (p KeyPair) Issue(router string, now time.Time, validity time.Duration) (KeyPair, error) {
	if !object.ValidID(router) {
		return KeyPair{}, trace.BadParameter("router name %q is not a valid identifier", router)
	}
	ca, key, err := p.parse()
	if err != nil {
		return KeyPair{}, trace.Wrap(err)
	}
	if !ca.IsCA {
		return KeyPair{}, trace.BadParameter("certificate of %q is not an authority", ca.Subject.CommonName)
	}
	tmpl := &x509.Certificate{
		Subject:     pkix.Name{CommonName: router},
		NotBefore:   now.Add(-clockSkew),
		NotAfter:    now.Add(validity),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		URIs:        []*url.URL{{Scheme: nameScheme, Opaque: router}},
	}
	return newKeyPair(tmpl, ca, key)
}

// newKeyPair creates a key and signs a certificate for it. Without a parent the certificate is self-signed.
func newKeyPair(tmpl, parent *x509.Certificate, signer *ecdsa.PrivateKey) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, trace.Wrap(err)
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		return KeyPair{}, trace.Wrap(err)
	}
	tmpl.SerialNumber = serial
	if parent == nil {
		parent, signer = tmpl, key
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, parent, &key.PublicKey, signer)
	if err != nil {
		return KeyPair{}, trace.Wrap(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, trace.Wrap(err)
	}
	return KeyPair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

func (p KeyPair) parse() (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certBlock, _ := pem.Decode(p.Cert)
	keyBlock, _ := pem.Decode(p.Key)
	if certBlock == nil || keyBlock == nil {
		return nil, nil, trace.BadParameter("certificate or private key is not in PEM form")
	}
	cert, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, nil, trace.BadParameter("parse certificate: %v", err)
	}
	key, err := x509.ParsePKCS8PrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, nil, trace.BadParameter("parse private key: %v", err)
	}
	ec, ok := key.(*ecdsa.PrivateKey)
	if !ok {
		return nil, nil, trace.BadParameter("private key is not an ECDSA key")
	}
	return cert, ec, nil
}

// RouterName returns the router name in the URI of a node certificate.
func RouterName(cert *x509.Certificate) (string, error) {
	for _, u := range cert.URIs {
		if u.Scheme == nameScheme && object.ValidID(u.Opaque) {
			return u.Opaque, nil
		}
	}
	return "", trace.AccessDenied("certificate contains no router name")
}
