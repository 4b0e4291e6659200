package conns

import (
	"errors"
	"net"
	"slices"
	"syscall"
)

// passingErrors are errors of accept that concern one connection, or memory of the kernel that becomes free again.
var passingErrors = []syscall.Errno{
	syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP,
	syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.EHOSTUNREACH,
}

// RetryAccept returns a listener whose server goes on after errors that pass. http.Server would end at them.
func RetryAccept(ln net.Listener) net.Listener { return retryListener{ln} }

type retryListener struct{ net.Listener }

// Accept returns the next connection, or a temporary error after which the server waits and tries again.
func (l retryListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	var code syscall.Errno
	if errors.As(err, &code) && slices.Contains(passingErrors, code) {
		return nil, temporaryError{err}
	}
	return c, err
}

// temporaryError is an error after which http.Server accepts again.
type temporaryError struct{ error }

func (e temporaryError) Unwrap() error { return e.error }
func (temporaryError) Timeout() bool   { return false }
func (temporaryError) Temporary() bool { return true }
