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
	args         []string

	mu  sync.Mutex
	cmd *exec.Cmd // the running process, or nil
}

// The ports of a router. Each router has a loopback address of its own. With free ports of 127.0.0.1, another program
// could take a port between its choice and its use.
const (
	callerPort = 7001
	readyPort  = 7002
	peerPort   = 7003
)

// routerAddr returns the address of a port of a router. The IP address is derived from the process id and the index.
func routerAddr(index, port int) string { return routerAddrOf(os.Getpid(), index, port) }

// routerAddrOf returns the address of a port of a router that another run has started.
func routerAddrOf(pid, index, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid/256%250, pid%256, index+1, port)
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
	settings := fakes.Settings(r.name, r.callerAddr, r.readyAddr, r.storeProxy.addr(), routerAddr(index, peerPort), graceSeconds)
	return r, os.WriteFile(r.settingsFile, []byte(settings), 0o600)
}

// start starts the process unless it is running.
func (r *router) start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(r.logDir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(r.binary, r.args...)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+r.settingsFile)
	cmd.Stdout, cmd.Stderr = log, log
	// The kernel kills the router when this process dies.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	r.cmd = cmd
	go func() {
		_ = cmd.Wait() // Wait returns an error if a signal ended the process.
		_ = log.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.cmd == cmd {
			r.cmd = nil
		}
	}()
	return nil
}

func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != nil {
		_ = r.cmd.Process.Signal(s)
	}
}

// waitExit waits until the process has ended, and kills it after the grace period.
func (r *router) waitExit() {
	for deadline := time.Now().Add(graceSeconds * time.Second); r.running(); {
		if time.Now().After(deadline) {
			r.signal(syscall.SIGKILL)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (r *router) running() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cmd != nil
}

func (r *router) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + r.readyAddr + "/readyz")
	return err == nil && resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}
