package caller

import (
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
)

type bodyCase struct {
	Name      string       `json:"name"`
	Body      string       `json:"body"`
	MaxTokens ident.Tokens `json:"max_tokens"`
	Error     string       `json:"error"`
}

// TestDecodeChat guards against a body that is accepted with a wrong MaxTokens, and against a refusal whose message
// does not name the error.
func TestDecodeChat(t *testing.T) {
	raw, err := os.ReadFile("testdata/bodies.json")
	is.New(t).NoErr(err)
	var cases []bodyCase
	is.New(t).NoErr(json.Unmarshal(raw, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			parsed, err := decodeChat([]byte(c.Body))
			if c.Error == "" {
				is.NoErr(err)
				is.Equal(parsed.request.MaxTokens, c.MaxTokens)
				return
			}
			var ref *Refusal
			is.True(errors.As(err, &ref))
			is.Equal(ref.Outcome, ident.OutcomeNotRun)
			is.True(strings.Contains(ref.Message, c.Error)) // the message names the error
		})
	}
}

// FuzzDecodeChat guards against panics, and against a body for the target that is itself not a valid request.
func FuzzDecodeChat(f *testing.F) {
	raw, err := os.ReadFile("testdata/bodies.json")
	if err != nil {
		f.Fatal(err)
	}
	var cases []bodyCase
	if err := json.Unmarshal(raw, &cases); err != nil {
		f.Fatal(err)
	}
	for _, c := range cases {
		f.Add([]byte(c.Body))
	}
	f.Add([]byte("{\"model\":\"\xff\"}"))
	f.Fuzz(func(t *testing.T, b []byte) {
		parsed, err := decodeChat(b)
		if err != nil {
			return
		}
		if _, err := decodeChat(parsed.request.Body); err != nil {
			t.Fatalf("the body for the target is refused: %v", err)
		}
	})
}
