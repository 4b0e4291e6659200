package cmds

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"
)

// maxLogLine is the length limit of a log line in bytes. Routers write no longer lines.
const maxLogLine = 1 << 20

func newTrace() *cobra.Command {
	return &cobra.Command{
		Use:   "trace ID [FILE...]",
		Short: "Show the log lines of one request from the logs of all routers",
		Long: "Trace prints the log lines of one request, sorted by time, from the files or from standard input. " +
			"Text before the JSON object of a line, such as the name of a VM, is kept.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return traceFiles(cmd.OutOrStdout(), cmd.InOrStdin(), args[0], args[1:])
		},
	}
}

// traceLine is a log line of the request with its time, by which lines are sorted.
type traceLine struct {
	time string
	text string
}

// traceFiles writes the log lines of a request from the files, or from in if there are none, sorted by time.
func traceFiles(out io.Writer, in io.Reader, id string, files []string) error {
	var lines []traceLine
	if len(files) == 0 {
		found, err := traceReader(in, id)
		if err != nil {
			return err
		}
		lines = found
	}
	for _, name := range files {
		found, err := traceFile(name, id)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	slices.SortStableFunc(lines, func(a, b traceLine) int { return strings.Compare(a.time, b.time) })
	for _, l := range lines {
		if _, err := fmt.Fprintln(out, l.text); err != nil {
			return err
		}
	}
	if len(lines) == 0 {
		return fmt.Errorf("no log line names request %s", id)
	}
	return nil
}

func traceFile(name, id string) ([]traceLine, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	found, err := traceReader(f, id)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return found, err
}

// traceReader returns the lines whose JSON object has the given id. Lines without a valid JSON object are skipped.
func traceReader(r io.Reader, id string) ([]traceLine, error) {
	var found []traceLine
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		text := lines.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, id) {
			continue
		}
		var line struct {
			Time string `json:"time"`
			ID   string `json:"id"`
		}
		if json.Unmarshal([]byte(text[start:]), &line) == nil && line.ID == id {
			found = append(found, traceLine{line.Time, text})
		}
	}
	return found, lines.Err()
}
