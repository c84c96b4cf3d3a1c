package frontend_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/wigeonlock/wigeonlock/frontend"
)

// limitDescriptors lets the process open only a few descriptors more, until the test ends or
// the returned function is called.
func limitDescriptors(t *testing.T, more int) func() {
	t.Helper()
	var before unix.Rlimit
	require.NoError(t, unix.Getrlimit(unix.RLIMIT_NOFILE, &before))
	probe, err := unix.Dup(0)
	require.NoError(t, err)
	_ = unix.Close(probe)
	low := before
	low.Cur = uint64(probe + more)
	require.NoError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &low))
	var once sync.Once
	restore := func() { once.Do(func() { _ = unix.Setrlimit(unix.RLIMIT_NOFILE, &before) }) }
	t.Cleanup(restore)
	return restore
}

// head is the head of an answer.
type head struct {
	status int
	header http.Header
	closes bool
}

// ask sends a request on a new connection and returns the head of its answer.
func ask(t *testing.T, address, path string) (net.Conn, head) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c, askOn(t, c, path)
}

func askOn(t *testing.T, c net.Conn, path string) head {
	t.Helper()
	_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nId: q\r\n\r\n", path)
	require.NoError(t, err)
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	_ = resp.Body.Close()
	return head{resp.StatusCode, resp.Header, resp.Close}
}

// startServer serves callers on a loopback address.
func startServer(t *testing.T, s *frontend.Server) (address string, ended <-chan error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	return l.Addr().String(), done
}

func limitedServer(maxConns int) *frontend.Server {
	return &frontend.Server{
		HeaderNames: frontend.HeaderNames{RequestID: "Id", TimeLeft: "Time-Left"}, Handler: &handler{}, MaxConns: maxConns,
		Limits: func() frontend.Limits {
			return frontend.Limits{HeaderBytes: 1 << 14, BodyBytes: 1 << 20, HeaderTime: time.Second, IdleTime: time.Minute}
		},
	}
}

// TestServerEndsWithoutFreeDescriptor has more callers connect than the process has descriptors
// for: the server must outlive that, and serve those that wait once there are some.
func TestServerEndsWithoutFreeDescriptor(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var conns []net.Conn
	for range 60 {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		conns = append(conns, c)
	}
	restore := limitDescriptors(t, 10)
	ended := make(chan error, 1)
	go func() { ended <- limitedServer(0).Serve(l) }()
	select {
	case err := <-ended:
		t.Fatalf("the server ended: %v", err)
	case <-time.After(300 * time.Millisecond):
	}
	for _, c := range conns[:30] {
		_ = c.Close()
	}
	assert.Equal(t, http.StatusOK, askOn(t, conns[59], "/a").status)
	restore()
}

// TestIdleCallersKeepOthersOut fills a server with idle callers, and then with busy ones.
func TestIdleCallersKeepOthersOut(t *testing.T) {
	const limit = 10
	s := limitedServer(limit)
	release := make(chan struct{})
	s.Handler = &handler{release: map[string]chan struct{}{"/wait": release}}
	address, _ := startServer(t, s)
	var idle []net.Conn
	for range limit {
		c, answer := ask(t, address, "/a")
		assert.Equal(t, http.StatusOK, answer.status)
		idle = append(idle, c)
	}
	for range limit {
		_, answer := ask(t, address, "/b")
		assert.Equal(t, http.StatusOK, answer.status, "an idle caller makes room")
	}
	_ = idle[0].SetReadDeadline(time.Now().Add(time.Second))
	_, err := idle[0].Read(make([]byte, 1))
	require.Error(t, err, "the caller that was idle the longest")

	busy := make([]net.Conn, limit)
	for i := range busy {
		busy[i], err = net.Dial("tcp", address)
		require.NoError(t, err)
		_, err = fmt.Fprintf(busy[i], "GET /wait HTTP/1.1\r\nHost: h\r\nId: q\r\n\r\n")
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool {
		h, _ := s.Handler.(*handler)
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.running == limit
	}, 3*time.Second, 10*time.Millisecond)
	began := time.Now()
	_, refused := ask(t, address, "/c")
	assert.Equal(t, http.StatusServiceUnavailable, refused.status)
	assert.NotEmpty(t, refused.header.Get("Retry-After"))
	assert.True(t, refused.closes)
	assert.Less(t, time.Since(began), 500*time.Millisecond)
	close(release)
	for _, c := range busy {
		_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		_ = resp.Body.Close()
		assert.Equal(t, http.StatusOK, resp.StatusCode, "requests under way are answered")
	}
}
