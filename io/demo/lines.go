package demo

import (
	"bufio"
	"io"
)

// maxLine bounds a line of an event stream in bytes.
const maxLine = 1 << 20

func newLines(r io.Reader) *bufio.Scanner {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	return s
}
