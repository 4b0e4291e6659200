package main

import (
	"bufio"
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/platform"
	"geraniumsaddle/platform/fakes"
)

// lifeStep is the distance of the moments at which tests send the first signal to a starting process.
var lifeStep = flag.Duration("life.step", 5*time.Millisecond, "distance of the moments of a start that signals are sent at")

const (
	// lifeStart is the time of the start that the signals cover.
	lifeStart = 60 * time.Millisecond
	// absentStore is an address at which nothing listens.
	absentStore = "127.0.0.1:9"
	// lifeRouter is the index of the first router of these tests; it differs from those of all other tests.
	lifeRouter = 100
)

// edgeProcess is a router without a store.
type edgeProcess struct {
	t        *testing.T
	cmd      *exec.Cmd
	index    int
	settings string
	exited   chan error
}

// newEdgeProcess prepares a process with the given addresses' index and shutdown grace in seconds.
func newEdgeProcess(t *testing.T, binary string, index int, grace float64) *edgeProcess {
	p := &edgeProcess{t: t, index: lifeRouter + index, settings: filepath.Join(t.TempDir(), "settings.json"), exited: make(chan error, 1)}
	p.writeSettings(grace)
	p.cmd = exec.Command(binary, "edge")
	p.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settings)
	return p
}

// writeSettings replaces the settings file.
func (p *edgeProcess) writeSettings(grace float64) {
	p.t.Helper()
	text := fakes.Settings("vm-1", routerAddr(p.index, callerPort), routerAddr(p.index, readyPort), absentStore, routerAddr(p.index, peerPort), grace)
	next := p.settings + ".new"
	if err := errors.Join(os.WriteFile(next, []byte(text), 0o600), os.Rename(next, p.settings)); err != nil {
		p.t.Fatal(err)
	}
}

func (p *edgeProcess) start() {
	p.t.Helper()
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		p.exited <- p.cmd.Wait()
		close(ended)
	}()
	p.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-ended // The next test may use the same address.
	})
}

// waitHandled waits until a signal is in one of the sets of the process that the kernel names: the time before belongs to the loader.
func (p *edgeProcess) waitHandled(s syscall.Signal, sets ...string) {
	p.t.Helper()
	for deadline := time.Now().Add(startTimeout); !p.handles(s, sets); {
		if time.Now().After(deadline) {
			p.t.Fatal("the process has no handlers of signals")
		}
	}
}

// handles reports whether a signal is in one of the sets of the process that the kernel names.
func (p *edgeProcess) handles(s syscall.Signal, sets []string) bool {
	if !p.loaded() {
		return false
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return true // The process has ended, which the test sees.
	}
	for line := range strings.Lines(string(status)) {
		key, value, _ := strings.Cut(line, ":")
		if !slices.Contains(sets, key) {
			continue
		}
		set, err := strconv.ParseUint(strings.TrimSpace(value), 16, 64)
		if err == nil && set&(1<<(s-1)) != 0 {
			return true
		}
	}
	return false
}

// loaded reports whether the process runs the program; before, it is a copy of the test.
func (p *edgeProcess) loaded() bool {
	name, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", p.cmd.Process.Pid))
	return err != nil || name == p.cmd.Path
}

func (p *edgeProcess) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// metric returns the value of a metric without labels, or an empty string.
func (p *edgeProcess) metric(name string) string {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + routerAddr(p.index, readyPort) + "/metrics")
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), "geraniumsaddle_edge_"+name+" "); ok {
			return value
		}
	}
	return ""
}

// waitServing waits until the process answers readiness checks, and fails if it ends before.
func (p *edgeProcess) waitServing() {
	p.t.Helper()
	p.waitFor("it serves", func() bool {
		conn, err := net.Dial("tcp", routerAddr(p.index, readyPort))
		return err == nil && conn.Close() == nil
	})
}

