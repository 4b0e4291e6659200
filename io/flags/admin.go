package flags

import (
	"time"

	"github.com/spf13/pflag"

	"geraniumsaddle/core/object"
)

// Admin holds the settings of the operators' commands.
type Admin struct {
	URL           string
	OperatorToken string
	Output        string
	Timeout       time.Duration
}

// The forms of output of the operators' commands.
const (
	OutputTable = "table"
	OutputJSON  = "json"
)

// BindAdmin adds the flags of the operators' commands to fs.
func BindAdmin(fs *pflag.FlagSet, a *Admin) {
	fs.StringVar(&a.URL, "admin-url", "http://127.0.0.1:8090", "base URL of a router's admin address")
	fs.StringVar(&a.OperatorToken, "operator-token", "", "secret token of the operator; prefer the variable, since other users can read a command line")
	fs.StringVar(&a.Output, "output", OutputTable, "form of the output: table or json")
	fs.DurationVar(&a.Timeout, "admin-timeout", 30*time.Second, "longest time for one call")
	markSecret(fs, "operator-token")
}

// Validate returns every fault of the settings.
func (a *Admin) Validate() object.Faults {
	var c check
	c.url("admin-url", a.URL)
	c.that(a.OperatorToken != "", "operator-token", "is required")
	c.that(a.Output == OutputTable || a.Output == OutputJSON, "output", "must be table or json")
	c.span("admin-timeout", a.Timeout, 100*time.Millisecond, 10*time.Minute)
	return c.faults
}
