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
	// maxResumes bounds the attempts in a row to continue a broken stream without a new chunk.
	maxResumes = 4
	resumeWait = 100 * time.Millisecond
	chatRoute  = "chat/completions"
	// endWait is the time after the request's deadline in which the error that ends its stream is written.
	endWait = 2 * time.Second
	// callerBytes is the resident memory that a stream keeps while it is suspended: the caller's connection with its
	// goroutines, and the request. targetBytes is what an open stream of the target adds.
	callerBytes ident.Bytes = 53 << 10
	targetBytes ident.Bytes = 64 << 10
	// promptOverhead is added to the estimate of a prompt, in tokens.
	promptOverhead ident.Tokens = 8
)

// chat is a running chat completion.
type chat struct {
	n   *Node
	r   caller.ChatRequest
	w   caller.ChatWriter
	res reservation

	need     ident.Tokens
	prompt   ident.Tokens
	start    time.Time
	first    time.Time
	choice   target.Choice
	client   *engine.Client
	chunks   int64
	contents int64
	usage    engine.Usage
	hasUsage bool
	usageEv  []byte
	begun    bool
	// detached means that the caller went away from a request with an idempotency key. It runs on, so that a retry
	// finds its answer.
	detached bool
	exclude  []ident.TargetID
	row      *streamRow
	keyHash  claim.ID
	// journaled means that the hold is in the journal; joined, that another attempt runs and bills the request.
	journaled bool
	joined    bool
	// earlier is the outcome of the attempts before the present one, or empty if none can have reached a target.
	earlier ident.Outcome
}

// Chat implements caller.Backend.
func (n *Node) Chat(ctx context.Context, r caller.ChatRequest, w caller.ChatWriter) error {
	done, err := n.traffic.admit(ctx)
	if err != nil {
		return err
	}
	defer done()
	if !n.view.Load().hasModel(r.Model) {
		return n.absent("the model %q does not exist", r.Model)
	}
	row, err := n.traffic.streams.reserve(r.Caller.Org)
	if err != nil {
		return caller.Refuse(caller.CodeOverloaded, ident.OutcomeNotRun, "%s", err).After(time.Second)
	}
	defer n.traffic.streams.release(row)
	if b, ok := w.(caller.DeadlineWriter); ok && !r.Deadline.IsZero() {
		b.SetWriteDeadline(r.Deadline.Add(endWait))
	}
	c := &chat{n: n, r: r, w: w, row: row, start: n.clock.Now()}
	if r.IdempotencyKey != "" {
		return n.chatKeyed(ctx, c)
	}
	return c.run(ctx)
}

// bounds returns the tokens to hold: the estimate of the prompt and the output bound.
func (c *chat) bounds() (prompt, need ident.Tokens) {
	prompt = ident.Tokens(c.r.PromptBytes/c.n.cfg.PromptBytesPerToken) + promptOverhead
	output := c.r.MaxTokens
	if output == 0 {
		output = ident.Tokens(c.n.cfg.DefaultMaxTokens)
	}
	return prompt, prompt + output
}

func (c *chat) run(ctx context.Context) error {
	c.prompt, c.need = c.bounds()
	var err error
	if c.res, err = c.n.reserve(ctx, c.r.Caller, c.need); err != nil {
		return err
	}
	c.n.gates.first()
	for attempt := 1; ; attempt++ {
		err = c.attempt(ctx)
		if err == nil || !c.mayRetry(ctx, err, attempt) {
			break
		}
		c.remember(err)
	}
	err = c.truthful(err)
	c.finish(err)
	return err
}

// retryable marks a failure before the first chunk, after which another target may be tried.
type retryable struct {
	refusal *caller.Refusal
}

func (r *retryable) Error() string { return r.refusal.Error() }
func (r *retryable) Unwrap() error { return r.refusal }

// mayRetry reports whether another target is tried. A chat completion has no effect besides its answer, so it may be
// repeated while the caller has received nothing.
func (c *chat) mayRetry(ctx context.Context, err error, attempt int) bool {
	var r *retryable
	return errors.As(err, &r) && !c.begun && attempt < maxAttempts && ctx.Err() == nil && c.n.gates.retry(c.n.clock.Now())
}

// remember keeps the outcome of a failed attempt that may have reached its target.
func (c *chat) remember(err error) {
	var r *retryable
	if !errors.As(err, &r) || r.refusal.Outcome == ident.OutcomeNotRun || c.earlier == ident.OutcomeRun {
		return
	}
	c.earlier = r.refusal.Outcome
}