// waitFor waits for a condition, and fails if the process ends before.
func (p *edgeProcess) waitFor(what string, done func() bool) {
	p.t.Helper()
	for deadline := time.Now().Add(startTimeout); !done(); time.Sleep(time.Millisecond) {
		select {
		case err := <-p.exited:
			p.t.Fatalf("the process ended before %s: %v", what, err)
		default:
		}
		if time.Now().After(deadline) {
			p.t.Fatalf("timeout before %s", what)
		}
	}
}

// waitStatus returns the exit status, or -1 if a signal ended the process.
func (p *edgeProcess) waitStatus() int {
	p.t.Helper()
	select {
	case <-p.exited:
	case <-time.After(startTimeout):
		p.t.Fatal("the process did not end")
	}
	return p.cmd.ProcessState.ExitCode()
}

// series sends a signal every millisecond until the process has ended.
func (p *edgeProcess) series(s syscall.Signal) int {
	p.t.Helper()
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		select {
		case <-p.exited:
			return p.cmd.ProcessState.ExitCode()
		default:
			p.signal(s)
		}
	}
	p.t.Fatal("the process did not end")
	return 0
}

// fullPipe returns a pipe without room. Nothing reads it.
func fullPipe(t *testing.T) (r, w *os.File) {
	t.Helper()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = r.Close(), w.Close() })
	if err := w.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	for err == nil {
		_, err = w.Write(make([]byte, 4096))
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
	return r, w
}

// TestHangupDuringStart guards against a start that SIGHUP ends, and against changed settings that are lost by it.
func TestHangupDuringStart(t *testing.T) {
	is := is.New(t)
	binary := buildRouter(t)
	for _, threads := range []string{"1", ""} {
		for at := time.Duration(0); at <= lifeStart; at += *lifeStep {
			p := newEdgeProcess(t, binary, 0, 1)
			p.cmd.Env = append(p.cmd.Env, "GOMAXPROCS="+threads)
			p.start()
			p.waitHandled(syscall.SIGHUP, "SigIgn", "SigCgt")
			time.Sleep(at)
			for range 3 {
				p.signal(syscall.SIGHUP)
				time.Sleep(time.Millisecond)
			}
			p.writeSettings(7)
			p.signal(syscall.SIGHUP)
			p.waitFor(fmt.Sprintf("settings that changed %v after the start are in force", at), func() bool {
				return p.metric("shutdown_grace_seconds") == "7"
			})
			p.signal(syscall.SIGKILL)
			is.Equal(p.waitStatus(), -1)
		}
	}
}

// TestTermDuringStart guards against a start that SIGTERM ends with another status than 0.
func TestTermDuringStart(t *testing.T) {
	is := is.New(t)
	binary := buildRouter(t)
	for at := time.Duration(0); at <= lifeStart; at += *lifeStep {
		p := newEdgeProcess(t, binary, 1, 0.2)
		p.start()
		// SIGPIPE is ignored once there are handlers of the other signals.
		p.waitHandled(syscall.SIGPIPE, "SigIgn")
		time.Sleep(at)
		is.Equal(p.series(syscall.SIGTERM), 0)
	}
}

// TestSignalsAcrossStop guards against a stop that a signal ends while nothing reads the log.
func TestSignalsAcrossStop(t *testing.T) {
	binary := buildRouter(t)
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		t.Run(s.String(), func(t *testing.T) {
			is := is.New(t)
			p := newEdgeProcess(t, binary, 2, 1)
			_, p.cmd.Stdout = fullPipe(t)
			p.start()
			p.waitServing()
			p.signal(syscall.SIGTERM)
			is.Equal(p.series(s), 0)
		})
	}
}

