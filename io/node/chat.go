package node

import (
	"context"
	"errors"
	"io"
	"time"

	"geraniumsaddle/core/claim"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/queue"
	"geraniumsaddle/core/target"
	"geraniumsaddle/io/caller"
	"geraniumsaddle/io/engine"
)

const (
	// maxAttempts bounds the targets that one request is sent to.
	maxAttempts = 3
	// maxResumes bounds how often in a row a broken stream is resumed without a new chunk, and the attempts at each
	// resumption.
	maxResumes = 4
	// resumeBackoff is the wait before stream memory is requested again. Each failed attempt to resume doubles it.
	resumeBackoff = 100 * time.Millisecond
	chatRoute     = "chat/completions"
	// endGrace is the time after the request's deadline for writing the error that ends its stream.
	endGrace = 2 * time.Second
	// callerSideBytes is the resident memory that a stream keeps while it is suspended: the caller's connection with
	// its goroutines, and the request. targetSideBytes is what an open stream from the target adds.
	callerSideBytes ident.Bytes = 53 << 10
	targetSideBytes ident.Bytes = 64 << 10
	// promptOverhead is added to the estimate of a prompt, in tokens.
	promptOverhead ident.Tokens = 8
)

// chat is a running chat completion.
type chat struct {
	n   *Node
	r   caller.ChatRequest
	w   caller.ChatWriter
	res reservation

	holdTokens     ident.Tokens
	promptEstimate ident.Tokens
	start          time.Time
	firstChunkAt   time.Time
	choice         target.Choice
	client         *engine.Client
	chunks         int64
	contentChunks  int64
	usage          engine.Usage
	hasUsage       bool
	usageEvent     []byte
	// answerBegun is set when the router starts to write the answer to the caller.
	answerBegun bool
	// detached is set when the caller of a request with an idempotency key has disconnected. The request keeps running,
	// so that a retry can get its answer.
	detached     bool
	triedTargets []ident.TargetID
	callerStream *callerStream
	keyHash      claim.ID
	// journaled is set when the hold is in the journal. joined is set when another attempt runs and bills the request
	// and this one only copies its answer.
	journaled bool
	joined    bool
	// earlier is the outcome of the attempts before the current one.
	earlier attemptOutcome
}

// Chat implements caller.Backend.
func (n *Node) Chat(ctx context.Context, r caller.ChatRequest, w caller.ChatWriter) error {
	done, err := n.traffic.admit(ctx)
	if err != nil {
		return err
	}
	defer done()
	if !n.view.Load().hasModel(r.Model) {
		return n.notFoundRefusal("the model %q does not exist", r.Model)
	}
	cs, err := n.traffic.streams.reserve(r.Caller.Org)
	if err != nil {
		return caller.Refuse(caller.CodeOverloaded, ident.OutcomeNotRun, "%s", err).After(time.Second)
	}
	defer n.traffic.streams.release(cs)
	if b, ok := w.(caller.DeadlineWriter); ok && !r.Deadline.IsZero() {
		b.SetWriteDeadline(r.Deadline.Add(endGrace))
	}
	c := &chat{n: n, r: r, w: w, callerStream: cs, start: n.clock.Now()}
	if r.IdempotencyKey != "" {
		return n.chatWithKey(ctx, c)
	}
	return c.run(ctx)
}

// estimateTokens returns the estimated tokens of the prompt, and the tokens to hold: that estimate plus the output
// bound.
func (c *chat) estimateTokens() (prompt, total ident.Tokens) {
	prompt = ident.Tokens(c.r.PromptBytes/c.n.cfg.PromptBytesPerToken) + promptOverhead
	output := c.r.MaxTokens
	if output == 0 {
		output = ident.Tokens(c.n.cfg.DefaultMaxTokens)
	}
	return prompt, prompt + output
}

func (c *chat) run(ctx context.Context) error {
	c.promptEstimate, c.holdTokens = c.estimateTokens()
	var err error
	if c.res, err = c.n.reserveTokens(ctx, c.r.Caller, c.holdTokens); err != nil {
		return err
	}
	c.n.poolQueues.recordAttempt()
	for attempt := 1; ; attempt++ {
		err = c.attempt(ctx)
		if err == nil || !c.mayRetry(ctx, err, attempt) {
			break
		}
		c.earlier.record(err)
	}
	err = c.earlier.apply(err)
	c.settle(err)
	return err
}

// retryableError is a failure before the first chunk, after which another target may be tried.
type retryableError struct {
	refusal *caller.Refusal
}

func (r *retryableError) Error() string { return r.refusal.Error() }
func (r *retryableError) Unwrap() error { return r.refusal }

// mayRetry reports whether another target is tried. A chat completion has no effect besides its answer, so it may be
// repeated while the caller has received nothing.
func (c *chat) mayRetry(ctx context.Context, err error, attempt int) bool {
	var r *retryableError
	return errors.As(err, &r) && !c.answerBegun && attempt < maxAttempts && ctx.Err() == nil && c.n.poolQueues.allowRetry(c.n.clock.Now())
}

