// Command soak runs real routers of the users' platform as separate processes, injects faults from outside of them, and
// checks what callers and targets see.
//
// The store and the targets are stand-ins inside of this process. Each router reaches the store, and all routers reach
// each target, through a loopback proxy that delays, resets or silences connections or cuts one direction. Routers are
// paused, killed, stopped and started again by signals. The faults follow from the seed; their effect also depends on
// the machine, so that only the verdict is the same each time.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"
)

// config describes one run.
type config struct {
	Binary  string
	Seed    uint64
	Length  time.Duration
	Routers int
	Callers int
	Dir     string
	// Claims makes the routers write the ledgers through one of them, as those of a large fleet do.
	Claims bool
}

// summary is the result of one run.
type summary struct {
	Seed     uint64         `json:"seed"`
	OK       bool           `json:"ok"`
	Requests int            `json:"requests"`
	Answers  map[string]int `json:"answers"`
	Faults   map[string]int `json:"faults"`
	Broken   []string       `json:"broken,omitempty"`
}

func main() {
	var cfg config
	seeds := flag.Int("seeds", 1, "number of seeds, from the first one on")
	flag.StringVar(&cfg.Binary, "binary", "", "program geraniumsaddle")
	flag.Uint64Var(&cfg.Seed, "seed", 1, "first seed")
	flag.DurationVar(&cfg.Length, "length", 10*time.Second, "time of each seed")
	flag.IntVar(&cfg.Routers, "routers", 3, "router processes")
	flag.IntVar(&cfg.Callers, "callers", 8, "callers at once")
	flag.BoolVar(&cfg.Claims, "claims", false, "routers write the ledgers through one of them")
	flag.StringVar(&cfg.Dir, "dir", "", "folder for settings and logs; empty makes one")
	flag.Parse()
	failed := 0
	for range *seeds {
		if !runAndPrint(cfg) {
			failed++
		}
		cfg.Seed++
	}
	if failed > 0 {
		os.Exit(1)
	}
}

// report runs one seed and prints its summary as a line.
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
