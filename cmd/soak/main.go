// Command soak runs routers of the users' platform as separate processes, injects faults from the outside, and checks
// the responses that callers get and the requests that targets run.
//
// The store and the targets are fakes inside this process. Each router reaches the store, and all routers reach each
// target, through a loopback proxy that can delay data, reset connections, or drop data in one or both directions.
// Signals pause, kill, stop and restart routers. The seed determines the faults, but their effect also depends on the
// timing of the machine: two runs of a seed differ in their counts, but should have the same verdict.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"geraniumsaddle/io/life"
)

// config describes one run.
type config struct {
	Binary  string
	Seed    uint64
	Length  time.Duration
	Routers int
	Callers int
	Dir     string
	// Claims makes the routers write the ledgers through one of them, as the routers of a large fleet do.
	Claims bool
	// Planned restricts the faults to planned work: stops, changes of the settings and of the configuration. Then every
	// request that runs must be answered.
	Planned bool
	// Starts replaces the faults by signals, held ports and lost readers of the log at the starts and stops of routers,
	// beside Partial connections with partial requests at each router, whose VM has MemoryMB of memory (0 for no limit).
	Starts   bool
	Partial  int
	MemoryMB int
	// Rewinds adds returns of the store from an older copy to the faults.
	Rewinds bool
	// MaxFDs is the number of file descriptors of a router's VM (0 for no limit).
	MaxFDs int
	// Herd replaces the faults by one loss of power of all routers.
	Herd bool
	// Stop ends the run early, if it is set.
	Stop <-chan struct{}
}

// summary is the result of one run.
type summary struct {
	Seed     uint64         `json:"seed"`
	OK       bool           `json:"ok"`
	Requests int            `json:"requests"`
	Answers  map[string]int `json:"answers"`
	Faults   map[string]int `json:"faults"`
	// Ends counts how processes ended, OwnEnds those that the soak did not cause, and Lost the requests in progress then.
	Ends    map[string]int `json:"ends,omitempty"`
	OwnEnds int            `json:"own_ends,omitempty"`
	Lost    int            `json:"lost,omitempty"`
	// ReadyMS has the times until all routers of a herd were ready, at the start and after the loss of power.
	ReadyMS []int64 `json:"ready_ms,omitempty"`
	// PeakMB is the largest resident size of a process.
	PeakMB int64    `json:"peak_mb,omitempty"`
	Broken []string `json:"broken,omitempty"`
}

// smallVMMB is the memory of the smallest VM of the platform's sites in megabytes.
const smallVMMB = 134

func main() {
	ctx := life.StopAtHangup(life.Begin())
	cfg := config{Stop: ctx.Done()}
	seeds := flag.Int("seeds", 1, "number of seeds to run, counting up from the first")
	flag.StringVar(&cfg.Binary, "binary", "", "path of the geraniumsaddle program")
	flag.Uint64Var(&cfg.Seed, "seed", 1, "first seed")
	flag.DurationVar(&cfg.Length, "length", 10*time.Second, "duration of the load and faults of each seed")
	flag.IntVar(&cfg.Routers, "routers", 3, "number of routers")
	flag.IntVar(&cfg.Callers, "callers", 8, "number of concurrent callers")
	flag.BoolVar(&cfg.Claims, "claims", false, "routers write the ledgers through one of them")
	flag.BoolVar(&cfg.Planned, "planned", false, "only planned work, beside callers with slow bodies and idle connections")
	flag.BoolVar(&cfg.Starts, "starts", false, "only faults at the starts and stops of routers, beside partial requests")
	flag.IntVar(&cfg.Partial, "partial", 400, "number of connections with partial requests at each router, with -starts")
	flag.BoolVar(&cfg.Herd, "herd", false, "start all routers at once, before and after a loss of power of all of them")
	flag.BoolVar(&cfg.Rewinds, "rewinds", false, "the store also comes back from copies that are up to 10 s old")
	flag.StringVar(&cfg.Dir, "dir", "", "directory for settings and logs; by default, a new one for each seed")
	flag.Parse()
	if cfg.Starts || cfg.Herd {
		cfg.MemoryMB = smallVMMB
	}
	failed := 0
	for range *seeds {
		if ctx.Err() != nil {
			fmt.Fprintln(os.Stderr, "soak: stopped by a signal")
			os.Exit(life.ExitFailure)
		}
		if !runAndPrint(cfg) {
			failed++
		}
		cfg.Seed++
	}
	if failed > 0 {
		os.Exit(life.ExitFailure)
	}
}

// runAndPrint runs one seed, prints its summary as a line of JSON and reports whether the run found no violation.
func runAndPrint(cfg config) bool {
	result, err := run(cfg)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return false
	}
	line, err := json.Marshal(result)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return false
	}
	fmt.Println(string(line))
	return result.OK
}
