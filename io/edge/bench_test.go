package edge

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"geraniumsaddle/platform/stand"
)

// BenchmarkEvents measures what the router adds to a streamed event beside the sockets: it splits the stream into
// events and checks their order. The other case copies the same bytes.
func BenchmarkEvents(b *testing.B) {
	const n = 100
	text := []byte(events("9c41d07be2a35f68", n))
	b.Run("split", func(b *testing.B) {
		b.ReportAllocs()
		b.SetBytes(int64(len(text)))
		for b.Loop() {
			f := feed{last: -1}
			r := newEventReader(bytes.NewReader(text))
			for {
				e, err := r.next()
				if errors.Is(err, io.EOF) {
					break
				}
				if _, err := f.inOrder(e); err != nil {
					b.Fatal(err)
				}
			}
			r.release()
		}
	})
	b.Run("copy", func(b *testing.B) {
		b.ReportAllocs()
		b.SetBytes(int64(len(text)))
		for b.Loop() {
			if _, err := io.Copy(io.Discard, struct{ io.Reader }{bytes.NewReader(text)}); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// FuzzEvents guards against a stream that makes the splitter panic or lose bytes.
func FuzzEvents(f *testing.F) {
	f.Add(stand.Event("a", 1) + stand.Event("a", 2))
	f.Add("id: 1\r\ndata: x\r\n\r\nid: 2\n\ndata")
	f.Add("\n\n\nid:\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		r := newEventReader(strings.NewReader(text))
		defer r.release()
		var got strings.Builder
		for {
			e, err := r.next()
			if err != nil {
				break
			}
			got.Write(e.raw)
		}
		if !strings.HasPrefix(text, got.String()) {
			t.Fatalf("events %q are not the beginning of %q", got.String(), text)
		}
	})
}