// attempt sends the request to one target and copies the answer. If no target of this failure domain can take it,
// it is offered to other failure domains.
func (c *chat) attempt(ctx context.Context) error {
	choice, err := c.acquireTarget(ctx)
	if err != nil {
		return c.spill(ctx, err)
	}
	c.choice = choice
	if err := c.journalAttempt(ctx); err != nil {
		c.choice.Release(target.ResultNeutral)
		return err
	}
	if c.client, err = c.n.pools.engineClient(choice.URL); err != nil {
		c.choice.Release(target.ResultFailed)
		return caller.Refuse(caller.CodeUnavailable, ident.OutcomeNotRun, "the target's address is invalid")
	}
	s, err := c.client.Start(context.WithoutCancel(ctx), engine.Request{
		ID: c.r.ID, Version: choice.Version, Route: chatRoute, Priority: c.r.Priority, Body: c.r.Body})
	if err != nil {
		return c.handleStartError(err)
	}
	return c.copyStream(ctx, s)
}

// acquireTarget chooses a target and reserves a slot of it. It waits at most the queue wait.
func (c *chat) acquireTarget(ctx context.Context) (target.Choice, error) {
	ctx, cancel := context.WithTimeout(ctx, c.n.cfg.QueueWait)
	defer cancel()
	key := target.Key{Model: c.r.Model, Domain: c.n.domain}
	now := c.n.clock.Now()
	prefix := prefixHash(c.r.Prefix)
	return c.n.poolQueues.get(key).acquire(ctx, target.Request{
		Sticky: string(c.r.Caller.Org) + "/" + string(c.r.Prefix), Prefix: prefix, Retryable: true, Exclude: c.triedTargets,
		Now: now, Rand: c.n.traffic.random(),
	}, queue.Item{
		ID: c.r.ID, Org: c.r.Caller.Org, Cost: c.holdTokens, Bytes: ident.Bytes(len(c.r.Body)), Deadline: now.Add(c.n.cfg.QueueWait),
	})
}

// handleStartError releases the target and returns the error for the caller.
func (c *chat) handleStartError(err error) error {
	var e *engine.Error
	status := 0
	if errors.As(err, &e) {
		status = e.Status
	}
	c.triedTargets = append(c.triedTargets, c.choice.Target)
	switch {
	case errors.Is(err, engine.ErrNotSent):
		c.choice.Release(target.ResultFailed)
		return &retryableError{caller.Refuse(caller.CodeUnavailable, ident.OutcomeNotRun, "the target could not be reached").After(time.Second)}
	case errors.Is(err, engine.ErrRejected) && status >= 400 && status < 500 && status != 429:
		c.choice.Release(target.ResultOK)
		return caller.Refuse(caller.CodeTargetRejected, ident.OutcomeRun, "the target rejected the request with status %d", status)
	case errors.Is(err, engine.ErrRejected):
		c.choice.Release(target.ResultFailed)
		c.recordEvidence(true)
		return &retryableError{caller.Refuse(caller.CodeTargetFailed, ident.OutcomeRun, "the target failed with status %d", status)}
	}
	c.cancelAtTarget(target.ResultFailed)
	c.recordEvidence(true)
	return &retryableError{caller.Refuse(caller.CodeOutcomeUnknown, ident.OutcomeUnknown, "the target did not answer")}
}

// cancelAtTarget cancels the request at the target and keeps the slot until the target confirms that it no longer holds
// the request, or maxRequestHold has passed.
func (c *chat) cancelAtTarget(r target.Result) {
	if c.joined {
		return
	}
	c.n.traffic.cancelAndRelease(c.client, c.r.ID, c.choice, r)
}

// copyStream writes the chunks of a stream to the caller. A broken stream is resumed at its offset.
func (c *chat) copyStream(ctx context.Context, s *engine.Stream) error {
	c.n.traffic.streams.add(c.callerStream, s)
	defer c.n.traffic.streams.remove(c.callerStream)
	defer c.callerStream.close()
	if !c.outlivesCaller() {
		stop := context.AfterFunc(ctx, c.callerStream.close)
		defer stop()
	}
	failures := 0
	for {
		before := c.chunks
		err := c.copyChunks()
		switch {
		case err == nil:
			return c.complete()
		case errors.As(err, new(*callerGoneError)):
			return c.endCancelled(err)
		case ctx.Err() != nil && !c.detached:
			return c.endCancelled(&callerGoneError{ctx.Err()})
		}
		if c.chunks > before {
			failures = 0
		}
		failures++
		if !c.resume(ctx, failures) {
			return c.endBroken(err)
		}
	}
}

// outlivesCaller reports whether the request keeps running after its caller has disconnected. Without an idempotency
// key no retry can ask for the answer.
func (c *chat) outlivesCaller() bool { return c.r.IdempotencyKey != "" && !c.joined }

// callerGoneError is a failure to write to the caller, or the end of the request's context.
type callerGoneError struct{ err error }

