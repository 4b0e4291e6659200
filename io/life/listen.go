package life

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// DefaultBusyWait is how long a start waits for a busy address if its predecessor's grace period isn't known.
	DefaultBusyWait = 5 * time.Second
	// ExitWait is how long after its grace period a predecessor may still hold an address: the kernel closes the sockets
	// of a killed process only after it has freed its memory.
	ExitWait = 2 * time.Second
	// retryInterval is the time between two attempts to listen on a busy address.
	retryInterval = 20 * time.Millisecond
)

// Waiter waits for addresses that a predecessor of this process still holds.
type Waiter struct {
	Clock clockwork.Clock
	Log   *slog.Logger
	// Bound is the longest wait for one address.
	Bound time.Duration
}

// Listen listens on a TCP address. The error is that of the context if it ends during the wait; otherwise it names the
// address.
func (w Waiter) Listen(ctx context.Context, addr string) (net.Listener, error) {
	var l net.Listener
	err := w.Wait(ctx, addr, func() (err error) {
		l, err = net.Listen("tcp", addr)
		return err
	})
	if err != nil {
		return nil, err
	}
	return l, nil
}

// Wait calls listen until it succeeds, or fails for another reason than a busy address, or the bound has passed.
func (w Waiter) Wait(ctx context.Context, addr string, listen func() error) error {
	err := listen()
	if !errors.Is(err, syscall.EADDRINUSE) {
		return err
	}
	start := w.Clock.Now()
	w.Log.Warn("address is busy; waiting for it", "addr", addr, "bound_ms", w.Bound.Milliseconds())
	for errors.Is(err, syscall.EADDRINUSE) {
		if w.Clock.Since(start) >= w.Bound {
			return fmt.Errorf("address %s is still busy after %v: %w", addr, w.Bound, err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.Clock.After(retryInterval):
		}
		err = listen()
	}
	if err == nil {
		w.Log.Info("address is free again", "addr", addr, "waited_ms", w.Clock.Since(start).Milliseconds())
	}
	return err
}
