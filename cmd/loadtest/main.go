// Command loadtest measures the traffic path of a router: it starts the given program as platform and router with
// stand-ins of engines, sends load from its own process, and prints one JSON line for each run. It ends by itself.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"time"
)

// The sizes of the fleet in two years: 1,500 requests/s and 520,000 tokens/s make 347 tokens for each answer.
const (
	answerTokens        = 347
	throughputInterval  = 10 * time.Millisecond
	copyInterval        = 27 * time.Millisecond
	copyStreams         = 500
	latencyRate         = 300
	latencyAnswerTokens = 32
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "loadtest:", err)
		os.Exit(1)
	}
}

func run() error {
	var r runner
	binary := flag.String("binary", "", "path of the geraniumsaddle program")
	runs := flag.String("runs", "throughput,copy,latency,slow", "runs, separated by commas")
	logPath := flag.String("log", os.DevNull, "file for the logs of the started programs")
	args := flag.String("router-flags", "", "further flags of the router, separated by spaces")
	flag.DurationVar(&r.duration, "duration", 8*time.Second, "time of each measurement")
	flag.IntVar(&r.workers, "workers", 5200, "concurrent streams of the throughput run with paced tokens")
	flag.IntVar(&r.slowReaderCount, "slow-readers", 10000, "callers that stop reading")
	engine := flag.Bool("serve-engine", false, "serve an engine; used by the command itself")
	copyTo := flag.String("serve-copy", "", "copy bytes to an address; used by the command itself")
	interval := flag.Duration("interval", 0, "time between two tokens of a served engine")
	tokens := flag.Int("tokens", answerTokens, "tokens of an answer of a served engine")
	flag.Parse()
	switch {
	case *engine:
		return serveEngine(*interval, *tokens)
	case *copyTo != "":
		return serveCopy(*copyTo)
	case *binary == "":
		return fmt.Errorf("the flag --binary is required")
	}
	log, err := os.OpenFile(*logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	r.binary, r.log, r.routerFlags = *binary, log, strings.Fields(*args)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return r.runAll(ctx, strings.Split(*runs, ","))
}

// all runs the named measurements and prints their lines.
func (r *runner) runAll(ctx context.Context, names []string) error {
	measurements := map[string][]func() (any, error){
		"throughput": {
			func() (any, error) { return r.throughput(ctx, 64, answerTokens, 0) },
			func() (any, error) { return r.throughput(ctx, r.workers, answerTokens, throughputInterval) },
		},
		"copy": {
			func() (any, error) { return r.compareCopy(ctx, copyStreams, answerTokens/2, copyInterval) },
		},
		"latency": {
			func() (any, error) { return r.latency(ctx, latencyRate, latencyAnswerTokens) },
		},
		"slow": {
			func() (any, error) { return r.slowReaders(ctx, r.slowReaderCount) },
		},
	}
	enc := json.NewEncoder(os.Stdout)
	for _, name := range names {
		if measurements[name] == nil {
			return fmt.Errorf("unknown run %q", name)
		}
		for _, measure := range measurements[name] {
			result, err := measure()
			if err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			if err := enc.Encode(result); err != nil {
				return err
			}
		}
	}
	return nil
}
