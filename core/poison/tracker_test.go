package poison

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
)

const service = ident.ServiceID("llm")

// step is one event in the history of a tracker: the loss of a target, an answer, or the arrival of a report.
type step struct {
	at     time.Duration
	lost   string   // the target
	during []string // the prompts of its unanswered requests, as parts separated by slashes
	answer string   // the prompt of an answered request
	lift   string   // the part whose quarantine an operator lifts
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func prompt(text string) Prompt {
	var p Prompt
	for part := range strings.SplitSeq(text, "/") {
		p = append(p, part)
	}
	return p
}

// play applies the steps and then lets the tracker decide, a second after the last step. It returns the quarantined parts.
func play(t *Tracker, start time.Time, steps []step) []string {
	var last time.Duration
	for _, s := range steps {
		now := start.Add(s.at)
		if s.lost != "" {
			l := Loss{Target: Target{ID: ident.TargetID(s.lost)}, Service: service}
			for _, text := range s.during {
				l.Prompts = append(l.Prompts, prompt(text))
			}
			t.RecordLoss(l, now)
		}
		if s.answer != "" {
			t.RecordAnswer(service, prompt(s.answer), now)
		}
		if s.lift != "" {
			t.Lift(Part{service, s.lift}, now)
		}
		t.Advance(now)
		last = s.at
	}
	now := start.Add(last + time.Second)
	t.Advance(now)
	var parts []string
	for _, q := range t.List(now) {
		parts = append(parts, q.Part.ID)
	}
	return parts
}

func crash(at int, target string, prompts ...string) step {
	return step{at: ms(at), lost: target, during: prompts}
}

func answer(at int, p string) step { return step{at: ms(at), answer: p} }

// quarantineCases name guilty parts so that they sort last: the order of names must not decide for the right part.
var quarantineCases = []struct {
	name  string
	guard string
	steps []step
	want  []string
}{
	{
		"part without an answer", "a part that crashes targets and is sent on",
		[]step{crash(0, "a", "f/zbad/1"), answer(100, "f/x/2"), crash(500, "b", "f/zbad/3"), answer(600, "f/y/4"), crash(900, "c", "f/zbad/5"), answer(1000, "f/x/6")},
		[]string{"zbad"},
	},
	{
		"two losses", "a quarantine on too little evidence",
		[]step{crash(0, "a", "f/zbad/1"), crash(500, "b", "f/zbad/3")},
		nil,
	},
	{
		"answer between the losses", "a sound part that is held guilty of losses with another cause",
		[]step{crash(0, "a", "f/m/1"), crash(500, "b", "f/m/3"), answer(600, "f/m/4"), crash(900, "c", "f/m/5")},
		nil,
	},
	{
		"answer after the losses", "a quarantine before an answer that is on its way",
		[]step{crash(0, "a", "f/m/1"), crash(500, "b", "f/m/3"), crash(900, "c", "f/m/5"), answer(1300, "f/m/4")},
		nil,
	},
	{
		"targets lost at once", "a sound part that is held guilty of a lost rack",
		[]step{crash(0, "a", "f/m/1"), crash(10, "b", "f/m/3"), crash(20, "c", "f/m/5"), crash(30, "d", "f/m/7")},
		nil,
	},
	{
		"request that is repeated", "the last part of a sound request that was sent to three targets which others crashed",
		[]step{
			crash(0, "a", "f/zbad/1", "f/m/own"), crash(500, "b", "f/zbad/2", "f/m/own"), crash(900, "c", "f/zbad/3", "f/m/own"),
			answer(1000, "f/x/9"),
		},
		[]string{"zbad"},
	},
	{
		"part that was answered before", "a sound part beside the guilty one in all crashes",
		[]step{
			answer(-5000, "f/m/1"), crash(0, "a", "f/m/zbad/2"), crash(500, "b", "f/m/zbad/3"), crash(900, "c", "f/m/zbad/4"), answer(1000, "f/x/9"),
		},
		[]string{"zbad"},
	},
	{
		"explained losses", "a second part quarantined for losses that the guilty one explains",
		[]step{
			crash(0, "a", "f/zbad/1"), crash(500, "b", "f/zbad/m/2"), crash(900, "c", "f/zbad/m/3"), crash(1300, "d", "f/zbad/m/4"), answer(1400, "f/x/9"),
		},
		[]string{"zbad"},
	},
	{
		"two guilty parts", "a guilty part that hides behind another one",
		[]step{
			crash(0, "a", "f/zbad/1"), crash(500, "b", "f/zbad/2"), crash(900, "c", "f/zbad/3"), answer(1000, "f/x/9"),
			crash(2000, "d", "f/zevil/4"), crash(2500, "e", "f/zevil/5"), crash(3000, "g", "f/zevil/6"), answer(3100, "f/x/9"),
		},
		[]string{"zbad", "zevil"},
	},
	{
		"two guilty parts at once", "a guilty part that shares its targets' ends with another one",
		[]step{
			crash(0, "a", "f/zbad/1", "f/zevil/2"), crash(500, "b", "f/zevil/3"), crash(900, "c", "f/zbad/4"), answer(1000, "f/x/9"),
			crash(1300, "d", "f/zbad/5", "f/zevil/6"), answer(1400, "f/x/9"), {at: ms(1900)}, crash(2500, "e", "f/zbad/7"), crash(3000, "g", "f/zbad/8"), answer(3100, "f/x/9"),
			crash(3500, "h", "f/zevil/9"), crash(4000, "i", "f/zevil/10"), answer(4100, "f/x/9"),
		},
		[]string{"zbad", "zevil"},
	},
	{
		"answer after the quarantine", "a quarantine that stays although a target has answered",
		[]step{
			crash(0, "a", "f/m/1"), crash(500, "b", "f/m/2"), crash(900, "c", "f/m/3"), answer(1000, "f/x/9"),
			{at: ms(1500)}, answer(1600, "f/m/4"),
		},
		nil,
	},
	{
		"losses of a released part", "a part quarantined for losses of which another one was cleared",
		[]step{
			crash(0, "a", "f/m/1"), crash(500, "b", "f/m/2"), crash(900, "c", "f/m/3"), {at: ms(1500)}, {at: ms(1600), lift: "f"},
		},
		nil,
	},
}

func TestQuarantine(t *testing.T) {
	for _, c := range quarantineCases {
		t.Run(c.name, func(t *testing.T) {
			got := play(New(DefaultPolicy(0)), time.Unix(1000, 0), c.steps)
			if fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("quarantined %v, want %v; guards against %s", got, c.want, c.guard)
			}
		})
	}
}

