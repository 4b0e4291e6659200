package caller

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// TestCompletionWriter guards against an assembled answer that loses text or tool call arguments.
func TestCompletionWriter(t *testing.T) {
	is := is.New(t)
	rec := httptest.NewRecorder()
	c := &completionWriter{w: rec}
	is.NoErr(c.Begin("req-1"))
	for _, e := range []string{
		`{"id":"c1","created":7,"model":"m","choices":[{"delta":{"content":"al"}}]}`,
		`{"id":"c1","created":7,"model":"m","choices":[{"delta":{"content":"so","tool_calls":[{"index":0,"id":"t","type":"function","function":{"name":"f","arguments":"{\"a\""}}]}}]}`,
		`{"id":"c1","created":7,"model":"m","choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]},"finish_reason":"stop"}]}`,
	} {
		is.NoErr(c.Chunk([]byte(e)))
	}
	is.NoErr(c.End(nil, Usage{PromptTokens: 1, CompletionTokens: 2, TotalTokens: 3}))
	var a chatCompletion
	is.NoErr(json.Unmarshal(rec.Body.Bytes(), &a))
	is.Equal(*a.Choices[0].Message.Content, "also")
	is.Equal(a.Choices[0].Message.ToolCalls[0].Function.Arguments, `{"a":1}`)
	is.Equal(a.Choices[0].FinishReason, "stop")
	is.Equal(a.Usage.TotalTokens, c.completion.Usage.TotalTokens)
	is.Equal(rec.Header().Get("Request-Outcome"), "run")
}
