package admit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
)

const (
	fakeSlots   = 20
	fakeRunTime = 200 * time.Millisecond
	fakeStep    = 5 * time.Millisecond
)

// fakeTargets are targets that run fakeSlots requests for fakeRunTime each, behind one gate. Refused callers come back as they
// are told until their deadline.
type fakeTargets struct {
	gate      *Gate
	now       time.Time
	running   []time.Time
	waiting   map[ident.RequestID]Request
	returning map[time.Time][]Request
	// served counts by organisation and priority. full counts the sends that found no slot.
	served      map[string]int
	sends, full int
}

func classOf(r Request) string { return fmt.Sprint(r.Org, "/", r.Priority) }

func (f *fakeTargets) arrive(r Request) {
	switch a := f.gate.Arrive(f.now, r).(type) {
	case Go:
		f.send(r)
	case Wait:
		f.waiting[r.ID] = r
	case Refuse:
		if at := f.now.Add(a.RetryAfter).Truncate(fakeStep); at.Before(r.Deadline) {
			f.returning[at] = append(f.returning[at], r)
		}
	}
}

func (f *fakeTargets) send(r Request) {
	f.sends++
	if len(f.running) >= fakeSlots {
		f.full++
		f.gate.Full(f.now, f.now.Add(100*time.Millisecond))
		f.arrive(r)
		return
	}
	f.gate.Taken(f.now)
	f.running = append(f.running, f.now.Add(fakeRunTime))
	f.served[classOf(r)]++
}

// step ends requests and lets waiting and returning callers through.
func (f *fakeTargets) step() {
	f.running = slices.DeleteFunc(f.running, func(end time.Time) bool { return !end.After(f.now) })
	for id, ok := f.gate.Next(f.now); ok; id, ok = f.gate.Next(f.now) {
		r := f.waiting[id]
		delete(f.waiting, id)
		f.send(r)
	}
	for _, r := range f.returning[f.now] {
		f.arrive(r)
	}
}

// TestOverload plays twice the load that the targets can run for 20 s. It guards against serving urgent requests less often
// than less urgent ones, against one organisation that takes the room of the others, against sends to full targets, and
// against room that stays unused.
func TestOverload(t *testing.T) {
	is := is.New(t)
	const length, deadline = 20 * time.Second, 2 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	f := fakeTargets{
		gate: New(), now: start, waiting: make(map[ident.RequestID]Request), returning: make(map[time.Time][]Request),
		served: make(map[string]int),
	}
	asked := make(map[string]int)
	for n := 1; f.now.Before(start.Add(length)); f.now, n = f.now.Add(fakeStep), n+1 {
		f.step()
		r := Request{ID: ident.RequestID(fmt.Sprint(n)), Org: "hot", Priority: Priority(n % 3), Cost: 1000,
			Deadline: f.now.Add(deadline), ServiceTime: fakeRunTime, MaxWait: 500 * time.Millisecond}
		if random.IntN(10) < 3 {
			r.Org = "calm"
		}
		asked[classOf(r)]++
		f.arrive(r)
	}
	t.Log("served", f.served, "asked", asked, "sends", f.sends, "full", f.full)
	share := func(class string) float64 { return float64(f.served[class]) / float64(asked[class]) }
	for _, org := range []string{"hot", "calm"} {
		is.True(share(org+"/0") >= 0.75*share(org+"/1"))
		is.True(share(org+"/1") >= 0.75*share(org+"/2"))
	}
	is.True(share("calm/2") >= 0.75*share("hot/2"))
	is.True(f.full*5 < f.sends)
	total := 0
	for _, n := range f.served {
		total += n
	}
	is.True(float64(total) >= 0.9*fakeSlots*float64(length)/float64(fakeRunTime))
}
