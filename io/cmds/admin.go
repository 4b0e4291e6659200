package cmds

import (
	"context"
	"strconv"

	"github.com/spf13/cobra"

	"geraniumsaddle/core/object"
	"geraniumsaddle/io/admin"
	"geraniumsaddle/io/flags"
)

// adminCmd is the state that the operators' commands share.
type adminCmd struct{ cfg flags.Admin }

// newAdmin returns the operators' commands, clients of the administration API.
func newAdmin() *cobra.Command {
	a := &adminCmd{}
	cmd := &cobra.Command{
		Use:   "admin",
		Short: "Work on a fleet through the administration API",
		Long: "Work on a fleet through the administration API of any router.\n\n" +
			"Collections: organisations, budgets, targets, versions, services, releases, operators.\n" +
			"A change of an existing object names the version that it replaces with --if-match.",
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

// run returns a command body that loads the settings and has a client.
func (a *adminCmd) run(fn func(ctx context.Context, c *admin.Client, p *printer, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		if err := load(cmd, &a.cfg); err != nil {
			return err
		}
		c, err := admin.NewClient(admin.ClientConfig{URL: a.cfg.URL, Token: a.cfg.OperatorToken, Timeout: a.cfg.Timeout})
		if err != nil {
			return err
		}
		return fn(cmd.Context(), c, &printer{w: cmd.OutOrStdout(), json: a.cfg.Output == flags.OutputJSON}, args)
	}
}

// usage turns a fault of the arguments into one of the settings, for which the program exits with 2.
func usage(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return badArgument("arguments", err.Error()+"; usage: "+cmd.UseLine())
		}
		return nil
	}
}

func badArgument(path, message string) error {
	return &settingsError{object.Faults{{Path: path, Message: message}}}
}

// collectionOf returns the collection that an argument names.
func collectionOf(arg string) (admin.Collection, error) {
	for _, c := range admin.Collections() {
		if arg == string(c) {
			return c, nil
		}
	}
	return "", badArgument("COLLECTION", strconv.Quote(arg)+" is not a collection; see the help")
}

// completeCollection completes the first argument.
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

// pageFlags adds the flags that select a page of a list.
func pageFlags(cmd *cobra.Command, o *admin.ListOptions) {
	cmd.Flags().StringVar(&o.After, "after", "", "start after this name, as in the next page's line")
	cmd.Flags().IntVar(&o.Limit, "limit", 0, "size of the page, up to 1000; 0 for the server's default")
}
