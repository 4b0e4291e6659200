package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"geraniumsaddle/io/edge"
)

const (
	// quarantineTimeout limits one call to a router.
	quarantineTimeout = 5 * time.Second
	// maxQuarantineBody is the maximum size in bytes of a router's answer.
	maxQuarantineBody = 1 << 20
)

// newQuarantine returns the commands with which operators see and end the quarantine of parts of prompts.
func newQuarantine() *cobra.Command {
	var addr string
	cmd := &cobra.Command{Use: "quarantine", Short: "List and lift quarantines of parts of prompts that crash targets"}
	cmd.PersistentFlags().StringVar(&addr, "ready-addr", "127.0.0.1:8080", "address of a router for readiness checks")
	cmd.AddCommand(
		&cobra.Command{
			Use: "list", Short: "List the quarantined parts", Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				return listQuarantine(cmd.Context(), cmd.OutOrStdout(), addr)
			},
		},
		&cobra.Command{
			Use: "lift SERVICE PART", Short: "Lift a quarantine on all routers; to be run on the VM of the router", Args: cobra.ExactArgs(2),
			RunE: func(cmd *cobra.Command, args []string) error {
				query := url.Values{"service": {args[0]}, "part": {args[1]}}
				_, err := callQuarantine(cmd.Context(), http.MethodDelete, addr, query)
				return err
			},
		},
	)
	return cmd
}

func listQuarantine(ctx context.Context, out io.Writer, addr string) error {
	body, err := callQuarantine(ctx, http.MethodGet, addr, nil)
	if err != nil {
		return err
	}
	var entries []edge.QuarantineEntry
	if err := json.Unmarshal(body, &entries); err != nil {
		return trace.Wrap(err, "decode the answer")
	}
	rows := [][]string{{"SERVICE", "PART", "AGE", "TERM", "LOSSES", "PROMPTS", "STRIKES"}}
	for _, e := range entries {
		rows = append(rows, []string{string(e.Service), e.Part, milliseconds(e.AgeMS), milliseconds(e.TermMS),
			strconv.Itoa(e.Losses), strconv.Itoa(e.Prompts), strconv.Itoa(e.Strikes)})
	}
	return (&printer{w: out}).table(rows...)
}

func milliseconds(n int64) string {
	return (time.Duration(n) * time.Millisecond).Round(time.Second).String()
}

// callQuarantine calls a router and returns the body of a successful answer.
func callQuarantine(ctx context.Context, method, addr string, query url.Values) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: addr, Path: edge.QuarantinePath, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, method, u.String(), nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("call the router at %s: %w", addr, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxQuarantineBody))
	if err != nil {
		return nil, trace.Wrap(err, "read the answer")
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, fmt.Errorf("the router answered %d: %s", resp.StatusCode, strings.TrimSpace(string(body)))
	}
	return body, nil
}
