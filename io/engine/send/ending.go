package send

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minDeliveryRate is the least rate of a request on its way to a target, in bytes per second (2 Mbit/s): that of a slow
	// link which several requests share.
	minDeliveryRate = 250_000
	// maxSegment is the number of bytes of a body that arrive together with the head of the request.
	maxSegment = 1400
	// resetWait is how long a reset may take to come back after bytes of the request were last seen to move. It covers two
	// retransmissions of a lost segment.
	resetWait = 500 * time.Millisecond
	// ackPollInterval is the interval at which the unacknowledged bytes of a connection are read.
	ackPollInterval = 20 * time.Millisecond
)

// EndsConnection reports whether a call failed because the other side has ended or reset the connection.
func EndsConnection(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE)
}

// AwaitEnd decides whether the end of a connection, on which a request was written, ends a complete response without a
// length. It returns nil if so, and an error that matches io.ErrUnexpectedEOF if the response was cut.
//
// The end has to outlast the rest of the request: a target that crashes after it has read all that has arrived closes its
// connection in order, and resets it only when the next bytes of the request arrive there. A target that only has ended
// its response reads them instead. So the write has to end without an error, and no reset may come as long as bytes
// of the request can be on their way. A write that is still blocked is waited for; closing the connection ends the wait.
func AwaitEnd(c net.Conn, w *WriteResult) error {
	err := w.Wait()
	if err == nil {
		err = awaitReset(c, w)
	}
	if err != nil {
		return fmt.Errorf("%w: the request was not taken completely: %w", io.ErrUnexpectedEOF, err)
	}
	return nil
}

// awaitReset waits for a reset while bytes of a written request may be on their way, and returns it.
func awaitReset(c net.Conn, w *WriteResult) error {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	left := min(w.undelivered(), resetWait)
	unacked := unackedBytes(raw)
	if unacked > 0 {
		left = resetWait
	}
	for {
		step := left
		if unacked > 0 {
			step = min(left, ackPollInterval)
		}
		if err := awaitError(c, raw, step); err != nil {
			return err
		}
		left -= step
		if n := unackedBytes(raw); n < unacked {
			unacked, left = n, resetWait
		}
		if left <= 0 {
			return nil
		}
	}
}

// awaitError waits for an error of the socket and returns it, or nil if there is none until the wait is over.
func awaitError(c net.Conn, raw syscall.RawConn, wait time.Duration) error {
	if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return err
	}
	if wait > 0 {
		var found error
		err := raw.Read(func(fd uintptr) bool {
			found = socketError(fd)
			return found != nil
		})
		if found != nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return errors.Join(found, err)
		}
	}
	var found error
	err := raw.Control(func(fd uintptr) { found = socketError(fd) })
	return errors.Join(found, err)
}

// socketError returns the error that a socket holds for the next call, or nil.
func socketError(fd uintptr) error {
	code, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
	switch {
	case err != nil:
		return err
	case code != 0:
		return syscall.Errno(code)
	}
	return nil
}

// unackedBytes returns the bytes that were written and that the next hop hasn't taken yet, or zero if the kernel
// doesn't tell.
func unackedBytes(raw syscall.RawConn) int {
	n := 0
	err := raw.Control(func(fd uintptr) {
		if queued, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ); err == nil {
			n = queued
		}
	})
	if err != nil {
		return 0
	}
	return n
}
