package frontend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/frontend"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
)

// handler answers with the path and body of a request, after the channel that
// release holds for the path is closed.
type handler struct {
	mu         sync.Mutex
	started    []string
	cancelled  []string
	running    int
	maxRunning int
	release    map[string]chan struct{}
	// panics is the path of requests at which the handler panics.
	panics string
}

func (h *handler) wait(path string) chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.release[path]
}

func (h *handler) Handle(ctx context.Context, r *relay.Request) *relay.Answer {
	if r.URI == h.panics {
		panic("bad request")
	}
	h.mu.Lock()
	h.started = append(h.started, r.URI)
	h.running++
	h.maxRunning = max(h.maxRunning, h.running)
	h.mu.Unlock()
	if c := h.wait(r.URI); c != nil {
		select {
		case <-c:
		case <-ctx.Done():
			h.mu.Lock()
			h.cancelled = append(h.cancelled, r.URI)
			h.mu.Unlock()
		}
	}
	h.mu.Lock()
	h.running--
	h.mu.Unlock()
	a := &relay.Answer{Outcome: retry.Run, Status: http.StatusOK}
	relay.SetBytes(a, append([]byte(r.URI+":"), r.Body.Bytes...))
	return a
}

func (h *handler) Exclusive(r *relay.Request) bool { return r.Method == http.MethodPost }

func (h *handler) requests() (started, cancelled []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.started...), append([]string(nil), h.cancelled...)
}

func start(t *testing.T, h frontend.Handler, limits frontend.Limits) (*frontend.Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &frontend.Server{
		HeaderNames: frontend.HeaderNames{RequestID: "Id", TimeLeft: "Time-Left", Object: "Object"},
		Handler:     h, Limits: func() frontend.Limits { return limits },
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		s.Shutdown(ctx)
		assert.NoError(t, <-done)
	})
	return s, l.Addr().String()
}

var _limits = frontend.Limits{HeaderBytes: 4 << 10, BodyBytes: 1 << 20, HeaderTime: time.Second, IdleTime: time.Minute}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return c, bufio.NewReader(c)
}

func get(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\nId: x\r\n\r\n"
}

// answer is the head of an answer.
type answer struct {
	status int
	closes bool
}

func read(t *testing.T, r *bufio.Reader) (answer, string) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return answer{resp.StatusCode, resp.Close}, string(body)
}

