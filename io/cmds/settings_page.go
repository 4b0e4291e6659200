package cmds

import (
	"io"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"geraniumsaddle/io/flags"
)

const settingsPageIntro = `# Settings

Each setting is a command line flag. Its environment variable is ` + "`GERANIUMSADDLE_`" + ` and the flag in upper case with
underscores. A flag takes precedence over its variable. ` + "`geraniumsaddle settings check`" + ` reports every fault in a
router's settings and then exits with code 2. Secrets are marked; their values are never printed.

This page is the output of ` + "`geraniumsaddle settings page`" + `.
`

// newSettingsPage returns the hidden command that generates docs/settings.md.
func newSettingsPage() *cobra.Command {
	return &cobra.Command{
		Use:    "page",
		Short:  "Print the settings of all commands as Markdown",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := io.WriteString(cmd.OutOrStdout(), settingsPage(cmd.Root()))
			return err
		},
	}
}

// settingsPage returns the settings of all commands as Markdown.
func settingsPage(root *cobra.Command) string {
	var b strings.Builder
	b.WriteString(settingsPageIntro)
	for _, cmd := range root.Commands() {
		writeSections(&b, cmd)
	}
	return b.String()
}

// writeSections writes the settings of a command and its subcommands.
func writeSections(b *strings.Builder, cmd *cobra.Command) {
	if cmd.Hidden || cmd.Name() == "help" || cmd.Name() == "completion" {
		return
	}
	if fs := cmd.LocalFlags(); hasVisibleFlags(fs) {
		b.WriteString("\n" + flags.MarkdownSection(cmd.CommandPath(), fs))
	}
	for _, sub := range cmd.Commands() {
		writeSections(b, sub)
	}
}

func hasVisibleFlags(fs *pflag.FlagSet) bool {
	found := false
	fs.VisitAll(func(f *pflag.Flag) { found = found || !f.Hidden && f.Name != "help" })
	return found
}
