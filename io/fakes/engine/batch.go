package engine

import (
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
)

type state int

const (
	stateQueued state = iota
	stateRunning
	stateDone
	stateCancelled
)

// request is one chat completion. The server's lock guards its mutable fields. Tokens are made again from the seed
// when they are read, so a kept stream holds no text.
type request struct {
	id       string
	model    string
	version  string
	seed     uint64
	prompt   int // tokens
	cached   int // tokens
	bound    int
	total    int
	finish   string
	usage    bool
	priority int
	arrival  int
	prefill  time.Duration

	state    state
	due      time.Time
	blocked  bool
	produced int
	readers  []chan struct{}
	timer    clockwork.Timer
}

func (r *request) ended() bool { return r.state == stateDone || r.state == stateCancelled }

// wake tells the readers that the state has changed.
func (r *request) wake() {
	for _, c := range r.readers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

func (r *request) stopTimer() {
	if r.timer != nil {
		r.timer.Stop()
		r.timer = nil
	}
}

func (s *Server) held() int { return len(s.queue) + len(s.running) }

// poke wakes the batch loop.
func (s *Server) poke() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// enqueue adds a request in the order of priority, where a lower number comes first, and arrival. The caller holds
// the lock.
func (s *Server) enqueue(r *request) {
	s.arrival++
	r.arrival = s.arrival
	i, _ := slices.BinarySearchFunc(s.queue, r, func(a, b *request) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return a.arrival - b.arrival
	})
	s.queue = slices.Insert(s.queue, i, r)
	s.streams[r.id] = r
	s.stats.Peak = max(s.stats.Peak, s.held())
	s.sample()
	if !s.looping {
		s.looping = true
		go s.loop()
	}
	s.poke()
}

// loop advances the batch until no request is held.
func (s *Server) loop() {
	for {
		s.mu.Lock()
		now := s.clock.Now()
		next, wait := s.step(now)
		if s.held() == 0 {
			s.looping = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		if !wait {
			<-s.kick
			continue
		}
		t := s.clock.NewTimer(next.Sub(now))
		select {
		case <-t.Chan():
		case <-s.kick:
		}
		t.Stop()
	}
}

// step generates the tokens that are due and admits queued requests. It returns the next time at which a token is
// due, if any. The caller holds the lock.
func (s *Server) step(now time.Time) (next time.Time, wait bool) {
	for changed := true; changed; {
		s.admit(now)
		changed = false
		keep := s.running[:0]
		for _, r := range s.running {
			s.generate(r, now)
			if r.ended() {
				changed = true
				continue
			}
			keep = append(keep, r)
		}
		clear(s.running[len(keep):])
		s.running = keep
		if changed {
			s.sample()
		}
	}
	for _, r := range s.running {
		if !r.blocked && (!wait || r.due.Before(next)) {
			next, wait = r.due, true
		}
	}
	return next, wait
}

func (s *Server) admit(now time.Time) {
	if s.faults.Pause {
		return
	}
	for len(s.queue) > 0 && len(s.running) < s.cfg.BatchSize {
		r := s.queue[0]
		s.queue = slices.Delete(s.queue, 0, 1)
		r.state = stateRunning
		r.due = s.grid(now.Add(r.prefill))
		s.running = append(s.running, r)
	}
}

// grid returns the first step of the batch that is not before t, so that all requests advance together.
func (s *Server) grid(t time.Time) time.Time {
	d := s.cfg.TokenInterval
	if d <= 0 {
		return t
	}
	since := t.Sub(s.started)
	return s.started.Add((since + d - 1) / d * d)
}

// generate makes the tokens of a running request that are due.
func (s *Server) generate(r *request, now time.Time) {
	f := s.faults.of(r.version)
	if s.faults.Pause || f.Stuck {
		r.blocked = true
		return
	}
	if r.blocked {
		r.blocked = false
		if r.due.Before(now) {
			r.due = s.grid(now)
		}
	}
	before := r.produced
	interval := s.cfg.TokenInterval + time.Duration(f.SlowMS)*time.Millisecond
	for r.produced < r.total && !r.due.After(now) {
		if interval <= 0 {
			r.produced = r.total
			break
		}
		r.produced++
		r.due = r.due.Add(interval)
	}
	if r.produced == r.total {
		r.state = stateDone
		s.expire(r)
	}
	if r.produced != before || r.ended() {
		r.wake()
	}
}

// cancel ends a request that is queued or running and frees its slot. The caller holds the lock.
func (s *Server) cancel(r *request) {
	if r.ended() {
		return
	}
	r.state = stateCancelled
	same := func(o *request) bool { return o == r }
	s.queue = slices.DeleteFunc(s.queue, same)
	s.running = slices.DeleteFunc(s.running, same)
	s.stats.Cancelled++
	s.sample()
	r.wake()
	s.poke()
}

// expire starts the time for which an ended or abandoned stream is kept, unless it has a reader. The caller holds
// the lock.
func (s *Server) expire(r *request) {
	if len(r.readers) > 0 || s.closed {
		return
	}
	r.stopTimer()
	var t clockwork.Timer
	t = s.clock.AfterFunc(s.cfg.StreamRetention, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if r.timer != t {
			return // A reader came back meanwhile.
		}
		s.cancel(r)
		if s.streams[r.id] == r {
			delete(s.streams, r.id)
		}
	})
	r.timer = t
}

// attach adds a reader. The caller holds the lock.
func (s *Server) attach(r *request) chan struct{} {
	r.stopTimer()
	c := make(chan struct{}, 1)
	r.readers = append(r.readers, c)
	return c
}

func (s *Server) detach(r *request, c chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.readers = slices.DeleteFunc(r.readers, func(o chan struct{}) bool { return o == c })
	s.expire(r)
}
