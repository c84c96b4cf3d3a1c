package socket_test

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/wigeonlock/wigeonlock/socket"
)

// connect returns both ends of a connection.
func connect(t *testing.T) (*socket.Conn, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	peer, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = c.Close()
		_ = peer.Close()
	})
	return &socket.Conn{Conn: c}, peer.(*net.TCPConn)
}

// TestResetThatAWriteReported guards against a reset that looks like the end of the stream: the
// write gets its error, so that the read after it gets none.
func TestResetThatAWriteReported(t *testing.T) {
	c, peer := connect(t)
	_, err := io.WriteString(peer, "part")
	require.NoError(t, err)
	require.NoError(t, peer.SetLinger(0))
	require.NoError(t, peer.Close())
	for err == nil {
		_, err = c.Write(make([]byte, 1<<20))
	}
	require.ErrorIs(t, err, unix.ECONNRESET)
	data, err := io.ReadAll(c)
	assert.Equal(t, "part", string(data))
	assert.ErrorIs(t, err, unix.ECONNRESET)
}

// TestEndWhileAWriteWaits checks that the end of the stream is returned at once while a write
// waits for a peer that reads nothing.
func TestEndWhileAWriteWaits(t *testing.T) {
	c, peer := connect(t)
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 64<<20))
		written <- err
	}()
	_, err := io.WriteString(peer, "all")
	require.NoError(t, err)
	require.NoError(t, peer.CloseWrite())
	data, err := io.ReadAll(c)
	require.NoError(t, err)
	assert.Equal(t, "all", string(data))
	assert.Error(t, <-written)
}
