package link_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/soak/link"
)

// _crossTime is long enough for bytes to cross loopback. A read that times out
// after it shows that they are held back.
const _crossTime = 100 * time.Millisecond

// startEchoServer starts a server that returns the bytes that it reads.
func startEchoServer(t *testing.T) string {
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
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	return l.Addr().String()
}

func startLink(t *testing.T) *link.Link {
	t.Helper()
	l := &link.Link{Target: startEchoServer(t)}
	require.NoError(t, l.Listen("127.0.0.1:0"))
	t.Cleanup(l.Close)
	return l
}

func dial(t *testing.T, l *link.Link) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func read(c net.Conn, timeout time.Duration) (string, error) {
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	b := make([]byte, 8)
	n, err := c.Read(b)
	return string(b[:n]), err
}

func TestStates(t *testing.T) {
	for _, state := range []link.State{link.CutUp, link.CutDown, link.Silent} {
		t.Run(string(state), func(t *testing.T) {
			l := startLink(t)
			c := dial(t, l)
			l.Set(state)
			_, err := c.Write([]byte("held"))
			require.NoError(t, err)
			_, err = read(c, _crossTime)
			require.Error(t, err, "held back")
			l.Set(link.Passing)
			got, err := read(c, 10*time.Second)
			require.NoError(t, err)
			assert.Equal(t, "held", got)
		})
	}
}

func TestReset(t *testing.T) {
	l := startLink(t)
	c := dial(t, l)
	_, err := c.Write([]byte("x"))
	require.NoError(t, err)
	_, err = read(c, 10*time.Second)
	require.NoError(t, err)
	l.Reset()
	_, err = read(c, 10*time.Second)
	require.Error(t, err)
	assert.NotErrorIs(t, err, io.EOF, "a reset is no clean end")
}

func TestBlackholeSparesNewConnections(t *testing.T) {
	l := startLink(t)
	old := dial(t, l)
	_, err := old.Write([]byte("a"))
	require.NoError(t, err)
	_, err = read(old, 10*time.Second)
	require.NoError(t, err)
	l.Blackhole()
	_, err = old.Write([]byte("b"))
	require.NoError(t, err)
	_, err = read(old, _crossTime)
	require.Error(t, err)
	fresh := dial(t, l)
	_, err = fresh.Write([]byte("c"))
	require.NoError(t, err)
	got, err := read(fresh, 10*time.Second)
	require.NoError(t, err)
	assert.Equal(t, "c", got)
}

func TestRefusing(t *testing.T) {
	l := startLink(t)
	l.Set(link.Refusing)
	c, err := net.Dial("tcp", l.Address())
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_, err = read(c, 10*time.Second)
	require.Error(t, err)
}

// TestCloseWithoutListening closes a link whose address another one has, and one twice.
func TestCloseWithoutListening(t *testing.T) {
	l := startLink(t)
	second := &link.Link{}
	require.Error(t, second.Listen(l.Address()))
	second.Close()
	l.Close()
	l.Close()
	(&link.Datagrams{}).Close()
}
