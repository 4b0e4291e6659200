package cmds

import (
	"bytes"
	"os"
	"testing"

	"github.com/matryer/is"
)

// TestSettingsPage guards against a page of settings that differs from the flags of the commands. To renew it:
// go run ./cmd/geraniumsaddle settings page > docs/settings.md
func TestSettingsPage(t *testing.T) {
	is := is.New(t)
	want, err := os.ReadFile("../../docs/settings.md")
	is.NoErr(err)
	var got, errs bytes.Buffer
	is.Equal(Main([]string{"settings", "page"}, &got, &errs), exitOK)
	is.Equal(errs.String(), "")
	if !bytes.Equal(got.Bytes(), want) {
		t.Error("docs/settings.md is not current; run: go run ./cmd/geraniumsaddle settings page > docs/settings.md")
	}
}