func (e *callerGoneError) Error() string { return "caller disconnected: " + e.err.Error() }

// copyChunks copies chunks until the stream ends. It returns the error of the target, errSuspended or a
// *callerGoneError. It keeps no reference to the stream while it writes, so that the buffers of a suspended stream can
// be freed. Chunks that were read ahead into them are read again after the stream is resumed.
func (c *chat) copyChunks() error {
	for {
		s := c.callerStream.currentStream()
		if s == nil {
			return errSuspended
		}
		chunk, err := s.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		c.chunks++
		if err := c.handleChunk(chunk, !s.Buffered()); err != nil {
			if !c.outlivesCaller() {
				return err
			}
			c.detached = true
		}
	}
}

// handleChunk records what a chunk reports and writes it to the caller.
func (c *chat) handleChunk(chunk engine.Chunk, flush bool) error {
	if c.firstChunkAt.IsZero() {
		c.firstChunkAt = c.n.clock.Now()
	}
	if len(chunk.Content) > 0 {
		c.contentChunks++
	}
	if chunk.HasUsage {
		c.usage, c.hasUsage = chunk.Usage, true
		c.usageEvent = append([]byte(nil), chunk.Data...)
		return nil
	}
	if c.detached {
		return nil
	}
	if !c.answerBegun {
		c.answerBegun = true
		// No further attempt needs the prompt, which may be larger than all buffers of the stream together.
		c.r.Body, c.r.Prefix = nil, nil
		if err := c.w.Begin(c.r.ID); err != nil {
			return &callerGoneError{err}
		}
	}
	c.callerStream.beginWrite(c.n.clock.Now())
	defer c.callerStream.endWrite()
	if err := c.w.Chunk(chunk.Data); err != nil {
		return &callerGoneError{err}
	}
	if !flush {
		return nil
	}
	if err := c.w.Flush(); err != nil {
		return &callerGoneError{err}
	}
	return nil
}

// resume reopens the stream at the next chunk and reports whether that succeeded.
func (c *chat) resume(ctx context.Context, failures int) bool {
	for ; failures <= maxResumes; failures++ {
		for !c.n.traffic.streams.reserveTarget(c.callerStream) {
			select {
			case <-c.n.clock.After(resumeBackoff):
			case <-ctx.Done():
				return false
			}
		}
		s, err := c.client.Resume(c.n.ctx, c.r.ID, c.chunks)
		if err == nil {
			c.callerStream.replace(s)
			if ctx.Err() != nil && !c.outlivesCaller() {
				// The end of the context has closed only the previous stream.
				c.callerStream.close()
			}
			return true
		}
		var e *engine.Error
		if errors.As(err, &e) && errors.Is(err, engine.ErrRejected) {
			return false
		}
		select {
		case <-c.n.clock.After(resumeBackoff << failures):
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// complete ends a request whose answer is complete.
func (c *chat) complete() error {
	c.choice.Release(target.ResultOK)
	c.recordEvidence(false)
	if c.detached {
		return nil
	}
	if !c.answerBegun {
		c.answerBegun = true
		if err := c.w.Begin(c.r.ID); err != nil {
			return nil //nolint:nilerr // the target has finished the request
		}
	}
	u := c.billedUsage()
	if err := c.w.End(c.usageEvent, u); err != nil {
		c.n.log.Debug("caller disconnected before the end of the answer", "request_id", c.r.ID)
	}
	return nil
}

// endBroken ends a request whose stream broke and cannot be resumed.
func (c *chat) endBroken(err error) error {
	c.recordEvidence(true)
	c.cancelAtTarget(target.ResultFailed)
	c.n.log.Warn("target stream cannot be resumed", "request_id", c.r.ID, "target", c.choice.Target, "chunks", c.chunks, "error", err)
	refusal := caller.Refuse(caller.CodeIncompleteAnswer, ident.OutcomeRun, "the target's stream ended early")
	if !c.answerBegun {
		c.chunks, c.contentChunks, c.hasUsage = 0, 0, false
		return &retryableError{refusal}
	}
	return refusal
}

// endCancelled ends a request whose caller has disconnected or whose deadline has passed.
func (c *chat) endCancelled(err error) error {
	c.cancelAtTarget(target.ResultNeutral)
	c.n.log.Debug("request ended before its answer was complete", "request_id", c.r.ID, "error", err)
	return caller.Refuse(caller.CodeIncompleteAnswer, ident.OutcomeRun, "the request ended before its answer was complete")
}

// billedUsage returns the usage that the target reported, or else the estimate for the prompt and the number of chunks
// with content.
func (c *chat) billedUsage() caller.Usage {
	u := caller.Usage{PromptTokens: ident.Tokens(c.usage.PromptTokens), CompletionTokens: ident.Tokens(c.usage.OutputTokens)}
	if !c.hasUsage {
		u = caller.Usage{PromptTokens: c.promptEstimate, CompletionTokens: ident.Tokens(c.contentChunks)}
	}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	return u
}
