package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/quota"
	"geraniumsaddle/io/store"
	"geraniumsaddle/platform"
)

const (
	// syncInterval is the time between two writes of the ledger. It bounds how old the others' knowledge of this
	// router's spending is.
	syncInterval = time.Second
	// syncPause is the least time between two writes.
	syncPause = 60 * time.Millisecond
	// maxConflicts bounds the attempts of one write. Each conflict means that another router's write succeeded.
	maxConflicts = 20
)

// ledgerKey is the object that divides the prepaid tokens.
var ledgerKey = object.Key{Kind: platform.KindLedger, Name: "main"}

// ledgerState is the stored ledger as this router has last seen it.
type ledgerState struct {
	object store.Object
	known  bool
	// closedEarlier says that the holders of earlier processes of this VM are ended.
	closedEarlier bool
	// doubtful says that the last write got no answer.
	doubtful bool
}

// keepLedger writes this router's rows until the context ends.
func (s *Server) keepLedger(ctx context.Context) {
	started := s.deps.Uptime.Now()
	var st ledgerState
	failures := 0
	for ctx.Err() == nil {
		if s.table.Load() != nil {
			err := s.syncLedger(ctx, &st, started)
			if ctx.Err() != nil {
				return
			}
			s.link.result(err)
			s.deps.Metrics.storeCall("ledger", err)
			if err != nil {
				s.deps.Log.Warn("ledger not written", "error", err, "doubtful", st.doubtful)
				s.link.pause(ctx, failures)
				failures++
				continue
			}
			failures = 0
			s.freed.send()
		}
		s.waitSync(ctx)
	}
}

// waitSync waits for the next regular write or an urgent one.
func (s *Server) waitSync(ctx context.Context) {
	jitter := time.Duration(rand.Int64N(int64(syncInterval / 4)))
	if !s.sleep(ctx, syncPause) {
		return
	}
	select {
	case <-ctx.Done():
	case <-s.syncNow:
	case <-s.deps.Clock.After(syncInterval - jitter):
	}
}

func (s *Server) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.deps.Clock.After(d):
		return true
	}
}

// askSync makes the next write of the ledger come at once.
func (s *Server) askSync() {
	select {
	case s.syncNow <- struct{}{}:
	default:
	}
}

// syncLedger writes this router's rows under the condition that nobody else wrote meanwhile.
func (s *Server) syncLedger(ctx context.Context, st *ledgerState, started quota.Uptime) error {
	if !st.known || st.doubtful {
		if err := s.readLedger(ctx, st); err != nil {
			return err
		}
	}
	for range maxConflicts {
		l, err := decodeLedger(st)
		if err != nil {
			return err
		}
		if !st.closedEarlier {
			s.closeEarlier(l, started)
		}
		s.accounts.Plan(l, s.deps.Uptime.Now())
		s.accounts.Sending(s.deps.Uptime.Now())
		o, err := s.writeLedger(ctx, st, l)
		if err == nil {
			s.accounts.Commit()
			st.object, st.closedEarlier, st.doubtful = o, true, false
			return nil
		}
		st.doubtful = errors.Is(err, store.ErrUnknown)
		if !st.doubtful {
			s.accounts.Refused()
		}
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
		st.object, st.known = o, o.Version != 0
		if !st.known {
			return err
		}
	}
	return store.ErrConflict
}

func (s *Server) closeEarlier(l *quota.Ledger, started quota.Uptime) {
	for _, id := range l.CloseEarlier(ident.VMID(s.cfg.VM), s.self, started, lease) {
		s.deps.Log.Info("ledger rows of an earlier process closed", "router", id)
	}
}

func (s *Server) readLedger(ctx context.Context, st *ledgerState) error {
	o, err := s.deps.Store.Get(ctx, ledgerKey)
	switch {
	case errors.Is(err, store.ErrAbsent):
		st.object = store.Object{}
	case err != nil:
		return err
	default:
		st.object = o
	}
	st.known, st.doubtful = true, false
	return nil
}

func decodeLedger(st *ledgerState) (*quota.Ledger, error) {
	if st.object.Version == 0 {
		return quota.NewLedger(), nil
	}
	return quota.Decode(st.object.Value)
}

func (s *Server) writeLedger(ctx context.Context, st *ledgerState, l *quota.Ledger) (store.Object, error) {
	if st.object.Version == 0 {
		return s.deps.Store.Create(ctx, ledgerKey, l.Encode())
	}
	return s.deps.Store.Replace(ctx, ledgerKey, st.object.Version, l.Encode())
}

// leaveLedger hands back what is unspent when the process stops.
func (s *Server) leaveLedger() {
	spent, ok := s.accounts.Leave()
	if !ok {
		s.deps.Log.Warn("tokens stay taken: requests were cut")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopMargin/2)
	defer cancel()
	var st ledgerState
	for range maxConflicts {
		if err := s.readLedger(ctx, &st); err != nil {
			s.deps.Log.Warn("tokens stay taken: ledger not read", "error", err)
			return
		}
		l, err := decodeLedger(&st)
		if err != nil || l.Holders[s.self] == nil {
			return
		}
		l.Leave(s.self, spent)
		_, err = s.writeLedger(ctx, &st, l)
		if err == nil {
			return
		}
		if !errors.Is(err, store.ErrConflict) {
			s.deps.Log.Warn("ledger may not show that this router has left", "error", err)
			return
		}
	}
}
