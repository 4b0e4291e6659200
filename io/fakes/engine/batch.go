package engine

import (
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
)

// requestState is the progress of a request.
type requestState int

const (
	stateQueued requestState = iota
	stateRunning
	stateDone
	stateCancelled
)

// request is one chat completion. Server.mu guards its mutable fields, those from state on. Each reader regenerates the
// tokens from the seed, so a retained stream stores no text.
type request struct {
	id           string
	model        string
	version      string
	seed         uint64
	promptTokens int
	cachedTokens int // prompt tokens found in the prefix cache
	maxTokens    int // the requested bound on output tokens
	outputTokens int // the length of the complete answer
	finishReason string
	includeUsage bool
	priority     int
	arrivalSeq   int
	prefillTime  time.Duration

	state       requestState
	nextTokenAt time.Time
	blocked     bool // generation is stopped by the pause or stuck switch
	generated   int  // output tokens generated so far
	readers     []chan struct{}
	expiry      clockwork.Timer // ends the retention of a stream without readers
}

func (r *request) ended() bool { return r.state == stateDone || r.state == stateCancelled }

// notifyReaders signals every reader that the request has progressed.
func (r *request) notifyReaders() {
	for _, c := range r.readers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

func (r *request) stopExpiry() {
	if r.expiry != nil {
		r.expiry.Stop()
		r.expiry = nil
	}
}

// inFlight returns the number of requests queued or running. The caller holds the lock.
func (s *Server) inFlight() int { return len(s.queue) + len(s.running) }

// wakeLoop makes the batch loop take its next step now.
func (s *Server) wakeLoop() {
	select {
	case s.loopWake <- struct{}{}:
	default:
	}
}

// enqueue inserts a request by priority, where a lower number comes first, and then by arrival, and starts the batch
// loop if it is not running. The caller holds the lock.
func (s *Server) enqueue(r *request) {
	s.lastArrival++
	r.arrivalSeq = s.lastArrival
	i, _ := slices.BinarySearchFunc(s.queue, r, func(a, b *request) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return a.arrivalSeq - b.arrivalSeq
	})
	s.queue = slices.Insert(s.queue, i, r)
	s.streams[r.id] = r
	s.stats.Peak = max(s.stats.Peak, s.inFlight())
	s.recordLoad()
	if !s.loopRunning {
		s.loopRunning = true
		go s.loop()
	}
	s.wakeLoop()
}

// loop advances the batch until no request is in flight.
func (s *Server) loop() {
	for {
		s.mu.Lock()
		now := s.clock.Now()
		next, scheduled := s.step(now)
		if s.inFlight() == 0 {
			s.loopRunning = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		if !scheduled {
			<-s.loopWake
			continue
		}
		t := s.clock.NewTimer(next.Sub(now))
		select {
		case <-t.Chan():
		case <-s.loopWake:
		}
		t.Stop()
	}
}

// step admits queued requests and generates the tokens that are due, and repeats this while requests end and free
// slots. It returns the time of the next token; scheduled is false when no running request can generate one. The
// caller holds the lock.
func (s *Server) step(now time.Time) (next time.Time, scheduled bool) {
	for changed := true; changed; {
		s.admit(now)
		changed = false
		active := s.running[:0]
		for _, r := range s.running {
			s.generate(r, now)
			if r.ended() {
				changed = true
				continue
			}
			active = append(active, r)
		}
		clear(s.running[len(active):])
		s.running = active
		if changed {
			s.recordLoad()
		}
	}
	for _, r := range s.running {
		if !r.blocked && (!scheduled || r.nextTokenAt.Before(next)) {
			next, scheduled = r.nextTokenAt, true
		}
	}
	return next, scheduled
}

// admit moves queued requests into free slots of the batch. The caller holds the lock.
func (s *Server) admit(now time.Time) {
	if s.faults.Pause {
		return
	}
	for len(s.queue) > 0 && len(s.running) < s.cfg.BatchSize {
		r := s.queue[0]
		s.queue = slices.Delete(s.queue, 0, 1)
		r.state = stateRunning
		r.nextTokenAt = s.alignToStep(now.Add(r.prefillTime))
		s.running = append(s.running, r)
	}
}

// alignToStep rounds t up to a multiple of the token interval since the start, so that all requests advance in step.
func (s *Server) alignToStep(t time.Time) time.Time {
	d := s.cfg.TokenInterval
	if d <= 0 {
		return t
	}
	since := t.Sub(s.started)
	return s.started.Add((since + d - 1) / d * d)
}

// generate advances a running request by the tokens that are due. The caller holds the lock.
func (s *Server) generate(r *request, now time.Time) {
	f := s.faults.forVersion(r.version)
	if s.faults.Pause || f.Stuck {
		r.blocked = true
		return
	}
	if r.blocked {
		r.blocked = false
		if r.nextTokenAt.Before(now) {
			r.nextTokenAt = s.alignToStep(now)
		}
	}
	before := r.generated
	interval := s.cfg.TokenInterval + time.Duration(f.SlowMS)*time.Millisecond
	for r.generated < r.outputTokens && !r.nextTokenAt.After(now) {
		if interval <= 0 {
			r.generated = r.outputTokens
			break
		}
		r.generated++
		r.nextTokenAt = r.nextTokenAt.Add(interval)
	}
	if r.generated == r.outputTokens {
		r.state = stateDone
		s.startExpiry(r)
	}
	if r.generated != before || r.ended() {
		r.notifyReaders()
	}
}

// cancel ends a queued or running request and frees its slot. The caller holds the lock.
func (s *Server) cancel(r *request) {
	if r.ended() {
		return
	}
	r.state = stateCancelled
	same := func(o *request) bool { return o == r }
	s.queue = slices.DeleteFunc(s.queue, same)
	s.running = slices.DeleteFunc(s.running, same)
	s.stats.Cancelled++
	s.recordLoad()
	r.notifyReaders()
	s.wakeLoop()
}

// startExpiry starts the retention period of a stream. When it is over, the request is cancelled if it is still in
// flight, and the stream is deleted. It does nothing while the stream has readers or after Close. The caller holds the
// lock.
func (s *Server) startExpiry(r *request) {
	if len(r.readers) > 0 || s.closed {
		return
	}
	r.stopExpiry()
	var t clockwork.Timer
	t = s.clock.AfterFunc(s.cfg.StreamRetention, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if r.expiry != t {
			return // A reader attached in the meantime.
		}
		s.cancel(r)
		if s.streams[r.id] == r {
			delete(s.streams, r.id)
		}
	})
	r.expiry = t
}

// attach adds a reader, stops the retention timer and returns the reader's wake-up channel. The caller holds the lock.
func (s *Server) attach(r *request) chan struct{} {
	r.stopExpiry()
	c := make(chan struct{}, 1)
	r.readers = append(r.readers, c)
	return c
}

// detach removes a reader and starts the retention period if it was the last one.
func (s *Server) detach(r *request, c chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.readers = slices.DeleteFunc(r.readers, func(o chan struct{}) bool { return o == c })
	s.startExpiry(r)
}
