package cmds

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"strconv"

	"github.com/spf13/cobra"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/io/admin"
)

func (a *adminCmd) key() *cobra.Command {
	cmd := &cobra.Command{Use: "key", Short: "Create and revoke API keys"}
	var class string
	var limit int64
	create := &cobra.Command{
		Use: "create ORGANISATION KEY", Short: "Create an API key and show its secret once", Args: withUsage(cobra.ExactArgs(2)),
		RunE: a.withClient(func(ctx context.Context, c *admin.Client, p *printer, args []string) error {
			k, err := c.CreateKey(ctx, ident.OrgID(args[0]), admin.CreateKeyRequest{
				ID: ident.KeyID(args[1]), Class: ident.Class(class), LimitTokens: ident.Tokens(limit),
			})
			if err != nil {
				return err
			}
			return p.created(k)
		}),
	}
	create.Flags().StringVar(&class, "class", "", "traffic class of the key; empty for the class of the organisation")
	create.Flags().Int64Var(&limit, "limit-tokens", 0, "tokens that the key may use; 0 for no limit")
	revoke := &cobra.Command{
		Use: "revoke ORGANISATION KEY", Short: "Revoke an API key permanently", Args: withUsage(cobra.ExactArgs(2)),
		RunE: a.withClient(func(ctx context.Context, c *admin.Client, p *printer, args []string) error {
			if err := c.RevokeKey(ctx, ident.OrgID(args[0]), ident.KeyID(args[1])); err != nil {
				return err
			}
			return p.changed("revoked", args[1])
		}),
	}
	cmd.AddCommand(create, revoke)
	return cmd
}

// ledgerChangeFlags are the flags of commands that change a ledger entry.
type ledgerChangeFlags struct {
	idempotencyKey string
	note           string
}

func (f *ledgerChangeFlags) bind(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.idempotencyKey, "idempotency-key", "", "idempotency key of the change; use the same key to retry a call safely (default: a random key)")
	cmd.Flags().StringVar(&f.note, "note", "", "note for the audit record")
}

// apply parses the arguments BUDGET and TOKENS and calls change. If the result is unknown, the error contains the
// idempotency key for a retry.
func (f *ledgerChangeFlags) apply(args []string, change func(key string, id ident.BudgetID, n ident.Tokens) error) error {
	n, err := strconv.ParseInt(args[1], 10, 64)
	if err != nil || n < 1 {
		return badArgument("TOKENS", "must be a positive whole number")
	}
	key := f.idempotencyKey
	if key == "" {
		var b [12]byte
		_, _ = rand.Read(b[:])
		key = hex.EncodeToString(b[:])
	}
	err = change(key, ident.BudgetID(args[0]), ident.Tokens(n))
	var p *admin.Problem
	if err == nil || errors.As(err, &p) && p.Status < http.StatusInternalServerError {
		return err
	}
	return fmt.Errorf("%w\nto retry this call safely, use --idempotency-key %s", err, key)
}

// ledgerCall is Client.TopUp or Client.Refund.
type ledgerCall func(c *admin.Client, ctx context.Context, id ident.BudgetID, key string, v admin.Amount) (admin.LedgerView, error)

// ledgerChange returns a command that adds tokens to a budget or takes them out of it.
func (a *adminCmd) ledgerChange(use, short string, call ledgerCall) *cobra.Command {
	var f ledgerChangeFlags
	cmd := &cobra.Command{Use: use + " BUDGET TOKENS", Short: short, Args: withUsage(cobra.ExactArgs(2))}
	f.bind(cmd)
	cmd.RunE = a.withClient(func(ctx context.Context, c *admin.Client, p *printer, args []string) error {
		return f.apply(args, func(key string, id ident.BudgetID, n ident.Tokens) error {
			v, err := call(c, ctx, id, key, admin.Amount{Tokens: n, Note: f.note})
			if err != nil {
				return err
			}
			return p.ledger(v)
		})
	})
	return cmd
}

func (a *adminCmd) topUp() *cobra.Command {
	return a.ledgerChange("top-up", "Add paid tokens to a budget", (*admin.Client).TopUp)
}

