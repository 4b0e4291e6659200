package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/admin"
	"geraniumsaddle/io/store"
)

const (
	startTimeout = 10 * time.Second
	stopTimeout  = 5 * time.Second
	budgetTokens = ident.Tokens(1) << 40
	callerKey    = "load-key"
	// engineCapacity is the number of requests that an engine holds at once. It is large, so that the engines do not limit
	// the router, which is what is measured.
	engineCapacity = 8192
)

// process is a started program.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	// addrs are the addresses that the program printed, by their JSON key.
	addrs map[string]string
}

func (p *process) pid() int { return p.cmd.Process.Pid }

// fleet is a set of processes: the platform, engines and one router.
type fleet struct {
	processes   []*process
	router      *process
	engines     []*process
	bulkEngines []*process
}

// fleetConfig describes a fleet.
type fleetConfig struct {
	Binary   string
	Engines  int
	Interval time.Duration // between two tokens of an engine
	Tokens   int           // per answer
	// BulkEngines is the number of additional engines, which serve modelBulk and do not wait between tokens.
	BulkEngines     int
	BulkTokens      int
	SlowReaderAfter time.Duration
	RouterArgs      []string
	Log             *os.File
}

// startFleet starts the processes and writes the objects that the router needs. After an error it stops the processes
// that it has started; otherwise the caller has to call stop.
func startFleet(ctx context.Context, cfg fleetConfig) (*fleet, error) {
	f := new(fleet)
	err := f.start(ctx, cfg)
	if err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context, cfg fleetConfig) error {
	platform, err := f.startProcess(cfg, cfg.Binary, "platform", "--addr", "127.0.0.1:0")
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	for range cfg.Engines {
		e, err := f.startProcess(cfg, self, "--serve-engine", "--interval", cfg.Interval.String(), "--tokens", strconv.Itoa(cfg.Tokens))
		if err != nil {
			return err
		}
		f.engines = append(f.engines, e)
	}
	for range cfg.BulkEngines {
		e, err := f.startProcess(cfg, self, "--serve-engine", "--tokens", strconv.Itoa(cfg.BulkTokens))
		if err != nil {
			return err
		}
		f.bulkEngines = append(f.bulkEngines, e)
	}
	url := "http://" + platform.addrs["addr"]
	if err := f.writeObjects(ctx, url); err != nil {
		return err
	}
	args := []string{"router", "--name", "r1", "--domain", "d1", "--platform-url", url, "--caller-addr", "127.0.0.1:0",
		"--admin-addr", "127.0.0.1:0", "--org-stream-bytes", "536870912", "--slow-reader-after", cfg.SlowReaderAfter.String(),
		"--operation-key", "operation-key-of-the-load"}
	if f.router, err = f.startProcess(cfg, cfg.Binary, append(args, cfg.RouterArgs...)...); err != nil {
		return err
	}
	return f.waitReady(ctx)
}

// waitReady waits until the router answers for the models that the engines serve.
func (f *fleet) waitReady(ctx context.Context) error {
	models := []ident.ModelID{modelPaced}
	if len(f.bulkEngines) > 0 {
		models = append(models, modelBulk)
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, m := range models {
		for f.probe(m) != nil {
			if err := sleep(ctx, 50*time.Millisecond); err != nil {
				return fmt.Errorf("router does not answer for model %s", m)
			}
		}
	}
	return nil
}

// probe requests an answer of one token from the router.
func (f *fleet) probe(m ident.ModelID) error {
	c, err := dial(f.router.addrs["caller_addr"], false, "probe")
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	c.model = m
	_, err = c.stream(1, nil)
	return err
}

// startProcess starts a program and reads its addresses from the line of JSON that it prints first.
func (f *fleet) startProcess(cfg fleetConfig, path string, args ...string) (*process, error) {
	p := &process{cmd: exec.Command(path, args...), done: make(chan struct{})}
	p.cmd.Stderr = cfg.Log
	// The kernel kills the child when this process dies, so that no child outlives it.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	f.processes = append(f.processes, p)
	scanner := bufio.NewScanner(stdout)
	firstLine := make(chan []byte, 1)
	go func() {
		if scanner.Scan() {
			firstLine <- []byte(scanner.Text())
		}
		for scanner.Scan() {
			continue
		}
		_ = p.cmd.Wait()
		close(p.done)
	}()
	select {
	case line := <-firstLine:
		return p, json.Unmarshal(line, &p.addrs)
	case <-p.done:
		return nil, fmt.Errorf("%s %v exited before it printed its addresses", path, args)
	case <-time.After(startTimeout):
		return nil, fmt.Errorf("%s %v did not print its addresses in time", path, args)
	}
}

// stop kills all processes and waits for their exit for up to stopTimeout each.
func (f *fleet) stop() {
	for _, p := range f.processes {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range f.processes {
		select {
		case <-p.done:
		case <-time.After(stopTimeout):
		}
	}
}

// writeObjects writes an organisation with a large budget, the versions of both models, and the engines as targets.
func (f *fleet) writeObjects(ctx context.Context, url string) error {
	client, err := store.New(store.Config{URL: url}, clockwork.NewRealClock())
	if err != nil {
		return err
	}
	objects := []object.Value{
		object.Organisation{Format: 1, ID: "load", Name: "Load", Class: "chat", Budgets: []ident.BudgetID{"load"},
			Keys: []object.APIKey{{ID: "key-1", SHA256: admin.HashSecret(callerKey)}}},
		object.Budget{Format: 1, ID: "load", Org: "load"},
		object.Version{Format: 1, ID: "paced-v1", Model: modelPaced, Serving: true},
		object.Version{Format: 1, ID: "bulk-v1", Model: modelBulk, Serving: true},
	}
	objects = append(objects, engineTargets("paced", f.engines)...)
	objects = append(objects, engineTargets("bulk", f.bulkEngines)...)
	for _, o := range objects {
		raw, err := json.Marshal(o)
		if err != nil {
			return err
		}
		if _, err := client.PutResolved(ctx, o.Key(), raw, store.Any()); err != nil {
			return err
		}
	}
	entry := escrow.Entry{ID: escrow.BudgetEntryID("load")}
	if _, err := entry.ApplyOp(escrow.Op{ID: "seed", Kind: escrow.OpTopUp, Tokens: budgetTokens}); err != nil {
		return err
	}
	raw, err := escrow.NewShard().With(entry).Encode()
	if err != nil {
		return err
	}
	_, err = client.PutResolved(ctx, escrow.LedgerKey(entry.ID), raw, store.Any())
	return err
}

// The models of the engines with and without an interval between tokens.
const (
	modelPaced = ident.ModelID("paced")
	modelBulk  = ident.ModelID("bulk")
)

// engineTargets returns the targets for a group of engines, which serve the first version of the group's model.
func engineTargets(group string, engines []*process) []object.Value {
	var out []object.Value
	for i, e := range engines {
		id := fmt.Sprintf("%s-%d", group, i)
		out = append(out, object.Target{Format: 1, ID: ident.TargetID(id), Domain: "d1", VM: ident.VMID("vm-" + id),
			Kind: object.TargetEngine, Versions: []ident.VersionID{ident.VersionID(group + "-v1")}, URL: "http://" + e.addrs["addr"],
			Capacity: engineCapacity, State: object.TargetActive})
	}
	return out
}
