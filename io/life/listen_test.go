package life_test

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"geraniumsaddle/io/life"
)

// TestWaitForUDP guards against a busy address for peers that ends the wait at once.
func TestWaitForUDP(t *testing.T) {
	is := is.New(t)
	held, err := net.ListenPacket("udp", "127.0.0.1:0")
	is.NoErr(err)
	addr := held.LocalAddr().String()
	attempts := 0
	w := life.Waiter{Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Bound: time.Minute}
	is.NoErr(w.Wait(context.Background(), addr, func() error {
		if attempts++; attempts == 3 {
			is.NoErr(held.Close())
		}
		conn, err := net.ListenPacket("udp", addr)
		if err == nil {
			is.NoErr(conn.Close())
		}
		return err
	}))
	is.Equal(attempts, 3)
}

// TestOtherErrorsEndTheWait guards against a start that waits for an address that it can never use.
func TestOtherErrorsEndTheWait(t *testing.T) {
	is := is.New(t)
	want := errors.New("no such address")
	attempts := 0
	err := life.Waiter{}.Wait(context.Background(), "addr", func() error {
		attempts++
		return want
	})
	is.Equal(err, want)
	is.Equal(attempts, 1)
}
