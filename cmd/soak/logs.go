package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
)

const (
	// lastLines is the number of lines that a logReader keeps.
	lastLines = 5
	// maxLineLength is how much of each line it keeps, in bytes.
	maxLineLength = 160
)

// logReader reads the log of a process from a pipe, appends it to a file and keeps its last lines.
type logReader struct {
	pipe *os.File
	file *os.File
	done chan struct{} // closed when the reader reads no more

	mu      sync.Mutex
	stopped bool
	lines   []string
}

// newLogReader returns a reader and the end of its pipe for the process.
func newLogReader(file *os.File) (*logReader, *os.File, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, nil, err
	}
	l := &logReader{pipe: r, file: file, done: make(chan struct{})}
	go l.run()
	return l, w, nil
}

func (l *logReader) run() {
	defer close(l.done)
	for s := bufio.NewScanner(l.pipe); s.Scan(); {
		l.mu.Lock()
		l.lines = append(l.lines, s.Text()[:min(len(s.Text()), maxLineLength)])
		l.lines = l.lines[max(0, len(l.lines)-lastLines):]
		stopped := l.stopped
		l.mu.Unlock()
		_, _ = fmt.Fprintln(l.file, s.Text())
		if stopped {
			return
		}
	}
}

// stop ends the reading after at most one more line, and leaves the pipe open, so that it fills up.
func (l *logReader) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
}

// leave closes the pipe, so that the process can no longer write to it.
func (l *logReader) leave() {
	l.stop()
	_ = l.pipe.Close()
}

// finish waits for the rest of the log, unless the reader has stopped, and returns the last lines. The process must have
// ended.
func (l *logReader) finish() []string {
	l.mu.Lock()
	stopped := l.stopped
	l.mu.Unlock()
	if !stopped {
		<-l.done
	}
	_ = l.pipe.Close()
	<-l.done
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines
}
