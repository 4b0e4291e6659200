package cmds

import (
	"io"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"geraniumsaddle/io/flags"
)

const pageHead = `# Settings

Each setting is a command line flag. Its environment variable is ` + "`GERANIUMSADDLE_`" + ` and the flag in upper case with
underscores. A flag takes precedence over its variable. ` + "`geraniumsaddle settings check`" + ` names every fault of a
router's settings and exits with 2. Secrets are marked; their values are never printed.

This page is the output of ` + "`geraniumsaddle settings page`" + `.
`

// newPage returns the hidden command that prints docs/settings.md.
func newPage() *cobra.Command {
	return &cobra.Command{
		Use:    "page",
		Short:  "Print the settings of all commands as Markdown",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := io.WriteString(cmd.OutOrStdout(), page(cmd.Root()))
			return err
		},
	}
}

// page returns the settings of all commands.
func page(root *cobra.Command) string {
	var b strings.Builder
	b.WriteString(pageHead)
	for _, cmd := range root.Commands() {
		pageOf(&b, cmd)
	}
	return b.String()
}

func pageOf(b *strings.Builder, cmd *cobra.Command) {
	if cmd.Hidden || cmd.Name() == "help" || cmd.Name() == "completion" {
		return
	}
	if fs := cmd.LocalFlags(); visible(fs) {
		b.WriteString("\n" + flags.MarkdownSection(cmd.CommandPath(), fs))
	}
	for _, sub := range cmd.Commands() {
		pageOf(b, sub)
	}
}

func visible(fs *pflag.FlagSet) bool {
	any := false
	fs.VisitAll(func(f *pflag.Flag) { any = any || !f.Hidden && f.Name != "help" })
	return any
}
