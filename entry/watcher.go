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

// _watchInterval is the time between looks at the callers' connections.
const _watchInterval = 50 * time.Millisecond

// watcher cancels the work for callers that closed their connection. It looks
// at the connections of requests that are under way for a while, without
// reading from them.
type watcher struct {
	mu      sync.Mutex
	watched map[*watched]struct{}
}

type watched struct {
	conn   syscall.RawConn
	since  time.Time
	cancel context.CancelFunc
}

// watch begins to watch a connection and returns the function that ends it.
func (w *watcher) watch(conn net.Conn, cancel context.CancelFunc) func() {
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

func (w *watcher) run(ctx context.Context) error {
	return kernel.Every(ctx, _watchInterval, w.look)
}

func (w *watcher) look(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for item := range w.watched {
		if now.Sub(item.since) >= _watchInterval && closed(item.conn) {
			item.cancel()
			delete(w.watched, item)
		}
	}
}

// closed reports whether the other end closed the connection.
func closed(conn syscall.RawConn) bool {
	gone := false
	err := conn.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		gone = (n == 0 && err == nil) || err == unix.ECONNRESET
	})
	return err != nil || gone
}
