package caller

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"geraniumsaddle/core/ident"
)

var (
	ssePrefix = []byte("data: ")
	sseSuffix = []byte("\n\n")
	sseDone   = []byte("data: [DONE]\n\n")
)

// sendBufferBytes is the size of a connection's send buffer in the kernel, which doubles the value for its bookkeeping.
// Without this limit the kernel lets the buffer of a slow reader grow to megabytes.
const sendBufferBytes = 16 << 10

// BoundSendBuffer limits the kernel memory used by a caller that reads slowly. It is to be set as the ConnContext of an
// http.Server.
func BoundSendBuffer(ctx context.Context, c net.Conn) context.Context {
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapped.NetConn()
	}
	if t, ok := c.(*net.TCPConn); ok {
		// The error is ignored: if the connection is already closed, its first read fails.
		_ = t.SetWriteBuffer(sendBufferBytes)
	}
	return ctx
}

// DeadlineWriter is a ChatWriter with a write deadline. The end of the request's context does not abort a blocked
// write, so without a deadline a caller that never reads would hold its tokens and its slot forever.
type DeadlineWriter interface {
	ChatWriter
	// SetWriteDeadline sets the deadline for all writes.
	SetWriteDeadline(deadline time.Time)
}

// sseWriter writes a chat completion as server-sent events.
type sseWriter struct {
	w            http.ResponseWriter
	rc           *http.ResponseController
	includeUsage bool
	started      bool
	hasDeadline  bool
	buf          []byte
}

var _ DeadlineWriter = (*sseWriter)(nil)

// SetWriteDeadline implements DeadlineWriter.
func (s *sseWriter) SetWriteDeadline(deadline time.Time) {
	s.hasDeadline = s.rc.SetWriteDeadline(deadline) == nil
}

// clearWriteDeadline removes the deadline, because the connection may serve further requests.
func (s *sseWriter) clearWriteDeadline() {
	if s.hasDeadline {
		_ = s.rc.SetWriteDeadline(time.Time{})
	}
}

// flushThreshold is the number of buffered bytes at which Chunk writes without waiting for Flush. net/http buffers
// writes below 4 KB, so a threshold below that causes no additional system calls.
const flushThreshold = 2 << 10

func (s *sseWriter) Begin(id ident.RequestID) error {
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("X-Request-Id", string(id))
	h.Set("Request-Outcome", string(ident.OutcomeRun))
	s.w.WriteHeader(http.StatusOK)
	s.started = true
	return nil
}

func (s *sseWriter) Chunk(data []byte) error {
	s.buf = append(s.buf, ssePrefix...)
	s.buf = append(s.buf, data...)
	s.buf = append(s.buf, sseSuffix...)
	if len(s.buf) < flushThreshold {
		return nil
	}
	return s.writeBuffered()
}

func (s *sseWriter) writeBuffered() error {
	if len(s.buf) == 0 {
		return nil
	}
	_, err := s.w.Write(s.buf)
	s.buf = s.buf[:0]
	return err
}

func (s *sseWriter) Flush() error {
	if err := s.writeBuffered(); err != nil {
		return err
	}
	return s.rc.Flush()
}

func (s *sseWriter) End(usageEvent []byte, _ Usage) error {
	defer s.clearWriteDeadline()
	if s.includeUsage && usageEvent != nil {
		if err := s.Chunk(usageEvent); err != nil {
			return err
		}
	}
	s.buf = append(s.buf, sseDone...)
	return s.Flush()
}

// writeError ends a started stream with an error event instead of the end marker.
func (s *sseWriter) writeError(r *Refusal) {
	defer s.clearWriteDeadline()
	if err := s.Chunk(r.jsonBody()); err != nil {
		return
	}
	_ = s.Flush()
}

// completionWriter assembles the chunks of a chat completion into one JSON answer.
type completionWriter struct {
	w            http.ResponseWriter
	id           ident.RequestID
	completion   chatCompletion
	message      completionMessage
	finishReason string
	toolCalls    []toolCall
	content      []byte
	refusal      []byte
}

type chatCompletion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   Usage              `json:"usage"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role      string     `json:"role"`
	Content   *string    `json:"content"`
	Refusal   *string    `json:"refusal,omitempty"`
	ToolCalls []toolCall `json:"tool_calls,omitempty"`
}

type toolCall struct {
	Index    *int         `json:"index,omitempty"`
	ID       string       `json:"id,omitempty"`
	Type     string       `json:"type,omitempty"`
	Function toolFunction `json:"function"`
}

type toolFunction struct {
	Name      string `json:"name,omitempty"`
	Arguments string `json:"arguments"`
}

type chunkEvent struct {
	ID      string        `json:"id"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
}

type chunkChoice struct {
	Delta        chunkDelta `json:"delta"`
	FinishReason string     `json:"finish_reason"`
}

type chunkDelta struct {
	Content   string     `json:"content"`
	Refusal   string     `json:"refusal"`
	ToolCalls []toolCall `json:"tool_calls"`
}

func (c *completionWriter) Begin(id ident.RequestID) error {
	c.id = id
	return nil
}

func (c *completionWriter) Chunk(data []byte) error {
	var e chunkEvent
	if err := json.Unmarshal(data, &e); err != nil {
		return Refuse(CodeIncompleteAnswer, ident.OutcomeRun, "the target sent a malformed event")
	}
	c.completion.ID, c.completion.Created, c.completion.Model = e.ID, e.Created, e.Model
	for _, choice := range e.Choices {
		c.content = append(c.content, choice.Delta.Content...)
		c.refusal = append(c.refusal, choice.Delta.Refusal...)
		if choice.FinishReason != "" {
			c.finishReason = choice.FinishReason
		}
		for _, t := range choice.Delta.ToolCalls {
			c.addToolCall(t)
		}
	}
	return nil
}

// addToolCall appends a tool call, or extends the arguments of the tool call with the same index.
func (c *completionWriter) addToolCall(t toolCall) {
	i := len(c.toolCalls)
	if t.Index != nil {
		i = *t.Index
	}
	if i >= 0 && i < len(c.toolCalls) {
		c.toolCalls[i].Function.Arguments += t.Function.Arguments
		return
	}
	t.Index = nil
	c.toolCalls = append(c.toolCalls, t)
}

func (c *completionWriter) Flush() error { return nil }

func (c *completionWriter) End(_ []byte, u Usage) error {
	c.message = completionMessage{Role: "assistant", ToolCalls: c.toolCalls}
	content := string(c.content)
	if len(c.toolCalls) == 0 || content != "" {
		c.message.Content = &content
	}
	if len(c.refusal) > 0 {
		refusal := string(c.refusal)
		c.message.Refusal = &refusal
	}
	c.completion.Object = "chat.completion"
	c.completion.Usage = u
	c.completion.Choices = []completionChoice{{Message: c.message, FinishReason: c.finishReason}}
	h := c.w.Header()
	h.Set("X-Request-Id", string(c.id))
	h.Set("Request-Outcome", string(ident.OutcomeRun))
	return writeJSON(c.w, http.StatusOK, c.completion)
}

func writeJSON(w http.ResponseWriter, status int, v any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	return json.NewEncoder(w).Encode(v)
}
