package cmds

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"geraniumsaddle/io/flags"
	"geraniumsaddle/io/peer"
)

// certReloadInterval is the interval at which the modification times of the certificate files are checked.
const certReloadInterval = 10 * time.Second

// certFiles reads the certificate, key and CA files that a router's settings name.
type certFiles struct{ cfg flags.Router }

func (f certFiles) read() (peer.KeyPair, []byte, error) {
	var out [3][]byte
	for i, name := range []string{f.cfg.PeerCertFile, f.cfg.PeerKeyFile, f.cfg.PeerCAFile} {
		b, err := os.ReadFile(name)
		if err != nil {
			return peer.KeyPair{}, nil, trace.ConvertSystemError(err)
		}
		out[i] = b
	}
	return peer.KeyPair{Cert: out[0], Key: out[1]}, out[2], nil
}

// lastModified returns the latest modification time of the files.
func (f certFiles) lastModified() time.Time {
	var last time.Time
	for _, name := range []string{f.cfg.PeerCertFile, f.cfg.PeerKeyFile, f.cfg.PeerCAFile} {
		if st, err := os.Stat(name); err == nil && st.ModTime().After(last) {
			last = st.ModTime()
		}
	}
	return last
}

// loadCerts returns the certificates of a router, or nil if the settings name none.
func loadCerts(cfg flags.Router, clock clockwork.Clock) (*peer.Certs, error) {
	if cfg.PeerCertFile == "" {
		return nil, nil //nolint:nilnil // a router without certificates has no peers
	}
	pair, ca, err := certFiles{cfg}.read()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c, err := peer.NewCerts(clock, pair, ca)
	return c, trace.Wrap(err)
}

// watchCerts reloads changed certificate files until ctx ends. If they are not valid, the previous certificates stay in
// use.
func watchCerts(ctx context.Context, cfg flags.Router, c *peer.Certs, clock clockwork.Clock, log *slog.Logger) {
	f := certFiles{cfg}
	seen := f.lastModified()
	for {
		select {
		case <-clock.After(certReloadInterval):
		case <-ctx.Done():
			return
		}
		at := f.lastModified()
		if !at.After(seen) {
			continue
		}
		seen = at
		pair, ca, err := f.read()
		if err == nil {
			err = c.Load(pair, ca)
		}
		if err != nil {
			log.Error("cannot load changed peer certificates; keeping the previous ones", "error", err)
			continue
		}
		log.Info("peer certificates reloaded")
	}
}
