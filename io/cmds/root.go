// Package cmds implements the command line of geraniumsaddle.
package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"geraniumsaddle/core/object"
	"geraniumsaddle/io/flags"
	"geraniumsaddle/io/life"
)

const (
	// messageTimeout limits the time for the message of an error, which nobody may read.
	messageTimeout = 100 * time.Millisecond
	// clientStopTimeout is the time that a command that doesn't serve has to end by itself after a signal.
	clientStopTimeout = time.Second
)

// servesAnnotation marks commands that serve until they are stopped. SIGHUP doesn't stop them.
const servesAnnotation = "serves"

// errFinished is the cause of the end of a command's context if no signal has ended it.
var errFinished = errors.New("the command has finished")

// settingsError holds the faults of settings, flags or arguments. The program exits with life.ExitSettings for it.
type settingsError struct{ faults object.Faults }

// Error lists the faults, one on each line.
func (e *settingsError) Error() string {
	s := "invalid settings:"
	for _, f := range e.faults {
		s += "\n  " + f.Path + ": " + f.Message
	}
	return s
}

// Main runs the command line until it finishes or a signal stops it, and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	return execute(life.Begin(), newRoot(), args, stdout, stderr)
}

// execute runs a command line and returns the exit code.
func execute(ctx context.Context, root *cobra.Command, args []string, stdout, stderr io.Writer) int {
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	ctx, finish := context.WithCancelCause(ctx)
	defer finish(errFinished)
	err := root.ExecuteContext(ctx)
	var settings *settingsError
	switch {
	case err == nil:
		return life.ExitOK
	case errors.As(err, &settings):
		printMessage(stderr, err.Error())
		return life.ExitSettings
	default:
		printMessage(stderr, "error: "+err.Error())
		return life.ExitFailure
	}
}

// printMessage prints a line, and gives up if it blocks.
func printMessage(w io.Writer, message string) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = fmt.Fprintln(w, message)
	}()
	select {
	case <-done:
	case <-time.After(messageTimeout):
	}
}

// serving marks a command that serves until it is stopped.
func serving(cmd *cobra.Command) *cobra.Command {
	cmd.Annotations = map[string]string{servesAnnotation: ""}
	return cmd
}

// stopClient lets signals stop a command that doesn't serve, even if it waits for something else than its context.
func stopClient(cmd *cobra.Command) {
	if _, ok := cmd.Annotations[servesAnnotation]; ok {
		return
	}
	ctx := life.StopAtHangup(cmd.Context())
	cmd.SetContext(ctx)
	context.AfterFunc(ctx, func() {
		if errors.Is(context.Cause(ctx), errFinished) {
			return
		}
		time.Sleep(clientStopTimeout)
		os.Exit(life.ExitFailure)
	})
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "geraniumsaddle",
		Short:         "Router fleet for prepaid token budgets",
		SilenceUsage:  true,
		SilenceErrors: true,

		PersistentPreRun: func(cmd *cobra.Command, _ []string) { stopClient(cmd) },
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return &settingsError{object.Faults{{Path: "command line", Message: err.Error()}}}
	})
	root.AddCommand(
		serving(newRouter()), serving(newPlatform()), serving(newEngine()), serving(newService()), serving(newDemo()), serving(newEdge()),
		newSettings(), newKeys(), newAdmin(), newTrace(), newQuarantine(),
	)
	return root
}

// validator is implemented by the settings of each command.
type validator interface{ Validate() object.Faults }

// loadSettings sets the flags that were not given from the environment and validates all settings.
func loadSettings(cmd *cobra.Command, s validator) error {
	faults := flags.ApplyEnv(cmd.Flags(), os.LookupEnv)
	faults = append(faults, s.Validate()...)
	if len(faults) > 0 {
		return &settingsError{faults}
	}
	return nil
}
