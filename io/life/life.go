// Package life keeps the rules for the life of a process: what signals do from its first instruction to its last one, how
// long a start waits for a busy address, and the statuses with which the process exits.
//
// Handlers stay installed until the process has ended, because a signal without a handler ends a process that is about to
// exit with another status.
package life

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Statuses with which a process exits.
const (
	// ExitOK means that the process was asked to stop or has done its work.
	ExitOK = 0
	// ExitFailure means that the process could not do its work.
	ExitFailure = 1
	// ExitSettings means that settings, flags or arguments are invalid.
	ExitSettings = 2
)

// hangups receives SIGHUP. One pending signal is enough: it announces whatever has changed until it is handled.
var hangups = make(chan os.Signal, 1)

// The subscription precedes main, so that a SIGHUP before the settings are read is followed by that read, and a later one
// by a reload.
func init() { signal.Notify(hangups, syscall.SIGHUP) }

// Hangups returns the channel of SIGHUP, which has room for one signal. Without a receiver, SIGHUP has no effect.
func Hangups() <-chan os.Signal { return hangups }

// Begin handles the other signals for the rest of the process, and returns a context that the first SIGINT or SIGTERM
// ends. After it, SIGTERM has no effect and SIGINT exits with ExitFailure. SIGPIPE has no effect, so that writing to a pipe
// that nobody reads returns an error. Begin is called once, first in main.
func Begin() context.Context {
	stops := make(chan os.Signal, 2)
	signal.Notify(stops, syscall.SIGINT, syscall.SIGTERM)
	signal.Ignore(syscall.SIGPIPE)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-stops
		cancel()
		for s := range stops {
			if s == syscall.SIGINT {
				os.Exit(ExitFailure)
			}
		}
	}()
	return ctx
}

// StopAtHangup returns a context that SIGHUP ends, too. It is for programs that do not serve.
func StopAtHangup(parent context.Context) context.Context {
	ctx, cancel := context.WithCancel(parent)
	go func() {
		defer cancel()
		select {
		case <-hangups:
		case <-ctx.Done():
		}
	}()
	return ctx
}
