package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/socket"
)

// _readBuffer is the size of the read buffer in bytes; it holds the head of an
// answer and small bodies.
const _readBuffer = 4 << 10

// conn is a connection to a worker.
type conn struct {
	*socket.Conn
	limit  *limitedReader
	reader *bufio.Reader
	// used is set once an exchange on the connection ended cleanly.
	used   bool
	opened time.Time
	// idleSince is when the connection became idle and idleLimit for how long it
	// may be reused; limitStated is set if the worker stated its timeout.
	idleSince   time.Time
	idleLimit   time.Duration
	limitStated bool
	// open counts the open connections of the pool, closed is set once this one is not.
	open   *atomic.Int64
	closed atomic.Bool
}

func newConn(nc net.Conn) *conn {
	sc := &socket.Conn{Conn: nc}
	limit := &limitedReader{r: sc, left: _unlimited, head: relay.HeadChecker{Answers: true}}
	return &conn{
		Conn: sc, limit: limit, reader: bufio.NewReaderSize(limit, _readBuffer), opened: time.Now(), idleLimit: _defaultIdle,
	}
}

// _unlimited is a number of bytes that no answer reaches.
const _unlimited = 1 << 62

// limitedReader limits and checks the bytes that are read for the head of an answer.
type limitedReader struct {
	r    io.Reader
	left int64
	head relay.HeadChecker
	// failed is errTooLarge or relay.ErrBrokenHead; the parser may hide the error.
	failed error
}

// Read returns errTooLarge once the limit is reached, and relay.ErrBrokenHead if the head is broken.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		l.failed = errTooLarge
		return 0, l.failed
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	if broken := l.head.Check(p[:n]); broken != nil {
		l.failed = broken
		return 0, broken
	}
	return n, err
}

// expectHead starts the check of a head, of which the first bytes may have arrived.
func (c *conn) expectHead() error {
	c.limit.left = _maxHead
	c.limit.head.Expect()
	arrived, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	return c.limit.head.Check(arrived)
}

func (c *conn) close() {
	if c.open != nil && !c.closed.Swap(true) {
		c.open.Add(-1)
	}
	_ = c.Close()
}

// quiet reports whether nothing arrived since the last exchange, neither bytes
// nor the end of the connection.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	_, err := c.peek()
	return errors.Is(err, unix.EAGAIN)
}

// ended reports whether the worker closed or reset the connection.
func (c *conn) ended() bool {
	n, err := c.peek()
	return err == nil && n == 0 || errors.Is(err, unix.ECONNRESET)
}

// peek returns the number of bytes that can be read now, at most 1, without
// consuming them; 0 without an error is the end of the connection. The error is
// EAGAIN if nothing arrived or the connection is not a socket.
func (c *conn) peek() (n int, err error) {
	raw, ok := c.Conn.Conn.(syscall.Conn)
	if !ok {
		return 0, unix.EAGAIN
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return 0, err
	}
	var one [1]byte
	var peekErr error
	err = rc.Read(func(fd uintptr) bool {
		n, _, peekErr = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	if err != nil {
		return 0, err
	}
	return n, peekErr
}

// readKeepAlive sets the idle limit from the Keep-Alive header of an answer.
func (c *conn) readKeepAlive(header http.Header) {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(text)
		if err != nil || seconds < 0 {
			continue
		}
		c.idleLimit, c.limitStated = time.Duration(float64(seconds)*_idleShare*float64(time.Second)), true
	}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: _keepAliveIdle, Interval: _keepAliveInterval, Count: _keepAliveCount,
		},
		Control: socket.UserTimeout(_userTimeout),
	}
	return d.DialContext(ctx, "tcp", address)
}
