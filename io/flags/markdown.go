package flags

import (
	"fmt"
	"strings"

	"github.com/spf13/pflag"
)

// MarkdownSection returns a Markdown section with a table of the flags of a command. Hidden flags and the help flag are
// omitted, and the default of a secret is not shown.
func MarkdownSection(command string, fs *pflag.FlagSet) string {
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n\n| flag | variable | type | default | meaning |\n|---|---|---|---|---|\n", command)
	fs.VisitAll(func(f *pflag.Flag) {
		if f.Hidden || f.Name == "help" {
			return
		}
		fmt.Fprintf(&b, "| `--%s` | `%s` | %s | %s | %s |\n", f.Name, EnvName(f.Name), typeCell(f), defaultCell(f), escapeCell(f.Usage))
	})
	return b.String()
}

func typeCell(f *pflag.Flag) string {
	if IsSecret(f) {
		return f.Value.Type() + ", **secret**"
	}
	return f.Value.Type()
}

func defaultCell(f *pflag.Flag) string {
	switch {
	case f.DefValue == "" || f.DefValue == "[]":
		return "none"
	case IsSecret(f):
		return "not shown"
	}
	return "`" + escapeCell(f.DefValue) + "`"
}

// escapeCell escapes the column separator in the text of a table cell.
func escapeCell(s string) string { return strings.ReplaceAll(s, "|", "\\|") }