// TestAnswersInOrder checks that answers keep the order of pipelined requests when
// the first request takes longest.
func TestAnswersInOrder(t *testing.T) {
	first := make(chan struct{})
	h := &handler{release: map[string]chan struct{}{"/1": first}}
	_, address := start(t, h, _limits)
	c, r := dial(t, address)
	_, err := io.WriteString(c, get("/1")+get("/2")+get("/3"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { started, _ := h.requests(); return len(started) == 3 }, 5*time.Second, time.Millisecond)
	close(first)
	for _, want := range []string{"/1:", "/2:", "/3:"} {
		_, body := read(t, r)
		assert.Equal(t, want, body)
	}
}

// TestExclusiveWaitsForEarlierRequests checks that a request that must not run twice
// starts only after the requests before it are answered, since one of their answers
// may close the connection.
func TestExclusiveWaitsForEarlierRequests(t *testing.T) {
	first := make(chan struct{})
	h := &handler{release: map[string]chan struct{}{"/1": first}}
	_, address := start(t, h, _limits)
	c, r := dial(t, address)
	_, err := io.WriteString(c, get("/1")+"POST /2 HTTP/1.1\r\nHost: h\r\nId: x\r\nContent-Length: 3\r\n\r\nabc")
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	started, _ := h.requests()
	assert.Equal(t, []string{"/1"}, started)
	close(first)
	read(t, r)
	_, body := read(t, r)
	assert.Equal(t, "/2:abc", body)
}

// TestDisconnectCancelsPipelinedRequests checks that all pending requests are
// cancelled when their caller disconnects.
func TestDisconnectCancelsPipelinedRequests(t *testing.T) {
	never := make(chan struct{})
	h := &handler{release: map[string]chan struct{}{"/1": never, "/2": never}}
	_, address := start(t, h, _limits)
	c, _ := dial(t, address)
	_, err := io.WriteString(c, get("/1")+get("/2"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { started, _ := h.requests(); return len(started) == 2 }, 5*time.Second, time.Millisecond)
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool { _, cancelled := h.requests(); return len(cancelled) == 2 }, 5*time.Second, time.Millisecond)
}

// TestDisconnectIsNoticedAfterLastRequest has a caller disconnect while its request runs on a
// connection from which no further one is read: the request asked for that, or the instance
// shuts down.
func TestDisconnectIsNoticedAfterLastRequest(t *testing.T) {
	for name, tt := range map[string]struct {
		request  string
		shutdown bool
	}{
		"last request": {strings.Replace(get("/1"), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1), false},
		"shutdown":     {get("/1"), true},
	} {
		t.Run(name, func(t *testing.T) {
			h := &handler{release: map[string]chan struct{}{"/1": make(chan struct{})}}
			s, address := start(t, h, _limits)
			c, _ := dial(t, address)
			_, err := io.WriteString(c, tt.request)
			require.NoError(t, err)
			require.Eventually(t, func() bool { started, _ := h.requests(); return len(started) == 1 }, 5*time.Second, time.Millisecond)
			if tt.shutdown {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go s.Shutdown(ctx)
				// Nothing is read as a request any more.
				time.Sleep(300 * time.Millisecond)
			}
			_, cancelled := h.requests()
			require.Empty(t, cancelled)
			require.NoError(t, c.Close())
			require.Eventually(t, func() bool { _, cancelled := h.requests(); return len(cancelled) == 1 }, 2*time.Second, time.Millisecond)
		})
	}
}

func TestBadInput(t *testing.T) {
	tests := map[string]struct {
		request string
		status  int
		reason  string
	}{
		"no id":         {"GET / HTTP/1.1\r\nHost: h\r\n\r\n", 400, "badRequest"},
		"bad time":      {"GET / HTTP/1.1\r\nHost: h\r\nId: x\r\nTime-Left: soon\r\n\r\n", 400, "badRequest"},
		"no protocol":   {"hello\r\n\r\n", 400, "badRequest"},
		"no path":       {"GET h.example HTTP/1.1\r\nHost: h\r\nId: x\r\n\r\n", 400, "badRequest"},
		"large header":  {"GET / HTTP/1.1\r\nHost: h\r\nId: x\r\nA: " + strings.Repeat("x", 20<<10) + "\r\n\r\n", 431, "headerTooLarge"},
		"large body":    {"POST / HTTP/1.1\r\nHost: h\r\nId: x\r\nContent-Length: 2000000\r\n\r\n", 413, "bodyTooLarge"},
		"large chunks":  {"POST / HTTP/1.1\r\nHost: h\r\nId: x\r\nTransfer-Encoding: chunked\r\n\r\n180000\r\n" + strings.Repeat("x", 0x180000), 413, "bodyTooLarge"},
		"smuggled body": {"POST / HTTP/1.1\r\nHost: h\r\nId: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400, "badRequest"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := &handler{}
			_, address := start(t, h, _limits)
			c, r := dial(t, address)
			go func() { _, _ = io.WriteString(c, tt.request) }()
			resp, body := read(t, r)
			assert.Equal(t, tt.status, resp.status)
			assert.Contains(t, body, `"reason":"`+tt.reason+`"`)
			assert.True(t, resp.closes)
			started, _ := h.requests()
			assert.Empty(t, started, "an invalid request is not served")
		})
	}
}

func TestSlowHeader(t *testing.T) {
	limits := _limits
	limits.HeaderTime = 50 * time.Millisecond
	_, address := start(t, &handler{}, limits)
	c, r := dial(t, address)
	_, err := io.WriteString(c, "GET / HT")
	require.NoError(t, err)
	resp, _ := read(t, r)
	assert.Equal(t, http.StatusRequestTimeout, resp.status)
}

