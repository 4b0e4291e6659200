package cmds

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/io/flags"
	"geraniumsaddle/platform"
	"geraniumsaddle/platform/fakes"
)

// processLoopbackAddr returns a loopback address derived from the process ID, so that tests that run at the same time
// do not use the same one.
func processLoopbackAddr() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:7002", 1+pid/65536%250, pid/256%256, 1+pid%255)
}

// TestRunsOnAfterSIGHUP guards against a router that exits at SIGHUP. SIGHUP announces changed settings, and without a
// handler it terminates a process.
func TestRunsOnAfterSIGHUP(t *testing.T) {
	is := is.New(t)
	store := fakes.NewStore(10)
	srv := httptest.NewServer(store)
	defer srv.Close()
	defer store.Close()
	store.Put("config", "main", `{"version":1}`)
	ready := processLoopbackAddr()
	path := filepath.Join(t.TempDir(), "settings.json")
	writeSettings := func(graceS float64) {
		text := fmt.Sprintf(`{"node":"vm-1","listen":{"front":"127.0.0.1:0","ready":%q},"provider":{"address":%q},
			"bounds":{"grace_s":%g,"budget_window_s":10}}`, ready, srv.Listener.Addr().String(), graceS)
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	}
	writeSettings(60)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- runEdge(ctx, flags.Edge{SettingsFile: path, LogLevel: "error"}) }()
	isReady := func() bool {
		resp, err := http.Get("http://" + ready + "/readyz")
		return err == nil && resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
	}
	for !isReady() {
		time.Sleep(5 * time.Millisecond)
	}
	writeSettings(0.8)
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	is.True(isReady())
	cancel()
	is.NoErr(<-done)
}

// reloadRecorder receives the settings of each Reload call.
type reloadRecorder chan platform.Settings

func (r reloadRecorder) Reload(cfg platform.Settings) { r <- cfg }

// lineRecorder receives the lines of a log.
type lineRecorder chan string

func (r lineRecorder) Write(line []byte) (int, error) {
	r <- string(line)
	return len(line), nil
}

// TestReloadOnSignal guards against changed settings that are not reloaded, and against an invalid file that replaces
// the current settings.
func TestReloadOnSignal(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	got := make(reloadRecorder, 1)
	hangups := make(chan os.Signal)
	done := make(chan struct{})
	defer close(done)
	failed := make(lineRecorder, 1)
	go reloadOnSignal(hangups, done, path, got, slog.New(slog.NewJSONHandler(failed, nil)))
	is.NoErr(os.WriteFile(path, []byte("garbled"), 0o600))
	hangups <- syscall.SIGHUP
	is.True(strings.Contains(<-failed, "cannot read the changed settings"))
	is.NoErr(os.WriteFile(path, []byte(`{"node":"a","listen":{"front":"b","ready":"c"},"provider":{"address":"d"}}`), 0o600))
	is.Equal((<-got).VM, "a") // The signal that came before the file was whole is not lost.
	is.NoErr(os.WriteFile(path, []byte(`{"node":"b","listen":{"front":"b","ready":"c"},"provider":{"address":"d"}}`), 0o600))
	hangups <- syscall.SIGHUP
	is.Equal((<-got).VM, "b")
}
