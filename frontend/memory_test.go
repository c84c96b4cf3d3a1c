package frontend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/bytebudget"
	"github.com/wigeonlock/wigeonlock/frontend"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
)

const _mb = 1 << 20

// bounded is a server with 10 MB for bodies and answers.
func bounded(t *testing.T, h frontend.Handler) (*bytebudget.Budget, string) {
	t.Helper()
	memory := bytebudget.New(10*_mb, bytebudget.Shares{Small: 64 << 10})
	s := &frontend.Server{
		HeaderNames: frontend.HeaderNames{RequestID: "Id", TimeLeft: "Time-Left"}, Handler: h, Memory: memory,
		Limits: func() frontend.Limits {
			return frontend.Limits{HeaderBytes: 4 << 10, BodyBytes: 64 * _mb, HeaderTime: time.Second, IdleTime: time.Minute}
		},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = s.Serve(l) }()
	return memory, l.Addr().String()
}

// upload sends the head of an upload and a part of its body.
func upload(t *testing.T, address, path string, size, part int) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, r := dial(t, address)
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nId: x\r\nContent-Length: %d\r\n\r\n", path, size)
	require.NoError(t, err)
	_, err = io.WriteString(c, strings.Repeat("x", part))
	require.NoError(t, err)
	return c, r
}

func held(m *bytebudget.Budget, use bytebudget.Use) func() int64 {
	return func() int64 { return m.State(use).Held }
}

// TestUploadsBeyondMemory has an upload that needs more memory than is left: it is refused
// unread, with a pause, and the connection closes. An order passes meanwhile, and a later
// upload gets the memory of the one that ended.
func TestUploadsBeyondMemory(t *testing.T) {
	first := make(chan struct{})
	h := &handler{release: map[string]chan struct{}{"/1": first}}
	memory, address := bounded(t, h)
	_, reader := upload(t, address, "/1", 6*_mb, 6*_mb)
	require.Eventually(t, func() bool { s, _ := h.requests(); return len(s) == 1 }, 5*time.Second, time.Millisecond)

	started := time.Now()
	_, second := upload(t, address, "/2", 6*_mb, 0)
	resp, err := http.ReadResponse(second, nil)
	require.NoError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	assert.True(t, resp.Close, "the body is still to come")
	assert.Less(t, time.Since(started), time.Second, "the caller would give up on a request that is not read")
	pause, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	assert.Positive(t, pause)

	_, order := upload(t, address, "/order", 20<<10, 20<<10)
	got, _ := read(t, order)
	assert.Equal(t, http.StatusOK, got.status)

	third, thirdReader := upload(t, address, "/3", 6*_mb, 0)
	close(first)
	got, body := read(t, reader)
	assert.Equal(t, http.StatusOK, got.status)
	assert.Len(t, body, len("/1:")+6*_mb)
	require.Eventually(t, func() bool { return held(memory, bytebudget.Requests)() == 6*_mb }, 5*time.Second, time.Millisecond, "the third is being read")
	_, err = io.WriteString(third, strings.Repeat("x", 6*_mb))
	require.NoError(t, err)
	got, _ = read(t, thirdReader)
	assert.Equal(t, http.StatusOK, got.status)
}

// TestChunkedUploadBeyondMemory has a body without a length go on after memory is used up.
func TestChunkedUploadBeyondMemory(t *testing.T) {
	memory, address := bounded(t, &handler{})
	c, reader := dial(t, address)
	_, err := io.WriteString(c, "POST /x HTTP/1.1\r\nHost: h\r\nId: x\r\nTransfer-Encoding: chunked\r\n\r\n")
	require.NoError(t, err)
	go func() {
		piece := fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("x", 64<<10))
		for err == nil {
			_, err = io.WriteString(c, piece)
		}
	}()
	got, _ := read(t, reader)
	assert.Contains(t, []int{http.StatusServiceUnavailable, http.StatusRequestEntityTooLarge}, got.status)
	assert.True(t, got.closes)
	assert.Eventually(t, func() bool { return held(memory, bytebudget.Requests)() == 0 }, 5*time.Second, time.Millisecond)
}

// TestStalledUploadGivesWay has a caller send nothing more of a body whose memory others need.
func TestStalledUploadGivesWay(t *testing.T) {
	_, address := bounded(t, &handler{})
	_, stalled := upload(t, address, "/stalled", 8*_mb, 10)
	gaveWay := make(chan answer, 1)
	go func() {
		got, _ := read(t, stalled)
		gaveWay <- got
	}()
	served := func() bool {
		c, reader := dial(t, address)
		if _, err := fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h\r\nId: x\r\nContent-Length: %d\r\n\r\n", 8*_mb); err != nil {
			return false
		}
		go func() { _, _ = io.WriteString(c, strings.Repeat("x", 8*_mb)) }()
		resp, err := http.ReadResponse(reader, nil)
		return err == nil && resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
	}
	assert.Eventually(t, served, 4500*time.Millisecond, 10*time.Millisecond, "without a lack of memory it takes 5 s")
	assert.Equal(t, answer{http.StatusRequestTimeout, true}, <-gaveWay)
}

