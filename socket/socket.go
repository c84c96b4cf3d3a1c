// Package socket sets options of TCP sockets that the standard library does not
// offer, tells a reset from the end of a stream, and how many sockets the process may have.
//
// # Usage
//
//	dialer := &net.Dialer{Control: socket.UserTimeout(2 * time.Second)}
//	c, err := dialer.DialContext(ctx, "tcp", address)
//	conn := &socket.Conn{Conn: c}
package socket

import (
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// DescriptorLimit returns the number of descriptors that the process may have open, or 0 if it
// is not known.
func DescriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > 1<<30 {
		return 0
	}
	return int(limit.Cur)
}

// IsShortage reports whether an error means that the process has no descriptor, port or memory
// left for a socket.
func IsShortage(err error) bool {
	for _, shortage := range []error{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL} {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}

// UserTimeout returns a net.Dialer.Control function that sets TCP_USER_TIMEOUT, the
// time for which sent data may stay unacknowledged before the connection is closed.
func UserTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}
}
