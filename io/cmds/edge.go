package cmds

import (
	"context"
	"log/slog"
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
	"geraniumsaddle/io/life"
	"geraniumsaddle/io/logs"
	"geraniumsaddle/platform"
)

const (
	// memoryLimitFraction is the share of the VM's memory that is set as the Go runtime's soft memory limit.
	memoryLimitFraction = 0.5
	// gcPercent is below Go's default of 100: it trades CPU time for memory, which is scarcer on entry VMs.
	gcPercent = 50
	// maxStoreHeadSize is the maximum size in bytes of the head of a response of the store.
	maxStoreHeadSize = 64 << 10
	// storeTimeout limits one call to the store, which usually takes a few milliseconds.
	storeTimeout = time.Second
	// watchGrace limits how long the answer to a watch may take after the watch's wait time.
	watchGrace = 500 * time.Millisecond
)

func newEdge() *cobra.Command {
	var cfg flags.Edge
	cmd := &cobra.Command{
		Use:   "edge",
		Short: "Run a router on the users' platform until it is interrupted",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := loadSettings(cmd, &cfg); err != nil {
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
		debug.SetMemoryLimit(int64(float64(cfg.MemoryBytes) * memoryLimitFraction))
	}
	out := logs.New(os.Stdout, logs.DefaultQueueSize)
	defer flushLog(out)
	metrics := edge.NewMetrics()
	metrics.CountLostLogLines(out.Lost)
	s := edge.New(cfg, edge.Deps{
		Clock:   clockwork.NewRealClock(),
		Log:     out.Logger(settings.Level()),
		Store:   newPlatformStore(cfg.Store, newStoreTransport()),
		VMClock: edge.NewKernelClock(),
		Metrics: metrics,

		DirectFleet: settings.DirectFleet,
	})
	switch err := s.Listen(ctx); {
	case err != nil && ctx.Err() != nil:
		return nil
	case err != nil:
		return err
	}
	done := make(chan struct{})
	defer close(done)
	go reloadOnSignal(life.Hangups(), done, settings.SettingsFile, s, out.Logger(settings.Level()))
	return s.Run(ctx)
}

// flushLog writes the queued lines, and gives up if nobody reads them.
func flushLog(out *logs.Writer) {
	ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
	defer cancel()
	out.Close(ctx)
}

// reloader applies changed settings.
type reloader interface {
	Reload(platform.Settings)
}

// reloadRetry is the time between two attempts to read changed settings, which may be half written or find no descriptor.
const reloadRetry = 100 * time.Millisecond

// reloadOnSignal reloads the settings file at each signal until done is closed. While the file cannot be read, the current
// settings stay in use.
func reloadOnSignal(hangups <-chan os.Signal, done <-chan struct{}, path string, s reloader, log *slog.Logger) {
	for {
		select {
		case <-done:
			return
		case <-hangups:
		}
		cfg, err := platform.ReadSettings(path)
		if err != nil {
			log.Error("cannot read the changed settings; keeping the current ones and trying again", "error", err)
		}
		for err != nil {
			select {
			case <-done:
				return
			case <-hangups:
			case <-time.After(reloadRetry):
			}
			cfg, err = platform.ReadSettings(path)
		}
		s.Reload(cfg)
	}
}

func newPlatformStore(cfg platform.StoreSettings, transport http.RoundTripper) *platform.Store {
	return platform.NewStore(platform.StoreConfig{
		Addr:       cfg.Addr,
		Timeout:    storeTimeout,
		WatchGrace: watchGrace,
		Transport:  transport,
	})
}

func newStoreTransport() *http.Transport {
	keepAlive := net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}
	dialer := net.Dialer{Timeout: storeTimeout, KeepAliveConfig: keepAlive}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    4,
		IdleConnTimeout:        10 * time.Second,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxStoreHeadSize,
	}
}
