package object_test

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/core/object"
)

// TestValidateReportsEveryFault guards against validation that stops at the first invalid field.
func TestValidateReportsEveryFault(t *testing.T) {
	is := is.New(t)
	b, err := os.ReadFile("testdata/invalid_target.json")
	is.NoErr(err)
	var tgt object.Target
	is.NoErr(json.Unmarshal(b, &tgt))
	var paths []string
	for _, f := range tgt.Validate() {
		paths = append(paths, f.Path)
	}
	is.Equal(paths, []string{"format", "id", "kind", "url", "capacity", "state"})
}
