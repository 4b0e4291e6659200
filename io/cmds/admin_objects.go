package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/io/admin"
)

func (a *adminCmd) list() *cobra.Command {
	var opts admin.ListOptions
	cmd := &cobra.Command{
		Use: "list COLLECTION", Short: "List a page of objects", Args: withUsage(cobra.ExactArgs(1)), ValidArgsFunction: completeCollection,
	}
	bindPageFlags(cmd, &opts)
	cmd.RunE = a.withClient(func(ctx context.Context, c *admin.Client, p *printer, args []string) error {
		name, err := parseCollection(args[0])
		if err != nil {
			return err
		}
		page, err := c.List(ctx, name, opts)
		if err != nil {
			return err
		}
		return p.page(name, page)
	})
	return cmd
}

func (a *adminCmd) get() *cobra.Command {
	cmd := &cobra.Command{
		Use: "get COLLECTION ID", Short: "Show an object with its version", Args: withUsage(cobra.ExactArgs(2)), ValidArgsFunction: completeCollection,
	}
	cmd.RunE = a.withClient(func(ctx context.Context, c *admin.Client, p *printer, args []string) error {
		name, err := parseCollection(args[0])
		if err != nil {
			return err
		}
		item, err := c.Get(ctx, name, args[1])
		if err != nil {
			return err
		}
		return p.page(name, admin.ItemPage{Items: []admin.Item{item}})
	})
	return cmd
}

func (a *adminCmd) remove() *cobra.Command {
	var version uint64
	cmd := &cobra.Command{
		Use: "delete COLLECTION ID", Short: "Delete an object", Args: withUsage(cobra.ExactArgs(2)), ValidArgsFunction: completeCollection,
	}
	cmd.Flags().Uint64Var(&version, "if-match", 0, "version of the object to delete")
	cmd.RunE = a.withClient(func(ctx context.Context, c *admin.Client, p *printer, args []string) error {
		name, err := parseCollection(args[0])
		if err != nil {
			return err
		}
		if version == 0 {
			return badArgument("--if-match", "is required")
		}
		if err := c.Delete(ctx, name, args[1], ident.ObjectVersion(version)); err != nil {
			return err
		}
		return p.changed("deleted", args[1])
	})
	return cmd
}

func (a *adminCmd) put() *cobra.Command {
	var version uint64
	var file string
	cmd := &cobra.Command{
		Use:   "put COLLECTION",
		Short: "Create or change objects from a file",
		Long: "Create or change an object from a file with a JSON object, or create several from a JSON array.\n" +
			"Without --if-match the objects must not exist yet.",
		Args: withUsage(cobra.ExactArgs(1)), ValidArgsFunction: completeCollection,
	}
	cmd.Flags().Uint64Var(&version, "if-match", 0, "version of the object to replace; 0 for a new object")
	cmd.Flags().StringVar(&file, "file", "-", "file with a JSON object or an array of objects; - for standard input")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		return a.withClient(func(ctx context.Context, c *admin.Client, p *printer, args []string) error {
			name, err := parseCollection(args[0])
			if err != nil {
				return err
			}
			objects, err := readObjects(cmd.InOrStdin(), file)
			if err != nil {
				return err
			}
			if version != 0 && len(objects) != 1 {
				return badArgument("--if-match", "needs a file with one object")
			}
			return putAll(ctx, c, p, name, objects, admin.Precondition{IfMatch: ident.ObjectVersion(version)})
		})(cmd, args)
	}
	return cmd
}

// putAll stores objects in the order of the file, stops at the first error and prints the stored objects.
func putAll(ctx context.Context, c *admin.Client, p *printer, name admin.Collection, objects []json.RawMessage, pre admin.Precondition) error {
	var out admin.ItemPage
	for i, raw := range objects {
		var head struct {
			ID string `json:"id"`
		}
		var err error
		if json.Unmarshal(raw, &head) != nil || head.ID == "" {
			err = trace.BadParameter("object %d of the file has no id", i+1)
		}
		var item admin.Item
		if err == nil {
			item, err = c.Put(ctx, name, head.ID, raw, pre)
		}
		if err != nil {
			if len(out.Items) > 0 {
				_ = p.page(name, out)
			}
			return fmt.Errorf("%s %q: %w", name, head.ID, err)
		}
		out.Items = append(out.Items, item)
	}
	return p.page(name, out)
}

// maxObjectFileBytes limits how much of a file of objects is read.
const maxObjectFileBytes = 64 << 20

// readObjects reads one JSON object or an array of them from a file, or from standard input for "-".
func readObjects(stdin io.Reader, file string) ([]json.RawMessage, error) {
	in := stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	b, err := io.ReadAll(io.LimitReader(in, maxObjectFileBytes))
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	b = bytes.TrimSpace(b)
	if !bytes.HasPrefix(b, []byte("[")) {
		if !json.Valid(b) {
			return nil, trace.BadParameter("the file is not valid JSON")
		}
		return []json.RawMessage{b}, nil
	}
	var out []json.RawMessage
	if err := json.Unmarshal(b, &out); err != nil {
		return nil, trace.BadParameter("the file is not valid JSON: %v", err)
	}
	return out, nil
}
