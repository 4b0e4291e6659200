package main

import (
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/platform"
	"geraniumsaddle/platform/fakes"
)

// exitStatus and signalStatus return the status of a process that exited or that a signal ended.
func exitStatus(code int) syscall.WaitStatus             { return syscall.WaitStatus(code << 8) }
func signalStatus(sig syscall.Signal) syscall.WaitStatus { return syscall.WaitStatus(sig) }

// TestCheckEnds guards against ends and sizes of processes that the check misses, and against false violations.
func TestCheckEnds(t *testing.T) {
	const limit = 134 << 20
	cases := []struct {
		name   string
		end    processEnd
		broken int
	}{
		{"exit after SIGTERM", processEnd{status: exitStatus(0), terminated: true}, 0},
		{"killed", processEnd{status: signalStatus(syscall.SIGKILL), killed: true}, 0},
		{"killed while it stops", processEnd{status: signalStatus(syscall.SIGKILL), terminated: true, killed: true}, 0},
		{"exit before SIGKILL arrives", processEnd{status: exitStatus(0), terminated: true, killed: true}, 0},
		{"exit without a signal", processEnd{status: exitStatus(0)}, 1},
		{"exit with 1 after SIGTERM", processEnd{status: exitStatus(1), terminated: true}, 1},
		{"SIGTERM that is not handled", processEnd{status: signalStatus(syscall.SIGTERM), terminated: true}, 1},
		{"SIGHUP", processEnd{status: signalStatus(syscall.SIGHUP)}, 1},
		{"SIGHUP during a stop", processEnd{status: signalStatus(syscall.SIGHUP), terminated: true}, 1},
		{"SIGHUP before any handler", processEnd{status: signalStatus(syscall.SIGHUP), early: true}, 0},
		{"SIGTERM before any handler", processEnd{status: signalStatus(syscall.SIGTERM), early: true, terminated: true}, 0},
		{"exit after an early signal", processEnd{status: exitStatus(1), early: true}, 1},
		{"SIGPIPE after an early signal", processEnd{status: signalStatus(syscall.SIGPIPE), early: true}, 1},
		{"SIGKILL by another after an early signal", processEnd{status: signalStatus(syscall.SIGKILL), early: true}, 1},
		{"SIGPIPE before SIGKILL arrives", processEnd{status: signalStatus(syscall.SIGPIPE), killed: true}, 1},
		{"SIGKILL by another", processEnd{status: signalStatus(syscall.SIGKILL)}, 1},
		{"SIGKILL by another during a stop", processEnd{status: signalStatus(syscall.SIGKILL), terminated: true}, 1},
		{"stop beyond the grace period", processEnd{status: signalStatus(syscall.SIGKILL), terminated: true, killed: true, overdue: true}, 1},
		{"full memory", processEnd{status: exitStatus(0), terminated: true, peakMemory: limit}, 0},
		{"too much memory", processEnd{status: exitStatus(0), terminated: true, peakMemory: limit + 1}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(len(checkEnds([]processEnd{c.end}, limit)), c.broken)
		})
	}
}

// TestViolationOfEnd guards against a violation that does not say how, when and after which lines a process ended.
func TestViolationOfEnd(t *testing.T) {
	is := is.New(t)
	end := processEnd{name: "vm-1", status: signalStatus(syscall.SIGHUP), age: 12 * time.Millisecond, lines: []string{"first", "last"}}
	is.Equal(checkEnds([]processEnd{end}, 1), []string{`vm-1 ended by itself: hangup, 12ms after its start, log "first | last"`})
}

// TestCountLost guards against requests that are counted although their process did not end by itself during them, and
// against lost ones that are not counted.
func TestCountLost(t *testing.T) {
	is := is.New(t)
	at := time.Now()
	own := processEnd{callerAddr: "a", at: at, age: 2 * time.Second, status: signalStatus(syscall.SIGHUP)}
	asked := processEnd{callerAddr: "a", at: at, age: 2 * time.Second, status: exitStatus(0), terminated: true}
	lost := outcome{routerAddr: "a", began: at.Add(-time.Second), ended: at.Add(time.Second)}
	is.Equal(countLost([]outcome{lost}, []processEnd{own}), 1)
	is.Equal(countLost([]outcome{lost}, []processEnd{asked}), 0)
	answered, elsewhere, later := lost, lost, lost
	answered.complete = true
	elsewhere.routerAddr = "b"
	later.began = at.Add(time.Millisecond)
	earlier, queued := lost, lost
	earlier.ended = at.Add(-2 * endTolerance)
	queued.began = at.Add(-3 * time.Second) // It waits for whoever listens at the address before the process starts.
	is.Equal(countLost([]outcome{answered, elsewhere, later, earlier, queued}, []processEnd{own}), 0)
}

// TestPeakMemory guards against a wrong unit or field of the kernel's report.
func TestPeakMemory(t *testing.T) {
	is := is.New(t)
	is.Equal(peakMemory([]byte("Name:\tx\nVmPeak:\t  999 kB\nVmHWM:\t   134 kB\nVmRSS:\t  12 kB\n")), int64(134<<10))
	is.Equal(peakMemory([]byte("Name:\tx\nState:\tZ (zombie)\n")), int64(0))
}

