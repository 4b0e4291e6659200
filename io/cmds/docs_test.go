package cmds

import (
	"bytes"
	"fmt"
	"os"
	"regexp"
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/io/caller"
	"geraniumsaddle/io/life"
)

var codeTableRow = regexp.MustCompile("(?m)^\\| ([0-9]{3}) \\| `([a-z_]+)` \\| `[a-z_]+` \\|")

// TestCodesInAPIPage guards against error codes in docs/api.md that are unknown, missing or have another HTTP status
// than in package caller.
func TestCodesInAPIPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/api.md")
	is.NoErr(err)
	named := map[string]bool{}
	for _, row := range codeTableRow.FindAllSubmatch(page, -1) {
		r := caller.Refusal{Code: caller.Code(row[2])}
		is.Equal(string(row[1]), fmt.Sprint(r.Status())) // HTTP status of the code
		named[string(row[2])] = true
	}
	source, err := os.ReadFile("../caller/refuse.go")
	is.NoErr(err)
	codes := regexp.MustCompile(`Code\s+= "([a-z_]+)"`).FindAllSubmatch(source, -1)
	is.True(len(codes) > 0)
	for _, c := range codes {
		if !named[string(c[1])] {
			t.Errorf("docs/api.md does not list the code %s", c[1])
		}
	}
}

// TestSettingsPage guards against a docs/settings.md that differs from the flags of the commands. To regenerate it:
// go run ./cmd/geraniumsaddle settings page > docs/settings.md
func TestSettingsPage(t *testing.T) {
	is := is.New(t)
	want, err := os.ReadFile("../../docs/settings.md")
	is.NoErr(err)
	var got, errs bytes.Buffer
	is.Equal(Main([]string{"settings", "page"}, &got, &errs), life.ExitOK)
	is.Equal(errs.String(), "")
	if !bytes.Equal(got.Bytes(), want) {
		t.Error("docs/settings.md is out of date; run: go run ./cmd/geraniumsaddle settings page > docs/settings.md")
	}
}
