package conns

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// failingListener returns errors in turn, and then net.ErrClosed.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return nil, net.ErrClosed
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, &net.OpError{Op: "accept", Err: err}
}

func (l *failingListener) Close() error { return nil }

// TestPassingAcceptErrors guards against a server that ends, with all its requests, at an error of accept that passes.
func TestPassingAcceptErrors(t *testing.T) {
	is := is.New(t)
	passing := &failingListener{errs: []error{syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO}}
	is.True(errors.Is(new(http.Server).Serve(RetryAccept(passing)), net.ErrClosed))
	is.Equal(len(passing.errs), 0)
	lasting := &failingListener{errs: []error{syscall.EBADF, syscall.ENOBUFS}}
	is.True(errors.Is(new(http.Server).Serve(RetryAccept(lasting)), syscall.EBADF))
	is.Equal(len(lasting.errs), 1)
}