// TestHandles guards against a wrong bit or field of the kernel's report.
func TestHandles(t *testing.T) {
	is := is.New(t)
	is.True(handles([]byte("Name:\tx\nSigCgt:\t0000000000000001\n"), syscall.SIGHUP))
	is.True(handles([]byte("Name:\tx\nSigIgn:\t0000000000004000\n"), syscall.SIGTERM))
	is.True(handles([]byte("Name:\tx\nSigBlk:\tffffffffffffffff\n"), syscall.SIGTERM))
	is.True(!handles([]byte("Name:\tx\nSigBlk:\t0\nSigIgn:\t0\nSigCgt:\tfffffffffffffffe\n"), syscall.SIGHUP))
}

// TestLabelOfEnd guards against ends before any handler that are counted with the others.
func TestLabelOfEnd(t *testing.T) {
	is := is.New(t)
	is.Equal(processEnd{status: signalStatus(syscall.SIGHUP)}.label(), "hangup")
	is.Equal(processEnd{status: signalStatus(syscall.SIGHUP), early: true}.label(), "hangup before any handler")
	is.Equal(processEnd{status: signalStatus(syscall.SIGKILL), early: true}.label(), "killed")
	is.Equal(processEnd{status: exitStatus(1), early: true}.label(), "status 1")
}

// TestFileWatch guards against a watch that misses that a file was read, that reports a write, or one that was replaced.
func TestFileWatch(t *testing.T) {
	is := is.New(t)
	r := &router{settingsFile: filepath.Join(t.TempDir(), "settings.json"), storeProxy: &proxy{ln: listener(t)}, peerAddr: "127.0.0.1:1"}
	is.NoErr(r.writeSettings())
	is.Equal(r.watch, nil)
	is.NoErr(r.writeSettings())
	is.True(!r.watch.opened())
	_, err := os.ReadFile(r.settingsFile)
	is.NoErr(err)
	is.True(r.watch.opened())
	is.True(r.watch.opened()) // It stays so.
	is.NoErr(r.writeSettings())
	is.True(!r.watch.opened())
	r.watch.close()
}

// TestSettingsOfStarts guards against settings without the memory, and against versions that are the same.
func TestSettingsOfStarts(t *testing.T) {
	is := is.New(t)
	r := &router{
		name: "vm-0", callerAddr: "127.0.0.1:1", readyAddr: "127.0.0.1:2", settingsFile: filepath.Join(t.TempDir(), "settings.json"),
		storeProxy: &proxy{ln: listener(t)}, peerAddr: "127.0.0.1:3", memoryMB: 134,
	}
	is.NoErr(r.writeSettings())
	first, err := platform.ReadSettings(r.settingsFile)
	is.NoErr(err)
	is.NoErr(r.writeSettings())
	second, err := platform.ReadSettings(r.settingsFile)
	is.NoErr(err)
	r.watch.close()
	is.Equal(first.MemoryBytes, int64(134<<20))
	is.True(first.Bounds != second.Bounds)
}

// TestIgnoredHangup guards against processes that inherit an ignored SIGHUP, as from nohup, and so hide what it does.
func TestIgnoredHangup(t *testing.T) {
	is := is.New(t)
	signal.Ignore(syscall.SIGHUP)
	defer signal.Reset(syscall.SIGHUP)
	p, err := startProcess(exec.Command("sleep", "60"), filepath.Join(t.TempDir(), "log"))
	is.NoErr(err)
	p.signal(syscall.SIGHUP)
	end := p.wait()
	close(p.done)
	is.Equal(end.status.Signal(), syscall.SIGHUP)
}

// TestLogReader guards against a reader that loses the last lines of a process, and against one that holds up its end.
func TestLogReader(t *testing.T) {
	for name, change := range map[string]func(*logReader){"reads": func(*logReader) {}, "stops": (*logReader).stop, "leaves": (*logReader).leave} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, err := startProcess(exec.Command("sleep", "60"), filepath.Join(t.TempDir(), "log"))
			is.NoErr(err)
			change(p.log)
			p.signal(syscall.SIGTERM)
			end := p.wait()
			close(p.done)
			is.True(end.terminated)
			is.Equal(end.status.Signal(), syscall.SIGTERM)
		})
	}
	t.Run("keeps the last lines", func(t *testing.T) {
		is := is.New(t)
		p, err := startProcess(exec.Command("seq", "20"), filepath.Join(t.TempDir(), "log"))
		is.NoErr(err)
		end := p.wait()
		close(p.done)
		is.Equal(strings.Join(end.lines, " "), "16 17 18 19 20")
		is.Equal(end.label(), "status 0")
	})
}

// TestPartialData guards against partial requests that are whole, or that a router refuses for their size alone.
func TestPartialData(t *testing.T) {
	is := is.New(t)
	is.True(!strings.HasSuffix(headLine.data(), "\r\n"))
	is.True(!strings.Contains(headLines.data(), "\r\n\r\n"))
	head, body, whole := strings.Cut(bodyPart.data(), "\r\n\r\n")
	is.True(whole)
	is.True(strings.HasSuffix(head, "Content-Length: 61441"))
	is.Equal(len(body), 61440)
	is.Equal(noBytes.data(), "")
	is.True(strings.Contains(bodyPart.data(), "Host: "+fakes.Host))
}

// listener returns a listener on a free port.
func listener(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}
