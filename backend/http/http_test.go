package http_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/backend"
	backendhttp "github.com/wigeonlock/wigeonlock/backend/http"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
)

// workerOf answers each request on a connection with the bytes that a script returns.
func workerOf(t *testing.T, script func(n int, r *http.Request, c net.Conn) string) backend.Worker {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				for n := 1; ; n++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.WriteString(c, script(n, r, c)); err != nil {
						return
					}
				}
			}()
		}
	}()
	return backend.Worker{Name: "w", Address: l.Addr().String()}
}

func handle(t *testing.T, transport *backendhttp.Transport, w backend.Worker, id string) (*relay.Answer, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	a, _ := transport.Handle(ctx, w, &relay.Request{ID: id, Method: http.MethodGet, URI: "/", Body: &relay.Body{}})
	if a.Body == nil {
		return a, ""
	}
	defer a.Close()
	body, err := io.ReadAll(a.Body)
	if err != nil {
		return a, "broken"
	}
	return a, string(body)
}

func answerTo(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", relay.HeaderRequestID, id, len(body), body)
}

// TestLateCopyIsNoAnswer has a worker send a second copy of an answer when the next
// request is already on the connection: the next caller must not get it.
func TestLateCopyIsNoAnswer(t *testing.T) {
	w := workerOf(t, func(n int, r *http.Request, _ net.Conn) string {
		own := answerTo(r.Header.Get(relay.HeaderRequestID), "own")
		if n == 1 {
			return own
		}
		return answerTo("r1", "copy") + own
	})
	transport := &backendhttp.Transport{Connections: 1}
	_, body := handle(t, transport, w, "r1")
	assert.Equal(t, "own", body)
	for n := 2; n < 6; n++ {
		a, body := handle(t, transport, w, fmt.Sprint("r", n))
		assert.NotEqual(t, "copy", body)
		if a.Outcome == retry.Run {
			assert.Equal(t, "own", body)
		}
	}
}

// TestEndlessHeadEnds has a worker send a head without end.
func TestEndlessHeadEnds(t *testing.T) {
	w := workerOf(t, func(_ int, _ *http.Request, c net.Conn) string {
		var err error
		for err == nil {
			_, err = io.WriteString(c, "HTTP/1.1 200 OK and more and more and more and more and more")
		}
		return ""
	})
	started := time.Now()
	a, _ := handle(t, &backendhttp.Transport{Connections: 1}, w, "r1")
	assert.Equal(t, retry.Unknown, a.Outcome)
	assert.Less(t, time.Since(started), 3*time.Second)
}

// TestStaleRefusalIsNoPromise has a worker write an earlier refusal once more on a kept
// connection, while it runs the next request: its caller must not be told that it did not run.
func TestStaleRefusalIsNoPromise(t *testing.T) {
	for name, refusal := range map[string]string{
		"without ID": "HTTP/1.1 503 Full\r\nWigeonlock-Refused: true\r\nContent-Length: 0\r\n\r\n",
		"with ID":    "HTTP/1.1 503 Full\r\nWigeonlock-Refused: true\r\nWigeonlock-Request-Id: r1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			w := workerOf(t, func(int, *http.Request, net.Conn) string { return refusal })
			transport := &backendhttp.Transport{Connections: 1}
			first, _ := handle(t, transport, w, "r1")
			assert.Equal(t, retry.NotRun, first.Outcome)
			second, _ := handle(t, transport, w, "r2")
			assert.Equal(t, retry.Unknown, second.Outcome)
		})
	}
}

// TestHeadThatBreaksOffIsNoAnswer has a worker stop at each byte of the head of its answer, and
// close or reset the connection.
func TestHeadThatBreaksOffIsNoAnswer(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nWigeonlock-Request-Id: r1\r\nContent-Length: 100\r\n\r\n",
		"HTTP/1.1 200 OK\r\nWigeonlock-Request-Id: r1\r\nContent-Type: text/plain\r\n\r\n",
	} {
		for end := range len(head) {
			w := workerOf(t, func(_ int, _ *http.Request, c net.Conn) string {
				_, _ = io.WriteString(c, head[:end])
				if end%2 == 0 {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				_ = c.Close()
				return ""
			})
			a, body := handle(t, &backendhttp.Transport{Connections: 1}, w, "r1")
			assert.True(t, a.Outcome == retry.Unknown || body == "broken", "%q", head[:end])
		}
	}
}

// TestStatusOfNoAnswer has a worker answer with a status that no answer has: the request may
// have run, and the connection is closed.
func TestStatusOfNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "199", "600", "999", "2000", "-1"} {
		for _, body := range []string{"", "body"} {
			t.Run(status+body, func(t *testing.T) {
				var conns sync.Map
				w := workerOf(t, func(_ int, r *http.Request, c net.Conn) string {
					conns.Store(c, nil)
					if id := r.Header.Get(relay.HeaderRequestID); id != "one" {
						return answerTo(id, "whole")
					}
					return fmt.Sprintf("HTTP/1.1 %s x\r\n%s: true\r\nContent-Length: %d\r\n\r\n%s", status, relay.HeaderRefused, len(body), body)
				})
				transport := &backendhttp.Transport{Connections: 4}
				a, _ := handle(t, transport, w, "one")
				assert.Equal(t, retry.Unknown, a.Outcome)
				_, got := handle(t, transport, w, "two")
				assert.Equal(t, "whole", got)
				n := 0
				conns.Range(func(any, any) bool { n++; return true })
				assert.Equal(t, 2, n, "connections")
			})
		}
	}
}

// TestStatusAloneIsNoRefusal guards against payments that run twice: a worker that does not say
// that it refused has run the request, whatever its status promises.
func TestStatusAloneIsNoRefusal(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		w := workerOf(t, func(_ int, r *http.Request, _ net.Conn) string {
			return fmt.Sprintf("HTTP/1.1 %d x\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", status, relay.HeaderRequestID, r.Header.Get(relay.HeaderRequestID))
		})
		a, _ := handle(t, &backendhttp.Transport{Connections: 1}, w, "one")
		assert.Equal(t, retry.Run, a.Outcome, status)
		assert.Equal(t, status, a.Status)
	}
}
