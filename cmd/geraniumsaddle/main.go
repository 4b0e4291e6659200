// Command geraniumsaddle routes callers' requests to model engines and plain services and holds prepaid token budgets.
package main

import (
	"os"

	"geraniumsaddle/io/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
