// Package cmds holds the command line of geraniumsaddle.
package cmds

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Exit codes of the program.
const (
	exitOK       = 0
	exitFailure  = 1
	exitSettings = 2
)

// ErrSettings marks an error in settings, for which the program exits with 2.
var ErrSettings = errors.New("invalid settings")

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, ErrSettings):
		_, _ = fmt.Fprintln(stderr, err)
		return exitSettings
	default:
		_, _ = fmt.Fprintln(stderr, "error:", err)
		return exitFailure
	}
}

func newRoot() *cobra.Command {
	return &cobra.Command{
		Use:           "geraniumsaddle",
		Short:         "Router fleet for prepaid token budgets",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
}
