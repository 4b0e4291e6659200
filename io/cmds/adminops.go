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
		Use: "create ORGANISATION KEY", Short: "Create an API key and show its secret once", Args: usage(cobra.ExactArgs(2)),
		RunE: a.run(func(ctx context.Context, c *admin.Client, p *printer, args []string) error {
			k, err := c.CreateKey(ctx, ident.OrgID(args[0]), admin.CreateKeyRequest{
				ID: ident.KeyID(args[1]), Class: ident.Class(class), LimitTokens: ident.Tokens(limit),
			})
			if err != nil {
				return err
			}
			return p.created(k)
		}),
	}
	create.Flags().StringVar(&class, "class", "", "traffic class of the key; empty for that of the organisation")
	create.Flags().Int64Var(&limit, "limit-tokens", 0, "tokens that the key may use; 0 for no limit")
	revoke := &cobra.Command{
		Use: "revoke ORGANISATION KEY", Short: "Revoke an API key for good", Args: usage(cobra.ExactArgs(2)),
		RunE: a.run(func(ctx context.Context, c *admin.Client, p *printer, args []string) error {
			if err := c.RevokeKey(ctx, ident.OrgID(args[0]), ident.KeyID(args[1])); err != nil {
				return err
			}
			return p.done("revoked", args[1])
		}),
	}
	cmd.AddCommand(create, revoke)
	return cmd
}

// amountFlags are the flags of a change of a ledger entry.
type amountFlags struct {
	idempotencyKey string
	note           string
}

func (f *amountFlags) bind(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.idempotencyKey, "idempotency-key", "", "identity of the change; repeat it to repeat a call safely (default: a random one)")
	cmd.Flags().StringVar(&f.note, "note", "", "note for the audit record")
}

// do makes a change and names its idempotency key if the result is not known.
func (f *amountFlags) do(args []string, change func(key string, id ident.BudgetID, n ident.Tokens) error) error {
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
	return fmt.Errorf("%w\nto repeat this call safely, use --idempotency-key %s", err, key)
}

// moveCall is Client.TopUp or Client.Refund.
type moveCall func(c *admin.Client, ctx context.Context, id ident.BudgetID, key string, v admin.Amount) (admin.LedgerView, error)

// move returns a command that moves tokens into or out of a budget.
func (a *adminCmd) move(use, short string, call moveCall) *cobra.Command {
	var f amountFlags
	cmd := &cobra.Command{Use: use + " BUDGET TOKENS", Short: short, Args: usage(cobra.ExactArgs(2))}
	f.bind(cmd)
	cmd.RunE = a.run(func(ctx context.Context, c *admin.Client, p *printer, args []string) error {
		return f.do(args, func(key string, id ident.BudgetID, n ident.Tokens) error {
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
	return a.move("top-up", "Add paid tokens to a budget", (*admin.Client).TopUp)
}

func (a *adminCmd) refund() *cobra.Command {
	return a.move("refund", "Take unallotted tokens out of a budget", (*admin.Client).Refund)
}

func (a *adminCmd) unresolved() *cobra.Command {
	var f amountFlags
	var decision string
	cmd := &cobra.Command{
		Use: "unresolved BUDGET TOKENS", Short: "Decide about tokens of closed holders that are neither proved spent nor unspent",
		Args: usage(cobra.ExactArgs(2)),
	}
	f.bind(cmd)
	cmd.Flags().StringVar(&decision, "decision", "", "release (back to the budget) or write_off")
	_ = cmd.RegisterFlagCompletionFunc("decision",
		cobra.FixedCompletions([]string{string(admin.DecisionRelease), string(admin.DecisionWriteOff)}, cobra.ShellCompDirectiveNoFileComp))
	cmd.RunE = a.run(func(ctx context.Context, c *admin.Client, p *printer, args []string) error {
		d := admin.Decision(decision)
		if d != admin.DecisionRelease && d != admin.DecisionWriteOff {
			return badArgument("--decision", "must be release or write_off")
		}
		return f.do(args, func(key string, id ident.BudgetID, n ident.Tokens) error {
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
		Use: "ledger BUDGET", Short: "Show the ledger entry of a budget", Args: usage(cobra.ExactArgs(1)),
		RunE: a.run(func(ctx context.Context, c *admin.Client, p *printer, args []string) error {
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
		Use: "status", Short: "Show routers, targets and releases as one router sees them", Args: usage(cobra.NoArgs),
		RunE: a.run(func(ctx context.Context, c *admin.Client, p *printer, _ []string) error {
			s, err := c.Status(ctx)
			if err != nil {
				return err
			}
			return p.status(s)
		}),
	}
}

func (a *adminCmd) audit() *cobra.Command {
	var o admin.ListOptions
	cmd := &cobra.Command{Use: "audit", Short: "List a page of the audit records, oldest first", Args: usage(cobra.NoArgs)}
	pageFlags(cmd, &o)
	cmd.RunE = a.run(func(ctx context.Context, c *admin.Client, p *printer, _ []string) error {
		page, err := c.Audit(ctx, o)
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
	cmd := &cobra.Command{Use: "statement ORGANISATION", Short: "Print the statement of a month", Args: usage(cobra.ExactArgs(1))}
	cmd.Flags().StringVar(&month, "month", "", "month, such as 2026-12")
	cmd.Flags().StringVar(&format, "format", string(admin.StatementCSV), "form of the statement: csv or json")
	_ = cmd.RegisterFlagCompletionFunc("format",
		cobra.FixedCompletions([]string{string(admin.StatementCSV), string(admin.StatementJSON)}, cobra.ShellCompDirectiveNoFileComp))
	cmd.RunE = a.run(func(ctx context.Context, c *admin.Client, p *printer, args []string) error {
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
