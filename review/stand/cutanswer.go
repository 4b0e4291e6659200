//go:build review

package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The case cutanswer: two of four servers answer long requests before they have read them, without a length. These are few
// of their answers. One of the two crashes in the middle of them.
const (
	// longBody is the size of the requests, max_body_bytes of the configuration.
	longBody = 4 << 20
	// answerSize is the size of the answers.
	answerSize = 3600
	// shortBody is the size up to which a server reads a request before it answers.
	shortBody = 64 << 10
	// readLater is when a server reads the rest of a long request.
	readLater = time.Second
	servers   = 4
	// unframedServers answer long requests without a length.
	unframedServers = 2
	requests        = 12
	// shortRequests are served before, so that at most 5 in 100 answers of a server have no length.
	shortRequests = 600
)

// wholeBody returns the body of the answer to a request.
func wholeBody(id string) []byte {
	line := []byte("answer to " + id + "\n")
	return bytes.Repeat(line, answerSize/len(line)+1)[:answerSize]
}

// runCutServer serves requests as an engine of a plain service at an address. Its id is the second argument. The third one
// is "unframed" for a server that answers long requests early and without a length.
func runCutServer(args []string) error {
	ln, err := net.Listen("tcp", args[0])
	if err != nil {
		return err
	}
	for {
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		go serveCut(c, args[1], args[2] == "unframed")
	}
}

// serveCut handles the requests of a connection. If unframed is set, the answer to a long request begins before the request
// is read. It has no length, and its end is the end of the connection.
func serveCut(c net.Conn, instance string, unframed bool) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get("Attempt-Id")
		if req.Header.Get("Expect-Instance") != instance {
			_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: "+id+"\r\nNot-Run: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			return
		}
		fmt.Println("note runs", id)
		whole := wholeBody(id)
		head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nEngine-Stamp: stamp." + instance + "." + id + "\r\nContent-Type: text/plain\r\n"
		if req.ContentLength <= shortBody || !unframed {
			_, _ = io.Copy(io.Discard, req.Body)
			_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(whole), whole)
			if err != nil {
				return
			}
			continue
		}
		half := len(whole) / 2
		_, _ = fmt.Fprintf(c, "%sConnection: close\r\n\r\n%s", head, whole[:half])
		fmt.Println("note half answered", id)
		time.Sleep(readLater)
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		_, _ = c.Write(whole[half:])
		fmt.Println("note whole answered", id)
		return
	}
}

// cutConfig has one service with a route whose requests run at most once.
const cutConfig = `{"version":3,"routes":[{"name":"reserve","host":"` + host + `","path_prefix":"/puxa403/","kind":"unsafe",
"timeout_ms":10000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":1}],
"services":[{"name":"desk","health_path":"/healthz","max_connections":100}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["` + key + `"]}]}`

// playCutAnswer checks MIXED: a client gets no success with a body that isn't the whole body of the server.
func playCutAnswer(f *fleet, trouble bool) (int, error) {
	if err := f.startStore(); err != nil {
		return 0, err
	}
	if err := f.write("config", "main", cutConfig); err != nil {
		return 0, err
	}
	var engines []*process
	for n := range servers {
		id, addr, kind := fmt.Sprintf("i-%d", n), f.addr(20+n, 8120), "framed"
		if n < unframedServers {
			kind = "unframed"
		}
		p, err := f.spawn("server-"+id, nil, self("cutserver", addr, id, kind)...)
		if err != nil {
			return 0, err
		}
		engines = append(engines, p)
		spec := fmt.Sprintf(`{"service":"desk","address":%q,"zone":"be-central-a","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"seq":1,"born":%d}`, addr, time.Now().UnixMilli())
		if err := f.write("servers", id, spec); err != nil {
			return 0, err
		}
	}
	var routers []*router
	for range 2 {
		r, err := f.startRouter()
		if err != nil {
			return 0, err
		}
		routers = append(routers, r)
	}
	for i, r := range routers {
		n := 0
		err := waitFor("requests are served", 10*time.Second, func() bool {
			n++
			a := f.send(r, request{method: http.MethodPost, path: "/puxa403/2f", id: fmt.Sprintf("first-%d-%d", i, n), body: []byte("x")})
			return a.status == http.StatusOK
		})
		if err != nil {
			return 0, err
		}
	}
	if err := f.sendShort(routers); err != nil {
		return 0, err
	}
	return f.cutOne(routers, engines, trouble)
}

// sendShort sends the short requests, eight at a time.
func (f *fleet) sendShort(routers []*router) error {
	const workers = 8
	var failed atomic.Int64
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for i := w; i < shortRequests; i += workers {
				id := fmt.Sprintf("short-%d", i)
				a := f.send(routers[i%len(routers)], request{method: http.MethodPost, path: "/puxa403/2f", id: id, body: []byte("x")})
				if a.status != http.StatusOK || !bytes.Equal(a.body, wholeBody(id)) {
					failed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	if n := failed.Load(); n > 0 {
		return fmt.Errorf("%d short requests were not served", n)
	}
	return nil
}

// cutOne sends the long requests, ends one server in the middle of its answers, and counts the answers that look complete
// but aren't.
func (f *fleet) cutOne(routers []*router, engines []*process, trouble bool) (int, error) {
	answers := make([]answer, requests)
	id := func(i int) string { return fmt.Sprintf("long-%d", i) }
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() {
			answers[i] = f.send(routers[i%len(routers)], request{method: http.MethodPost, path: "/puxa403/2f", id: id(i),
				headers: map[string]string{"Deadline-Ms": "10000"}, body: make([]byte, longBody)})
		})
	}
	err := waitFor("a server begins to answer a long request", 10*time.Second, func() bool {
		return engines[0].count("half answered") > 0
	})
	if err != nil {
		return 0, err
	}
	if trouble {
		time.Sleep(300 * time.Millisecond)
		f.note("server crashes", "name", engines[0].name)
		engines[0].kill()
	}
	wg.Wait()
	broken, whole := 0, 0
	for i, a := range answers {
		want := wholeBody(id(i))
		switch {
		case a.status == http.StatusOK && a.complete && !bytes.Equal(a.body, want):
			broken++
			f.note("MIXED: a success that looks complete has not the whole body of the server", "id", id(i),
				"got_bytes", len(a.body), "whole_bytes", len(want))
		case a.status == http.StatusOK && a.complete:
			whole++
		}
	}
	f.note("long requests", "whole", whole, "cut_but_complete", broken, "others", requests-whole-broken)
	if !trouble && whole < requests {
		return 0, errors.New("not all requests were served without the disruption")
	}
	return broken, nil
}