// truthful replaces the outcome not_run of the last attempt when an earlier one may have reached a target.
func (c *chat) truthful(err error) error {
	var ref *caller.Refusal
	if c.earlier == "" || !errors.As(err, &ref) || ref.Outcome != ident.OutcomeNotRun {
		return err
	}
	out := *ref
	out.Outcome = c.earlier
	return &out
}

// attempt sends the request to one target and copies the answer.
func (c *chat) attempt(ctx context.Context) error {
	choice, err := c.acquire(ctx)
	if err != nil {
		return c.spill(ctx, err)
	}
	c.choice = choice
	if err := c.open(ctx); err != nil {
		c.choice.Release(target.ResultNeutral)
		return err
	}
	if c.client, err = c.n.pools.engine(choice.URL); err != nil {
		c.choice.Release(target.ResultFailed)
		return caller.Refuse(caller.CodeUnavailable, ident.OutcomeNotRun, "the target's address is invalid")
	}
	s, err := c.client.Start(context.WithoutCancel(ctx), engine.Request{
		ID: c.r.ID, Version: choice.Version, Route: chatRoute, Priority: c.r.Priority, Body: c.r.Body})
	if err != nil {
		return c.startFailed(err)
	}
	return c.copy(ctx, s)
}

func (c *chat) acquire(ctx context.Context) (target.Choice, error) {
	ctx, cancel := context.WithTimeout(ctx, c.n.cfg.QueueWait)
	defer cancel()
	key := target.Key{Model: c.r.Model, Domain: c.n.domain}
	now := c.n.clock.Now()
	prefix := prefixOf(c.r.Prefix)
	return c.n.gates.get(key).acquire(ctx, target.Request{
		Sticky: string(c.r.Caller.Org) + "/" + string(c.r.Prefix), Prefix: prefix, Retryable: true, Exclude: c.exclude,
		Now: now, Rand: c.n.traffic.random(),
	}, queue.Item{
		ID: c.r.ID, Org: c.r.Caller.Org, Cost: c.need, Bytes: ident.Bytes(len(c.r.Body)), Deadline: now.Add(c.n.cfg.QueueWait),
	})
}

// startFailed releases the target and says what the failure means for the caller.
func (c *chat) startFailed(err error) error {
	var e *engine.Error
	status := 0
	if errors.As(err, &e) {
		status = e.Status
	}
	c.exclude = append(c.exclude, c.choice.Target)
	switch {
	case errors.Is(err, engine.ErrNotSent):
		c.choice.Release(target.ResultFailed)
		return &retryable{caller.Refuse(caller.CodeUnavailable, ident.OutcomeNotRun, "the target could not be reached").After(time.Second)}
	case errors.Is(err, engine.ErrRejected) && status >= 400 && status < 500 && status != 429:
		c.choice.Release(target.ResultOK)
		return caller.Refuse(caller.CodeTargetRejected, ident.OutcomeRun, "the target rejected the request with status %d", status)
	case errors.Is(err, engine.ErrRejected):
		c.choice.Release(target.ResultFailed)
		c.evidence(true)
		return &retryable{caller.Refuse(caller.CodeTargetFailed, ident.OutcomeRun, "the target failed with status %d", status)}
	}
	c.abandon(target.ResultFailed)
	c.evidence(true)
	return &retryable{caller.Refuse(caller.CodeOutcomeUnknown, ident.OutcomeUnknown, "the target did not answer")}
}

// abandon cancels the request at the target and keeps the slot until the target has confirmed it.
func (c *chat) abandon(r target.Result) {
	if c.joined {
		return
	}
	c.n.traffic.reap(c.client, c.r.ID, c.choice, r)
}

// copy writes the chunks of a stream to the caller. A broken stream is resumed at its offset.
func (c *chat) copy(ctx context.Context, s *engine.Stream) error {
	c.n.traffic.streams.add(c.row, s)
	defer c.n.traffic.streams.remove(c.row)
	defer c.row.close()
	if !c.survives() {
		stop := context.AfterFunc(ctx, c.row.close)
		defer stop()
	}
	failures := 0
	for {
		before := c.chunks
		err := c.pump()
		switch {
		case err == nil:
			return c.complete()
		case errors.As(err, new(*callerGone)):
			return c.leave(err)
		case ctx.Err() != nil && !c.detached:
			return c.leave(&callerGone{ctx.Err()})
		}
		if c.chunks > before {
			failures = 0
		}
		failures++
		if !c.resume(ctx, failures) {
			return c.broken(err)
		}
	}
}