func (a *adminCmd) refund() *cobra.Command {
	return a.ledgerChange("refund", "Remove unallotted tokens from a budget", (*admin.Client).Refund)
}

func (a *adminCmd) unresolved() *cobra.Command {
	var f ledgerChangeFlags
	var decision string
	cmd := &cobra.Command{
		Use: "unresolved BUDGET TOKENS", Short: "Release or write off tokens of closed holders that are proved neither spent nor unspent",
		Args: withUsage(cobra.ExactArgs(2)),
	}
	f.bind(cmd)
	cmd.Flags().StringVar(&decision, "decision", "", "release (return the tokens to the budget) or write_off")
	_ = cmd.RegisterFlagCompletionFunc("decision",
		cobra.FixedCompletions([]string{string(admin.DecisionRelease), string(admin.DecisionWriteOff)}, cobra.ShellCompDirectiveNoFileComp))
	cmd.RunE = a.withClient(func(ctx context.Context, c *admin.Client, p *printer, args []string) error {
		d := admin.Decision(decision)
		if d != admin.DecisionRelease && d != admin.DecisionWriteOff {
			return badArgument("--decision", "must be release or write_off")
		}
		return f.apply(args, func(key string, id ident.BudgetID, n ident.Tokens) error {
			v, err := c.Resolve(ctx, id, key, admin.Resolution{Tokens: n, Decision: d, Note: f.note})
			if err != nil {
				return err
			}
			return p.ledger(v)
		})
	})
	return cmd
}

func (a *adminCmd) ledger() *cobra.Command {
	return &cobra.Command{
		Use: "ledger BUDGET", Short: "Show the ledger entry of a budget", Args: withUsage(cobra.ExactArgs(1)),
		RunE: a.withClient(func(ctx context.Context, c *admin.Client, p *printer, args []string) error {
			v, err := c.Ledger(ctx, ident.BudgetID(args[0]))
			if err != nil {
				return err
			}
			return p.ledger(v)
		}),
	}
}

func (a *adminCmd) status() *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show the routers, targets and releases that one router knows", Args: withUsage(cobra.NoArgs),
		RunE: a.withClient(func(ctx context.Context, c *admin.Client, p *printer, _ []string) error {
			s, err := c.Status(ctx)
			if err != nil {
				return err
			}
			return p.status(s)
		}),
	}
}

func (a *adminCmd) audit() *cobra.Command {
	var opts admin.ListOptions
	cmd := &cobra.Command{Use: "audit", Short: "List a page of audit records, oldest first", Args: withUsage(cobra.NoArgs)}
	bindPageFlags(cmd, &opts)
	cmd.RunE = a.withClient(func(ctx context.Context, c *admin.Client, p *printer, _ []string) error {
		page, err := c.Audit(ctx, opts)
		if err != nil {
			return err
		}
		return p.audit(page)
	})
	return cmd
}

var monthPattern = regexp.MustCompile(`^[0-9]{4}-(0[1-9]|1[0-2])$`)

func (a *adminCmd) statement() *cobra.Command {
	var month, format string
	cmd := &cobra.Command{Use: "statement ORGANISATION", Short: "Print the monthly statement of an organisation", Args: withUsage(cobra.ExactArgs(1))}
	cmd.Flags().StringVar(&month, "month", "", "month, such as 2026-12")
	cmd.Flags().StringVar(&format, "format", string(admin.StatementCSV), "statement format: csv or json")
	_ = cmd.RegisterFlagCompletionFunc("format",
		cobra.FixedCompletions([]string{string(admin.StatementCSV), string(admin.StatementJSON)}, cobra.ShellCompDirectiveNoFileComp))
	cmd.RunE = a.withClient(func(ctx context.Context, c *admin.Client, p *printer, args []string) error {
		if !monthPattern.MatchString(month) {
			return badArgument("--month", "must be a month such as 2026-12")
		}
		f := admin.StatementFormat(format)
		if f != admin.StatementCSV && f != admin.StatementJSON {
			return badArgument("--format", "must be csv or json")
		}
		b, err := c.Statement(ctx, ident.OrgID(args[0]), month, f)
		if err != nil {
			return err
		}
		_, err = p.w.Write(b)
		return err
	})
	return cmd
}
