package flags

import (
	"time"

	"github.com/spf13/pflag"

	"geraniumsaddle/core/object"
)

// Admin holds the settings of the admin command, a client of the administration API.
type Admin struct {
	URL           string
	OperatorToken string
	Output        string
	Timeout       time.Duration
}

// Values of Admin.Output.
const (
	OutputTable = "table"
	OutputJSON  = "json"
)

// BindAdmin adds the flags of the admin command to fs.
func BindAdmin(fs *pflag.FlagSet, a *Admin) {
	fs.StringVar(&a.URL, "admin-url", "http://127.0.0.1:8090", "base URL of a router's admin address")
	fs.StringVar(&a.OperatorToken, "operator-token", "", "secret token of the operator; prefer the environment variable, because other users can read command lines")
	fs.StringVar(&a.Output, "output", OutputTable, "output format: table or json")
	fs.DurationVar(&a.Timeout, "admin-timeout", 30*time.Second, "timeout of one call")
	markSecret(fs, "operator-token")
}

// Validate returns all faults of the settings.
func (a *Admin) Validate() object.Faults {
	var c validator
	c.url("admin-url", a.URL)
	c.require(a.OperatorToken != "", "operator-token", "is required")
	c.require(a.Output == OutputTable || a.Output == OutputJSON, "output", "must be table or json")
	c.durationBetween("admin-timeout", a.Timeout, 100*time.Millisecond, 10*time.Minute)
	return c.faults
}
