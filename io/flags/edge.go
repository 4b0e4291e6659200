package flags

import (
	"log/slog"

	"github.com/spf13/pflag"

	"geraniumsaddle/core/object"
)

// Edge holds the settings of a router on the users' platform. All others stand in the platform's own file.
type Edge struct {
	// Settings is the path of that file.
	Settings string
	LogLevel string
}

// BindEdge adds the flags to a flag set.
func BindEdge(fs *pflag.FlagSet, cfg *Edge) {
	fs.StringVar(&cfg.Settings, "settings", "", "settings file that the platform writes")
	fs.StringVar(&cfg.LogLevel, "log-level", "info", "least level of log lines: debug, info, warn or error")
}

// Validate returns all faults.
func (c *Edge) Validate() object.Faults {
	var faults object.Faults
	if c.Settings == "" {
		faults = append(faults, object.Fault{Path: "settings", Message: "is required"})
	}
	var l slog.Level
	if err := l.UnmarshalText([]byte(c.LogLevel)); err != nil {
		faults = append(faults, object.Fault{Path: "log-level", Message: "must be debug, info, warn or error"})
	}
	return faults
}

// Level returns the least level of log lines of valid settings.
func (c *Edge) Level() slog.Level { return levelOf(c.LogLevel) }
