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

// Timeouts of a script's commands. They are far longer than a healthy process needs, so that a busy machine does not
// make a script fail.
const (
	startTimeout = 30 * time.Second // process start, one HTTP request, next chunk of a stream
	pollTimeout  = 60 * time.Second // wait for a condition
	pollInterval = 50 * time.Millisecond
)

// session holds what one script has running in the background, by the names that the script uses.
type session struct {
	mu      sync.Mutex
	procs   map[string]*process
	loads   map[string]*load
	streams map[string]*stream
	calls   map[string]*call
}

// process is a program started by a script. done is closed when it has exited.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	log  *os.File
}

type sessionKey struct{}

// setup attaches a new session to a script's environment.
func setup(env *testscript.Env) error {
	s := &session{procs: make(map[string]*process), loads: make(map[string]*load), streams: make(map[string]*stream),
		calls: make(map[string]*call)}
	env.Values[sessionKey{}] = s
	env.Defer(s.stop)
	return nil
}

func sessionOf(ts *testscript.TestScript) *session { return ts.Value(sessionKey{}).(*session) }

// stop cancels the loads and kills the processes that are still running. A stopped process gets SIGCONT first.
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

// commands returns the commands that the scripts can use besides testscript's own.
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

// forwardedEnv lists the script variables that are passed to started programs as environment variables.
var forwardedEnv = []string{"GERANIUMSADDLE_OPERATION_KEY", "GERANIUMSADDLE_PLATFORM_URL", "GERANIUMSADDLE_DOMAIN", "GERANIUMSADDLE_RELEASE_POLICY"}

// cmdStart starts the program in the background and waits until it prints its addresses as a line of JSON. It sets a
// variable for each of them, such as NAME_addr and NAME_caller_addr, and writes the program's log to NAME.log:
// start NAME SUBCOMMAND [ARG]...
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
	// testscript installs each program as a link to the test binary, which selects the program by the link's name.
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
		ts.Fatalf("%s exited before it reported its addresses: %s", name, logExcerpt(ts, name))
	case <-time.After(startTimeout):
		ts.Fatalf("%s did not report its addresses in time", name)
	}
}

// maxExcerptLines limits how much of a log a failure message shows.
const maxExcerptLines = 60

// logExcerpt returns the first lines of a process's log that are not at level debug or info.
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

// programPath finds the program in the script's PATH.
func programPath(ts *testscript.TestScript) (string, error) {
	for _, dir := range strings.Split(ts.Getenv("PATH"), string(os.PathListSeparator)) {
		path := dir + "/geraniumsaddle"
		if _, err := os.Stat(path); err == nil {
			return path, nil
		}
	}
	return "", os.ErrNotExist
}

// setAddrVars sets a variable NAME_KEY for each key of a JSON object.
func setAddrVars(ts *testscript.TestScript, name, line string) {
	var addrs map[string]string
	ts.Check(json.Unmarshal([]byte(line), &addrs))
	for k, v := range addrs {
		ts.Setenv(name+"_"+k, v)
	}
}

// signals maps the names used in scripts to signals.
var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL, "TERM": syscall.SIGTERM, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
}

// cmdSignal sends a signal to a started process. After KILL it waits until the process has exited, after STOP until all
// its threads have stopped: signal NAME KILL|TERM|STOP|CONT.
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	p := sessionOf(ts).procs[args[0]]
	if p == nil {
		ts.Fatalf("no process is named %s", args[0])
	}
	ts.Check(p.cmd.Process.Signal(signals[args[1]]))
	switch args[1] {
	case "KILL":
		<-p.done
	case "STOP":
		waitStopped(ts, p.cmd.Process.Pid)
	}
}

// waitStopped waits until every thread of a process is stopped. SIGSTOP takes effect asynchronously, so a router could
// otherwise still answer a request after the script has gone on.
func waitStopped(ts *testscript.TestScript, pid int) {
	deadline := time.Now().Add(pollTimeout)
	for {
		files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
		ts.Check(err)
		running := 0
		for _, f := range files {
			// The state follows the program's name, which is in parentheses.
			if b, err := os.ReadFile(f); err == nil && !strings.Contains(string(b), ") T ") {
				running++
			}
		}
		if running == 0 {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("process %d did not stop", pid)
		}
		time.Sleep(pollInterval)
	}
}

// cmdExited waits until a process exits and checks that its exit status is 0, or not 0 with "!": exited NAME.
func cmdExited(ts *testscript.TestScript, neg bool, args []string) {
	p := sessionOf(ts).procs[args[0]]
	select {
	case <-p.done:
	case <-time.After(pollTimeout):
		ts.Fatalf("%s did not exit", args[0])
	}
	if ok := p.cmd.ProcessState.Success(); ok == neg {
		ts.Fatalf("%s exited with %s: %s", args[0], p.cmd.ProcessState, logExcerpt(ts, args[0]))
	}
}

// cmdWaitLog waits until the log of a process contains a text: waitlog NAME TEXT.
func cmdWaitLog(ts *testscript.TestScript, _ bool, args []string) {
	deadline := time.Now().Add(pollTimeout)
	for !strings.Contains(ts.ReadFile(args[0]+".log"), args[1]) {
		if time.Now().After(deadline) {
			ts.Fatalf("%s did not log %q: %s", args[0], args[1], logExcerpt(ts, args[0]))
		}
		time.Sleep(pollInterval)
	}
}