// survives reports whether the request runs on when its caller goes away. Without a key nobody can ask for the rest.
func (c *chat) survives() bool { return c.r.IdempotencyKey != "" && !c.joined }

// callerGone marks a failure to write to the caller.
type callerGone struct{ err error }

func (e *callerGone) Error() string { return "caller went away: " + e.err.Error() }

// pump copies chunks until the stream ends. Its error is that of the target, errSuspended or a *callerGone. It holds
// no reference to the stream while it writes, so that the buffers of a suspended stream are freed. The chunks that
// were read ahead into them are read again after the resumption.
func (c *chat) pump() error {
	for {
		s := c.row.stream()
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
		if err := c.take(chunk, !s.Buffered()); err != nil {
			if !c.survives() {
				return err
			}
			c.detached = true
		}
	}
}

func (c *chat) take(chunk engine.Chunk, flush bool) error {
	if c.first.IsZero() {
		c.first = c.n.clock.Now()
	}
	if len(chunk.Content) > 0 {
		c.contents++
	}
	if chunk.HasUsage {
		c.usage, c.hasUsage = chunk.Usage, true
		c.usageEv = append([]byte(nil), chunk.Data...)
		return nil
	}
	if c.detached {
		return nil
	}
	if !c.begun {
		c.begun = true
		// No further attempt needs the prompt, which may be larger than all buffers of the stream.
		c.r.Body, c.r.Prefix = nil, nil
		if err := c.w.Begin(c.r.ID); err != nil {
			return &callerGone{err}
		}
	}
	c.row.writing(c.n.clock.Now())
	defer c.row.written()
	if err := c.w.Chunk(chunk.Data); err != nil {
		return &callerGone{err}
	}
	if !flush {
		return nil
	}
	if err := c.w.Flush(); err != nil {
		return &callerGone{err}
	}
	return nil
}

// resume opens the stream again at the next chunk and reports whether that worked.
func (c *chat) resume(ctx context.Context, failures int) bool {
	for ; failures <= maxResumes; failures++ {
		for !c.n.traffic.streams.reopen(c.row) {
			select {
			case <-c.n.clock.After(resumeWait):
			case <-ctx.Done():
				return false
			}
		}
		s, err := c.client.Resume(c.n.life, c.r.ID, c.chunks)
		if err == nil {
			c.row.replace(s)
			if ctx.Err() != nil && !c.survives() {
				// The end of the context closed the stream before this one.
				c.row.close()
			}
			return true
		}
		var e *engine.Error
		if errors.As(err, &e) && errors.Is(err, engine.ErrRejected) {
			return false
		}
		select {
		case <-c.n.clock.After(resumeWait << failures):
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// complete ends a whole answer.
func (c *chat) complete() error {
	c.choice.Release(target.ResultOK)
	c.evidence(false)
	if c.detached {
		return nil
	}
	if !c.begun {
		c.begun = true
		if err := c.w.Begin(c.r.ID); err != nil {
			return nil //nolint:nilerr // the caller went away from a finished request
		}
	}
	u := c.billedUsage()
	if err := c.w.End(c.usageEv, u); err != nil {
		c.n.log.Debug("caller went away before the end", "request_id", c.r.ID)
	}
	return nil
}

// broken ends an answer that cannot be completed.
func (c *chat) broken(err error) error {
	c.evidence(true)
	c.abandon(target.ResultFailed)
	c.n.log.Warn("stream of a target broke", "request_id", c.r.ID, "target", c.choice.Target, "chunks", c.chunks, "error", err)
	ref := caller.Refuse(caller.CodeIncompleteAnswer, ident.OutcomeRun, "the target's stream ended early")
	if !c.begun {
		c.chunks, c.contents, c.hasUsage = 0, 0, false
		return &retryable{ref}
	}
	return ref
}

// leave ends a request whose caller went away or whose time ran out.
func (c *chat) leave(err error) error {
	c.abandon(target.ResultNeutral)
	c.n.log.Debug("caller went away", "request_id", c.r.ID, "error", err)
	return caller.Refuse(caller.CodeIncompleteAnswer, ident.OutcomeRun, "the request ended before its answer was complete")
}

// billedUsage returns the usage that the target reported, or else what was streamed.
func (c *chat) billedUsage() caller.Usage {
	u := caller.Usage{PromptTokens: ident.Tokens(c.usage.PromptTokens), CompletionTokens: ident.Tokens(c.usage.OutputTokens)}
	if !c.hasUsage {
		u = caller.Usage{PromptTokens: c.prompt, CompletionTokens: ident.Tokens(c.contents)}
	}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	return u
}
