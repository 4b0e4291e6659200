package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// memoryPollInterval is the time between two readings of the memory of a process.
const memoryPollInterval = 50 * time.Millisecond

// process is a process of a router. It writes its log and its errors to two pipes.
type process struct {
	cmd     *exec.Cmd
	started time.Time
	log     *logReader
	errors  *logReader
	done    chan struct{} // closed after the process has ended

	mu  sync.Mutex
	end processEnd
}

// processEnd describes how a process ended, and the signals that the soak had sent it before.
type processEnd struct {
	callerAddr string
	name       string
	at         time.Time
	age        time.Duration
	status     syscall.WaitStatus
	// terminated and killed are set if the process has been sent SIGTERM and SIGKILL.
	terminated, killed bool
	// early is set if the last SIGHUP or SIGTERM was sent before the process blocked, ignored or caught the signal.
	early bool
	// overdue is set if the process was killed because it had not ended in time.
	overdue bool
	// peakMemory is the largest resident size that was seen, in bytes.
	peakMemory int64
	// lines are the last lines of the log and of the errors.
	lines []string
}

// label returns the key under which the summary counts the end.
func (e processEnd) label() string {
	if e.endedEarly() {
		return e.status.Signal().String() + " before any handler"
	}
	if e.status.Signaled() {
		return e.status.Signal().String()
	}
	return fmt.Sprint("status ", e.status.ExitStatus())
}

// endedEarly reports whether a signal ended the process before it had a handler for it.
func (e processEnd) endedEarly() bool {
	sig := e.status.Signal()
	return e.early && (sig == syscall.SIGHUP || sig == syscall.SIGTERM)
}

// startProcess starts cmd with a log that is also appended to a file.
func startProcess(cmd *exec.Cmd, logFile string) (*process, error) {
	p := &process{cmd: cmd, done: make(chan struct{})}
	if signal.Ignored(syscall.SIGHUP) {
		// Under nohup, the process would inherit that SIGHUP is ignored. A signal that is caught is not inherited.
		signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	}
	file, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	var stdout, stderr *os.File
	if p.log, stdout, err = newLogReader(file); err != nil {
		return nil, err
	}
	if p.errors, stderr, err = newLogReader(file); err != nil {
		return nil, err
	}
	cmd.Stdout, cmd.Stderr = stdout, stderr
	// The kernel kills the router when this process dies.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.started = time.Now()
	err = cmd.Start()
	_ = stdout.Close()
	_ = stderr.Close()
	if err != nil {
		return nil, err
	}
	go p.pollMemory()
	return p, nil
}

// wait waits until the process has ended, and returns how.
func (p *process) wait() processEnd {
	_ = p.cmd.Wait() // Wait returns an error if the status is not 0.
	at := time.Now()
	lines := append(p.log.finish(), p.errors.finish()...)
	_ = p.log.file.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end.at, p.end.age, p.end.lines = at, at.Sub(p.started), lines
	if status, ok := p.cmd.ProcessState.Sys().(syscall.WaitStatus); ok {
		p.end.status = status
	}
	return p.end
}

// signal sends a signal and records those that end a process.
func (p *process) signal(s syscall.Signal) {
	status := p.readStatus()
	p.mu.Lock()
	// A process that has ended but is not yet waited for has no memory and no handlers.
	if alive := peakMemory(status) > 0; alive && (s == syscall.SIGHUP || s == syscall.SIGTERM) {
		p.end.early = !handles(status, s)
	}
	p.end.terminated = p.end.terminated || s == syscall.SIGTERM
	p.end.killed = p.end.killed || s == syscall.SIGKILL
	p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // The process may have ended.
}

func (p *process) pollMemory() {
	tick := time.NewTicker(memoryPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-p.done:
			return
		case <-tick.C:
			p.readStatus()
		}
	}
}

// readStatus returns the kernel's report on the process, and updates the largest resident size, which the kernel no longer
// reports once the process has ended.
func (p *process) readStatus() []byte {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return nil // The process has ended.
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end.peakMemory = max(p.end.peakMemory, peakMemory(status))
	return status
}

// handles reports whether the process blocks, ignores or catches a signal, from the content of /proc/PID/status.
func handles(status []byte, sig syscall.Signal) bool {
	for _, field := range []string{"SigBlk:", "SigIgn:", "SigCgt:"} {
		mask, err := strconv.ParseUint(statusField(status, field, "\n"), 16, 64)
		if err == nil && mask>>(sig-1)&1 == 1 {
			return true
		}
	}
	return false
}

// statusField returns the value of a field of /proc/PID/status up to its unit.
func statusField(status []byte, name, unit string) string {
	_, rest, _ := bytes.Cut(status, []byte("\n"+name))
	value, _, _ := bytes.Cut(rest, []byte(unit))
	return string(bytes.TrimSpace(value))
}

// peakMemory returns the largest resident size in bytes from the content of /proc/PID/status, or 0.
func peakMemory(status []byte) int64 {
	kb, err := strconv.ParseInt(statusField(status, "VmHWM:", " kB"), 10, 64)
	if err != nil {
		return 0
	}
	return kb << 10
}
