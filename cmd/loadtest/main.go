// Command loadtest measures the traffic path of a router. It starts the given program as platform and as router, starts
// fake engines, sends load from its own process, prints one line of JSON for each measurement, and exits.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"geraniumsaddle/io/life"
)

const (
	// answerTokens is the mean length of an answer in the fleet expected in two years: 520,000 tokens/s at 1,500
	// requests/s.
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
		os.Exit(life.ExitFailure)
	}
}

func run() error {
	ctx := life.StopAtHangup(life.Begin())
	var r runner
	binary := flag.String("binary", "", "path of the geraniumsaddle program")
	runs := flag.String("runs", "throughput,copy,latency,slow", "measurements, separated by commas")
	logPath := flag.String("log", os.DevNull, "file for the logs of the started programs")
	args := flag.String("router-flags", "", "additional flags of the router, separated by spaces")
	flag.DurationVar(&r.duration, "duration", 8*time.Second, "duration of each measurement")
	flag.IntVar(&r.workers, "workers", 5200, "concurrent streams of the throughput run with paced tokens")
	flag.IntVar(&r.slowReaderCount, "slow-readers", 10000, "number of callers that stop reading")
	engine := flag.Bool("serve-engine", false, "serve a fake engine; used by the command itself")
	copyTo := flag.String("serve-copy", "", "forward connections to an address; used by the command itself")
	interval := flag.Duration("interval", 0, "time between two tokens of the served engine")
	tokens := flag.Int("tokens", answerTokens, "number of tokens in an answer of the served engine")
	flag.Parse()
	if *engine || *copyTo != "" {
		// A served process holds nothing that has to be finished.
		context.AfterFunc(ctx, func() { os.Exit(life.ExitOK) })
	}
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
	return r.runAll(ctx, strings.Split(*runs, ","))
}

// runAll runs the named measurements and prints a line of JSON for each.
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
