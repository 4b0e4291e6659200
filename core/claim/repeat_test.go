package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/record"
)

// TestRepeatedCall guards against a repeat that runs while the first call is with its target, or that waits for an
// answer that can no longer arrive.
func TestRepeatedCall(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	first := Attempt{Org: "org", Key: "key", Body: record.Hash{1}, Request: "q1"}
	ref := Ref{ID: NewID(first.Org, first.Key), Request: first.Request}
	second := Ref{ID: ref.ID, Request: "q2"}
	answer := &record.Answer{Status: 200, Body: []byte("x")}
	sent := []Event{Created{Ref: ref}, Dispatching{Ref: ref}}
	cases := []struct {
		name   string
		events []Event
		want   Decision
	}{
		{"being claimed", nil, Wait{ref}},
		{"claimed", []Event{Created{Ref: ref}}, Wait{ref}},
		{"with its target", sent, Wait{ref}},
		{"answered", append(sent[:2:2], Finished{Ref: ref, Answer: answer}), Replay{"q1", answer}},
		{"without an answer", append(sent[:2:2], LostReply{Ref: ref}), Refuse{ident.OutcomeUnknown, ReasonLostReply}},
		{"not sent", append(sent[:2:2], NotSent{Ref: ref}), Run{second}},
		{"at another router", []Event{Exists{Ref: ref, Holder: "r2.1"}}, AskHome{second, "r2.1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := New("r1.1", []byte("secret"), DefaultLimits())
			r.Begin(first, now)
			for _, e := range c.events {
				r.Handle(e, now)
			}
			repeat := first
			repeat.Request = "q2"
			is.Equal(r.Begin(repeat, now), c.want)
			repeat.Body = record.Hash{2}
			if _, asks := c.want.(AskHome); !asks {
				is.Equal(fmt.Sprintf("%T", r.Begin(repeat, now)), "claim.Conflict")
			}
		})
	}
}
