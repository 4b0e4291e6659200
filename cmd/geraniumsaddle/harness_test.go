package main_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// startWait and pollWait bound the waits of a script. They are far above what a healthy process needs, so that a busy
// machine does not change the verdict.
const (
	startTimeout = 30 * time.Second
	pollTimeout  = 60 * time.Second
	pollInterval = 50 * time.Millisecond
)

// session holds the processes of one script.
type session struct {
	mu    sync.Mutex
	procs map[string]*process
	loads map[string]*load
	// streams are the background streams by name.
	streams map[string]*stream
	// calls are the background requests by name.
	calls map[string]*call
}

// process is a started program.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	log  *os.File
}

type sessionKey struct{}

func setup(env *testscript.Env) error {
	s := &session{procs: make(map[string]*process), loads: make(map[string]*load), streams: make(map[string]*stream),
		calls: make(map[string]*call)}
	env.Values[sessionKey{}] = s
	env.Defer(s.stop)
	return nil
}

func sessionOf(ts *testscript.TestScript) *session { return ts.Value(sessionKey{}).(*session) }

func (s *session) stop() {
	for _, l := range s.loads {
		l.cancel()
	}
	for _, p := range s.procs {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
		_ = p.log.Close()
	}
}

func commands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	return map[string]func(ts *testscript.TestScript, neg bool, args []string){
		"start":     cmdStart,
		"signal":    cmdSignal,
		"exited":    cmdExited,
		"http":      cmdHTTP,
		"fund":      cmdFund,
		"ledger":    cmdLedger,
		"loadgen":   cmdLoadGen,
		"loadstop":  cmdLoadStop,
		"waitlog":   cmdWaitLog,
		"seed":      cmdSeed,
		"waitload":  cmdWaitLoad,
		"drain":     cmdDrain,
		"billed":    cmdBilled,
		"vm":        cmdVM,
		"stream":    cmdStream,
		"streamend": cmdStreamEnd,
		"runs":      cmdRuns,
		"served":    cmdServed,
		"same":      cmdSame,
		"balance":   cmdBalance,
		"mint":      cmdMint,
		"call":      cmdCall,
		"callend":   cmdCallEnd,
		"admin":     cmdAdmin,
		"race":      cmdRace,
		"createkey": cmdCreateKey,
		"version":   cmdVersion,
		"release":   cmdRelease,
		"outcome":   cmdOutcome,

		"waitrefused": cmdWaitRefused,
		"waittokens":  cmdWaitTokens,
		"clienterror": cmdClientError,
	}
}

// passedOn are the variables of a script that started programs get.
var forwardedEnv = []string{"GERANIUMSADDLE_OPERATION_KEY", "GERANIUMSADDLE_PLATFORM_URL", "GERANIUMSADDLE_DOMAIN", "GERANIUMSADDLE_RELEASE_POLICY"}

// cmdStart starts the program in the background and sets variables from the JSON line that it prints: NAME_addr,
// NAME_caller_addr and so on. Its log is NAME.log.
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	name := args[0]
	exe, err := os.Executable()
	ts.Check(err)
	log, err := os.Create(ts.MkAbs(name + ".log"))
	ts.Check(err)
	cmd := exec.Command(exe, args[1:]...)
	cmd.Args[0] = "geraniumsaddle"
	cmd.Env = append(os.Environ(), "PATH="+ts.Getenv("PATH"))
	for _, name := range forwardedEnv {
		if v := ts.Getenv(name); v != "" {
			cmd.Env = append(cmd.Env, name+"="+v)
		}
	}
	// testscript's programs are links to the test binary that are told apart by their name.
	cmd.Path, err = programPath(ts)
	ts.Check(err)
	cmd.Stderr = log
	cmd.Dir = ts.MkAbs(".")
	out, err := cmd.StdoutPipe()
	ts.Check(err)
	ts.Check(cmd.Start())
	p := &process{cmd: cmd, done: make(chan struct{}), log: log}
	s := sessionOf(ts)
	s.mu.Lock()
	s.procs[name] = p
	s.mu.Unlock()
	lines := bufio.NewScanner(out)
	first := make(chan string, 1)
	go func() {
		if lines.Scan() {
			first <- lines.Text()
		}
		for lines.Scan() {
			continue
		}
		_ = cmd.Wait()
		close(p.done)
	}()
	select {
	case line := <-first:
		setAddrVars(ts, name, line)
	case <-p.done:
		ts.Fatalf("%s ended: %s", name, logExcerpt(ts, name))
	case <-time.After(startTimeout):
		ts.Fatalf("%s did not start", name)
	}
}

