package demo

import (
	"bufio"
	"io"
)

// maxLineBytes is the length limit of a line of an event stream.
const maxLineBytes = 1 << 20

func newLineScanner(r io.Reader) *bufio.Scanner {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	return s
}
