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

// sendBuffer is the size of a connection's send buffer in the kernel, which accounts for twice as much. By itself the
// kernel lets the buffer of a slow reader grow to megabytes.
const sendBuffer = 16 << 10

// BoundSendBuffer bounds the kernel's memory for a caller that reads slowly. It is a ConnContext of an http.Server.
func BoundSendBuffer(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(*net.TCPConn); ok {
		// A connection that has ended already fails at its first read.
		_ = t.SetWriteBuffer(sendBuffer)
	}
	return ctx
}

// DeadlineWriter is a ChatWriter whose writes end at a deadline. The end of the request's context does not end a write, so
// a caller that never reads would hold its tokens and its slot for ever.
type DeadlineWriter interface {
	ChatWriter
	// SetWriteDeadline sets the deadline of all writes.
	SetWriteDeadline(deadline time.Time)
}

// sseWriter writes a chat completion as server-sent events.
type sseWriter struct {
	w            http.ResponseWriter
	rc           *http.ResponseController
	includeUsage bool
	begun        bool
	bounded      bool
	buf          []byte
}

var _ DeadlineWriter = (*sseWriter)(nil)

// SetWriteDeadline implements DeadlineWriter.
func (s *sseWriter) SetWriteDeadline(deadline time.Time) {
	s.bounded = s.rc.SetWriteDeadline(deadline) == nil
}

// unbound ends the deadline, because the connection may serve another request.
func (s *sseWriter) unbound() {
	if s.bounded {
		_ = s.rc.SetWriteDeadline(time.Time{})
	}
}

// flushBytes is the amount of buffered data at which Chunk writes without waiting for Flush. net/http collects writes
// below 4 KB, so a smaller buffer costs no further system calls.
const flushBytes = 2 << 10

func (s *sseWriter) Begin(id ident.RequestID) error {
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("X-Request-Id", string(id))
	h.Set("Request-Outcome", string(ident.OutcomeRun))
	s.w.WriteHeader(http.StatusOK)
	s.begun = true
	return nil
}

func (s *sseWriter) Chunk(data []byte) error {
	s.buf = append(s.buf, ssePrefix...)
	s.buf = append(s.buf, data...)
	s.buf = append(s.buf, sseSuffix...)
	if len(s.buf) < flushBytes {
		return nil
	}
	return s.writeBuf()
}

func (s *sseWriter) writeBuf() error {
	if len(s.buf) == 0 {
		return nil
	}
	_, err := s.w.Write(s.buf)
	s.buf = s.buf[:0]
	return err
}

func (s *sseWriter) Flush() error {
	if err := s.writeBuf(); err != nil {
		return err
	}
	return s.rc.Flush()
}

func (s *sseWriter) End(usageEvent []byte, _ Usage) error {
	defer s.unbound()
	if s.includeUsage && usageEvent != nil {
		if err := s.Chunk(usageEvent); err != nil {
			return err
		}
	}
	s.buf = append(s.buf, sseDone...)
	return s.Flush()
}

// fail ends a begun stream with an explicit error event and without the final marker.
func (s *sseWriter) fail(r *Refusal) {
	defer s.unbound()
	if err := s.Chunk(r.body()); err != nil {
		return
	}
	_ = s.Flush()
}

// plainWriter collects a streamed chat completion into one answer.
type plainWriter struct {
	w       http.ResponseWriter
	id      ident.RequestID
	answer  plainAnswer
	message plainMessage
	finish  string
	tools   []toolCall
	content []byte
	refusal []byte
}

type plainAnswer struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []plainChoice `json:"choices"`
	Usage   Usage         `json:"usage"`
}

type plainChoice struct {
	Index        int          `json:"index"`
	Message      plainMessage `json:"message"`
	FinishReason string       `json:"finish_reason"`
}

type plainMessage struct {
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

func (p *plainWriter) Begin(id ident.RequestID) error {
	p.id = id
	return nil
}

func (p *plainWriter) Chunk(data []byte) error {
	var e chunkEvent
	if err := json.Unmarshal(data, &e); err != nil {
		return Refuse(CodeIncompleteAnswer, ident.OutcomeRun, "the target sent a malformed event")
	}
	p.answer.ID, p.answer.Created, p.answer.Model = e.ID, e.Created, e.Model
	for _, c := range e.Choices {
		p.content = append(p.content, c.Delta.Content...)
		p.refusal = append(p.refusal, c.Delta.Refusal...)
		if c.FinishReason != "" {
			p.finish = c.FinishReason
		}
		for _, t := range c.Delta.ToolCalls {
			p.addTool(t)
		}
	}
	return nil
}

// addTool appends a tool call or extends the arguments of the one with the same index.
func (p *plainWriter) addTool(t toolCall) {
	i := len(p.tools)
	if t.Index != nil {
		i = *t.Index
	}
	if i >= 0 && i < len(p.tools) {
		p.tools[i].Function.Arguments += t.Function.Arguments
		return
	}
	t.Index = nil
	p.tools = append(p.tools, t)
}

func (p *plainWriter) Flush() error { return nil }

func (p *plainWriter) End(_ []byte, u Usage) error {
	p.message = plainMessage{Role: "assistant", ToolCalls: p.tools}
	content := string(p.content)
	if len(p.tools) == 0 || content != "" {
		p.message.Content = &content
	}
	if len(p.refusal) > 0 {
		refusal := string(p.refusal)
		p.message.Refusal = &refusal
	}
	p.answer.Object = "chat.completion"
	p.answer.Usage = u
	p.answer.Choices = []plainChoice{{Message: p.message, FinishReason: p.finish}}
	h := p.w.Header()
	h.Set("X-Request-Id", string(p.id))
	h.Set("Request-Outcome", string(ident.OutcomeRun))
	return writeJSON(p.w, http.StatusOK, p.answer)
}

func writeJSON(w http.ResponseWriter, status int, v any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	return json.NewEncoder(w).Encode(v)
}
