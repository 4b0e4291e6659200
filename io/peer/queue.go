package peer

import (
	"time"

	"geraniumsaddle/core/ident"
)

// bucket is a token bucket of bytes.
type bucket struct {
	rate  float64 // bytes per second
	burst float64
	level float64
	last  time.Time
}

func newBucket(rate, burst ident.Bytes, now time.Time) bucket {
	return bucket{rate: float64(rate), burst: float64(burst), level: float64(burst), last: now}
}

// take consumes n bytes and reports whether they may be sent now. Low-priority messages must leave half of the burst,
// so that they are dropped first.
func (b *bucket) take(n int, p priority, now time.Time) bool {
	if d := now.Sub(b.last); d > 0 {
		b.level = min(b.burst, b.level+b.rate*d.Seconds())
		b.last = now
	}
	reserve := 0.0
	if p == priorityLow {
		reserve = b.burst / 2
	}
	if b.level-float64(n) < reserve {
		return false
	}
	b.level -= float64(n)
	return true
}

// frame is an encoded one-way message.
type frame struct {
	typ  Type
	data []byte
}

// sendQueue holds the frames that wait for one peer, in sending order.
type sendQueue struct {
	frames []frame
	bytes  int
}

// push appends f. While the queue exceeds a limit it drops low-priority frames, oldest first. If that is not enough, it
// drops f, or the last frame left. It returns the dropped frames.
func (q *sendQueue) push(f frame, maxFrames, maxBytes int) []frame {
	q.frames = append(q.frames, f)
	q.bytes += len(f.data)
	var dropped []frame
	for i := 0; i < len(q.frames) && q.overLimit(maxFrames, maxBytes); {
		if types[q.frames[i].typ].priority != priorityLow {
			i++
			continue
		}
		dropped = append(dropped, q.remove(i))
	}
	if q.overLimit(maxFrames, maxBytes) {
		dropped = append(dropped, q.remove(len(q.frames)-1))
	}
	return dropped
}

func (q *sendQueue) overLimit(maxFrames, maxBytes int) bool {
	return len(q.frames) > maxFrames || q.bytes > maxBytes
}

func (q *sendQueue) remove(i int) frame {
	f := q.frames[i]
	q.frames = append(q.frames[:i], q.frames[i+1:]...)
	q.bytes -= len(f.data)
	return f
}

// takeAll removes and returns all frames.
func (q *sendQueue) takeAll() []frame {
	fs := q.frames
	q.frames, q.bytes = nil, 0
	return fs
}
