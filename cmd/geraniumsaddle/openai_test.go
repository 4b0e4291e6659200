package main_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rogpeppe/go-internal/testscript"

	"geraniumsaddle/io/demo"
	"geraniumsaddle/io/fakes/engine"
)

const clientPrompt = "a question of a client library"

func clientParams(tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: "demo-chat", MaxCompletionTokens: openai.Int(tokens),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(clientPrompt)},
	}
}

// TestOpenAIClient guards against answers, streams and errors that OpenAI's published client library cannot parse.
func TestOpenAIClient(t *testing.T) {
	is := is.New(t)
	fleet, err := demo.Start(demo.Config{
		Routers: 1, CallerAddr: "127.0.0.1:0", AdminAddr: "127.0.0.1:0", OperatorToken: "secret-operator",
		TokenInterval: time.Millisecond, Log: slog.New(slog.DiscardHandler), Clock: clockwork.NewRealClock(),
	})
	is.NoErr(err)
	t.Cleanup(fleet.Stop)
	base := option.WithBaseURL("http://" + fleet.Routers[0].Node.CallerAddr() + "/v1")
	client := openai.NewClient(base, option.WithAPIKey("demo-key"), option.WithMaxRetries(0))
	// A starting router refuses requests until it has its configuration and tokens.
	deadline := time.Now().Add(pollTimeout)
	for {
		_, err = client.Chat.Completions.New(t.Context(), clientParams(1))
		if err == nil || time.Now().After(deadline) {
			break
		}
		<-time.After(pollInterval)
	}
	is.NoErr(err)
	const tokens = 8
	body := fmt.Appendf(nil, `{"model":"demo-chat","messages":[{"role":"user","content":%q}],"max_tokens":%d}`, clientPrompt, tokens)
	want, err := engine.Expect(body)
	is.NoErr(err)
	t.Run("models", func(t *testing.T) { testClientModels(t, client) })
	t.Run("completion", func(t *testing.T) { testClientCompletion(t, client, want, tokens) })
	t.Run("stream", func(t *testing.T) { testClientStream(t, client, want, tokens) })
	t.Run("errors", func(t *testing.T) { testClientErrors(t, client, base) })
}

func testClientModels(t *testing.T, client openai.Client) {
	is := is.New(t)
	page, err := client.Models.List(t.Context())
	is.NoErr(err)
	is.Equal(len(page.Data), 1)
	is.Equal(page.Data[0].ID, "demo-chat")
}

func testClientCompletion(t *testing.T, client openai.Client, want engine.Reply, tokens int64) {
	is := is.New(t)
	got, err := client.Chat.Completions.New(t.Context(), clientParams(tokens))
	is.NoErr(err)
	is.Equal(len(got.Choices), 1)
	is.Equal(got.Choices[0].Message.Content, want.Text)
	is.Equal(got.Choices[0].FinishReason, want.FinishReason)
	is.Equal(got.Usage.PromptTokens, int64(want.PromptTokens))
	is.Equal(got.Usage.CompletionTokens, int64(want.OutputTokens))
	is.Equal(got.Usage.TotalTokens, int64(want.PromptTokens+want.OutputTokens))
}

func testClientStream(t *testing.T, client openai.Client, want engine.Reply, tokens int64) {
	is := is.New(t)
	params := clientParams(tokens)
	params.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	var acc openai.ChatCompletionAccumulator
	for stream.Next() {
		is.True(acc.AddChunk(stream.Current())) // each chunk belongs to the answer
	}
	is.NoErr(stream.Err())
	is.Equal(len(acc.Choices), 1)
	is.Equal(acc.Choices[0].Message.Content, want.Text)
	is.Equal(acc.Choices[0].FinishReason, want.FinishReason)
	is.Equal(acc.Usage.TotalTokens, int64(want.PromptTokens+want.OutputTokens))
}

func testClientErrors(t *testing.T, client openai.Client, base option.RequestOption) {
	unknownKey := openai.NewClient(base, option.WithAPIKey("wrong"), option.WithMaxRetries(0))
	otherModel := clientParams(1)
	otherModel.Model = "other"
	for _, tt := range []struct {
		name   string
		client openai.Client
		params openai.ChatCompletionNewParams
		status int
		kind   string
		code   string
	}{
		{"unknown key", unknownKey, clientParams(1), 401, "authentication_error", "invalid_api_key"},
		{"budget exhausted", client, clientParams(1 << 20), 402, "budget_error", "budget_exhausted"},
		{"unknown model", client, otherModel, 404, "invalid_request_error", "not_found"},
		{"invalid bound", client, clientParams(-1), 400, "invalid_request_error", "invalid_request"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := tt.client.Chat.Completions.New(t.Context(), tt.params)
			var e *openai.Error
			is.True(errors.As(err, &e))
			is.Equal(e.StatusCode, tt.status)
			is.Equal(e.Type, tt.kind)
			is.Equal(e.Code, tt.code)
			is.Equal(e.Response.Header.Get("Request-Outcome"), "not_run")
		})
	}
}

// cmdClientError sends a chat completion with OpenAI's published client library and prints the error that the library
// returns: clienterror CALLER_ADDR MAX_TOKENS.
func cmdClientError(ts *testscript.TestScript, _ bool, args []string) {
	tokens, err := strconv.ParseInt(args[1], 10, 64)
	ts.Check(err)
	client := openai.NewClient(option.WithBaseURL("http://"+args[0]+"/v1"), option.WithAPIKey("demo-key"), option.WithMaxRetries(0))
	_, err = client.Chat.Completions.New(context.Background(), clientParams(tokens))
	var e *openai.Error
	if !errors.As(err, &e) {
		ts.Fatalf("the client library returned no API error: %v", err)
	}
	retry := "without"
	if e.Response.Header.Get("Retry-After") != "" {
		retry = "with"
	}
	_, _ = fmt.Fprintln(ts.Stdout(), e.StatusCode, e.Type, e.Code, e.Response.Header.Get("Request-Outcome"), retry, "Retry-After")
}
