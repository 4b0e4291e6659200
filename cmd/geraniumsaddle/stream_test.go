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

// background is a streamed chat completion that runs while the script goes on.
type background struct {
	body    []byte
	chunks  chan struct{}
	done    chan struct{}
	status  int
	outcome string
	text    string
	code    string
	tokens  int
	marked  bool // the final marker has arrived
}

// cmdStream starts a streamed chat completion and returns when some chunks have arrived:
// stream NAME CALLER_ADDR IDEMPOTENCY_KEY MAX_TOKENS CHUNKS PROMPT.
func cmdStream(ts *testscript.TestScript, _ bool, args []string) {
	b := &background{chunks: make(chan struct{}, 1<<16), done: make(chan struct{}), body: longBody(ts, args[5], args[3])}
	req, err := http.NewRequest(http.MethodPost, "http://"+args[1]+"/v1/chat/completions", strings.NewReader(string(b.body)))
	ts.Check(err)
	req.Header.Set("Authorization", "Bearer demo-key")
	if args[2] != "-" {
		req.Header.Set("Idempotency-Key", args[2])
	}
	s := of(ts)
	s.streams[args[0]] = b
	go b.run(req)
	var want int
	_, err = fmt.Sscan(args[4], &want)
	ts.Check(err)
	for range want {
		select {
		case <-b.chunks:
		case <-b.done:
			// The end may be seen before chunks that have arrived.
			select {
			case <-b.chunks:
			default:
				ts.Fatalf("stream %s ended early: status %d code %q", args[0], b.status, b.code)
			}
		case <-time.After(startWait):
			ts.Fatalf("stream %s has no chunks", args[0])
		}
	}
}

// minStream is the least number of tokens of a streamed answer. The engine's answers have 8 to 64 tokens; a short one
// could end before the script has done anything to it.
const minStream = 60

// longBody returns a request for a long answer: the prompt with the first number that gives one.
func longBody(ts *testscript.TestScript, prompt, tokens string) []byte {
	for n := 0; ; n++ {
		body := fmt.Appendf(nil, `{"model":"demo-chat","messages":[{"role":"user","content":"%s %d"}],"max_tokens":%s,"stream":true,"stream_options":{"include_usage":true}}`, prompt, n, tokens)
		want, err := engine.Expect(body)
		ts.Check(err)
		if want.OutputTokens >= minStream {
			return body
		}
	}
}

func (b *background) run(req *http.Request) {
	defer close(b.done)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.code = "no answer"
		return
	}
	defer resp.Body.Close()
	b.status, b.outcome = resp.StatusCode, resp.Header.Get("Request-Outcome")
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		b.line(lines.Text())
	}
}

func (b *background) line(line string) {
	data := strings.TrimPrefix(line, "data: ")
	if data == "[DONE]" {
		b.marked = true
		return
	}
	var e struct {
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
	if json.Unmarshal([]byte(data), &e) != nil {
		return
	}
	if len(e.Choices) > 0 {
		b.text += e.Choices[0].Delta.Content
	}
	b.tokens = max(b.tokens, e.Usage.Total)
	if e.Error.Code != "" {
		b.code = e.Error.Code
	}
	b.chunks <- struct{}{}
}

// cmdStreamEnd waits for the end of a stream, sets NAME_tokens and prints how it ended: streamend NAME.
func cmdStreamEnd(ts *testscript.TestScript, _ bool, args []string) {
	b := of(ts).streams[args[0]]
	select {
	case <-b.done:
	case <-time.After(pollWait):
		ts.Fatalf("stream %s does not end", args[0])
	}
	ts.Setenv(args[0]+"_tokens", fmt.Sprint(b.tokens))
	want, err := engine.Expect(b.body)
	ts.Check(err)
	switch {
	case b.marked && b.text == want.Text:
		fmt.Fprintln(ts.Stdout(), "whole", b.outcome)
	case b.marked || !strings.HasPrefix(want.Text, b.text):
		ts.Fatalf("stream %s has a wrong answer", args[0])
	case b.code != "":
		fmt.Fprintln(ts.Stdout(), "error", b.code)
	default:
		fmt.Fprintln(ts.Stdout(), "cut")
	}
}