func TestIdleConnectionEnds(t *testing.T) {
	limits := _limits
	limits.IdleTime = 50 * time.Millisecond
	h := &handler{release: map[string]chan struct{}{"/slow": make(chan struct{})}}
	_, address := start(t, h, limits)
	c, r := dial(t, address)
	_, err := io.WriteString(c, get("/slow"))
	require.NoError(t, err)
	time.Sleep(150 * time.Millisecond)
	close(h.release["/slow"])
	_, body := read(t, r)
	assert.Equal(t, "/slow:", body, "a connection with a request on it is not idle")
	_, err = r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// TestShutdown checks that answers close their connections after DisableKeepAlive,
// while new connections are served, and that Shutdown closes idle connections and
// waits for the requests in flight.
func TestShutdown(t *testing.T) {
	slow := make(chan struct{})
	h := &handler{release: map[string]chan struct{}{"/slow": slow}}
	s, address := start(t, h, _limits)
	c, r := dial(t, address)
	_, err := io.WriteString(c, get("/slow"))
	require.NoError(t, err)
	idle, idleReader := dial(t, address)
	_, err = io.WriteString(idle, get("/1"))
	require.NoError(t, err)
	read(t, idleReader)

	s.DisableKeepAlive()
	again, againReader := dial(t, address)
	_, err = io.WriteString(again, get("/2"))
	require.NoError(t, err)
	resp, _ := read(t, againReader)
	assert.True(t, resp.closes, "the answer closes its connection")

	finished := make(chan struct{})
	go func() {
		s.Shutdown(context.Background())
		close(finished)
	}()
	_, err = idleReader.ReadByte()
	require.ErrorIs(t, err, io.EOF, "idle connections end")
	select {
	case <-finished:
		t.Fatal("Shutdown returned before the last answer")
	case <-time.After(50 * time.Millisecond):
	}
	close(slow)
	resp, body := read(t, r)
	assert.Equal(t, "/slow:", body)
	assert.True(t, resp.closes)
	<-finished
}

// TestShutdownAnswersWhatWasSent has callers send requests right before the shutdown: on
// connections that are not accepted yet, on idle ones, pipelined, and a body of which a
// part has arrived. Each gets a whole answer.
func TestShutdownAnswersWhatWasSent(t *testing.T) {
	for range 5 {
		s, address := start(t, &handler{}, _limits)
		type caller struct {
			reader  *bufio.Reader
			answers int
		}
		var callers []caller
		idle := func() (net.Conn, *bufio.Reader) {
			c, r := dial(t, address)
			_, err := io.WriteString(c, get("/0"))
			require.NoError(t, err)
			read(t, r)
			return c, r
		}
		reused, reusedReader := idle()
		piped, pipedReader := idle()
		uploads, uploadsReader := idle()
		_, err := io.WriteString(uploads, "POST /u HTTP/1.1\r\nHost: h\r\nId: x\r\nContent-Length: 8\r\n\r\nhalf")
		require.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
		_, err = io.WriteString(reused, get("/1"))
		require.NoError(t, err)
		_, err = io.WriteString(piped, get("/1")+get("/2")+get("/3"))
		require.NoError(t, err)
		callers = append(callers, caller{reusedReader, 1}, caller{pipedReader, 3}, caller{uploadsReader, 1})
		for range 30 {
			c, r := dial(t, address)
			_, err = io.WriteString(c, get("/n"))
			require.NoError(t, err)
			callers = append(callers, caller{r, 1})
		}
		finished := make(chan struct{})
		go func() {
			defer close(finished)
			s.Shutdown(context.Background())
		}()
		time.Sleep(150 * time.Millisecond)
		_, err = io.WriteString(uploads, "rest")
		require.NoError(t, err)
		for _, c := range callers {
			for range c.answers {
				resp, _ := read(t, c.reader)
				assert.Equal(t, http.StatusOK, resp.status)
			}
		}
		<-finished
	}
}

// TestPanicEndsOneRequest has the handler panic: that caller gets an answer that promises
// nothing, the others are served, and the process goes on.
func TestPanicEndsOneRequest(t *testing.T) {
	_, address := start(t, &handler{panics: "/bad"}, _limits)
	c, r := dial(t, address)
	_, err := io.WriteString(c, get("/1")+get("/bad")+get("/2"))
	require.NoError(t, err)
	for _, status := range []int{http.StatusOK, http.StatusBadGateway, http.StatusOK} {
		resp, _ := read(t, r)
		assert.Equal(t, status, resp.status)
	}
}

// TestCallerAsksToClose checks that the connection closes after the answer if the
// caller asks for it or speaks HTTP/1.0.
func TestCallerAsksToClose(t *testing.T) {
	_, address := start(t, &handler{}, _limits)
	for _, request := range []string{
		"GET /c HTTP/1.1\r\nHost: h\r\nId: x\r\nConnection: close\r\n\r\n",
		"GET /c HTTP/1.0\r\nHost: h\r\nId: x\r\n\r\n",
	} {
		c, r := dial(t, address)
		_, err := io.WriteString(c, request)
		require.NoError(t, err)
		head, body := read(t, r)
		assert.Equal(t, "/c:", body)
		assert.True(t, head.closes)
		_, err = r.ReadByte()
		assert.ErrorIs(t, err, io.EOF)
	}
}

func TestChunkedBodyAndExpect(t *testing.T) {
	_, address := start(t, &handler{}, _limits)
	c, r := dial(t, address)
	_, err := io.WriteString(c, "POST /c HTTP/1.1\r\nHost: h\r\nId: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	require.NoError(t, err)
	_, body := read(t, r)
	assert.Equal(t, "/c:abcde", body)

	_, err = fmt.Fprint(c, "POST /e HTTP/1.1\r\nHost: h\r\nId: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	require.NoError(t, err)
	line, err := r.ReadString('\n')
	require.NoError(t, err)
	assert.Contains(t, line, "100")
	_, err = r.ReadString('\n')
	require.NoError(t, err)
	_, err = io.WriteString(c, "hi")
	require.NoError(t, err)
	_, body = read(t, r)
	assert.Equal(t, "/e:hi", body)
}

// TestPipelineIsLimited checks that at most _maxPipelined pipelined requests are
// served at once, and that all are answered.
func TestPipelineIsLimited(t *testing.T) {
	h := &handler{}
	_, address := start(t, h, _limits)
	c, r := dial(t, address)
	const n = 100
	go func() {
		for i := range n {
			_, _ = io.WriteString(c, get(fmt.Sprint("/", i)))
		}
	}()
	for i := range n {
		_, body := read(t, r)
		assert.Equal(t, fmt.Sprintf("/%d:", i), body)
	}
	assert.LessOrEqual(t, h.maxRunning, 33)
}

// TestDisconnectIsNoticedBehindAFullPipeline has a caller send more requests than are served at a
// time, and leave: all that run are cancelled, and the others are not passed on.
func TestDisconnectIsNoticedBehindAFullPipeline(t *testing.T) {
	never := make(chan struct{})
	h := &handler{release: map[string]chan struct{}{}}
	var requests strings.Builder
	const n, most = 60, 32
	for i := range n {
		path := fmt.Sprint("/", i)
		h.release[path] = never
		requests.WriteString(get(path))
	}
	_, address := start(t, h, _limits)
	c, _ := dial(t, address)
	_, err := io.WriteString(c, requests.String())
	require.NoError(t, err)
	require.Eventually(t, func() bool { started, _ := h.requests(); return len(started) == most }, 5*time.Second, time.Millisecond)
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool { _, cancelled := h.requests(); return len(cancelled) == most }, 2*time.Second, time.Millisecond)
	time.Sleep(200 * time.Millisecond)
	started, _ := h.requests()
	assert.Len(t, started, most)
}
