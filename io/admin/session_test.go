package admin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	fake "geraniumsaddle/io/fakes/store"
)

// step is one request of a session with the expected response.
type step struct {
	Name   string            `json:"name"`
	Faults *fake.Faults      `json:"platform"`
	As     string            `json:"as"`
	Call   string            `json:"call"`
	Header map[string]string `json:"header"`
	Body   json.RawMessage   `json:"body"`
	// Size, if not zero, replaces the body with that many spaces.
	Size   int    `json:"size"`
	Status int    `json:"status"`
	Code   string `json:"code"`
	// Paths are the paths of the expected faults, in order.
	Paths []string `json:"paths"`
	// Has lists strings that the response body must contain.
	Has []string `json:"has"`
	// Save is the name of a variable that is set to the ETag. Later headers refer to it as $NAME.
	Save string `json:"save"`
}

// TestSessions checks the responses of each route: successes, errors with all their faults, roles, preconditions,
// limits and platform outages. Each data file is a sequence of requests to a new server.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/sessions/*.json")
	is.New(t).NoErr(err)
	is.New(t).True(len(files) > 0)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".json"), func(t *testing.T) {
			is := is.New(t)
			raw, err := os.ReadFile(file)
			is.NoErr(err)
			var steps []step
			dec := json.NewDecoder(bytes.NewReader(raw))
			dec.DisallowUnknownFields()
			is.NoErr(dec.Decode(&steps))
			api := newTestAPI(t)
			saved := map[string]string{}
			for _, s := range steps {
				s.run(t, api, saved)
			}
		})
	}
}

func (s step) run(t *testing.T, api *testAPI, saved map[string]string) {
	t.Helper()
	if s.Faults != nil {
		api.platform.SetFaults(*s.Faults)
	}
	if s.Call == "" {
		return
	}
	method, path, _ := strings.Cut(s.Call, " ")
	body := []byte(s.Body)
	if s.Size > 0 {
		body = bytes.Repeat([]byte(" "), s.Size)
	}
	var text string
	if json.Unmarshal(s.Body, &text) == nil && text != "" {
		body = []byte(text) // a JSON string holds a body that may be invalid JSON
	}
	r, err := http.NewRequestWithContext(t.Context(), method, api.url+path, bytes.NewReader(body))
	is.New(t).NoErr(err)
	if s.As != "" {
		r.Header.Set("Authorization", "Bearer "+s.As)
	}
	for k, v := range s.Header {
		for name, version := range saved {
			v = strings.ReplaceAll(v, "$"+name, version)
		}
		r.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(r)
	is.New(t).NoErr(err)
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	is.New(t).NoErr(err)
	s.checkResponse(t, resp, got)
	if s.Save != "" {
		saved[s.Save] = resp.Header.Get("ETag")
	}
}

func (s step) checkResponse(t *testing.T, resp *http.Response, got []byte) {
	t.Helper()
	var body problemBody
	code, paths := "", []string(nil)
	if json.Unmarshal(got, &body) == nil && body.Error != nil {
		code = body.Error.Code
		for _, f := range body.Error.Faults {
			paths = append(paths, f.Path)
		}
	}
	if resp.StatusCode != s.Status || code != s.Code || strings.Join(paths, " ") != strings.Join(s.Paths, " ") {
		t.Errorf("%s: got %d %q %q, want %d %q %q: %s", s.Name, resp.StatusCode, code, paths, s.Status, s.Code, s.Paths, got)
	}
	for _, part := range s.Has {
		if !strings.Contains(string(got), part) {
			t.Errorf("%s: %q is not in %s", s.Name, part, got)
		}
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "" {
		t.Errorf("%s: 503 without Retry-After", s.Name)
	}
}