var threeCrashes = []step{
	{at: 0, lost: "a", during: []string{"f/bad/1"}}, {at: ms(500), lost: "b", during: []string{"f/bad/2"}},
	{at: ms(900), lost: "c", during: []string{"f/bad/3"}}, {at: ms(1000), answer: "f/x/9"},
}

// TestTermAndProbation guards against a quarantine without an end, and against one that costs three targets again after
// its end.
func TestTermAndProbation(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	policy := DefaultPolicy(0)
	tracker := New(policy)
	is.Equal(play(tracker, start, threeCrashes), []string{"bad"})
	end := start.Add(ms(1900) + policy.Term + time.Second)
	is.Equal(tracker.Advance(end), []Event{Released{Part{service, "bad"}, ReleasedByTerm}})
	_, held := tracker.Quarantined(service, prompt("f/bad/9"))
	is.True(!held)
	tracker.RecordLoss(Loss{Target: Target{ID: "d"}, Service: service, Prompts: []Prompt{prompt("f/bad/10")}}, end)
	tracker.Advance(end)
	list := tracker.List(end)
	is.Equal(len(list), 1)
	is.Equal(list[0].Strikes, 2)
	is.Equal(list[0].Term, 2*policy.Term)
}

// TestProbationMakesRoom guards against parts on probation that keep a new one from being quarantined.
func TestProbationMakesRoom(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	tracker := New(DefaultPolicy(0))
	for i := range maxQuarantined {
		q := Quarantine{Part: Part{service, fmt.Sprint("old-", i)}, Age: DefaultPolicy(0).Term + time.Second, LossAge: time.Hour, Strikes: 1}
		tracker.Merge(Report{Quarantines: []Quarantine{q}}, start)
	}
	is.Equal(play(tracker, start, threeCrashes), []string{"bad"})
	is.Equal(len(tracker.held), maxQuarantined)
}

