package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
)

// eventWriter formats the events of one connection of a stream. The fault switches are those set when it started.
type eventWriter struct {
	req         *request
	faults      Faults
	chunkPrefix string // start of the JSON of every chunk
	sent        int    // events formatted so far
	buf         []byte
}

func newEventWriter(r *request, f Faults, created int64) *eventWriter {
	return &eventWriter{req: r, faults: f, chunkPrefix: newChunkPrefix(r.id, r.model, created)}
}

// newChunkPrefix returns the JSON of a chunk up to the start of the choices.
func newChunkPrefix(id, model string, created int64) string {
	return `{"id":` + quote(id) + `,"object":"chat.completion.chunk","created":` + strconv.FormatInt(created, 10) +
		`,"model":` + quote(model) + `,"choices":[`
}

// quote encodes a string as JSON.
func quote(s string) string {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // A string always encodes.
	}
	return string(b)
}

// finalOffset returns the offset of the [DONE] event.
func (e *eventWriter) finalOffset() int {
	if e.req.includeUsage && !e.faults.NoUsage {
		return e.req.outputTokens + 2
	}
	return e.req.outputTokens + 1
}

// appendData appends the data of the event at an offset. The events are one per token, the finish reason, the usage if
// it is requested, and [DONE].
func (e *eventWriter) appendData(offset int) {
	r := e.req
	switch {
	case offset < r.outputTokens:
		e.buf = append(e.buf, e.chunkPrefix...)
		e.buf = append(e.buf, `{"index":0,"delta":{`...)
		if offset == 0 {
			e.buf = append(e.buf, `"role":"assistant",`...)
		}
		e.buf = append(e.buf, `"content":"`...)
		e.buf = appendToken(e.buf, r.seed, offset)
		e.buf = append(e.buf, `"},"finish_reason":null}]}`...)
	case offset == r.outputTokens:
		e.buf = append(e.buf, e.chunkPrefix...)
		e.buf = append(e.buf, `{"index":0,"delta":{},"finish_reason":"`+r.finishReason+`"}]}`...)
	case offset == e.finalOffset():
		e.buf = append(e.buf, "[DONE]"...)
	default:
		e.buf = append(e.buf, e.chunkPrefix...)
		e.buf = append(e.buf, `],"usage":`...)
		b, err := json.Marshal(r.reportedUsage(e.faults))
		if err != nil {
			panic(err) // A struct of numbers always encodes.
		}
		e.buf = append(append(e.buf, b...), '}')
	}
}

// appendEvent appends the event at an offset, or its malformed form. It reports whether to cut the connection after it.
func (e *eventWriter) appendEvent(offset int) (cut bool) {
	e.sent++
	if e.sent == 2 && e.faults.Malformed != "" && e.appendMalformed(offset) {
		return e.faults.Malformed == MalformedTruncated
	}
	e.buf = append(e.buf, "id: "...)
	e.buf = strconv.AppendInt(e.buf, int64(offset), 10)
	e.buf = append(e.buf, "\ndata: "...)
	e.appendData(offset)
	e.buf = append(e.buf, "\n\n"...)
	return e.faults.CutAfter > 0 && e.sent >= e.faults.CutAfter && offset < e.finalOffset()
}

// appendMalformed appends the malformed form of the event at an offset. It reports false, and appends nothing, if the
// kind is unknown.
func (e *eventWriter) appendMalformed(offset int) bool {
	id := "id: " + strconv.Itoa(offset) + "\ndata: "
	switch e.faults.Malformed {
	case MalformedJSON:
		e.buf = append(e.buf, id+`{"id":"`+"\n\n"...)
	case MalformedTruncated:
		e.buf = append(e.buf, id+e.chunkPrefix...)
	case MalformedOversized:
		e.buf = append(e.buf, id+`{"pad":"`+strings.Repeat("x", 1<<20)+"\"}\n\n"...)
	case MalformedCrossed:
		other := newChunkPrefix(e.req.id+"-other", e.req.model, 0)
		e.buf = append(e.buf, id+other+`{"index":0,"delta":{"content":"crossed "},"finish_reason":null}]}`+"\n\n"...)
	case MalformedOffset:
	default:
		return false
	}
	return true
}

// writeStream streams the events from an offset to one reader until the stream ends or the client disconnects.
func (s *Server) writeStream(w http.ResponseWriter, httpReq *http.Request, r *request, wake chan struct{}, offset int) {
	s.mu.Lock()
	e := newEventWriter(r, s.faults.forVersion(r.version), s.started.Unix())
	s.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", r.id)
	w.WriteHeader(http.StatusOK)
	out := http.NewResponseController(w)
	for {
		s.mu.Lock()
		end, state := r.generated, r.state
		s.mu.Unlock()
		if state == stateDone {
			end = e.finalOffset() + 1
		}
		var cut bool
		for ; offset < end && !cut; offset++ {
			cut = e.appendEvent(offset)
			if len(e.buf) >= 32<<10 {
				if !e.flush(w) {
					return
				}
			}
		}
		if !e.flush(w) || out.Flush() != nil {
			return
		}
		if cut || state == stateCancelled {
			panic(http.ErrAbortHandler)
		}
		if state == stateDone {
			return
		}
		select {
		case <-wake:
		case <-httpReq.Context().Done():
			return
		}
	}
}

// flush writes the buffered events. It reports whether the write succeeded.
func (e *eventWriter) flush(w http.ResponseWriter) bool {
	_, err := w.Write(e.buf)
	e.buf = e.buf[:0]
	return err == nil
}

// resume serves GET /v1/streams/{id}, which continues a stream at an offset.
func (s *Server) resume(w http.ResponseWriter, httpReq *http.Request) {
	offset, err := strconv.Atoi(httpReq.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		writeError(w, http.StatusBadRequest, "invalid_offset", "offset must be a number of chunks")
		return
	}
	s.mu.Lock()
	r := s.streams[httpReq.PathValue("id")]
	if r == nil || r.state == stateCancelled {
		s.mu.Unlock()
		writeError(w, http.StatusNotFound, "absent", "the stream is not kept")
		return
	}
	if offset > r.outputTokens+2 {
		s.mu.Unlock()
		writeError(w, http.StatusBadRequest, "invalid_offset", "the offset is behind the end of the stream")
		return
	}
	wake := s.attach(r)
	s.mu.Unlock()
	defer s.detach(r, wake)
	s.writeStream(w, httpReq, r, wake, offset)
}

func (s *Server) cancelStream(w http.ResponseWriter, httpReq *http.Request) {
	s.mu.Lock()
	r := s.streams[httpReq.PathValue("id")]
	if r != nil {
		s.cancel(r)
	}
	s.mu.Unlock()
	if r == nil {
		writeError(w, http.StatusNotFound, "absent", "the stream is not kept")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// requestReply is the body of GET /v1/requests/{id}.
type requestReply struct {
	State        string `json:"state"`
	PromptTokens int    `json:"prompt_tokens"`
	OutputTokens int    `json:"output_tokens"`
	FinishReason string `json:"finish_reason,omitempty"`
}

func (s *Server) getRequest(w http.ResponseWriter, httpReq *http.Request) {
	s.mu.Lock()
	out := requestReply{State: "absent"}
	if r := s.streams[httpReq.PathValue("id")]; r != nil {
		out = requestReply{State: "running", PromptTokens: r.promptTokens, OutputTokens: r.generated}
		switch r.state {
		case stateDone:
			out.State, out.FinishReason = "done", r.finishReason
		case stateCancelled:
			out.State, out.FinishReason = "done", "cancelled"
		case stateQueued, stateRunning:
		}
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}
