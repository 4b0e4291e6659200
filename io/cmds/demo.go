package cmds

import (
	"errors"
	"fmt"
	"io"
	"log/slog"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"geraniumsaddle/core/object"
	"geraniumsaddle/io/demo"
)

// errTourFailed reports that a step or an invariant of the scripted tour failed. The JSON lines of the tour have
// details.
var errTourFailed = errors.New("the tour failed")

// demoSettings are the settings of the demo command.
type demoSettings struct {
	demo.Config
	once     bool
	logLevel string
}

// maxDemoRouters limits the load of the demo on its machine, because all routers run in one process.
const maxDemoRouters = 32

// Validate returns all faults of the settings.
func (s *demoSettings) Validate() object.Faults {
	var f object.Faults
	if s.Routers < 1 || s.Routers > maxDemoRouters {
		f = append(f, object.Fault{Path: "--routers", Message: fmt.Sprintf("must be between 1 and %d", maxDemoRouters)})
	}
	if s.OperatorToken == "" {
		f = append(f, object.Fault{Path: "--operator-token", Message: "must not be empty"})
	}
	var l slog.Level
	if l.UnmarshalText([]byte(s.logLevel)) != nil {
		f = append(f, object.Fault{Path: "--log-level", Message: "must be debug, info, warn or error"})
	}
	return f
}

func newDemo() *cobra.Command {
	var s demoSettings
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a fleet of routers and its stand-ins in one process on loopback until interrupted",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := loadSettings(cmd, &s); err != nil {
				return err
			}
			return runDemo(cmd, &s)
		},
	}
	f := cmd.Flags()
	f.IntVar(&s.Routers, "routers", 3, "number of routers, two in each failure domain")
	f.StringVar(&s.CallerAddr, "caller-addr", "127.0.0.1:8080", "TCP address of the first router for callers; the other routers use the following ports")
	f.StringVar(&s.AdminAddr, "admin-addr", "127.0.0.1:8090", "TCP address of the first router for operators")
	f.StringVar(&s.OperatorToken, "operator-token", "demo-operator", "token of the operator")
	f.DurationVar(&s.TokenInterval, "token-interval", 0, "time between two tokens of a request at an engine")
	f.BoolVar(&s.once, "once", false, "run the scripted tour and exit")
	f.StringVar(&s.logLevel, "log-level", "error", "minimum log level: debug, info, warn or error")
	return cmd
}

func runDemo(cmd *cobra.Command, s *demoSettings) error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.logLevel)); err != nil {
		return err
	}
	s.Log = slog.New(slog.NewJSONHandler(cmd.ErrOrStderr(), &slog.HandlerOptions{Level: level}))
	s.Clock = clockwork.NewRealClock()
	if s.once {
		return runTour(cmd, s)
	}
	f, err := demo.Start(s.Config)
	if err != nil {
		return err
	}
	defer f.Stop()
	printEndpoints(cmd.OutOrStdout(), f, s)
	<-cmd.Context().Done()
	return nil
}

func runTour(cmd *cobra.Command, s *demoSettings) error {
	f, err := demo.Start(s.Config)
	if err != nil {
		return err
	}
	defer f.Stop()
	if !f.Tour(cmd.Context(), cmd.OutOrStdout()) {
		return errTourFailed
	}
	return nil
}

// printEndpoints prints the addresses of the demo and an example call.
func printEndpoints(w io.Writer, f *demo.Fleet, s *demoSettings) {
	for _, r := range f.Routers {
		_, _ = fmt.Fprintf(w, "%s (failure domain %s): http://%s\n", r.Name, r.Domain, r.Node.CallerAddr())
	}
	_, _ = fmt.Fprintf(w, "administration: http://%s, operator token %s\n", f.Routers[0].Node.AdminAddr(), s.OperatorToken)
	_, _ = fmt.Fprintf(w, "try: curl -s http://%s/v1/chat/completions -H 'Authorization: Bearer demo-key' "+
		"-d '{\"model\":\"demo-chat\",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}],\"max_tokens\":20}'\n", f.Routers[0].Node.CallerAddr())
}
