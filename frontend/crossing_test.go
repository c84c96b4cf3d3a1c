package frontend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/frontend"
	"github.com/wigeonlock/wigeonlock/relay"
)

// crossingConn delivers the bytes of late once its reader is stopped, as if they had arrived at
// that moment.
type crossingConn struct {
	net.Conn
	late    io.Reader
	mu      sync.Mutex
	stopped chan struct{}
}

func (c *crossingConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !at.IsZero() && at.Before(time.Now().Add(-time.Hour)) {
		select {
		case <-c.stopped:
		default:
			close(c.stopped)
		}
		return nil
	}
	return c.Conn.SetReadDeadline(at)
}

func (c *crossingConn) Read(p []byte) (int, error) {
	type read struct {
		data []byte
		err  error
	}
	done := make(chan read, 1)
	go func() {
		buf := make([]byte, len(p))
		n, err := c.Conn.Read(buf)
		done <- read{buf[:n], err}
	}()
	select {
	case r := <-done:
		return copy(p, r.data), r.err
	case <-c.stopped:
		c.mu.Lock()
		defer c.mu.Unlock()
		if n, err := c.late.Read(p); err == nil {
			return n, nil
		}
		return 0, timeoutError{}
	}
}

type timeoutError struct{}

func (timeoutError) Error() string   { return "i/o timeout" }
func (timeoutError) Timeout() bool   { return true }
func (timeoutError) Temporary() bool { return true }

type crossingListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

func (l crossingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(c), nil
}

// TestRequestThatCrossesTheCloseIsNotRun guards against a planned stop that loses requests: one
// that arrives with the answer that closes its connection was passed on, and its answer dropped.
func TestRequestThatCrossesTheCloseIsNotRun(t *testing.T) {
	tests := map[string]struct {
		// early and late are the parts of what follows the first request that arrive before and
		// after the first answer closes the connection.
		early, late string
	}{
		"request after the close":             {late: get("/2")},
		"several requests after the close":    {late: get("/2") + get("/3")},
		"end of the head after the close":     {early: get("/2")[:20], late: get("/2")[20:]},
		"body after the close":                {late: "PUT /2 HTTP/1.1\r\nHost: h\r\nId: x\r\nContent-Length: 4\r\n\r\nbody"},
		"body awaited after the close":        {late: "PUT /2 HTTP/1.1\r\nHost: h\r\nId: x\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nbody"},
		"bad request after the close":         {late: "GET\r\n\r\n"},
		"request not to repeat, after it all": {late: strings.Replace(get("/2"), "GET", "POST", 1)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			first := make(chan struct{})
			h := &handler{release: map[string]chan struct{}{"/1": first}}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			s := &frontend.Server{
				HeaderNames: frontend.HeaderNames{RequestID: "Id", TimeLeft: "Time-Left", Object: "Object"},
				Handler:     h, Limits: func() frontend.Limits { return _limits },
			}
			served := make(chan error, 1)
			go func() {
				served <- s.Serve(crossingListener{Listener: l, wrap: func(c net.Conn) net.Conn {
					return &crossingConn{Conn: c, late: strings.NewReader(tt.late), stopped: make(chan struct{})}
				}})
			}()
			s.DisableKeepAlive()
			c, r := dial(t, l.Addr().String())
			_, err = io.WriteString(c, get("/1")+tt.early)
			require.NoError(t, err)
			time.Sleep(20 * time.Millisecond)
			close(first)
			resp, body := read(t, r)
			assert.Equal(t, "/1:", body)
			assert.True(t, resp.closes)
			rest, err := io.ReadAll(r)
			require.NoError(t, err)
			assert.Empty(t, string(rest), "nothing follows the answer that closes the connection")
			s.Shutdown(context.Background())
			require.NoError(t, <-served)
			started, _ := h.requests()
			assert.Equal(t, []string{"/1"}, started, "what has no answer must not be passed on")
		})
	}
}

// TestEveryRequestPassedOnIsAnswered guards against the same loss when the second request is
// read right before the first answer closes the connection, and was not counted as pending yet.
func TestEveryRequestPassedOnIsAnswered(t *testing.T) {
	const (
		callers  = 8
		pairs    = 400
		workTime = 300 * time.Microsecond
	)
	h := &handler{}
	s, address := start(t, &delayed{handler: h, wait: workTime}, _limits)
	s.DisableKeepAlive()
	var mu sync.Mutex
	answered := make(map[string]bool)
	var wg sync.WaitGroup
	for n := range callers {
		wg.Go(func() {
			for k := range pairs {
				for _, path := range pair(t, address, fmt.Sprintf("/%d-%d", n, k), rand.N(2*workTime)) {
					mu.Lock()
					answered[path] = true
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	started, _ := h.requests()
	lost := slices.DeleteFunc(started, func(path string) bool { return answered[path] })
	assert.Empty(t, lost, "passed on and not answered")
}

// pair sends two requests on a connection, the second after a pause, and returns the paths of
// those that were answered.
func pair(t *testing.T, address, path string, pause time.Duration) []string {
	c, err := net.Dial("tcp", address)
	if !assert.NoError(t, err) {
		return nil
	}
	defer func() { _ = c.Close() }()
	assert.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(c, get(path+"-1"))
	assert.NoError(t, err)
	time.Sleep(pause)
	// It fails if the connection has closed.
	_, _ = io.WriteString(c, get(path+"-2"))
	var answered []string
	r := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return answered
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return answered
		}
		answered = append(answered, strings.TrimSuffix(string(body), ":"))
	}
}

// delayed waits before it answers a request.
type delayed struct {
	*handler
	wait time.Duration
}

// Handle answers after a time.
func (d *delayed) Handle(ctx context.Context, r *relay.Request) *relay.Answer {
	time.Sleep(d.wait)
	return d.handler.Handle(ctx, r)
}
