package cmds

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// signalContext returns a context that is cancelled by the first SIGINT or SIGTERM. A second signal ends the process
// immediately.
func signalContext(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-ch:
			cancel()
		case <-ctx.Done():
			return
		}
		<-ch
		os.Exit(exitFailure)
	}()
	return ctx, func() {
		signal.Stop(ch)
		cancel()
	}
}
