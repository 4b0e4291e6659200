package edge

import (
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"geraniumsaddle/core/budget"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/io/conns"
	"geraniumsaddle/platform"
)

// freeAnswerHead is the cost in bytes up to which the head of an answer is part of budget.RequestCost.
const freeAnswerHead ident.Bytes = 8 << 10

// freePromptSize is the size in bytes up to which the parts of a prompt are part of budget.RequestCost.
const freePromptSize ident.Bytes = 1 << 10

// memoryWait is how long a request that hasn't been passed on to a target waits for memory of evicted connections.
const memoryWait = 250 * time.Millisecond

// newMemoryBudget returns the budget of a process with the given memory in bytes.
func newMemoryBudget(memory int64) *budget.Budget {
	if memory <= 0 {
		memory = defaultMemory
	}
	return budget.New(budget.LimitFor(ident.Bytes(memory)))
}

// maxCallerConns returns how many connections of callers a process with the given number of descriptors can hold. If it is
// zero, the limit of the operating system counts. The other descriptors are for files, targets, the store and other routers.
func maxCallerConns(descriptors int) (int, error) {
	const (
		files       = 200
		callerShare = 0.75 // of the rest
	)
	if descriptors <= 0 {
		var limit syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			return 0, trace.Wrap(err, "read the limit of open files")
		}
		descriptors = int(min(limit.Cur, math.MaxInt32))
	}
	return max(int(callerShare*float64(descriptors-files)), 1), nil
}

// context returns the context with the deadline of the request, or that of the caller's connection while the request is
// admitted.
func (x *exchange) context() context.Context {
	if x.ctx != nil {
		return x.ctx
	}
	return x.r.Context()
}

// reserve reserves memory for the request. Before the request is passed on it waits for a short time and returns
// conns.ErrFull. After that it waits until the deadline and returns the error of the context.
func (x *exchange) reserve(class budget.Class, n ident.Bytes) error {
	if x.ctx == nil {
		return x.s.callers.Reserve(x.r.Context(), class, n, memoryWait)
	}
	return x.s.callers.Reserve(x.ctx, class, n, 0)
}

// holdPrompt reserves what the parts of the request's prompt take beyond the head, before its body is read.
func (x *exchange) holdPrompt() (refusal, bool) {
	if x.requestHeaders.Prompt == nil {
		return refusal{}, true
	}
	n := ident.Bytes(len(x.requestHeaders.Prompt.Parts))
	if n <= freePromptSize {
		return refusal{}, true
	}
	if x.reserve(budget.Heads, n) != nil {
		return refuseNoMemory, false
	}
	x.promptHeld = n
	return refusal{}, true
}

// holdRequest reserves what the request takes at a target, before it is passed on.
func (x *exchange) holdRequest() (refusal, bool) {
	if x.reserve(budget.Answers, budget.RequestCost) != nil {
		return refuseNoMemory, false
	}
	x.requestHeld = budget.RequestCost
	return refusal{}, true
}

// holdAnswerHead reserves memory for the head of an answer that has the given size in bytes and lines so far, if that is more
// than holdRequest allows for.
func (x *exchange) holdAnswerHead(size, lines int) error {
	more := budget.RequestCost + budget.HeadCost(ident.Bytes(size), lines) - freeAnswerHead - x.requestHeld
	if more <= 0 {
		return nil
	}
	if err := x.reserve(budget.Answers, more); err != nil {
		return err
	}
	x.requestHeld += more
	return nil
}

// refusedHead returns the answer to a request whose head isn't whole.
func refusedHead(reason conns.Refusal) []byte {
	r := refuseNoMemory
	if reason == conns.HeadTooLarge {
		r = refuseHeadersTooLarge
	}
	body := r.reason + "\n"
	resp := http.Response{
		StatusCode: r.status, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Close: true,
		Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body)),
	}
	platform.SetErrorHeaders(resp.Header, "", r.retryAfter)
	resp.Header.Set("Content-Type", "text/plain; charset=utf-8")
	var b bytes.Buffer
	_ = resp.Write(&b) // A bytes.Buffer takes everything.
	return b.Bytes()
}

// evictionLog logs when the process begins and ends to evict connections.
type evictionLog struct {
	evicted uint64
	active  bool
}

// update logs a change since the last call.
func (l *evictionLog) update(s *Server) {
	evicted := s.callers.Rejected()
	for _, stage := range budget.EvictableStages() {
		evicted += s.callers.Evictions(stage)
	}
	active := evicted > l.evicted
	l.evicted = evicted
	if active == l.active {
		return
	}
	l.active = active
	s.deps.Log.Warn("eviction of callers' connections", "active", active, "evicted_total", evicted,
		"held_bytes", s.memory.Total(), "limit_bytes", s.memory.Limit(), "connections", s.callers.Len())
}
