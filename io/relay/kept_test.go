package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"geraniumsaddle/platform/fakes"
)

// TestCutOnKeptConnection guards against taking the answer on a kept connection for whole whose head or body ends early,
// and against reusing the connection after it.
func TestCutOnKeptConnection(t *testing.T) {
	t.Parallel()
	const head, body = "HTTP/1.1 200 OK\r\nId: mine\r\n", "a whole answer"
	for _, f := range fakes.Framings {
		t.Run(f.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			response, headSize := f.Response(head, body), f.HeadSize(head, body)
			next := make(chan fakes.RawResponse, 1)
			addr := newScriptedServer(t, func(c net.Conn) { answerTwice(c, next) })
			for n := range len(response) + 1 {
				for _, reset := range []bool{false, true} {
					p := New(Config{Clock: clockwork.NewFakeClock()})
					got, kept, err := readBody(p, addr)
					is.NoErr(err)
					is.Equal(got, "ok")
					is.True(!kept)
					next <- fakes.RawResponse{Bytes: response[:n], Reset: reset}
					got, kept, err = readBody(p, addr)
					is.True(kept)
					switch {
					case err != nil:
						is.True(reset || n < len(response) || !f.Sound)
					case f.Sound && !f.Unframed:
						is.Equal(n, len(response))
						is.Equal(got, body)
					default:
						is.True(n >= headSize)
						is.True(!reset || !f.Unframed)
						is.True(strings.HasPrefix(body, got))
					}
					p.closeIdle(addr)
				}
			}
		})
	}
}

// closeIdle closes the idle connections to an address.
func (p *Pool) closeIdle(addr string) {
	for _, c := range p.idle[addr] {
		_ = c.Close()
	}
}

// answerTwice answers two requests on a connection, the first one in full and the second one with the next response.
func answerTwice(c net.Conn, next <-chan fakes.RawResponse) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	if _, err := http.ReadRequest(r); err != nil {
		return
	}
	_, _ = io.WriteString(c, okResponse)
	if _, err := http.ReadRequest(r); err != nil {
		return
	}
	second := <-next
	_, _ = io.WriteString(c, second.Bytes)
	if second.Reset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// readBody sends a request and reads its response. kept says that the connection had carried another one.
func readBody(p *Pool, addr string) (body string, kept bool, err error) {
	kept = len(p.idle[addr]) > 0
	resp, err := p.Send(context.Background(), newRequest(addr))
	if err != nil {
		return "", kept, err
	}
	defer resp.Close(0)
	b, err := io.ReadAll(resp.Body)
	return string(b), kept, err
}

// TestSurplusAfterResponse guards against giving the rest of a body that is longer than its length to the next request,
// whether it arrives with the response or later.
func TestSurplusAfterResponse(t *testing.T) {
	t.Parallel()
	const surplus = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 5\r\n\r\nstale"
	for _, length := range []string{"0", "2"} {
		for _, late := range []bool{false, true} {
			is := is.New(t)
			sent := make(chan struct{})
			first := true
			addr := newScriptedServer(t, func(c net.Conn) {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				if !first {
					_, _ = io.WriteString(c, okResponse)
					return
				}
				first = false
				head := strings.Replace(okResponse, "Length: 2", "Length: "+length, 1)
				if late {
					_, _ = io.WriteString(c, head)
					_, _ = io.WriteString(c, surplus)
				} else {
					_, _ = io.WriteString(c, head+surplus)
				}
				close(sent)
				_, _ = http.ReadRequest(r)
			})
			p := New(Config{Clock: clockwork.NewFakeClock()})
			_, _, err := readBody(p, addr)
			is.NoErr(err)
			<-sent
			got, _, err := readBody(p, addr)
			is.NoErr(err)
			is.Equal(got, "ok")
		}
	}
}
