package main_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"geraniumsaddle/io/fakes/engine"
)

// stream is a streamed chat completion that runs in the background. The fields for the response are valid once done is
// closed.
type stream struct {
	body      []byte
	chunks    chan struct{}
	done      chan struct{}
	status    int
	outcome   string
	text      string
	errorCode string
	tokens    int
	gotDone   bool // "[DONE]" was received
}

// cmdStream starts a streamed chat completion and returns when CHUNKS chunks have arrived. With "-" as the key it sends
// none: stream NAME CALLER_ADDR IDEMPOTENCY_KEY MAX_TOKENS CHUNKS PROMPT.
func cmdStream(ts *testscript.TestScript, _ bool, args []string) {
	s := &stream{chunks: make(chan struct{}, 1<<16), done: make(chan struct{}), body: longAnswerBody(ts, args[5], args[3])}
	req, err := http.NewRequest(http.MethodPost, "http://"+args[1]+"/v1/chat/completions", strings.NewReader(string(s.body)))
	ts.Check(err)
	req.Header.Set("Authorization", "Bearer demo-key")
	if args[2] != "-" {
		req.Header.Set("Idempotency-Key", args[2])
	}
	sess := sessionOf(ts)
	sess.streams[args[0]] = s
	go s.run(req)
	var want int
	_, err = fmt.Sscan(args[4], &want)
	ts.Check(err)
	for range want {
		select {
		case <-s.chunks:
		case <-s.done:
			// done may be selected although received chunks are still in the channel.
			select {
			case <-s.chunks:
			default:
				ts.Fatalf("stream %s ended early: status %d code %q", args[0], s.status, s.errorCode)
			}
		case <-time.After(startTimeout):
			ts.Fatalf("stream %s: the next chunk did not arrive in time", args[0])
		}
	}
}

// minStreamTokens is the minimum length of a streamed answer. The engine's answers have 8 to 64 tokens, and a short one
// could end before the script acts on the stream.
const minStreamTokens = 60

// longAnswerBody returns a request whose answer has at least minStreamTokens tokens. It appends a number to the prompt
// and takes the first that leads to such an answer.
func longAnswerBody(ts *testscript.TestScript, prompt, tokens string) []byte {
	for n := 0; ; n++ {
		body := fmt.Appendf(nil, `{"model":"demo-chat","messages":[{"role":"user","content":"%s %d"}],"max_tokens":%s,"stream":true,"stream_options":{"include_usage":true}}`, prompt, n, tokens)
		want, err := engine.Expect(body)
		ts.Check(err)
		if want.OutputTokens >= minStreamTokens {
			return body
		}
	}
}

// run sends the request and reads the stream to its end.
func (s *stream) run(req *http.Request) {
	defer close(s.done)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		s.errorCode = "no answer"
		return
	}
	defer resp.Body.Close()
	s.status, s.outcome = resp.StatusCode, resp.Header.Get("Request-Outcome")
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		s.handleLine(lines.Text())
	}
}

// handleLine processes one line of the event stream. Lines without a JSON event are ignored.
func (s *stream) handleLine(line string) {
	data := strings.TrimPrefix(line, "data: ")
	if data == "[DONE]" {
		s.gotDone = true
		return
	}
	var event struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Usage struct {
			Total int `json:"total_tokens"`
		} `json:"usage"`
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal([]byte(data), &event) != nil {
		return
	}
	if len(event.Choices) > 0 {
		s.text += event.Choices[0].Delta.Content
	}
	s.tokens = max(s.tokens, event.Usage.Total)
	if event.Error.Code != "" {
		s.errorCode = event.Error.Code
	}
	s.chunks <- struct{}{}
}

// cmdStreamEnd waits until a stream has ended, sets NAME_tokens and prints "whole OUTCOME", "error CODE" or "cut". It
// fails if the text is wrong, or incomplete although "[DONE]" was received: streamend NAME.
func cmdStreamEnd(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts).streams[args[0]]
	select {
	case <-s.done:
	case <-time.After(pollTimeout):
		ts.Fatalf("stream %s did not end", args[0])
	}
	ts.Setenv(args[0]+"_tokens", fmt.Sprint(s.tokens))
	want, err := engine.Expect(s.body)
	ts.Check(err)
	switch {
	case s.gotDone && s.text == want.Text:
		fmt.Fprintln(ts.Stdout(), "whole", s.outcome)
	case s.gotDone || !strings.HasPrefix(want.Text, s.text):
		ts.Fatalf("stream %s has a wrong answer", args[0])
	case s.errorCode != "":
		fmt.Fprintln(ts.Stdout(), "error", s.errorCode)
	default:
		fmt.Fprintln(ts.Stdout(), "cut")
	}
}
