package cmds

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
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
	cfg, err := platform.ReadSettings(settings.SettingsFile)
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

		DirectFleet: settings.DirectFleet,
	})
	if err := s.Listen(); err != nil {
		return err
	}
	done := make(chan struct{})
	defer close(done)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	go reloadOn(hangups, done, settings.SettingsFile, s, out.Logger(settings.Level()))
	return s.Run(ctx)
}

// reloader takes changed settings.
type reloader interface {
	Reload(platform.Settings)
}

// reloadOn reads the settings file again at each signal. An unreadable file changes nothing.
func reloadOn(hangups <-chan os.Signal, done <-chan struct{}, path string, s reloader, log *slog.Logger) {
	for {
		select {
		case <-done:
			return
		case <-hangups:
		}
		cfg, err := platform.ReadSettings(path)
		if err != nil {
			log.Error("settings cannot be read; the present ones stay", "error", err)
			continue
		}
		s.Reload(cfg)
	}
}

func newPlatformStore(cfg platform.StoreSettings) *platform.Store {
	keepAlive := net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}
	dialer := net.Dialer{Timeout: storeTimeout, KeepAliveConfig: keepAlive}
	return platform.NewStore(platform.StoreConfig{
		Addr:       cfg.Addr,
		Timeout:    storeTimeout,
		WatchGrace: watchGrace,
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     10 * time.Second,
			DisableCompression:  true,
		},
	})
}
