package main_test

import (
	"flag"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"geraniumsaddle/io/cmds"
)

var update = flag.Bool("update", false, "rewrite the golden parts of the scripts")

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"geraniumsaddle": func() { os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestSessions runs whole sessions with the real program in separate processes. Each script says which failure it
// guards against.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Cmds:  commands(),
		Setup: setup,
		// "go test -update" rewrites the golden parts; the change is then reviewed like code.
		UpdateScripts: *update,
	})
}
