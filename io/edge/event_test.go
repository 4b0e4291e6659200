package edge

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestEventOfManyLines guards against an event without a limit because it has many short lines.
func TestEventOfManyLines(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newEventReader(strings.NewReader(strings.Repeat("data: x\n", 2*maxEventSize/8)), nil)
	defer r.release()
	_, err := r.next()
	is.Equal(err, errEventTooLarge)
	is.True(len(r.raw) < maxEventSize+eventBufferSize)
}
