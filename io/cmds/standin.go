package cmds

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"geraniumsaddle/core/object"
	"geraniumsaddle/io/fakes/engine"
	"geraniumsaddle/io/fakes/plain"
	"geraniumsaddle/io/fakes/store"
	"geraniumsaddle/io/life"
)

// noValidation is a validator for settings that need no validation beyond the types of their flags.
type noValidation struct{}

func (noValidation) Validate() object.Faults { return nil }

// newStandIn returns a command that serves a stand-in until it is interrupted.
func newStandIn(use, short string, addr string, handler func() (http.Handler, func())) *cobra.Command {
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
	}
	cmd.Flags().StringVar(&addr, "addr", addr, "TCP address to serve on")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := loadSettings(cmd, noValidation{}); err != nil {
			return err
		}
		h, stop := handler()
		return serveStandIn(cmd, addr, h, stop)
	}
	return cmd
}

func serveStandIn(cmd *cobra.Command, addr string, h http.Handler, stop func()) error {
	log := slog.New(slog.NewJSONHandler(cmd.ErrOrStderr(), nil))
	w := life.Waiter{Clock: clockwork.NewRealClock(), Log: log, Bound: life.DefaultBusyWait}
	l, err := w.Listen(cmd.Context(), addr)
	switch {
	case err != nil && cmd.Context().Err() != nil:
		return nil
	case err != nil:
		return err
	}
	printMessage(cmd.OutOrStdout(), fmt.Sprintf("{\"addr\":%q}", l.Addr()))
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	context.AfterFunc(cmd.Context(), func() {
		stop()
		_ = srv.Close()
	})
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func newPlatform() *cobra.Command {
	var cfg store.Config
	cmd := newStandIn("platform", "Run the stand-in of the platform", "127.0.0.1:8070", func() (http.Handler, func()) {
		s := store.New(cfg, clockwork.NewRealClock())
		return s, s.Close
	})
	f := cmd.Flags()
	f.Float64Var(&cfg.WritesPerSecond, "writes-per-second", 0, "accepted writes per second; 0 for no limit")
	f.Float64Var(&cfg.ReadsPerSecond, "reads-per-second", 0, "accepted reads per second; 0 for no limit")
	f.Float64Var(&cfg.WeightsPerSecond, "weights-per-second", 0, "accepted weight transfers per second; 0 for no limit")
	f.IntVar(&cfg.History, "history", 0, "number of events kept for the watches of each kind; 0 for the default")
	f.DurationVar(&cfg.VMLag, "vm-lag", 0, "age of the VM list")
	return cmd
}

func newEngine() *cobra.Command {
	var cfg engine.Config
	cmd := newStandIn("engine", "Run the stand-in of a model engine", "127.0.0.1:8100", func() (http.Handler, func()) {
		s := engine.New(cfg, clockwork.NewRealClock())
		return s, s.Close
	})
	f := cmd.Flags()
	f.IntVar(&cfg.Capacity, "capacity", 64, "maximum number of requests held at once, queued or running")
	f.IntVar(&cfg.BatchSize, "batch", 0, "maximum number of requests that run at once; 0 for the capacity")
	f.DurationVar(&cfg.TokenInterval, "token-interval", 0, "time between two tokens of a request")
	f.DurationVar(&cfg.StreamRetention, "keep", 30*time.Second, "how long a stream without readers is kept")
	f.DurationVar(&cfg.LoadLag, "load-lag", 0, "age of load reports")
	f.DurationVar(&cfg.CacheLag, "cache-lag", 0, "age of cache events")
	f.DurationVar(&cfg.LoadTime, "load-time", 0, "time to load a version")
	f.StringSliceVar(&cfg.Versions, "versions", nil, "loaded versions; without any, every version is accepted")
	f.BoolVar(&cfg.ChecksFence, "checks-fence", false, "reject orders with an old fencing number")
	return cmd
}

func newService() *cobra.Command {
	var cfg plain.Config
	cmd := newStandIn("service", "Run the stand-in of a plain service", "127.0.0.1:8200", func() (http.Handler, func()) {
		return plain.New(cfg, clockwork.NewRealClock()), func() {}
	})
	f := cmd.Flags()
	f.IntVar(&cfg.Capacity, "capacity", 64, "maximum number of calls held at once")
	f.IntVar(&cfg.DefaultStock, "stock", 1000, "initial quantity of each item")
	f.DurationVar(&cfg.LoadLag, "load-lag", 0, "age of load reports")
	return cmd
}
