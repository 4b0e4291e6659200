package record_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/record"
)

// TestRestartGrace guards against a router that was paused for longer than the grace and then releases an entry that
// its peer, which may have recovered it in between, does not know.
func TestRestartGrace(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	j := record.New("r1.1", record.DefaultLimits())
	r := record.NewReplica("r2.1", "r1.1", 7, record.DefaultLimits())
	is.NoErr(j.ChoosePeer("r2.1"))
	for _, m := range j.Outbox(now) {
		ack, _ := r.Apply(m.Message, now)
		j.HandleAck(ack, now)
	}
	d, ok := j.BeginDeclaration()
	is.True(ok)
	j.ConfirmDeclaration(d)
	now = now.Add(time.Minute) // paused
	j.RestartGrace(now)
	seq, err := j.OpenHold(record.Hold{Request: "q", Budget: "b", Tokens: 1, At: now})
	is.NoErr(err)
	is.True(!j.Release(seq, now).OK)                  // the pause does not count
	is.True(j.Release(seq, now.Add(record.Grace)).OK) // the time after it does
}
