package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
)

// events is one connection of a stream with the switches that were set when it started.
type events struct {
	r      *request
	faults Faults
	head   string // of each chunk's JSON
	sent   int
	buf    []byte
}

func newEvents(r *request, f Faults, created int64) *events {
	return &events{r: r, faults: f, head: chunkHead(r.id, r.model, created)}
}

func chunkHead(id, model string, created int64) string {
	return `{"id":` + quote(id) + `,"object":"chat.completion.chunk","created":` + strconv.FormatInt(created, 10) +
		`,"model":` + quote(model) + `,"choices":[`
}

func quote(s string) string {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // A string always encodes.
	}
	return string(b)
}

// last returns the offset of the event that ends the stream.
func (e *events) last() int {
	if e.r.usage && !e.faults.NoUsage {
		return e.r.total + 2
	}
	return e.r.total + 1
}

// data appends the data of the event at an offset: the tokens, the finish reason, the usage if it is wanted, and the
// end mark.
func (e *events) data(offset int) {
	r := e.r
	switch {
	case offset < r.total:
		e.buf = append(e.buf, e.head...)
		e.buf = append(e.buf, `{"index":0,"delta":{`...)
		if offset == 0 {
			e.buf = append(e.buf, `"role":"assistant",`...)
		}
		e.buf = append(e.buf, `"content":"`...)
		e.buf = appendToken(e.buf, r.seed, offset)
		e.buf = append(e.buf, `"},"finish_reason":null}]}`...)
	case offset == r.total:
		e.buf = append(e.buf, e.head...)
		e.buf = append(e.buf, `{"index":0,"delta":{},"finish_reason":"`+r.finish+`"}]}`...)
	case offset == e.last():
		e.buf = append(e.buf, "[DONE]"...)
	default:
		e.buf = append(e.buf, e.head...)
		e.buf = append(e.buf, `],"usage":`...)
		b, err := json.Marshal(r.reported(e.faults))
		if err != nil {
			panic(err) // A struct of numbers always encodes.
		}
		e.buf = append(append(e.buf, b...), '}')
	}
}

// add appends the event at an offset. It reports whether the connection is to be cut after it.
func (e *events) add(offset int) (cut bool) {
	e.sent++
	if e.sent == 2 && e.faults.Malformed != "" && e.broken(offset) {
		return e.faults.Malformed == MalformedTruncated
	}
	e.buf = append(e.buf, "id: "...)
	e.buf = strconv.AppendInt(e.buf, int64(offset), 10)
	e.buf = append(e.buf, "\ndata: "...)
	e.data(offset)
	e.buf = append(e.buf, "\n\n"...)
	return e.faults.CutAfter > 0 && e.sent >= e.faults.CutAfter && offset < e.last()
}

// broken appends what a malformed stream has in place of the event at an offset.
func (e *events) broken(offset int) bool {
	id := "id: " + strconv.Itoa(offset) + "\ndata: "
	switch e.faults.Malformed {
	case MalformedJSON:
		e.buf = append(e.buf, id+`{"id":"`+"\n\n"...)
	case MalformedTruncated:
		e.buf = append(e.buf, id+e.head...)
	case MalformedOversized:
		e.buf = append(e.buf, id+`{"pad":"`+strings.Repeat("x", 1<<20)+"\"}\n\n"...)
	case MalformedCrossed:
		head := chunkHead(e.r.id+"-other", e.r.model, 0)
		e.buf = append(e.buf, id+head+`{"index":0,"delta":{"content":"crossed "},"finish_reason":null}]}`+"\n\n"...)
	case MalformedOffset:
	default:
		return false
	}
	return true
}

// write streams the events from an offset to one reader.
func (s *Server) write(w http.ResponseWriter, hr *http.Request, r *request, wake chan struct{}, offset int) {
	s.mu.Lock()
	e := newEvents(r, s.faults.of(r.version), s.started.Unix())
	s.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", r.id)
	w.WriteHeader(http.StatusOK)
	out := http.NewResponseController(w)
	for {
		s.mu.Lock()
		end, state := r.produced, r.state
		s.mu.Unlock()
		if state == stateDone {
			end = e.last() + 1
		}
		var cut bool
		for ; offset < end && !cut; offset++ {
			cut = e.add(offset)
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
		case <-hr.Context().Done():
			return
		}
	}
}

// flush hands the collected events to the connection. It reports whether the client is still there.
func (e *events) flush(w http.ResponseWriter) bool {
	_, err := w.Write(e.buf)
	e.buf = e.buf[:0]
	return err == nil
}

func (s *Server) resume(w http.ResponseWriter, hr *http.Request) {
	offset, err := strconv.Atoi(hr.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		fail(w, http.StatusBadRequest, "invalid_offset", "offset must be a number of chunks")
		return
	}
	s.mu.Lock()
	r := s.streams[hr.PathValue("id")]
	if r == nil || r.state == stateCancelled {
		s.mu.Unlock()
		fail(w, http.StatusNotFound, "absent", "the stream is not kept")
		return
	}
	if offset > r.total+2 {
		s.mu.Unlock()
		fail(w, http.StatusBadRequest, "invalid_offset", "the offset is behind the end of the stream")
		return
	}
	wake := s.attach(r)
	s.mu.Unlock()
	defer s.detach(r, wake)
	s.write(w, hr, r, wake, offset)
}

func (s *Server) cancelStream(w http.ResponseWriter, hr *http.Request) {
	s.mu.Lock()
	r := s.streams[hr.PathValue("id")]
	if r != nil {
		s.cancel(r)
	}
	s.mu.Unlock()
	if r == nil {
		fail(w, http.StatusNotFound, "absent", "the stream is not kept")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

type requestReply struct {
	State        string `json:"state"`
	PromptTokens int    `json:"prompt_tokens"`
	OutputTokens int    `json:"output_tokens"`
	FinishReason string `json:"finish_reason,omitempty"`
}

func (s *Server) getRequest(w http.ResponseWriter, hr *http.Request) {
	s.mu.Lock()
	out := requestReply{State: "absent"}
	if r := s.streams[hr.PathValue("id")]; r != nil {
		out = requestReply{State: "running", PromptTokens: r.prompt, OutputTokens: r.produced}
		switch r.state {
		case stateDone:
			out.State, out.FinishReason = "done", r.finish
		case stateCancelled:
			out.State, out.FinishReason = "done", "cancelled"
		case stateQueued, stateRunning:
		}
	}
	s.mu.Unlock()
	reply(w, http.StatusOK, out)
}
