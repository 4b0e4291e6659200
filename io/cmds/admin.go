package cmds

import (
	"context"
	"strconv"

	"github.com/spf13/cobra"

	"geraniumsaddle/core/object"
	"geraniumsaddle/io/admin"
	"geraniumsaddle/io/flags"
)

// adminCmd holds the settings that all admin subcommands share.
type adminCmd struct{ cfg flags.Admin }

// newAdmin returns the admin command. Its subcommands are clients of the administration API.
func newAdmin() *cobra.Command {
	a := &adminCmd{}
	cmd := &cobra.Command{
		Use:   "admin",
		Short: "Manage a fleet through the administration API",
		Long: "Manage a fleet through the administration API of any router.\n\n" +
			"Collections: organisations, budgets, targets, versions, services, releases, operators.\n" +
			"To change an existing object, pass the version to replace with --if-match.",
	}
	flags.BindAdmin(cmd.PersistentFlags(), &a.cfg)
	_ = cmd.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{flags.OutputTable, flags.OutputJSON}, cobra.ShellCompDirectiveNoFileComp))
	cmd.AddCommand(
		a.list(), a.get(), a.put(), a.remove(), a.key(),
		a.topUp(), a.refund(), a.unresolved(), a.ledger(),
		a.status(), a.audit(), a.statement(),
	)
	return cmd
}

// withClient returns a RunE function that loads the settings and calls fn with a client of the administration API.
func (a *adminCmd) withClient(fn func(ctx context.Context, client *admin.Client, p *printer, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		if err := loadSettings(cmd, &a.cfg); err != nil {
			return err
		}
		client, err := admin.NewClient(admin.ClientConfig{URL: a.cfg.URL, Token: a.cfg.OperatorToken, Timeout: a.cfg.Timeout})
		if err != nil {
			return err
		}
		return fn(cmd.Context(), client, &printer{w: cmd.OutOrStdout(), json: a.cfg.Output == flags.OutputJSON}, args)
	}
}

// withUsage adds the usage line to the errors of check and reports them as settings errors, which have exit code 2.
func withUsage(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return badArgument("arguments", err.Error()+"; usage: "+cmd.UseLine())
		}
		return nil
	}
}

// badArgument returns a settings error for one argument or flag.
func badArgument(path, message string) error {
	return &settingsError{object.Faults{{Path: path, Message: message}}}
}

// parseCollection returns the collection with the given name.
func parseCollection(arg string) (admin.Collection, error) {
	for _, c := range admin.Collections() {
		if arg == string(c) {
			return c, nil
		}
	}
	return "", badArgument("COLLECTION", strconv.Quote(arg)+" is not a collection; run geraniumsaddle admin --help for the list")
}

// completeCollection completes the COLLECTION argument in a shell.
func completeCollection(_ *cobra.Command, args []string, _ string) ([]cobra.Completion, cobra.ShellCompDirective) {
	if len(args) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	var names []cobra.Completion
	for _, c := range admin.Collections() {
		names = append(names, string(c))
	}
	return names, cobra.ShellCompDirectiveNoFileComp
}

// bindPageFlags adds the pagination flags of a list command.
func bindPageFlags(cmd *cobra.Command, opts *admin.ListOptions) {
	cmd.Flags().StringVar(&opts.After, "after", "", "start after this name, which the \"more:\" line of the previous page shows")
	cmd.Flags().IntVar(&opts.Limit, "limit", 0, "page size, at most 1000; 0 for the server's default")
}
