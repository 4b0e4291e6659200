package flags

import (
	"fmt"
	"strings"

	"github.com/spf13/pflag"
)

// Page returns the settings of a command as a Markdown table.
func Page(command string, fs *pflag.FlagSet) string {
	var b strings.Builder
	fmt.Fprintf(&b, "## geraniumsaddle %s\n\n| flag | variable | type | default | meaning |\n|---|---|---|---|---|\n", command)
	fs.VisitAll(func(f *pflag.Flag) {
		def := f.DefValue
		if def == "" || def == "[]" {
			def = "none"
		}
		fmt.Fprintf(&b, "| `--%s` | `%s` | %s | %s | %s |\n", f.Name, EnvName(f.Name), f.Value.Type(), def, f.Usage)
	})
	return b.String()
}
