// Package link is a loopback proxy of TCP connections that delays them, resets
// them, holds back one direction or falls silent, as networks do.
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

// State is how a link treats bytes.
type State string

// States of a link.
const (
	Passing State = "passing"
	// Delayed holds back each chunk for Delay.
	Delayed State = "delayed"
	// CutUp and CutDown hold back what goes to the target, or comes from it.
	CutUp   State = "cutUp"
	CutDown State = "cutDown"
	// Silent holds back both directions.
	Silent State = "silent"
	// Refusing resets each new connection.
	Refusing State = "refusing"
)

const (
	_chunk = 16 << 10
	// _dialTime bounds the connection to the target.
	_dialTime = time.Second
	// _delay is what a delayed link holds back a chunk for.
	_delay = 120 * time.Millisecond
)

var _dialer = net.Dialer{Timeout: _dialTime}

// Link is one proxied address. The exported fields are set before Listen.
type Link struct {
	Target string

	listener net.Listener

	mu      sync.Mutex
	state   State
	changed chan struct{}
	pairs   map[*pair]struct{}
	closed  bool
}

// pair is a connection of a caller and the one to the target.
type pair struct {
	near, far net.Conn
	// dead is set when the pair is silent for good.
	dead bool
}

// Listen starts to take connections. Port 0 picks a free one.
func (l *Link) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener = listener
	if l.pairs == nil {
		l.state, l.changed, l.pairs = Passing, make(chan struct{}), make(map[*pair]struct{})
	}
	go l.accept(listener)
	return nil
}

// Address returns where the link listens.
func (l *Link) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listener.Addr().String()
}

// Set changes how bytes are treated. What was held back goes on its way.
func (l *Link) Set(s State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = s
	close(l.changed)
	l.changed = make(chan struct{})
}

// Redirect changes where new connections lead.
func (l *Link) Redirect(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Target = target
}

// StopListening refuses connections, as where nothing listens, until Listen is called
// again. Open ones go on.
func (l *Link) StopListening() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close()
}

// Reset resets all open connections.
func (l *Link) Reset() {
	for _, p := range l.open() {
		p.reset()
	}
}

// Blackhole makes all open connections silent for good; new ones work.
func (l *Link) Blackhole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.dead = true
	}
}

// Close ends the link and its connections.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	close(l.changed)
	l.changed = make(chan struct{})
	_ = l.listener.Close()
	l.mu.Unlock()
	l.Reset()
}

func (l *Link) open() []*pair {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*pair, 0, len(l.pairs))
	for p := range l.pairs {
		list = append(list, p)
	}
	return list
}

func (l *Link) accept(listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		go l.connect(near)
	}
}

func (l *Link) connect(near net.Conn) {
	p := &pair{near: near}
	l.mu.Lock()
	refusing, target := l.state == Refusing || l.closed, l.Target
	l.mu.Unlock()
	if refusing {
		p.reset()
		return
	}
	far, err := _dialer.Dial("tcp", target)
	if err != nil {
		p.reset()
		return
	}
	p.far = far
	l.mu.Lock()
	l.pairs[p] = struct{}{}
	l.mu.Unlock()
	go l.pass(p, near, far, CutUp)
	l.pass(p, far, near, CutDown)
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
}

// pass copies one direction until it ends; cut is the state that holds it back.
func (l *Link) pass(p *pair, from, to net.Conn, cut State) {
	buffer := make([]byte, _chunk)
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
			p.end(to, err)
			return
		}
	}
}

// wait holds a chunk back as the state asks. It reports false when the link
// has ended.
func (l *Link) wait(p *pair, cut State) bool {
	for {
		l.mu.Lock()
		state, changed, dead, closed := l.state, l.changed, p.dead, l.closed
		l.mu.Unlock()
		switch {
		case closed:
			return false
		case dead, state == cut, state == Silent:
			<-changed
		case state == Delayed:
			time.Sleep(_delay)
			return true
		default:
			return true
		}
	}
}

// end passes on the end of one direction: a reset as a reset, a close as one.
func (p *pair) end(to net.Conn, err error) {
	var broken *net.OpError
	if errors.As(err, &broken) {
		p.reset()
		return
	}
	if half, ok := to.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
}

func (p *pair) reset() {
	for _, c := range []net.Conn{p.near, p.far} {
		if c == nil {
			continue
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}
