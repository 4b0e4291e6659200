package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	client "geraniumsaddle/io/engine"
)

// maxPrefixes bounds the blocks of one prompt that are cached.
const maxPrefixes = 1024

// chat serves POST /v1/chat/completions.
func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	var body chatRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_body", err.Error())
		return
	}
	prompt, err := body.prompt()
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_body", err.Error())
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		writeError(w, http.StatusBadRequest, "invalid_header", "the header X-Request-Id is required")
		return
	}
	priority, err := strconv.Atoi(r.Header.Get("X-Priority"))
	if err != nil {
		priority = 0
	}
	seed := xxhash.Sum64String(prompt)
	req := &request{
		id: id, model: body.Model, version: r.Header.Get("X-Model-Version"), seed: seed,
		promptTokens: PromptTokens(prompt), maxTokens: body.maxOutputTokens(), priority: priority,
		includeUsage: !body.Stream || body.StreamOptions.IncludeUsage,
	}
	req.outputTokens, req.finishReason = body.outputLength(seed)
	wake, ok := s.accept(w, req, prompt, r.Header.Get("X-Route"))
	if !ok {
		return
	}
	defer s.detach(req, wake)
	if body.Stream {
		s.writeStream(w, r, req, wake, 0)
		return
	}
	s.writeCompletion(w, r, req, wake)
}

// accept enqueues the request and returns the wake-up channel of its first reader, or writes the error that rejects it.
func (s *Server) accept(w http.ResponseWriter, r *request, prompt, route string) (chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults.forVersion(r.version)
	capacity := s.cfg.Capacity
	if s.faults.Capacity > 0 {
		capacity = s.faults.Capacity
	}
	switch {
	case s.closed:
		writeError(w, http.StatusServiceUnavailable, "closing", "the engine is stopping")
	case s.inFlight() >= capacity:
		s.stats.Breaches++
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusServiceUnavailable, "over_capacity", "the engine holds as many requests as it can")
	case len(s.cfg.Versions) > 0 && !slices.Contains(s.orderState.loaded, r.version):
		writeError(w, http.StatusNotFound, "version_not_loaded", "the engine has not loaded the version")
	case f.ErrorRate > 0 && s.rand.Float64() < f.ErrorRate,
		f.FailRoute != "" && f.FailRoute == route,
		f.FailUnderLoad > 0 && s.inFlight() >= f.FailUnderLoad:
		s.stats.Failed++
		s.stats.Versions[r.version]++
		writeError(w, http.StatusInternalServerError, "injected", "a fault switch chose this request")
	default:
		prefixes := client.PrefixHashes(prompt, maxPrefixes)
		hits := s.cache.insert(prefixes, s.clock.Now(), &s.faults.CacheGap)
		r.cachedTokens = min(r.promptTokens, hits*client.PrefixBlockBytes/4)
		r.prefillTime = s.cfg.PrefillPerBlock * time.Duration(len(prefixes)-hits)
		s.stats.Runs[r.id]++
		s.stats.Versions[r.version]++
		wake := s.attach(r)
		s.enqueue(r)
		return wake, true
	}
	return nil, false
}

type usageReply struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type choice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completion struct {
	ID      string      `json:"id"`
	Object  string      `json:"object"`
	Created int64       `json:"created"`
	Model   string      `json:"model"`
	Choices []choice    `json:"choices"`
	Usage   *usageReply `json:"usage,omitempty"`
}

// reportedUsage returns the usage to report, as altered by the fault switches NoUsage and OverBound.
func (r *request) reportedUsage(f Faults) *usageReply {
	if f.NoUsage {
		return nil
	}
	out := r.outputTokens
	if f.OverBound > 0 {
		out = r.maxTokens + f.OverBound
	}
	return &usageReply{
		PromptTokens: r.promptTokens, CompletionTokens: out, TotalTokens: r.promptTokens + out,
		PromptDetails: promptDetails{r.cachedTokens},
	}
}

// writeCompletion waits for the end of the request and writes the answer as one JSON object.
func (s *Server) writeCompletion(w http.ResponseWriter, httpReq *http.Request, r *request, wake chan struct{}) {
	for {
		s.mu.Lock()
		state, f := r.state, s.faults.forVersion(r.version)
		s.mu.Unlock()
		switch state {
		case stateCancelled:
			panic(http.ErrAbortHandler)
		case stateDone:
			var text []byte
			for i := range r.outputTokens {
				text = appendToken(text, r.seed, i)
			}
			writeJSON(w, http.StatusOK, completion{
				ID: r.id, Object: "chat.completion", Created: s.started.Unix(), Model: r.model,
				Choices: []choice{{Message: message{Role: "assistant", Content: string(text)}, FinishReason: r.finishReason}},
				Usage:   r.reportedUsage(f),
			})
			return
		case stateQueued, stateRunning:
		}
		select {
		case <-wake:
		case <-httpReq.Context().Done():
			return
		}
	}
}
