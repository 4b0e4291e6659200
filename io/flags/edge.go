package flags

import (
	"log/slog"

	"github.com/spf13/pflag"

	"geraniumsaddle/core/object"
)

// Edge holds the command line settings of a router on the users' platform. All other settings are in the settings file
// that the platform writes.
type Edge struct {
	// SettingsFile is the path of the settings file.
	SettingsFile string
	LogLevel     string
	// DirectFleet is the largest number of routers that each write the ledgers themselves. Routers of a larger fleet
	// send their changes to a writer.
	DirectFleet int
}

// DefaultDirectFleet is the fleet size above which conflicts between direct writes cost more than sending the changes
// to a writer.
const DefaultDirectFleet = 16

// BindEdge adds the flags of a router on the users' platform to fs.
func BindEdge(fs *pflag.FlagSet, cfg *Edge) {
	fs.StringVar(&cfg.SettingsFile, "settings", "", "settings file that the platform writes")
	fs.StringVar(&cfg.LogLevel, "log-level", "info", "minimum log level: debug, info, warn or error")
	fs.IntVar(&cfg.DirectFleet, "direct-fleet", DefaultDirectFleet, "largest number of routers that each write the ledgers themselves")
}

// Validate returns all faults of the settings.
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

// Level returns the log level, or info if the setting is not valid.
func (c *Edge) Level() slog.Level { return parseLevel(c.LogLevel) }