// large answers with a body of a size that takes memory.
type large struct {
	handler
	memory *bytebudget.Budget
	size   int
}

func (l *large) Handle(ctx context.Context, r *relay.Request) *relay.Answer {
	room, ok := l.memory.Acquire(ctx, bytebudget.Answers, int64(l.size), 0)
	if !ok {
		return frontend.Refusal(http.StatusServiceUnavailable, relay.NoMemory, "no memory")
	}
	r.AnswerRoom = room
	a := &relay.Answer{Outcome: retry.Run, Status: http.StatusOK}
	relay.SetBytes(a, make([]byte, l.size))
	a.OnClose(room.Release)
	l.mu.Lock()
	l.started = append(l.started, r.URI)
	l.mu.Unlock()
	return a
}

// TestCallerThatDoesNotRead has a caller take nothing of an answer whose memory others need: it
// is cut off. One that reads gets its answer whole.
func TestCallerThatDoesNotRead(t *testing.T) {
	h := &large{size: 9 * _mb}
	memory, address := bounded(t, h)
	h.memory = memory
	c, silent := dial(t, address)
	_ = c.(*net.TCPConn).SetReadBuffer(64 << 10)
	_, err := io.WriteString(c, get("/silent"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return held(memory, bytebudget.Answers)() == 9*_mb }, 5*time.Second, time.Millisecond)
	served := func() bool {
		c, reader := dial(t, address)
		_, werr := io.WriteString(c, get("/x"))
		require.NoError(t, werr)
		got, body := read(t, reader)
		_ = c.Close()
		return got.status == http.StatusOK && len(body) == 9*_mb
	}
	assert.Eventually(t, served, 8*time.Second, 20*time.Millisecond)
	resp, err := http.ReadResponse(silent, nil)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "a broken answer does not look complete")
}

// TestSlowReaderKeepsItsWindow has a caller send more requests while it reads none of its
// answers: they do not start, as there would be no memory for theirs.
func TestSlowReaderKeepsItsWindow(t *testing.T) {
	h := &large{size: 9 * _mb}
	memory, address := bounded(t, h)
	h.memory = memory
	c, reader := dial(t, address)
	_ = c.(*net.TCPConn).SetReadBuffer(64 << 10)
	_, err := io.WriteString(c, get("/1"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return held(memory, bytebudget.Answers)() == 9*_mb }, 5*time.Second, time.Millisecond)
	time.Sleep(20 * time.Millisecond)
	_, err = io.WriteString(c, get("/2")+get("/3"))
	require.NoError(t, err)
	for range 3 {
		got, body := read(t, reader)
		assert.Equal(t, http.StatusOK, got.status)
		assert.Len(t, body, 9*_mb)
	}
}

// BenchmarkIdleConnection reports the memory that a kept connection holds while it is idle.
func BenchmarkIdleConnection(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	defer func() { _ = l.Close() }()
	s := &frontend.Server{
		HeaderNames: frontend.HeaderNames{RequestID: "Id"}, Handler: &handler{}, Limits: func() frontend.Limits { return _limits },
	}
	go func() { _ = s.Serve(l) }()
	const conns = 500
	memory := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc + m.StackInuse
	}
	for b.Loop() {
		open := make([]net.Conn, 0, conns)
		before := memory()
		for range conns {
			c, err := net.Dial("tcp", l.Addr().String())
			require.NoError(b, err)
			_, err = io.WriteString(c, get("/x"))
			require.NoError(b, err)
			var one [1024]byte
			_, err = c.Read(one[:])
			require.NoError(b, err)
			open = append(open, c)
		}
		b.ReportMetric(float64(memory()-before)/conns, "bytes/conn")
		for _, c := range open {
			_ = c.Close()
		}
	}
}

// BenchmarkUpload measures bodies of 1 MB.
func BenchmarkUpload(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	defer func() { _ = l.Close() }()
	s := &frontend.Server{
		HeaderNames: frontend.HeaderNames{RequestID: "Id"}, Handler: &handler{}, Limits: func() frontend.Limits { return _limits },
	}
	go func() { _ = s.Serve(l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(b, err)
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	request := []byte(fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nId: x\r\nContent-Length: %d\r\n\r\n%s", _mb, strings.Repeat("x", _mb)))
	b.SetBytes(_mb)
	b.ReportAllocs()
	for b.Loop() {
		_, err := c.Write(request)
		require.NoError(b, err)
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(b, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(b, err)
		_ = resp.Body.Close()
	}
}
