package entry

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/wigeonlock/wigeonlock/kernel"
)

// _checkInterval is the time between checks of the callers' connections.
const _checkInterval = 50 * time.Millisecond

// disconnectWatcher cancels the requests of callers that closed their connection.
// It checks, without consuming data, the connections of requests that have been
// running for at least _checkInterval.
type disconnectWatcher struct {
	mu      sync.Mutex
	watched map[*watched]struct{}
}

type watched struct {
	conn   syscall.RawConn
	since  time.Time
	cancel context.CancelFunc
}

// watch starts watching a connection and calls cancel if the caller closes it.
// The function returned stops watching.
func (w *disconnectWatcher) watch(conn net.Conn, cancel context.CancelFunc) func() {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return func() {}
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return func() {}
	}
	item := &watched{conn: raw, since: time.Now(), cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.watched == nil {
		w.watched = make(map[*watched]struct{})
	}
	w.watched[item] = struct{}{}
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.watched, item)
	}
}

func (w *disconnectWatcher) run(ctx context.Context) error {
	return kernel.Every(ctx, _checkInterval, w.check)
}

func (w *disconnectWatcher) check(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for item := range w.watched {
		if now.Sub(item.since) >= _checkInterval && isClosed(item.conn) {
			item.cancel()
			delete(w.watched, item)
		}
	}
}

// isClosed reports whether the caller closed or reset the connection.
func isClosed(conn syscall.RawConn) bool {
	closed := false
	err := conn.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = (n == 0 && err == nil) || err == unix.ECONNRESET
	})
	return err != nil || closed
}