// TestLogReaderGoesAway guards against a process that SIGPIPE ends, and against lost lines that are not counted.
func TestLogReaderGoesAway(t *testing.T) {
	is := is.New(t)
	p := newEdgeProcess(t, buildRouter(t), 3, 1)
	r, w, err := os.Pipe()
	is.NoErr(err)
	p.cmd.Stdout = w
	p.start()
	p.waitServing()
	is.NoErr(errors.Join(r.Close(), w.Close()))
	p.signal(syscall.SIGHUP)
	p.waitFor("lost lines are counted", func() bool {
		lost := p.metric("log_lines_lost_total")
		return lost != "" && lost != "0"
	})
	p.signal(syscall.SIGTERM)
	is.Equal(p.waitStatus(), 0)
}

// TestBusyPortIsWaitedFor guards against a start that ends because a predecessor still holds a port.
func TestBusyPortIsWaitedFor(t *testing.T) {
	binary := buildRouter(t)
	for name, port := range map[string]int{"callers": callerPort, "readiness": readyPort} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newEdgeProcess(t, binary, 4, 10)
			held, err := net.Listen("tcp", routerAddr(p.index, port))
			is.NoErr(err)
			p.waitBusy()
			is.NoErr(held.Close())
			p.waitServing()
		})
	}
}

// TestBusyPortAndTerm guards against a stop that has to wait for a port, or that reports the port as a failure.
func TestBusyPortAndTerm(t *testing.T) {
	is := is.New(t)
	p := newEdgeProcess(t, buildRouter(t), 5, 3600)
	held, err := net.Listen("tcp", routerAddr(p.index, callerPort))
	is.NoErr(err)
	defer func() { _ = held.Close() }()
	p.waitBusy()
	p.signal(syscall.SIGTERM)
	is.Equal(p.waitStatus(), 0)
}

// TestPortThatStaysBusy guards against a process that waits for a port without end, and against an error without its address.
func TestPortThatStaysBusy(t *testing.T) {
	is := is.New(t)
	p := newEdgeProcess(t, buildRouter(t), 6, 0.2)
	held, err := net.Listen("tcp", routerAddr(p.index, callerPort))
	is.NoErr(err)
	defer func() { _ = held.Close() }()
	var stderr bytes.Buffer
	p.cmd.Stderr = &stderr
	p.waitBusy()
	is.Equal(p.waitStatus(), 1)
	is.True(strings.Contains(stderr.String(), routerAddr(p.index, callerPort)))
}

// waitBusy starts the process and waits for the line that says that a port is busy.
func (p *edgeProcess) waitBusy() {
	p.t.Helper()
	r, w, err := os.Pipe()
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = r.Close() })
	p.cmd.Stdout = w
	p.start()
	_ = w.Close()
	for lines := bufio.NewScanner(r); lines.Scan(); {
		if strings.Contains(lines.Text(), "address is busy") {
			go func() { _, _ = io.Copy(io.Discard, r) }()
			return
		}
	}
	p.t.Fatal("no line about the busy port: ", <-p.exited)
}

// TestStopEndsRouters guards against a soak that a signal stops and whose routers run on.
func TestStopEndsRouters(t *testing.T) {
	binary := buildRouter(t)
	soak := filepath.Join(t.TempDir(), "soak")
	if out, err := exec.Command("go", "build", "-o", soak, "geraniumsaddle/cmd/soak").CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	for _, s := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP} {
		t.Run(s.String(), func(t *testing.T) {
			is := is.New(t)
			cmd := exec.Command(soak, "-binary", binary, "-length", "1m", "-routers", "1", "-dir", t.TempDir())
			is.NoErr(cmd.Start())
			p := &edgeProcess{t: t, cmd: cmd, exited: make(chan error, 1)}
			go func() { p.exited <- cmd.Wait() }()
			t.Cleanup(func() { _ = cmd.Process.Kill() })
			serves := func() bool {
				conn, err := net.Dial("tcp", routerAddrOf(cmd.Process.Pid, 0, readyPort))
				return err == nil && conn.Close() == nil
			}
			p.waitFor("its router serves", serves)
			p.signal(s)
			is.Equal(p.waitStatus(), 1)
			is.True(!serves())
		})
	}
}
