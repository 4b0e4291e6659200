package cmds

import (
	"context"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"geraniumsaddle/core/object"
	"geraniumsaddle/io/edge"
	"geraniumsaddle/io/flags"
	"geraniumsaddle/io/logs"
	"geraniumsaddle/platform"
)

const (
	// memoryPart is the part of the VM's memory that the runtime tries to stay under.
	memoryPart = 0.5
	// gcPercent trades processor time for memory, which is the scarcer of the two on entry VMs.
	gcPercent = 50
	// storeTimeout bounds a call of the store, which usually takes some milliseconds.
	storeTimeout = time.Second
	// watchGrace bounds the answer to a watch after its wait.
	watchGrace = 500 * time.Millisecond
)

func newEdge() *cobra.Command {
	var cfg flags.Edge
	cmd := &cobra.Command{
		Use:   "edge",
		Short: "Run a router on the users' platform until it is interrupted",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := load(cmd, &cfg); err != nil {
				return err
			}
			return runEdge(cmd.Context(), cfg)
		},
	}
	flags.BindEdge(cmd.Flags(), &cfg)
	return cmd
}

func runEdge(ctx context.Context, settings flags.Edge) error {
	cfg, err := platform.ReadSettings(settings.Settings)
	if err != nil {
		return &settingsError{object.Faults{{Path: "settings", Message: err.Error()}}}
	}
	debug.SetGCPercent(gcPercent)
	if cfg.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(cfg.MemoryBytes) * memoryPart))
	}
	out := logs.New(os.Stdout, logs.DefaultQueue)
	defer func() {
		end, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		out.Close(end)
	}()
	s := edge.New(cfg, edge.Deps{
		Clock:   clockwork.NewRealClock(),
		Log:     out.Logger(settings.Level()),
		Store:   newPlatformStore(cfg.Store),
		VM:      edge.NewKernelClock(),
		Metrics: edge.NewMetrics(),
	})
	if err := s.Listen(); err != nil {
		return err
	}
	return s.Run(ctx)
}

func newPlatformStore(cfg platform.StoreSettings) *platform.Store {
	keepAlive := net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}
	dialer := net.Dialer{Timeout: storeTimeout, KeepAliveConfig: keepAlive}
	return platform.NewStore(platform.StoreConfig{
		Addr:    cfg.Addr,
		Timeout: storeTimeout,
		Grace:   watchGrace,
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     10 * time.Second,
			DisableCompression:  true,
		},
	})
}