// maxExcerpt bounds the lines of a log that a failure shows.
const maxExcerptLines = 60

// excerpt returns what a process logged, without the lines of the levels debug and info.
func logExcerpt(ts *testscript.TestScript, name string) string {
	var out []string
	for _, line := range strings.Split(ts.ReadFile(name+".log"), "\n") {
		if line == "" || strings.Contains(line, `"level":"INFO"`) || strings.Contains(line, `"level":"DEBUG"`) {
			continue
		}
		if out = append(out, line); len(out) == maxExcerptLines {
			break
		}
	}
	return strings.Join(out, "\n")
}

func programPath(ts *testscript.TestScript) (string, error) {
	for _, dir := range strings.Split(ts.Getenv("PATH"), string(os.PathListSeparator)) {
		path := dir + "/geraniumsaddle"
		if _, err := os.Stat(path); err == nil {
			return path, nil
		}
	}
	return "", os.ErrNotExist
}

func setAddrVars(ts *testscript.TestScript, name, line string) {
	var addrs map[string]string
	ts.Check(json.Unmarshal([]byte(line), &addrs))
	for k, v := range addrs {
		ts.Setenv(name+"_"+k, v)
	}
}

// signals are the signals that a script may send.
var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL, "TERM": syscall.SIGTERM, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
}

// cmdSignal sends a signal to a started process: signal NAME KILL.
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	p := sessionOf(ts).procs[args[0]]
	if p == nil {
		ts.Fatalf("no process %s", args[0])
	}
	ts.Check(p.cmd.Process.Signal(signals[args[1]]))
	switch args[1] {
	case "KILL":
		<-p.done
	case "STOP":
		waitStopped(ts, p.cmd.Process.Pid)
	}
}

// waitStopped waits until every thread of a process is stopped. The signal takes effect some time after it is sent, and
// a router could answer in between.
func waitStopped(ts *testscript.TestScript, pid int) {
	deadline := time.Now().Add(pollTimeout)
	for {
		files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
		ts.Check(err)
		running := 0
		for _, f := range files {
			// The state follows the name of the program in parentheses.
			if b, err := os.ReadFile(f); err == nil && !strings.Contains(string(b), ") T ") {
				running++
			}
		}
		if running == 0 {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("process %d does not stop", pid)
		}
		time.Sleep(pollInterval)
	}
}

// cmdExited waits for the end of a process and checks that it was successful, or not with "!".
func cmdExited(ts *testscript.TestScript, neg bool, args []string) {
	p := sessionOf(ts).procs[args[0]]
	select {
	case <-p.done:
	case <-time.After(pollTimeout):
		ts.Fatalf("%s did not end", args[0])
	}
	if ok := p.cmd.ProcessState.Success(); ok == neg {
		ts.Fatalf("%s ended with %s: %s", args[0], p.cmd.ProcessState, logExcerpt(ts, args[0]))
	}
}

// cmdWaitLog waits until the log of a process has a text: waitlog NAME TEXT.
func cmdWaitLog(ts *testscript.TestScript, _ bool, args []string) {
	deadline := time.Now().Add(pollTimeout)
	for !strings.Contains(ts.ReadFile(args[0]+".log"), args[1]) {
		if time.Now().After(deadline) {
			ts.Fatalf("%s did not log %q: %s", args[0], args[1], logExcerpt(ts, args[0]))
		}
		time.Sleep(pollInterval)
	}
}
