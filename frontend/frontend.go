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

	"github.com/wigeonlock/wigeonlock/relay"
)

const (
	// _maxPipelined is the maximum number of requests of a connection that are
	// served concurrently.
	_maxPipelined = 32
	// _writeTimeout is the longest time to write an answer to a caller.
	_writeTimeout = 20 * time.Second
	// _lingerTimeout is how long a closing connection is still read, so that a
	// reset does not discard the last answer.
	_lingerTimeout = 500 * time.Millisecond
	// _bodyReadTimeout is the longest wait for the next bytes of a request body.
	_bodyReadTimeout = 5 * time.Second
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

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	// closeAfterAnswer is set when answers close their connections.
	closeAfterAnswer atomic.Bool
	// closing is set when no more requests are accepted.
	closing atomic.Bool
	active  sync.WaitGroup
}

var (
	_accepted    = metrics.NewCounter("wigeonlock_caller_connections_total")
	_requests    = metrics.NewCounter("wigeonlock_caller_requests_total")
	_disconnects = metrics.NewCounter("wigeonlock_callers_left_total")
)

// Serve accepts connections until the listener closes. It returns nil after
// Shutdown.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.conns = make(map[*conn]struct{})
	s.mu.Unlock()
	for {
		nc, err := l.Accept()
		if err != nil {
			if s.closing.Load() {
				return nil
			}
			var netErr net.Error
			if errors.As(err, &netErr) && netErr.Timeout() {
				continue
			}
			return errors.Wrap(err, "accept callers")
		}
		_accepted.Inc()
		c := newConn(s, nc)
		if !s.add(c) {
			_ = nc.Close()
			continue
		}
		go c.serve()
	}
}

func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing.Load() {
		return false
	}
	s.conns[c] = struct{}{}
	s.active.Add(1)
	return true
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.active.Done()
}

// DisableKeepAlive makes further answers close their connections, so that callers
// connect to other instances.
func (s *Server) DisableKeepAlive() {
	s.closeAfterAnswer.Store(true)
}

// Shutdown stops accepting requests and waits until all are answered or ctx ends.
func (s *Server) Shutdown(ctx context.Context) {
	s.closeAfterAnswer.Store(true)
	s.mu.Lock()
	s.closing.Store(true)
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.conns {
		c.stopReading()
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.active.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
