package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/platform/fakes"
)

const (
	// crowdMemoryMB and crowdFDs are the memory in megabytes and the descriptors of the VM beside crowds. The process must
	// stay within both.
	crowdMemoryMB = 96
	crowdFDs      = 1000
	// crowdTime is how long a crowd lasts at least.
	crowdTime = time.Second
	// servedTimeout bounds the wait until an ordinary request is served. It is far longer than a healthy router needs.
	servedTimeout = 30 * time.Second
	// askTimeout is how long one ordinary request waits for its answer.
	askTimeout = 5 * time.Second
	// crowdTimeoutMS is the timeout of the crowds' requests in milliseconds. It is longer than servedTimeout, so that a
	// router that only waits for it serves nobody in time.
	crowdTimeoutMS = 120_000
	// fileSize is the size in bytes of an answer on the route of the files.
	fileSize = 1 << 20
	// streamEngines is the number of targets that serve streams.
	streamEngines = 3
	// ordinaryBody is the size in bytes of the body of an ordinary request.
	ordinaryBody = crowdBody
)

// TestCrowds guards against clients that end or block a router: many connections that misbehave in the same way. The
// process lives, stays within its memory and descriptors, and serves ordinary requests and readiness checks beside the
// crowd and after it.
func TestCrowds(t *testing.T) {
	cases := []struct {
		name   string
		behave behaviour
		groups []placeGroup
		// flood says that targets send events faster than callers read them.
		flood bool
	}{
		{"body in one piece", bodyInOnePiece, everywhere, false},
		{"body in small pieces", bodyInSmallPieces, everywhere, false},
		{"chunked body", chunkedBody, everywhere, false},
		{"chunks of one byte", oneByteChunks, everywhere, false},
		{"body over the limit", bodyOverLimit, everywhere, false},
		{"chunked body over the limit", chunkedOverLimit, everywhere, false},
		{"many fields", manyFields, everywhere, false},
		{"many trailers", manyTrailers, everywhere, false},
		{"chunk extensions", chunkExtensions, everywhere, false},
		{"many parts of a prompt", manyPromptParts, []placeGroup{onStreams}, false},
		{"pipelined requests", pipelinedRequests, everywhere, false},
		{"slow head", trickledHead, everywhere, false},
		{"stopped head", stoppedHead, everywhere, false},
		{"slow body", trickledBody, everywhere, false},
		{"idle", idle, []placeGroup{onRoutes, onReadiness}, false},
		{"stopped reader", stoppedReader, []placeGroup{onFiles, onStreams, onReadiness}, true},
		{"slow reader", slowReader, []placeGroup{onFiles, onStreams, onReadiness}, true},
	}
	binary := buildRouter(t)
	for _, c := range cases {
		for _, g := range c.groups {
			t.Run(c.name+" at "+g.name, func(t *testing.T) {
				is := is.New(t)
				env := startBesideCrowd(t, binary)
				if c.flood {
					env.floodStreams()
				}
				r := env.routers[0]
				if slices.Contains(g.places, streaming) {
					waitUntil(t, r, "request for the crowd's tokens", func() error { return askTokens(r) })
				}
				watch := watchProcess(r)
				cr := startCrowd(r, c.behave, g.places)
				defer cr.end()
				time.Sleep(crowdTime)
				waitServed(t, r, "beside the crowd")
				cr.end()
				waitServed(t, r, "after the crowd")
				seen := watch.end()
				t.Logf("peak %d MB, %d descriptors", seen.peakMemory>>20, seen.descriptors)
				is.NoErr(seen.err)
				is.True(seen.peakMemory < crowdMemoryMB<<20)
				is.True(seen.descriptors < crowdFDs)
				is.Equal(len(r.ends), 0)
			})
		}
	}
}

// startBesideCrowd starts a router on a small VM, and its store and targets. Streams last two seconds, and files are large.
func startBesideCrowd(t *testing.T, binary string) *testEnv {
	t.Helper()
	const (
		maxConnections = 5000
		prepaid        = 1_000_000_000
	)
	env := &testEnv{
		cfg:   config{Binary: binary, Routers: 1, Dir: t.TempDir(), Planned: true, MemoryMB: crowdMemoryMB, MaxFDs: crowdFDs},
		store: fakes.NewStore(5), faults: make(map[string]int),
	}
	storeServer := httptest.NewServer(env.store)
	t.Cleanup(func() {
		env.close()
		env.store.Close()
		storeServer.Close()
	})
	is := is.New(t)
	is.NoErr(env.prepare(storeServer.Listener.Addr().String()))
	env.configVersion++
	config := fakes.WithSizes(fakes.Config(env.configVersion, crowdTimeoutMS, prepaid), crowdHead, crowdBody, maxConnections)
	env.store.Put("config", "main", fakes.WithFiles(config, maxConnections))
	is.NoErr(env.addFiles())
	for _, e := range env.engines {
		e.EventCount, e.EventInterval = 20, 100*time.Millisecond
	}
	_, err := env.startAll()
	is.NoErr(err)
	waitServed(t, env.routers[0], "before the crowd")
	return env
}

