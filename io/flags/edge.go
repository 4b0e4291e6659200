package flags

import (
	"log/slog"

	"github.com/spf13/pflag"

	"geraniumsaddle/core/object"
)

// Edge holds the settings of a router on the users' platform. All others stand in the platform's own file.
type Edge struct {
	// SettingsFile is the path of that file.
	SettingsFile string
	LogLevel     string
	// DirectFleet is the number of routers up to which each writes the ledgers itself.
	DirectFleet int
}

// DefaultDirectFleet is where the conflicts of direct writes begin to cost more than the way to a writer.
const DefaultDirectFleet = 16

// BindEdge adds the flags to a flag set.
func BindEdge(fs *pflag.FlagSet, cfg *Edge) {
	fs.StringVar(&cfg.SettingsFile, "settings", "", "settings file that the platform writes")
	fs.StringVar(&cfg.LogLevel, "log-level", "info", "least level of log lines: debug, info, warn or error")
	fs.IntVar(&cfg.DirectFleet, "direct-fleet", DefaultDirectFleet, "routers up to which each writes the ledgers itself")
}

// Validate returns all faults.
func (c *Edge) Validate() object.Faults {
	var faults object.Faults
	if c.SettingsFile == "" {
		faults = append(faults, object.Fault{Path: "settings", Message: "is required"})
	}
	if c.DirectFleet < 1 {
		faults = append(faults, object.Fault{Path: "direct-fleet", Message: "must be at least 1"})
	}
	var l slog.Level
	if err := l.UnmarshalText([]byte(c.LogLevel)); err != nil {
		faults = append(faults, object.Fault{Path: "log-level", Message: "must be debug, info, warn or error"})
	}
	return faults
}

// Level returns the least level of log lines of valid settings.
func (c *Edge) Level() slog.Level { return levelOf(c.LogLevel) }
