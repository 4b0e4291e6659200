package flags

import (
	"fmt"
	"strings"

	"github.com/spf13/pflag"
)

// MarkdownSection returns the settings of a command as a Markdown table. Hidden flags and the help flag are left out. The default
// of a secret is not shown.
func MarkdownSection(command string, fs *pflag.FlagSet) string {
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n\n| flag | variable | type | default | meaning |\n|---|---|---|---|---|\n", command)
	fs.VisitAll(func(f *pflag.Flag) {
		if f.Hidden || f.Name == "help" {
			return
		}
		fmt.Fprintf(&b, "| `--%s` | `%s` | %s | %s | %s |\n", f.Name, EnvName(f.Name), typeOf(f), defaultOf(f), cell(f.Usage))
	})
	return b.String()
}

func typeOf(f *pflag.Flag) string {
	if IsSecret(f) {
		return f.Value.Type() + ", **secret**"
	}
	return f.Value.Type()
}

func defaultOf(f *pflag.Flag) string {
	switch {
	case f.DefValue == "" || f.DefValue == "[]":
		return "none"
	case IsSecret(f):
		return "not shown"
	}
	return "`" + cell(f.DefValue) + "`"
}

// cell escapes the separator of table cells.
func cell(s string) string { return strings.ReplaceAll(s, "|", "\\|") }
