package main

import "syscall"

// fileWatch tells whether a file has been opened since the watch began.
type fileWatch struct {
	fd        int
	wasOpened bool
}

func newFileWatch(name string) (*fileWatch, error) {
	fd, err := syscall.InotifyInit1(syscall.IN_NONBLOCK | syscall.IN_CLOEXEC)
	if err != nil {
		return nil, err
	}
	if _, err := syscall.InotifyAddWatch(fd, name, syscall.IN_OPEN); err != nil {
		_ = syscall.Close(fd)
		return nil, err
	}
	return &fileWatch{fd: fd}, nil
}

func (w *fileWatch) opened() bool {
	var buf [syscall.SizeofInotifyEvent * 16]byte
	if n, err := syscall.Read(w.fd, buf[:]); err == nil && n > 0 {
		w.wasOpened = true
	}
	return w.wasOpened
}

func (w *fileWatch) close() { _ = syscall.Close(w.fd) }