// TestReports guards against a router that does not learn from others that a part is quarantined, was answered or was
// lifted, and against a quarantine that comes back from a router that was out of contact.
func TestReports(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	now := start.Add(3 * time.Second)
	first, second, late := New(DefaultPolicy(0)), New(DefaultPolicy(0)), New(DefaultPolicy(0))
	is.Equal(play(first, start, threeCrashes), []string{"bad"})
	summary := first.Summary(now)
	second.Merge(summary, now)
	late.Merge(summary, now)
	_, held := second.Quarantined(service, prompt("f/bad/9"))
	is.True(held)
	is.True(first.Lift(Part{service, "bad"}, now))
	second.Merge(first.News(now), now)
	is.Equal(len(second.List(now)), 0)
	// The losses are forgotten by then, and the quarantine of the late router lasts.
	later := now.Add(DefaultPolicy(0).Memory + time.Minute)
	second.Advance(later)
	second.Merge(late.Summary(later), later)
	is.Equal(len(second.List(later)), 0)
	late.Merge(second.News(later), later)
	is.Equal(len(late.List(later)), 0)
}

// TestBoundedMemory guards against memory that grows with the number of losses, prompts or parts that others report.
func TestBoundedMemory(t *testing.T) {
	is := is.New(t)
	const prompts, parts = 64, 32 // of each loss
	now := time.Unix(1000, 0)
	tracker := New(DefaultPolicy(0))
	for i := range 2 * maxLosses {
		var l Loss
		l.Service, l.Target.ID = service, ident.TargetID(fmt.Sprint("t", i))
		for j := range prompts {
			p := make([]string, parts)
			for k := range p {
				p[k] = fmt.Sprintf("%0100d", (i*prompts+j)*parts+k)
			}
			l.Prompts = append(l.Prompts, p)
		}
		q := Quarantine{Part: Part{service, fmt.Sprint("q", i)}, Age: time.Second, LossAge: time.Second}
		tracker.Merge(Report{Losses: []Loss{l}, Quarantines: []Quarantine{q}}, now)
		tracker.Advance(now)
		is.True(len(tracker.losses) <= maxLosses)
		is.True(len(tracker.parts) <= maxAccusations+maxQuarantined)
		is.True(tracker.accusationCount <= maxAccusations)
		if i%32 != 0 {
			continue // a report sorts all parts
		}
		is.True(len(tracker.Summary(now).Losses) <= maxLosses)
		is.True(tracker.lossReport(l.Target, now, maxReportedParts).partCount() <= 2*maxReportedParts)
	}
	tracker.Advance(now.Add(time.Hour))
	is.Equal(len(tracker.losses), 0)
	is.Equal(tracker.accusationCount, 0)
	is.Equal(len(tracker.held), maxQuarantined)
	is.Equal(len(tracker.parts), maxQuarantined)
	tracker.Merge(Report{Losses: []Loss{{Service: service, Prompts: []Prompt{{strings.Repeat("x", 100)}}}}}, now.Add(time.Hour))
	for part := range tracker.parts {
		is.True(len(part.ID) <= maxPartID)
	}
}

// longPrompt returns a prompt of n parts: shared ones, the given one at a place, and one of the request alone.
func longPrompt(n, place int, part, own string) Prompt {
	p := make(Prompt, n)
	for i := range p {
		p[i] = fmt.Sprintf("s%x", i)
	}
	p[place] = part
	p[n-1] = own
	return p
}

// TestLongPrompts guards against a part that crashes targets and is never found because its prompts have many parts, wherever
// it stands, and against a sound part of these prompts that is quarantined in its place.
func TestLongPrompts(t *testing.T) {
	for _, n := range []int{2, 16, 17, 100, 3900} {
		for _, place := range []int{0, n / 2, n - 2} {
			if place > n-2 {
				continue // the last part of a prompt never is the one
			}
			t.Run(fmt.Sprintf("%d of %d", place, n), func(t *testing.T) {
				is := is.New(t)
				now := time.Unix(1000, 0)
				// Each router has a part of the requests. The last one has just started.
				routers := []*Tracker{New(DefaultPolicy(0)), New(DefaultPolicy(0)), New(DefaultPolicy(0))}
				for i := range 4 {
					now = now.Add(600 * time.Millisecond)
					for j, r := range routers {
						r.RecordAnswer(service, longPrompt(n, place, "zsound", fmt.Sprint("own-", i, j)), now.Add(-100*time.Millisecond))
					}
					bad := longPrompt(n, place, "zbad", fmt.Sprint("bad-", i))
					open := longPrompt(n, place, "zsound", fmt.Sprint("open-", i))
					target := Target{ID: ident.TargetID(fmt.Sprint("t", i))}
					routers[i%3].RecordLoss(Loss{Target: target, Service: service, Prompts: []Prompt{open, bad}}, now)
					exchange(routers, now)
					for j, r := range routers {
						r.RecordAnswer(service, longPrompt(n, place, "zsound", fmt.Sprint("later-", i, j)), now.Add(100*time.Millisecond))
					}
					exchange(routers, now.Add(120*time.Millisecond))
				}
				now = now.Add(time.Second)
				for _, r := range routers {
					r.Advance(now)
					_, found := r.Quarantined(service, longPrompt(n, place, "zbad", "bad-9"))
					is.True(found)
					part, found := r.Quarantined(service, longPrompt(n, place, "zsound", "own-9"))
					if found {
						t.Errorf("the sound part %v is quarantined", part)
					}
				}
			})
		}
	}
}

