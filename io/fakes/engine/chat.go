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

// maxPrefixes bounds the blocks of one prompt that enter the cache.
const maxPrefixes = 1024

func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	var body chatBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		fail(w, http.StatusBadRequest, "invalid_body", err.Error())
		return
	}
	prompt, err := body.prompt()
	if err != nil {
		fail(w, http.StatusBadRequest, "invalid_body", err.Error())
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		fail(w, http.StatusBadRequest, "invalid_header", "the header X-Request-Id is required")
		return
	}
	priority, err := strconv.Atoi(r.Header.Get("X-Priority"))
	if err != nil {
		priority = 0
	}
	seed := xxhash.Sum64String(prompt)
	req := &request{
		id: id, model: body.Model, version: r.Header.Get("X-Model-Version"), seed: seed,
		prompt: PromptTokens(prompt), bound: body.bound(), priority: priority,
		usage: !body.Stream || body.StreamOptions.IncludeUsage,
	}
	req.total, req.finish = body.length(seed)
	wake, ok := s.accept(w, req, prompt, r.Header.Get("X-Route"))
	if !ok {
		return
	}
	defer s.detach(req, wake)
	if body.Stream {
		s.write(w, r, req, wake, 0)
		return
	}
	s.answer(w, r, req, wake)
}

// accept holds the request and returns its first reader, or answers with the refusal.
func (s *Server) accept(w http.ResponseWriter, r *request, prompt, route string) (chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults.of(r.version)
	capacity := s.cfg.Capacity
	if s.faults.Capacity > 0 {
		capacity = s.faults.Capacity
	}
	switch {
	case s.closed:
		fail(w, http.StatusServiceUnavailable, "closing", "the engine is stopping")
	case s.held() >= capacity:
		s.stats.Breaches++
		w.Header().Set("Retry-After", "1")
		fail(w, http.StatusServiceUnavailable, "over_capacity", "the engine holds as many requests as it can")
	case len(s.cfg.Versions) > 0 && !slices.Contains(s.control.loaded, r.version):
		fail(w, http.StatusNotFound, "version_not_loaded", "the engine has not loaded the version")
	case f.ErrorRate > 0 && s.rand.Float64() < f.ErrorRate,
		f.FailRoute != "" && f.FailRoute == route,
		f.FailUnderLoad > 0 && s.held() >= f.FailUnderLoad:
		s.stats.Failed++
		s.stats.Versions[r.version]++
		fail(w, http.StatusInternalServerError, "injected", "a fault switch chose this request")
	default:
		prefixes := client.PrefixHashes(prompt, maxPrefixes)
		hits := s.cache.use(prefixes, s.clock.Now(), &s.faults.CacheGap)
		r.cached = min(r.prompt, hits*client.PrefixBlockBytes/4)
		r.prefill = s.cfg.PrefillPerBlock * time.Duration(len(prefixes)-hits)
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

// reported returns the usage as the fault switches report it.
func (r *request) reported(f Faults) *usageReply {
	if f.NoUsage {
		return nil
	}
	out := r.total
	if f.OverBound > 0 {
		out = r.bound + f.OverBound
	}
	return &usageReply{
		PromptTokens: r.prompt, CompletionTokens: out, TotalTokens: r.prompt + out,
		PromptDetails: promptDetails{r.cached},
	}
}

// answer waits for the whole answer and sends it as one JSON object.
func (s *Server) answer(w http.ResponseWriter, hr *http.Request, r *request, wake chan struct{}) {
	for {
		s.mu.Lock()
		state, f := r.state, s.faults.of(r.version)
		s.mu.Unlock()
		switch state {
		case stateCancelled:
			panic(http.ErrAbortHandler)
		case stateDone:
			var text []byte
			for i := range r.total {
				text = appendToken(text, r.seed, i)
			}
			reply(w, http.StatusOK, completion{
				ID: r.id, Object: "chat.completion", Created: s.started.Unix(), Model: r.model,
				Choices: []choice{{Message: message{Role: "assistant", Content: string(text)}, FinishReason: r.finish}},
				Usage:   r.reported(f),
			})
			return
		case stateQueued, stateRunning:
		}
		select {
		case <-wake:
		case <-hr.Context().Done():
			return
		}
	}
}
