package cmds

import (
	"context"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
)

// stopSignals is what a command does with the signals after the first one.
type stopSignals struct{ ignoreRepeatedTerm atomic.Bool }

// stopSignalsKey is the key of the *stopSignals in the context of a command.
type stopSignalsKey struct{}

// signalContext returns a context that is cancelled by the first SIGINT or SIGTERM. A second signal ends the process
// immediately, unless the command ignores it.
func signalContext(parent context.Context) (context.Context, context.CancelFunc) {
	s := &stopSignals{}
	ctx, cancel := context.WithCancel(context.WithValue(parent, stopSignalsKey{}, s))
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-ch:
			cancel()
		case <-ctx.Done():
			return
		}
		for sig := range ch {
			if sig != syscall.SIGTERM || !s.ignoreRepeatedTerm.Load() {
				os.Exit(exitFailure)
			}
		}
	}()
	return ctx, func() {
		signal.Stop(ch)
		cancel()
	}
}

// ignoreRepeatedTerm lets a graceful shutdown go on if SIGTERM comes again. A second SIGINT still ends the process.
func ignoreRepeatedTerm(ctx context.Context) {
	if s, ok := ctx.Value(stopSignalsKey{}).(*stopSignals); ok {
		s.ignoreRepeatedTerm.Store(true)
	}
}
