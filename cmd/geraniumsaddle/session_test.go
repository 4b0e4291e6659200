package main_test

import (
	"flag"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"geraniumsaddle/io/cmds"
)

var update = flag.Bool("update", false, "rewrite the golden files in the scripts")

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"geraniumsaddle": func() { os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestSessions runs each script under testdata/script as an end-to-end session against real processes. The comment at
// the head of a script says which failure it guards against.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Cmds:  commands(),
		Setup: setup,
		// "go test -update" rewrites the golden files inside the scripts. Review the diff like code.
		UpdateScripts: *update,
	})
}
