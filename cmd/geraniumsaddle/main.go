// Command geraniumsaddle is a request router for model engines and plain HTTP services that enforces prepaid token
// budgets. Its subcommands also include the operators' client, key management, and stand-ins for tests and demos.
package main

import (
	"os"

	"geraniumsaddle/io/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
