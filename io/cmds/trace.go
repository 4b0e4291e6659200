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
			"If a part of its prompt was quarantined, it also prints the lines that tell why. " +
			"Text before the JSON object of a line, such as the name of a VM, is kept.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return traceFiles(cmd.OutOrStdout(), cmd.InOrStdin(), args[0], args[1:])
		},
	}
}

// traceLine is a log line with its time, by which lines are sorted. The part is the one that a line about the quarantine is
// about, or for which a request was refused.
type traceLine struct {
	time string
	text string
	part string
	// ofRequest is false for a line about the quarantine.
	ofRequest bool
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
	lines = withoutOtherParts(lines)
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

// withoutOtherParts removes the lines about the quarantine of parts for which the request was not refused.
func withoutOtherParts(lines []traceLine) []traceLine {
	refused := make(map[string]bool)
	for _, l := range lines {
		if l.ofRequest {
			refused[l.part] = true
		}
	}
	return slices.DeleteFunc(lines, func(l traceLine) bool { return !l.ofRequest && !refused[l.part] })
}

// traceReader returns the lines whose JSON object has the given id, and all lines about quarantined parts. Lines without a
// valid JSON object are skipped.
func traceReader(r io.Reader, id string) ([]traceLine, error) {
	var found []traceLine
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		text := lines.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, id) && !strings.Contains(text, `"part":`) {
			continue
		}
		var line struct {
			Time string `json:"time"`
			ID   string `json:"id"`
			Part string `json:"part"`
			// RefusedPart is the part for which a request was refused.
			RefusedPart string `json:"quarantined_part"`
		}
		if json.Unmarshal([]byte(text[start:]), &line) != nil {
			continue
		}
		switch {
		case line.ID == id:
			found = append(found, traceLine{line.Time, text, line.RefusedPart, true})
		case line.Part != "":
			found = append(found, traceLine{line.Time, text, line.Part, false})
		}
	}
	return found, lines.Err()
}
