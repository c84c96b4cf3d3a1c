// Package socket sets options of TCP sockets that the standard library does not
// offer.
//
// # Usage
//
//	dialer := &net.Dialer{Control: socket.UserTimeout(2 * time.Second)}
package socket

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

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
