package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"geraniumsaddle/platform"
	"geraniumsaddle/platform/fakes"
)

const (
	// graceSeconds is the time between SIGTERM and SIGKILL.
	graceSeconds = 4
	// prepaidTokens is what organisation org1 has prepaid. It is small enough to be used up in a run.
	prepaidTokens = 60_000
)

// router is one router VM. It keeps its addresses when its process is restarted.
type router struct {
	name         string
	binary       string
	logDir       string
	callerAddr   string
	readyAddr    string
	storeProxy   *proxy
	settingsFile string
	peerAddr     string
	memoryMB     int
	maxFDs       int
	// exitSlack is how long an end may take beyond the grace period, as starts and stops of many processes load the
	// machine.
	exitSlack time.Duration
	args      []string

	// settingsVersion counts the changes of the settings file. watch tells whether the last one was read; it is nil before
	// the first change, as the kernel has few watches for a large fleet.
	settingsVersion int
	watch           *fileWatch

	mu   sync.Mutex
	proc *process // the running process, or nil
	ends []processEnd
}

// The ports of a router. Each router has a loopback address of its own. With free ports of 127.0.0.1, another program
// could take a port between its choice and its use.
const (
	callerPort = 7001
	readyPort  = 7002
	peerPort   = 7003
	// routersPerPort is the number of routers that share ports at different addresses.
	routersPerPort = 250
)

// routerAddr returns the address of a port of a router. The IP address is derived from the process id and the index.
func routerAddr(index, port int) string { return routerAddrOf(os.Getpid(), index, port) }

// routerAddrOf returns the address of a port of a router that another run has started.
func routerAddrOf(pid, index, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid/256%250, pid%256, index%routersPerPort+1, port+10*(index/routersPerPort))
}

func newRouter(cfg config, index int, storeAddr string) (*router, error) {
	r := &router{name: fmt.Sprint("vm-", index), binary: cfg.Binary, logDir: cfg.Dir}
	r.callerAddr = routerAddr(index, callerPort)
	r.readyAddr = routerAddr(index, readyPort)
	r.args = []string{"edge"}
	if cfg.Claims {
		r.args = append(r.args, "--direct-fleet", "1")
	}
	var err error
	if r.storeProxy, err = newProxy(storeAddr); err != nil {
		return nil, err
	}
	r.settingsFile = filepath.Join(cfg.Dir, r.name+".json")
	r.peerAddr, r.memoryMB, r.maxFDs = routerAddr(index, peerPort), cfg.MemoryMB, cfg.MaxFDs
	if cfg.Starts || cfg.Herd {
		r.exitSlack = graceSeconds * time.Second
	}
	return r, r.writeSettings()
}

// writeSettings replaces the settings file by one with another grace period and watches whether it is read.
func (r *router) writeSettings() error {
	grace := graceSeconds + float64(r.settingsVersion)/1000
	r.settingsVersion++
	settings := fakes.Settings(r.name, r.callerAddr, r.readyAddr, r.storeProxy.addr(), r.peerAddr, grace)
	if r.memoryMB > 0 {
		settings = fakes.WithMemory(settings, r.memoryMB)
	}
	if r.maxFDs > 0 {
		settings = fakes.WithDescriptors(settings, r.maxFDs)
	}
	next := r.settingsFile + ".next"
	if err := os.WriteFile(next, []byte(settings), 0o600); err != nil {
		return err
	}
	if r.settingsVersion > 1 {
		if err := r.watchFile(next); err != nil {
			return err
		}
	}
	return os.Rename(next, r.settingsFile)
}

// watchFile watches the next settings file instead of the last one.
func (r *router) watchFile(name string) error {
	w, err := newFileWatch(name)
	if err != nil {
		return err
	}
	if r.watch != nil {
		r.watch.close()
	}
	r.watch = w
	return nil
}

// start starts the process unless it is running. env is added to its environment.
func (r *router) start(env ...string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.proc != nil {
		return nil
	}
	cmd := exec.Command(r.binary, r.args...)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+r.settingsFile)
	cmd.Env = append(cmd.Env, env...)
	p, err := startProcess(cmd, filepath.Join(r.logDir, r.name+".log"))
	if err != nil {
		return err
	}
	r.proc = p
	go r.await(p)
	return nil
}

// await records how the process ends.
func (r *router) await(p *process) {
	end := p.wait()
	end.name, end.callerAddr = r.name, r.callerAddr
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends = append(r.ends, end)
	r.proc = nil
	close(p.done)
}

func (r *router) signal(s syscall.Signal) {
	if p := r.process(); p != nil {
		p.signal(s)
	}
}

// process returns the running process, or nil.
func (r *router) process() *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.proc
}

// waitExit waits until the process has ended, and kills it after the grace period and exitSlack.
func (r *router) waitExit() {
	for deadline := time.Now().Add(graceSeconds*time.Second + r.exitSlack); r.running(); {
		if time.Now().After(deadline) {
			r.kill()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// kill ends a process that has not ended within its grace period.
func (r *router) kill() {
	p := r.process()
	if p == nil {
		return
	}
	p.mu.Lock()
	p.end.overdue = p.end.overdue || p.end.terminated && !p.end.killed
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
}

func (r *router) running() bool { return r.process() != nil }

func (r *router) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + r.readyAddr + "/readyz")
	return err == nil && resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}
