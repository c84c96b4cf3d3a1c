package frontend

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// _hangupInterval is how often it is checked whether a caller left whose requests are not read
// at the moment.
const _hangupInterval = 100 * time.Millisecond

// takeSlot waits until fewer than _maxPipelined requests of the connection are being served.
// Meanwhile nothing is read, so that the end of the connection would stay unnoticed behind what
// the caller has sent: if it comes, the requests are cancelled.
func (c *conn) takeSlot() {
	select {
	case c.slots <- struct{}{}:
		return
	default:
	}
	ticker := time.NewTicker(_hangupInterval)
	defer ticker.Stop()
	for {
		select {
		case c.slots <- struct{}{}:
			return
		case <-ticker.C:
			if c.ctx.Err() == nil && c.hungUp() {
				_disconnects.Inc()
				c.cancel()
			}
		}
	}
}

// hungUp reports whether the caller ended the connection, without reading from it.
func (c *conn) hungUp() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	hungUp := false
	err = rc.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}} //nolint:gosec // descriptors are small.
		n, pollErr := unix.Poll(fds, 0)
		hungUp = pollErr == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err == nil && hungUp
}
