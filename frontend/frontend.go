// Package frontend serves callers over HTTP/1.1 with pipelining: the answers of a
// connection are written in the order of its requests.
//
// Each connection is read continuously, so that the disconnection of a caller is
// detected at once, even while its requests are being served. Repeatable requests of
// a connection are served concurrently. A request that must not run twice waits
// until all requests before it are answered: if one of their answers closes the
// connection, the caller assumes that the request was not received.
//
// # Usage
//
//	s := &frontend.Server{HeaderNames: names, Handler: handler, Limits: limits}
//	go s.Serve(listener)
//	s.DisableKeepAlive() // answers close their connections
//	s.Shutdown(ctx)     // no new requests; returns when all are answered
package frontend

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/bytebudget"
	"github.com/wigeonlock/wigeonlock/relay"
)

const (
	// _maxPipelined is the maximum number of requests of a connection that are
	// served concurrently.
	_maxPipelined = 32
	// _writeTimeout is the longest time to write an answer to a caller.
	_writeTimeout = 20 * time.Second
	// _shortStall is how long a caller may take no bytes of its answer, or send none of its
	// body, while others wait for memory.
	_shortStall = 2 * time.Second
	// _lingerTimeout is how long a closing connection is still read, so that a
	// reset does not discard the last answer.
	_lingerTimeout = 500 * time.Millisecond
	// _lastAcceptTime and _lastReadTime are how long connections are accepted, and how
	// long connections wait for the first byte of a request, once the server shuts down.
	_lastAcceptTime = 50 * time.Millisecond
	_lastReadTime   = 100 * time.Millisecond
	// _bodyReadTimeout is the longest wait for the next bytes of a request body.
	_bodyReadTimeout = 5 * time.Second
	// _bodyRoomWait is how long a body waits unread for memory, and _bodyWaitShare the part of
	// the time that its caller has left: callers give up on what is not read within a second.
	_bodyRoomWait  = 500 * time.Millisecond
	_bodyWaitShare = 0.125
	// ConnectionBytes is the memory that a connection is counted with, in bytes: its
	// goroutine, its buffers and a small request and answer.
	ConnectionBytes = 24 << 10
	// _window is the number of bytes of answers that may wait behind others on a connection:
	// beyond it, its further requests wait, as a caller that reads slowly may hold no more.
	_window = 256 << 10
)

// Limits limit the requests of callers: the size of header and body in bytes, the
// time to send a header, and the time for which a connection may be idle.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// HeaderNames are the names of the headers that callers set.
type HeaderNames struct {
	RequestID string
	// TimeLeft is the time until the deadline of a request, in milliseconds.
	TimeLeft string
	Object   string
	// Key is the key of the caller's team, and Team the name that workers are told. Neither is
	// passed on as the caller sent it.
	Key  string
	Team string
}

// Handler answers requests. Its answers have a status and a complete body.
type Handler interface {
	// Handle answers a request. ctx is cancelled when the caller disconnects.
	Handle(ctx context.Context, r *relay.Request) *relay.Answer
	// Exclusive reports whether a request must not be served concurrently with
	// others of its connection.
	Exclusive(r *relay.Request) bool
}

// Server accepts connections of callers and serves their requests. The exported
// fields are set before Serve.
type Server struct {
	HeaderNames HeaderNames
	Handler     Handler
	// Limits returns the active limits.
	Limits func() Limits
	// MaxConns is the number of connections above which idle ones are closed, and further
	// ones are refused after their first request. 0 means no limit.
	MaxConns int
	// Memory is what the process may hold for callers, nil if that has no limit.
	Memory *bytebudget.Budget
	// Log, if set, gets panics of the handler.
	Log *zap.Logger

	mu       sync.Mutex
	listener net.Listener
	// served is closed when Serve returns.
	served chan struct{}
	conns  map[*conn]struct{}
	// lastRead is the time until which connections wait for a further request; zero
	// before Shutdown.
	lastRead time.Time
	// closeAfterAnswer is set when answers close their connections.
	closeAfterAnswer atomic.Bool
	active           sync.WaitGroup
}

var (
	_accepted    = metrics.NewCounter("wigeonlock_caller_connections_total")
	_requests    = metrics.NewCounter("wigeonlock_caller_requests_total")
	_panics      = metrics.NewCounter("wigeonlock_request_panics_total")
	_disconnects = metrics.NewCounter("wigeonlock_callers_left_total")
	// _crossed counts requests that arrived with the answer that closed their connection.
	_crossed = metrics.NewCounter("wigeonlock_requests_behind_close_total")

	_droppedCallerLeft = metrics.NewCounter(`wigeonlock_answers_dropped_total{cause="callerLeft"}`)
	_droppedClosed     = metrics.NewCounter(`wigeonlock_answers_dropped_total{cause="closed"}`)
)

// Serve accepts connections until the listener closes. It returns nil after
// Shutdown.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.served = make(chan struct{})
	s.conns = make(map[*conn]struct{})
	s.mu.Unlock()
	defer close(s.served)
	for {
		nc, err := s.accept(l)
		if err != nil && s.isClosing() {
			_ = l.Close()
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept callers")
		}
		_accepted.Inc()
		c := newConn(s, nc)
		c.refused = !s.makeRoom()
		s.add(c)
		go c.serve()
	}
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lastRead.IsZero()
}

func (s *Server) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	s.active.Add(1)
	s.Memory.Take(bytebudget.Connections, ConnectionBytes)
	if !s.lastRead.IsZero() {
		c.finish(s.lastRead)
	}
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.Memory.Give(bytebudget.Connections, ConnectionBytes)
	s.active.Done()
}

// DisableKeepAlive makes further answers close their connections, so that callers
// connect to other instances.
func (s *Server) DisableKeepAlive() {
	s.closeAfterAnswer.Store(true)
}

// Shutdown stops accepting requests and waits until all are answered or ctx ends. A
// request that a caller has sent before is still accepted, also on a connection that was
// not accepted yet: closed unread, it would be lost without an answer.
func (s *Server) Shutdown(ctx context.Context) {
	s.closeAfterAnswer.Store(true)
	s.mu.Lock()
	if s.lastRead.IsZero() {
		s.lastRead = time.Now().Add(_lastReadTime)
	}
	for c := range s.conns {
		c.finish(s.lastRead)
	}
	listener, served := s.listener, s.served
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if listener != nil {
			stopAccepting(listener)
			<-served
		}
		s.active.Wait()
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// stopAccepting makes a listener accept the connections that wait, and then fail.
func stopAccepting(l net.Listener) {
	type deadliner interface{ SetDeadline(t time.Time) error }
	if d, ok := l.(deadliner); ok && d.SetDeadline(time.Now().Add(_lastAcceptTime)) == nil {
		return
	}
	_ = l.Close()
}
