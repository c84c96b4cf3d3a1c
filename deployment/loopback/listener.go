package loopback

import (
	"net"
	"sync"

	"github.com/go-faster/errors"

	"github.com/wigeonlock/wigeonlock/settings"
)

// listeners are the sockets of one instance. They are opened before the instance
// starts, so that their ports are known, and can be closed together with all
// accepted connections.
type listeners struct {
	mu    sync.Mutex
	open  map[string]net.Listener
	conns []net.Conn
}

func newListeners() *listeners {
	return &listeners{open: make(map[string]net.Listener)}
}

// reserve opens a socket on a free port and sets its address in the settings.
func (l *listeners) reserve(s *settings.Listener) error {
	opened, err := net.Listen("tcp", _anyPort)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s.Listen = opened.Addr().String()
	l.open[s.Listen] = opened
	return nil
}

// listen replaces net.Listen: it returns the reserved listener of an address.
func (l *listeners) listen(_, address string) (net.Listener, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	opened, ok := l.open[address]
	if !ok {
		return nil, errors.Errorf("address %s is not reserved", address)
	}
	return &trackedListener{Listener: opened, owner: l}, nil
}

// closeAll closes the listeners and resets all accepted connections.
func (l *listeners) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, opened := range l.open {
		_ = opened.Close()
	}
	for _, conn := range l.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// trackedListener records the connections that it accepts in owner.
type trackedListener struct {
	net.Listener
	owner *listeners
}

// Accept accepts a connection and records it.
func (t *trackedListener) Accept() (net.Conn, error) {
	conn, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t.owner.mu.Lock()
	t.owner.conns = append(t.owner.conns, conn)
	t.owner.mu.Unlock()
	return conn, nil
}
