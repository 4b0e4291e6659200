package report

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"geraniumsaddle/core/digest"
	"geraniumsaddle/core/elect"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/place"
	"geraniumsaddle/io/peer"
)

// outbox is a Sender that keeps what it is given, or fails.
type outbox struct {
	mu    sync.Mutex
	fails bool
	sent  map[string][]peer.Work
	bytes int
}

var errLinkDown = errors.New("link is down")

func (o *outbox) Send(addr string, m peer.Message) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.fails {
		return errLinkDown
	}
	b, err := peer.Encode("vm-1.1", m)
	if err != nil {
		return err
	}
	o.bytes += len(b)
	o.sent[addr] = append(o.sent[addr], m.(peer.Work))
	return nil
}

func (o *outbox) count() (messages, bytes int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, list := range o.sent {
		messages += len(list)
	}
	return messages, o.bytes
}

// newTestExchange returns an exchange of one of n routers with a number of targets.
func newTestExchange(routers, targets int) (*Exchange, *outbox, *place.Fleet, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	fleet := place.New(place.Config{Domain: "a", VM: "vm-1"})
	for i := range targets {
		fleet.Put(place.Target{ID: ident.TargetID(fmt.Sprint("i-", i)), Service: "llm", Addr: "10.0.0.1:1", Domain: "a", Slots: 24})
	}
	var members []elect.Member
	for i := range routers {
		members = append(members, elect.Member{VM: ident.VMID(fmt.Sprint("vm-", i)), Domain: "a", Addr: fmt.Sprint("10.1.0.", i)})
	}
	box := &outbox{sent: make(map[string][]peer.Work)}
	e := New(Config{
		Clock: clock, Log: slog.New(slog.DiscardHandler), Sender: box, Targets: fleet,
		Metrics: NewMetrics(prometheus.NewRegistry(), "test", "edge"), Self: members[1], Members: members,
	})
	return e, box, fleet, clock
}

// play runs an exchange for a time of its clock.
func play(t *testing.T, e *Exchange, clock *clockwork.FakeClock, d time.Duration) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Run(ctx)
	}()
	for end := clock.Now().Add(d); clock.Now().Before(end); {
		if err := clock.BlockUntilContext(ctx, 1); err != nil {
			t.Fatal(err)
		}
		clock.Advance(10 * time.Millisecond)
	}
	cancel()
	<-done
}

// TestTrafficIsBounded guards against messages and bytes that grow with the fleet: a router of a failure domain of 127, as in
// a fleet of 380 VMs, with requests at all of 1,000 targets that change all the time.
func TestTrafficIsBounded(t *testing.T) {
	is := is.New(t)
	const (
		digests      = 50
		envelopeSize = 64
	)
	e, box, fleet, clock := newTestExchange(127, 1000)
	var running []*place.Choice
	for range digests {
		for _, c := range running[:len(running)/2] {
			c.Done(place.ResultNeutral, clock.Now())
		}
		running = running[len(running)/2:]
		for range 3000 {
			prompt := &place.Prompt{Input: 9000, MaxOutput: 900}
			c, err := fleet.Choose(place.Request{Service: "llm", Prompt: prompt, Now: clock.Now()})
			is.NoErr(err)
			running = append(running, c)
		}
		clock.Advance(Interval)
		e.send()
	}
	messages, bytes := box.count()
	perSecond := float64(time.Second) / float64(Interval) / (1 - jitter) // at most
	t.Logf("at most %.0f messages and %.0f bytes a second", perSecond*float64(messages)/digests, perSecond*float64(bytes)/digests)
	is.Equal(len(box.sent), MaxNeighbors)
	is.Equal(messages, digests*MaxNeighbors)
	is.True(bytes <= messages*(digest.MaxSize+envelopeSize))
	is.True(perSecond*MaxNeighbors <= 75) // messages a second
}

// TestDigestsFollowWork guards against work that the others hear of too late or for ever, and against messages of a router
// that has nothing to tell.
func TestDigestsFollowWork(t *testing.T) {
	is := is.New(t)
	e, box, fleet, clock := newTestExchange(3, 2)
	play(t, e, clock, 2*time.Second)
	messages, _ := box.count()
	is.Equal(messages, 0) // nothing is in progress
	c, err := fleet.Choose(place.Request{Service: "llm", Now: clock.Now()})
	is.NoErr(err)
	play(t, e, clock, 3*time.Second)
	list := box.sent["10.1.0.0"]
	is.True(len(list) >= 3 && len(list) <= 5) // renewed before it ends
	rows, err := list[len(list)-1].Rows()
	is.NoErr(err)
	is.Equal(len(rows), 1)
	is.Equal(rows[0].Running, 1)
	c.Done(place.ResultOK, clock.Now())
	play(t, e, clock, time.Second)
	last := box.sent["10.1.0.0"]
	is.Equal(len(last), len(list)+1)
	is.Equal(len(last[len(last)-1].Packed), 0) // the end is told once
}

// TestReceive guards against a digest that has no effect, or that fails the router.
func TestReceive(t *testing.T) {
	is := is.New(t)
	e, _, fleet, clock := newTestExchange(3, 1)
	packed := digest.Pack([]digest.Row{{Target: digest.KeyOf("i-0", 0), Work: digest.Work{Running: 4}}})
	from := peer.Sender{ID: "vm-2.1", Addr: "10.1.0.2"}
	e.Receive(from, digest.Digest{Seq: 1, Domain: "a", Packed: []byte{1, 2}})
	e.Receive(from, digest.Digest{Seq: 2, Domain: "a", Packed: packed})
	is.Equal(fleet.Outlook("llm", clock.Now()).Busy, 4)
}

// TestFailingLink guards against an exchange that ends when no message can be sent.
func TestFailingLink(t *testing.T) {
	is := is.New(t)
	e, box, fleet, clock := newTestExchange(3, 2)
	_, err := fleet.Choose(place.Request{Service: "llm", Now: clock.Now()})
	is.NoErr(err)
	box.fails = true
	play(t, e, clock, 2*time.Second)
	box.fails = false
	play(t, e, clock, 2*time.Second)
	messages, _ := box.count()
	is.True(messages > 0)
}