// exchange passes the news of each router on to the others until there are none.
func exchange(routers []*Tracker, now time.Time) {
	for range 20 {
		for i, r := range routers {
			report := r.News(now)
			for j, other := range routers {
				if i != j {
					other.Merge(report, now)
				}
			}
		}
	}
	for _, r := range routers {
		r.Advance(now)
	}
}

// TestManyOpenRequests guards against a part that crashes targets and is never found because more requests than fit into the
// evidence were open at the target, or because parts that are answered are kept in its place.
func TestManyOpenRequests(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tracker := New(DefaultPolicy(0))
	for i := range 3 {
		now = now.Add(500 * time.Millisecond)
		l := Loss{Target: Target{ID: ident.TargetID(fmt.Sprint("t", i))}, Service: service}
		for j := range 300 {
			// Each of 30 families shares its parts.
			p := longPrompt(200, 0, "f", fmt.Sprint("own-", i, j))
			for k := 1; k < len(p)-1; k++ {
				p[k] = fmt.Sprintf("%d-%s", j%30, p[k])
			}
			l.Prompts = append(l.Prompts, p)
			tracker.RecordAnswer(service, append(p[:199:199], fmt.Sprint("answered-", i, j)), now.Add(-time.Millisecond))
		}
		l.Prompts = append(l.Prompts, Prompt{"f", "zbad", fmt.Sprint("bad-", i)})
		tracker.RecordLoss(l, now)
		for j := range 30 {
			tracker.RecordAnswer(service, l.Prompts[j], now.Add(time.Millisecond))
		}
		tracker.Advance(now)
	}
	now = now.Add(time.Second)
	tracker.Advance(now)
	_, found := tracker.Quarantined(service, Prompt{"f", "zbad", "bad-9"})
	is.True(found)
	is.Equal(len(tracker.List(now)), 1)
}

// TestLostRack guards against evidence on a part that crashes targets and is dropped because many others are lost at once.
func TestLostRack(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	tracker := New(DefaultPolicy(0))
	var steps []step
	for i := range 2 {
		steps = append(steps, crash(500*i, fmt.Sprint("bad-", i), fmt.Sprintf("f/zbad/%d", i)), answer(500*i+10, "f/x/1"))
	}
	for i := range 4 * maxLosses {
		steps = append(steps, crash(1000+i/100, fmt.Sprint("rack-", i), fmt.Sprintf("g%d/y/%d", i%9, i)))
	}
	steps = append(steps, crash(1600, "bad-2", "f/zbad/2"), answer(1700, "f/x/2"))
	is.Equal(play(tracker, start, steps), []string{"zbad"})
}

// TestManyQuarantines guards against a part that is sent on to targets because many others are quarantined already.
func TestManyQuarantines(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	tracker := New(DefaultPolicy(0))
	for i := range maxQuarantined {
		q := Quarantine{Part: Part{service, fmt.Sprint("old-", i)}, Age: time.Minute, LossAge: time.Minute + time.Duration(i), Strikes: 1}
		tracker.Merge(Report{Quarantines: []Quarantine{q}}, start)
	}
	play(tracker, start, threeCrashes)
	_, found := tracker.Quarantined(service, prompt("f/bad/9"))
	is.True(found)
	_, found = tracker.Quarantined(service, prompt(fmt.Sprint("old-", maxQuarantined-1, "/9")))
	is.True(!found) // the longest without a loss
	is.Equal(len(tracker.held), maxQuarantined)
}
