package loopback

import (
	"net"
	"sync"

	"github.com/go-faster/errors"

	"github.com/wigeonlock/wigeonlock/settings"
)

// listeners are the sockets of one instance. They are opened beforehand, so
// that their ports are known, and can be closed at once with all connections.
type listeners struct {
	mu    sync.Mutex
	open  map[string]net.Listener
	conns []net.Conn
}

func newListeners() *listeners {
	return &listeners{open: make(map[string]net.Listener)}
}

func (l *listeners) reserve(s *settings.Listener) error {
	opened, err := net.Listen("tcp", _anyPort)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s.Listen = opened.Addr().String()
	l.open[s.Listen] = opened
	return nil
}

// take stands in for net.Listen.
func (l *listeners) take(_, address string) (net.Listener, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	opened, ok := l.open[address]
	if !ok {
		return nil, errors.Errorf("address %s is not reserved", address)
	}
	return &trackedListener{Listener: opened, owner: l}, nil
}

func (l *listeners) kill() {
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

type trackedListener struct {
	net.Listener
	owner *listeners
}

// Accept keeps track of the connection.
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
