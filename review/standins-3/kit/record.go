//go:build review

package kit

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"sync"
	"time"
)

// The exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Record is the file that says what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
	w     *bufio.Writer
}

// Printf writes a line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.3f  ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.w, format+"\n", args...)
}

// Main runs a case. It returns whether the rule was broken, or an error if the case couldn't run.
func Main(run func(rec *Record, trouble bool) (broken bool, err error)) {
	path := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	file, err := os.Create(*path)
	if err != nil {
		fmt.Println(err)
		os.Exit(ExitNotRun)
	}
	rec := &Record{start: time.Now(), file: file, w: bufio.NewWriter(file)}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.Printf("disruption: %v", trouble)
	broken, err := run(rec, trouble)
	code := ExitHeld
	switch {
	case err != nil:
		rec.Printf("the case couldn't run: %v", err)
		fmt.Println("the case couldn't run:", err)
		code = ExitNotRun
	case broken:
		rec.Printf("RESULT: the rule was broken")
		fmt.Println("the rule was broken")
		code = ExitBroken
	default:
		rec.Printf("RESULT: the rule held")
		fmt.Println("the rule held")
	}
	if err := rec.w.Flush(); err != nil {
		fmt.Println(err)
		code = ExitNotRun
	}
	os.Exit(code)
}
