// Package frontend takes requests of callers over HTTP/1.1 and gives each its own
// answer, in the order of the requests of a connection.
//
// A connection is read all the time, so that a caller that leaves is noticed
// at once, also behind requests that it sent ahead. Repeatable requests of a
// connection are worked on side by side; another one waits until all before it
// are answered, since it counts as unread when one of their answers closes the
// connection.
//
// # Usage
//
//	s := &frontend.Server{Names: names, Handler: handler, Limits: limits}
//	go s.Serve(listener)
//	s.Leave()        // answers close their connections
//	s.Finish(ctx)    // no new requests; returns when all are answered
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
	// _ahead bounds the requests of a connection that are worked on at once.
	_ahead = 32
	// _writeTime bounds the time to pass an answer on.
	_writeTime = 20 * time.Second
	// _lingerTime is how long a closing connection is read on, so that the
	// answer before it is not lost by a reset.
	_lingerTime = 500 * time.Millisecond
	// _bodyTime bounds the time between two parts of a request's body.
	_bodyTime = 5 * time.Second
)

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// HeaderNames are the names of the headers of requests.
type HeaderNames struct {
	RequestID string
	// TimeLeft is in milliseconds.
	TimeLeft string
	Object   string
}

// Handler answers requests. The answer has a status; its body is whole.
type Handler interface {
	// Handle answers a request. ctx ends when the caller leaves.
	Handle(ctx context.Context, r *relay.Request) *relay.Answer
	// Exclusive reports whether a request must not be worked on beside others of
	// its connection.
	Exclusive(r *relay.Request) bool
}

// Server takes requests. The exported fields are set before Serve.
type Server struct {
	HeaderNames HeaderNames
	Handler     Handler
	// Limits returns the limits in force.
	Limits func() Limits

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	leaving  atomic.Bool
	closing  atomic.Bool
	busy     sync.WaitGroup
}

var (
	_accepted = metrics.NewCounter("wigeonlock_caller_connections_total")
	_requests = metrics.NewCounter("wigeonlock_caller_requests_total")
	_left     = metrics.NewCounter("wigeonlock_callers_left_total")
)

// Serve takes connections until the listener closes.
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
			var temporary net.Error
			if errors.As(err, &temporary) && temporary.Timeout() {
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
	s.busy.Add(1)
	return true
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.busy.Done()
}

// DisableKeepAlive makes answers close their connections, so that callers go elsewhere.
func (s *Server) DisableKeepAlive() {
	s.leaving.Store(true)
}

// Shutdown takes no more requests and returns when all are answered or ctx ends.
func (s *Server) Shutdown(ctx context.Context) {
	s.leaving.Store(true)
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
		s.busy.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