// floodStreams lets the targets send streams of many events at once.
func (env *testEnv) floodStreams() {
	const size = 4 << 20
	event := "data: " + strings.Repeat("e", 1<<10) + "\n\n"
	for _, e := range env.engines[:streamEngines] {
		e.SetEndless(fakes.EndlessResponse{Start: fakes.AnswerHead + fakes.StreamType + "\r\n", Pattern: event, Stall: size})
	}
}

// addFiles starts the target of the files' service.
func (env *testEnv) addFiles() error {
	e, err := fakes.NewEngine("files-0")
	if err != nil {
		return err
	}
	env.engines = append(env.engines, e)
	e.SetScript(fakes.AnswerHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", fileSize) + strings.Repeat("f", fileSize))
	env.store.Put("servers", e.ID, e.RegistryEntry(fakes.FilesService, "a", "ready"))
	return nil
}

// waitServed waits until the router serves an ordinary request without a body, one with a body and a key, and a readiness
// check.
func waitServed(t *testing.T, r *router, when string) {
	t.Helper()
	look := func() error { return askOnce(r, "/look/1", "", nil) }
	book := func() error { return askOnce(r, "/book/1", "key1", payload[:ordinaryBody]) }
	ready := func() error { return askReady(r) }
	waitUntil(t, r, "request "+when, look)
	waitUntil(t, r, "request with a body "+when, book)
	waitUntil(t, r, "readiness check "+when, ready)
}

// waitUntil repeats a request until it is served.
func waitUntil(t *testing.T, r *router, name string, send func() error) {
	t.Helper()
	const pause = 100 * time.Millisecond
	began := time.Now()
	for err := send(); err != nil; err = send() {
		if !r.running() {
			t.Fatalf("%s: the process has ended: %+v", name, r.ends)
		}
		if time.Since(began) > servedTimeout {
			t.Fatalf("%s is not served: %v", name, err)
		}
		time.Sleep(pause)
	}
	t.Logf("%s is served after %d ms", name, time.Since(began).Milliseconds())
}

// askTokens sends a request for as many tokens as the streams of a crowd hold together. The error says why it wasn't served.
func askTokens(r *router) error {
	return askStatus(r, "/chat/1", fakes.CallerHeader("tokens", "key1", 1, crowdSize*fakes.ChatTokens))
}

// askStatus sends a request and reads only the head of the answer.
func askStatus(r *router, path string, header http.Header) error {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.callerAddr+path, http.NoBody)
	if err != nil {
		return err
	}
	req.Host, req.Header, req.Close = fakes.Host, header, true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close() // The rest of the answer is not wanted.
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// askOnce sends a request on a new connection. The error says why it wasn't served.
func askOnce(r *router, path, key string, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.callerAddr+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Host, req.Header, req.Close = fakes.Host, fakes.CallerHeader("ordinary", key, 0, 0), true
	fakes.SetDeadline(req.Header, int(askTimeout.Milliseconds()))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%d %.100s", resp.StatusCode, answer)
	}
	return err
}

// askReady asks once whether the router is ready. The error says why it isn't.
func askReady(r *router) error {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + r.readyAddr + "/readyz")
	if err != nil {
		return err
	}
	if err := resp.Body.Close(); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// processWatch samples the open descriptors of a process.
type processWatch struct {
	r    *router
	proc *process
	stop chan struct{}
	most chan int
}

// processUse is what a process has used.
type processUse struct {
	peakMemory  int
	descriptors int
	// err says that the process isn't the one that was watched from the start.
	err error
}

// watchProcess watches the process of a router until end.
func watchProcess(r *router) *processWatch {
	const interval = 50 * time.Millisecond
	w := &processWatch{r: r, proc: r.process(), stop: make(chan struct{}), most: make(chan int, 1)}
	dir := filepath.Join("/proc", strconv.Itoa(w.proc.cmd.Process.Pid), "fd")
	go func() {
		most := 0
		for {
			if files, err := os.ReadDir(dir); err == nil {
				most = max(most, len(files))
			}
			select {
			case <-w.stop:
				w.most <- most
				return
			case <-time.After(interval):
			}
		}
	}()
	return w
}

// end returns what the process has used since watchProcess.
func (w *processWatch) end() processUse {
	close(w.stop)
	use := processUse{descriptors: <-w.most}
	use.peakMemory, use.err = w.r.peakMemory()
	if use.err == nil && w.r.process() != w.proc {
		use.err = fmt.Errorf("router %s was started again", w.r.name)
	}
	return use
}
