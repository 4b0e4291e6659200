package flags

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/spf13/pflag"
)

const secret = "do-not-print-this"

func parseRouterFlags(args ...string) (*pflag.FlagSet, *Router, error) {
	var r Router
	fs := pflag.NewFlagSet("router", pflag.ContinueOnError)
	fs.SetOutput(io.Discard)
	BindRouter(fs, &r)
	return fs, &r, fs.Parse(args)
}

func fakeEnv(vars ...string) Lookup {
	return func(name string) (string, bool) {
		for _, v := range vars {
			if k, value, _ := strings.Cut(v, "="); k == name {
				return value, true
			}
		}
		return "", false
	}
}

// TestAllFaultsAreReported guards against validation that stops at the first fault, in an environment variable or in a
// value.
func TestAllFaultsAreReported(t *testing.T) {
	is := is.New(t)
	fs, r, err := parseRouterFlags("--caller-addr=localhost:80", "--queue-wait=-1s", "--log-level=loud", "--peers=10.0.0.1:1,x", "--peer-ca-file=ca.pem")
	is.NoErr(err)
	faults := ApplyEnv(fs, fakeEnv("GERANIUMSADDLE_MAX_BODY_BYTES=many", "GERANIUMSADDLE_BUDGET_WAIT=5", "GERANIUMSADDLE_NAME=a b"))
	var paths []string
	for _, f := range append(faults, r.Validate()...) {
		paths = append(paths, f.Path)
	}
	is.Equal(paths, []string{
		"GERANIUMSADDLE_BUDGET_WAIT", "GERANIUMSADDLE_MAX_BODY_BYTES",
		"--name", "--domain", "--vm", "--caller-addr", "--peers", "--platform-url", "--operation-key", "--log-level", "--peer-cert-file", "--queue-wait",
	})
	var a Admin
	a.URL, a.Output, a.Timeout = "nowhere", "xml", time.Hour
	is.Equal(len(a.Validate()), 4)
}

// TestFlagOverridesVariable guards against an environment variable that overrides a flag, including a flag that was set
// to its default value.
func TestFlagOverridesVariable(t *testing.T) {
	is := is.New(t)
	fs, r, err := parseRouterFlags("--name=flag", "--log-level=info", "--peers=10.0.0.1:1")
	is.NoErr(err)
	is.Equal(len(ApplyEnv(fs, fakeEnv("GERANIUMSADDLE_NAME=variable", "GERANIUMSADDLE_LOG_LEVEL=debug",
		"GERANIUMSADDLE_DOMAIN=variable", "GERANIUMSADDLE_PEERS=10.0.0.2:2,10.0.0.3:3"))), 0)
	is.Equal(r.Name, "flag")
	is.Equal(r.LogLevel, "info")
	is.Equal(r.Domain, "variable")
	is.Equal(r.Peers, []string{"10.0.0.1:1"})
}

// TestSecretsAreNotPrinted guards against secrets in faults or in the settings page.
func TestSecretsAreNotPrinted(t *testing.T) {
	is := is.New(t)
	short := secret[:10] // too short for --operation-key, so that it causes a fault
	fs, r, err := parseRouterFlags("--operation-key="+short, "--operator-token="+secret)
	is.NoErr(err)
	var n int
	fs.IntVar(&n, "pin", 0, "a secret that is not a string")
	fs.String("password", secret, "a secret with a default")
	markSecret(fs, "pin")
	markSecret(fs, "password")
	faults := append(ApplyEnv(fs, fakeEnv("GERANIUMSADDLE_PIN="+secret)), r.Validate()...)
	printed := faults.Error() + MarkdownSection("router", fs)
	is.True(strings.Contains(printed, "--operation-key")) // the fault names the flag without its value
	is.True(strings.Contains(printed, "GERANIUMSADDLE_PIN"))
	is.True(!strings.Contains(printed, short))
	is.Equal(strings.Count(MarkdownSection("router", fs), "**secret**"), 4)
}
