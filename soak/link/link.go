// Package link implements a loopback TCP proxy that injects network faults: it
// delays or resets connections, or holds back one direction or both.
//
// # Usage
//
//	l := &link.Link{Target: "127.0.0.1:8080"}
//	err := l.Listen("127.0.0.1:0")
//	l.Set(link.Delayed)
//	l.Set(link.Passing)
//	l.Close()
package link

import (
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// State is how a link forwards bytes.
type State string

// States of a link.
const (
	Passing State = "passing"
	// Delayed holds back each chunk for _delay.
	Delayed State = "delayed"
	// CutUp holds back bytes to the target, CutDown those from the target.
	CutUp   State = "cutUp"
	CutDown State = "cutDown"
	// Silent holds back both directions.
	Silent State = "silent"
	// Refusing resets each new connection.
	Refusing State = "refusing"
)

const (
	_chunkSize = 16 << 10
	// _dialTimeout limits the connection attempt to the target.
	_dialTimeout = time.Second
	// _delay is how long a delayed link holds back a chunk.
	_delay = 120 * time.Millisecond
)

var _dialer = net.Dialer{Timeout: _dialTimeout}

// Link proxies the connections to one target. The exported fields are set before
// Listen is called.
type Link struct {
	Target string

	listener net.Listener

	mu      sync.Mutex
	state   State
	changed chan struct{}
	conns   map[*proxiedConn]struct{}
	closed  bool
}

// proxiedConn is a connection of a client and its connection to the target.
type proxiedConn struct {
	client, server net.Conn
	// blackholed is set if bytes in both directions are held back for good.
	blackholed bool
}

// Listen starts to accept connections. Port 0 picks a free port.
func (l *Link) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener = listener
	if l.conns == nil {
		l.state, l.changed, l.conns = Passing, make(chan struct{}), make(map[*proxiedConn]struct{})
	}
	go l.accept(listener)
	return nil
}

// Address returns the address that the link listens on.
func (l *Link) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listener.Addr().String()
}

// Set changes the state. Bytes that were held back are forwarded if the new state
// allows it.
func (l *Link) Set(s State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = s
	close(l.changed)
	l.changed = make(chan struct{})
}

// Redirect changes the target of new connections.
func (l *Link) Redirect(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Target = target
}

// StopListening closes the listener, so that connections are refused until Listen
// is called again. Open connections continue.
func (l *Link) StopListening() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close()
}

// Reset resets all open connections.
func (l *Link) Reset() {
	for _, p := range l.openConns() {
		p.reset()
	}
}

// Blackhole holds back all bytes of the open connections for good. New connections
// are not affected.
func (l *Link) Blackhole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		p.blackholed = true
	}
}

// Close stops the link and resets its connections. It may be called again, and if Listen
// failed.
func (l *Link) Close() {
	l.mu.Lock()
	if l.closed || l.listener == nil {
		l.closed = true
		l.mu.Unlock()
		return
	}
	l.closed = true
	close(l.changed)
	l.changed = make(chan struct{})
	_ = l.listener.Close()
	l.mu.Unlock()
	l.Reset()
}

func (l *Link) openConns() []*proxiedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*proxiedConn, 0, len(l.conns))
	for p := range l.conns {
		list = append(list, p)
	}
	return list
}

func (l *Link) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go l.proxy(client)
	}
}

func (l *Link) proxy(client net.Conn) {
	p := &proxiedConn{client: client}
	l.mu.Lock()
	refusing, target := l.state == Refusing || l.closed, l.Target
	l.mu.Unlock()
	if refusing {
		p.reset()
		return
	}
	server, err := _dialer.Dial("tcp", target)
	if err != nil {
		p.reset()
		return
	}
	p.server = server
	l.mu.Lock()
	l.conns[p] = struct{}{}
	l.mu.Unlock()
	go l.forward(p, client, server, CutUp)
	l.forward(p, server, client, CutDown)
	l.mu.Lock()
	delete(l.conns, p)
	l.mu.Unlock()
}

// forward copies one direction until it ends; cut is the state that holds this
// direction back.
func (l *Link) forward(p *proxiedConn, from, to net.Conn, cut State) {
	buffer := make([]byte, _chunkSize)
	for {
		n, err := from.Read(buffer)
		if !l.wait(p, cut) {
			p.reset()
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				p.reset()
				return
			}
		}
		if err != nil {
			p.propagateEnd(to, err)
			return
		}
	}
}

// wait holds a chunk back as the state requires. It returns false if the link is
// closed.
func (l *Link) wait(p *proxiedConn, cut State) bool {
	for {
		l.mu.Lock()
		state, changed, blackholed, closed := l.state, l.changed, p.blackholed, l.closed
		l.mu.Unlock()
		switch {
		case closed:
			return false
		case blackholed, state == cut, state == Silent:
			<-changed
		case state == Delayed:
			time.Sleep(_delay)
			return true
		default:
			return true
		}
	}
}

// propagateEnd forwards the end of one direction: a reset as a reset, a close as a
// close.
func (p *proxiedConn) propagateEnd(to net.Conn, err error) {
	var opErr *net.OpError
	if errors.As(err, &opErr) {
		p.reset()
		return
	}
	if conn, ok := to.(*net.TCPConn); ok {
		_ = conn.CloseWrite()
	}
}

func (p *proxiedConn) reset() {
	for _, c := range []net.Conn{p.client, p.server} {
		if c == nil {
			continue
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}
