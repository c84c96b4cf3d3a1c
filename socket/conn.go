package socket

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

var _resetsInWrite = metrics.NewCounter("wigeonlock_worker_resets_during_write_total")

// Conn is a connection on which Read never takes a reset for the end of the stream.
//
// The kernel reports the error of a connection once. If a concurrent Write gets it, a Read returns
// io.EOF, as if the peer had ended the stream.
type Conn struct {
	net.Conn

	// mu is held during a Write.
	mu sync.Mutex
	// failed is the error of the connection that a Write got.
	failed error
}

// Write writes to the connection. Concurrent calls write one after the other.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if isFailure(err) {
		c.failed = err
	}
	return n, err
}

// Read returns io.EOF only if the peer ended the stream. A Write that is under way then is
// interrupted.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if failed := c.writeFailure(); failed != nil {
			_resetsInWrite.Inc()
			return n, failed
		}
	}
	return n, err
}

func (c *Conn) writeFailure() error {
	// A Write that got the error returns it; one that waits for the peer ends with the deadline.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

// isFailure reports whether the error of a write is that of a connection that failed. EPIPE is
// not: a peer that reads no further after the end of its stream causes it, too.
func isFailure(err error) bool {
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, unix.EPIPE)
}
