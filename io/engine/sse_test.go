package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/iotest"
)

// FuzzDecoder guards against a panic, a chunk that is not valid JSON or belongs to another request, a result that
// depends on how the input is split into reads, and a buffer that exceeds its bound.
func FuzzDecoder(f *testing.F) {
	chunk := `{"id":"r","choices":[{"index":0,"delta":{"content":"a\u00e4\" "},"finish_reason":null}],"usage":null}`
	f.Add([]byte("id: 0\ndata: " + chunk + "\n\nid: 1\ndata: [DONE]\n\n"))
	f.Add([]byte(": comment\r\n\r\nid:0\r\ndata:" + chunk + "\r\n\r\n"))
	f.Add([]byte(`id: 0` + "\n" + `data: {"usage":{"prompt_tokens":3,"completion_tokens":1e3},"id":"r"}` + "\n\n"))
	f.Add([]byte("id: 7\ndata: {\"id\":\"other\"}\n\n"))
	f.Add([]byte("data: {}\ndata: {}\n\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		whole := decodeAll(t, bytes.NewReader(in))
		if split := decodeAll(t, iotest.OneByteReader(bytes.NewReader(in))); split != whole {
			t.Fatalf("whole input gives %s, single bytes give %s", whole, split)
		}
	})
}

func decodeAll(t *testing.T, r io.Reader) string {
	const largest = 256
	d := newDecoder(r, "r", largest)
	var out bytes.Buffer
	for {
		var c Chunk
		done, err := d.next(&c)
		if len(d.buf) > largest {
			t.Fatalf("buffer has %d bytes", len(d.buf))
		}
		if done || err != nil {
			for _, fault := range []error{ErrMalformed, ErrTruncated, ErrOversized, ErrWrongRequest} {
				if errors.Is(err, fault) {
					err = fault
				}
			}
			fmt.Fprint(&out, done, err)
			return out.String()
		}
		if !json.Valid(c.Data) {
			t.Fatalf("accepted invalid JSON %q", c.Data)
		}
		fmt.Fprintf(&out, "%d %q %q %q %v\n", c.Offset, c.Data, c.Content, c.FinishReason, c.Usage)
	}
}

// FuzzScan guards against a scanner that accepts a text which encoding/json rejects, or rejects one that it accepts and
// that is not nested too deeply.
func FuzzScan(f *testing.F) {
	for _, s := range []string{
		`{"id":"r"}`, `{"id":"r","x":[1,-0.5e+3,true,false,null,"\\\u12aF"]}`, `{"id":"r",}`, `{"id":"r"}}`, `{"id":"r","n":01}`,
		`{"id":"r","choices":[{"delta":{"content":"x"},"finish_reason":"stop"}]}`, `[]`, ``, `{"id":"r","a":{"b":[{}]}}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		s := jsonScanner{data: in, ok: true}
		s.skipValue(0)
		s.skipSpace()
		got := s.ok && s.pos == len(in)
		shallow := bytes.Count(in, []byte("["))+bytes.Count(in, []byte("{")) <= maxDepth
		if want := json.Valid(in); got != want && (got || shallow) {
			t.Fatalf("scanner says %v for %q", got, in)
		}
		c := Chunk{Data: in}
		if parseChunk(&c, "r") == nil && !json.Valid(in) {
			t.Fatalf("accepted invalid JSON %q", in)
		}
	})
}

// BenchmarkDecoder measures decoding one event with one token.
func BenchmarkDecoder(b *testing.B) {
	event := "id: 12\ndata: " + `{"id":"r","object":"chat.completion.chunk","created":1754000000,"model":"demo-chat",` +
		`"choices":[{"index":0,"delta":{"content":"ehfhldpg "},"finish_reason":null}]}` + "\n\n"
	in := bytes.Repeat([]byte(event), 1000)
	r := bytes.NewReader(in)
	d := newDecoder(r, "r", 32<<10)
	b.SetBytes(int64(len(event)))
	b.ReportAllocs()
	var c Chunk
	for n := 0; b.Loop(); n++ {
		if n%1000 == 0 {
			r.Reset(in)
			d.eof = false
		}
		if _, err := d.next(&c); err != nil {
			b.Fatal(err)
		}
	}
}
