package caller

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	fake "geraniumsaddle/io/fakes/engine"
)

// TestPromptPrefix guards against a prefix that differs from the prompt hashed by an engine, so that it matches none of
// the engine's cache events, and against a prefix that changes as the conversation grows.
func TestPromptPrefix(t *testing.T) {
	long := strings.Repeat("plan the yard bays \"\u00e9\" \u20ac\U0001F600\u2028<&>\n", 400)
	type message struct {
		Role    string `json:"role"`
		Content any    `json:"content"`
	}
	part := func(s string) map[string]string { return map[string]string{"type": "text", "text": s} }
	cases := map[string][]message{
		"short":         {{"user", "hi"}},
		"system":        {{"system", "be terse"}, {"user", long[:500]}},
		"long":          {{"system", long}, {"user", "q"}},
		"long second":   {{"system", "s"}, {"user", long}},
		"escapes":       {{"user", strings.Repeat("\x01", 5000)}, {"user", "q"}},
		"shifted":       {{"user", "abc" + strings.Repeat("\x01\u2028", 5000)}, {"user", "q"}},
		"parts":         {{"system", []any{part("a"), part(long)}}, {"user", "q"}},
		"one long part": {{"user", []any{part(strings.Repeat(long, 3))}}, {"user", "q"}},
	}
	for i := range 16 { // cuts at each position within characters and escape sequences
		text := strings.Repeat("x", i) + strings.Repeat("\x01\u2028\U0001F600\u00e9\"", 3000)
		cases[fmt.Sprint("cut at ", i)] = []message{{"user", text}, {"user", "q"}}
	}
	for name, first := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			messages, err := json.Marshal(first)
			is.NoErr(err)
			body := []byte(`{"model":"m","messages":` + string(messages) + `}`)
			want, err := fake.Expect(body)
			is.NoErr(err)
			var b chatBody
			is.NoErr(json.Unmarshal(body, &b))
			prefix, _ := b.promptPrefix()
			is.Equal(string(prefix), want.Prompt[:min(len(want.Prompt), maxPrefixBytes)])
			if len(first) == numPrefixMessages {
				b.Messages = append(b.Messages, chatMessage{Role: "assistant", Content: json.RawMessage(`"more"`)})
				grown, _ := b.promptPrefix()
				is.Equal(grown, prefix)
			}
		})
	}
}

// BenchmarkPromptPrefix measures the computation of the prefix of a long prompt.
func BenchmarkPromptPrefix(b *testing.B) {
	content, err := json.Marshal(strings.Repeat("plan the yard ", 20000))
	if err != nil {
		b.Fatal(err)
	}
	body := chatBody{Messages: []chatMessage{{Role: "system", Content: json.RawMessage(`"terse"`)}, {Role: "user", Content: content}}}
	b.ReportAllocs()
	for b.Loop() {
		body.promptPrefix()
	}
}
