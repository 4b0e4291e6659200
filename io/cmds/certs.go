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

// reloadEvery is the interval at which the key files are looked at.
const reloadEvery = 10 * time.Second

// certFiles reads a router's certificate from the files of its settings.
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

// modified returns the latest change of the files.
func (f certFiles) modified() time.Time {
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

// watchCerts loads changed files until ctx ends. Files that are not valid leave the previous ones in use.
func watchCerts(ctx context.Context, cfg flags.Router, c *peer.Certs, clock clockwork.Clock, log *slog.Logger) {
	f := certFiles{cfg}
	seen := f.modified()
	for {
		select {
		case <-clock.After(reloadEvery):
		case <-ctx.Done():
			return
		}
		at := f.modified()
		if !at.After(seen) {
			continue
		}
		seen = at
		pair, ca, err := f.read()
		if err == nil {
			err = c.Load(pair, ca)
		}
		if err != nil {
			log.Error("changed peer certificates cannot be used; the previous ones stay in use", "error", err)
			continue
		}
		log.Info("peer certificates reloaded")
	}
}
