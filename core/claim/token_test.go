package claim

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
)

// TestDecodeToken guards against accepting a forged, altered, foreign or non-canonical token.
func TestDecodeToken(t *testing.T) {
	is := is.New(t)
	key := []byte("secret")
	now := time.Unix(1000, 0)
	s, err := New("router_a-1.7", key, DefaultLimits()).MintToken("org", now)
	is.NoErr(err)
	got, err := DecodeToken(key, "org", s)
	is.NoErr(err)
	is.Equal(got, Token{Router: "router_a-1.7", Serial: 1000e6})
	is.Equal(got.Expires(), now.Add(time.Hour))
	for _, c := range []struct {
		org  ident.OrgID
		key  string
		text string
		want error
	}{
		{"other", "secret", s, ErrTokenMAC},
		{"org", "rotated", s, ErrTokenMAC},
		{"org", "secret", strings.Replace(s, "_7_", "_8_", 1), ErrTokenMAC},
		{"org", "secret", strings.Replace(s, "_7_", "_07_", 1), ErrTokenFormat},
		{"org", "secret", strings.Replace(s, "_7_", "_+7_", 1), ErrTokenFormat},
		{"org", "secret", s[:len(s)-2], ErrTokenMAC},
		{"org", "secret", s + "00", ErrTokenMAC},
		{"org", "secret", "op_", ErrTokenFormat},
		{"org", "secret", "op__7_1000_" + strings.Repeat("0", 32), ErrTokenFormat},
		{"org", "secret", s + strings.Repeat("0", maxTokenSize), ErrTokenFormat},
		{"org", "secret", "caller-key", ErrTokenFormat},
	} {
		_, err := DecodeToken([]byte(c.key), c.org, c.text)
		is.Equal(err, c.want) // text
	}
}

// FuzzDecodeToken guards against a panic of the decoder and against two texts of one token.
func FuzzDecodeToken(f *testing.F) {
	key := []byte("secret")
	s, _ := EncodeToken(key, "org", Token{Router: "a.1", Serial: 5})
	f.Add(s)
	f.Add("op_a_b_1_2_ff")
	f.Add("op_____")
	f.Fuzz(func(t *testing.T, s string) {
		tok, err := DecodeToken(key, "org", s)
		if err != nil {
			return
		}
		if again, err := EncodeToken(key, "org", tok); err != nil || again != s {
			t.Fatalf("%q decodes to the token of %q: %v", s, again, err)
		}
	})
}

// TestClockStepsBack guards against a used token that is forgotten at its expiry and runs again when the clock steps
// back.
func TestClockStepsBack(t *testing.T) {
	is := is.New(t)
	now := time.Unix(10000, 0)
	r := New("a.1", []byte("secret"), DefaultLimits())
	tok, err := r.MintToken("org", now)
	is.NoErr(err)
	_, ok := r.Begin(Attempt{Org: "org", Key: tok, Request: "q1"}, now).(Run)
	is.True(ok)
	r.Handle(Dispatching{Ref{NewID("org", tok), "q1"}}, now)
	r.Handle(LostReply{Ref{NewID("org", tok), "q1"}}, now)
	_, err = r.MintToken("org", now.Add(2*time.Hour))
	is.NoErr(err)
	is.Equal(r.Len(), 0)
	is.Equal(r.Begin(Attempt{Org: "org", Key: tok, Request: "q2"}, now), Refuse{ident.OutcomeUnknown, ReasonTokenExpired})
}
