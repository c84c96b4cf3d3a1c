package frontend

import (
	"cmp"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
)

const (
	// _refusedShare is the share of MaxConns by which connections may exceed it, for callers
	// that are refused. Others wait in the listener's queue.
	_refusedShare = 0.1
	// _closedShare is the share of MaxConns that are closed at once if they are idle.
	_closedShare = 0.05
	// _roomPause is the pause before it is checked again whether a connection is free.
	_roomPause = 10 * time.Millisecond
	// _refusedRetryAfter is the time after which a refused caller returns, half of it at
	// least.
	_refusedRetryAfter = 500 * time.Millisecond
)

// _acceptBackoff are the pauses after a failed accept: descriptors or memory are short.
var _acceptBackoff = retry.Backoff{Base: 5 * time.Millisecond, Max: 200 * time.Millisecond}

var (
	_acceptFailures = metrics.NewCounter("wigeonlock_accept_failures_total")
	_idleClosed     = metrics.NewCounter("wigeonlock_idle_callers_closed_total")
	_refusedConns   = metrics.NewCounter("wigeonlock_caller_connections_refused_total")
)

// accept returns the next connection. It returns an error only if the listener was closed; a
// lack of descriptors or memory passes.
func (s *Server) accept(l net.Listener) (net.Conn, error) {
	for failures := 0; ; failures++ {
		s.awaitRoom()
		nc, err := l.Accept()
		if err == nil {
			return nc, nil
		}
		var netErr net.Error
		switch {
		case s.isClosing(), errors.Is(err, net.ErrClosed):
			return nil, err
		case errors.As(err, &netErr) && netErr.Timeout():
			continue
		}
		_acceptFailures.Inc()
		if failures == 0 && s.Log != nil {
			s.Log.Warn("connection of a caller was not accepted", zap.Error(err), zap.Int("open", s.Connections()))
		}
		s.closeIdle(1)
		time.Sleep(_acceptBackoff.Delay(failures, rand.Float64()))
	}
}

// Connections returns the number of open connections of callers.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// awaitRoom waits while there are more connections than may be refused.
func (s *Server) awaitRoom() {
	if s.MaxConns <= 0 {
		return
	}
	limit := int(float64(s.MaxConns) * (1 + _refusedShare))
	for s.Connections() >= limit && !s.isClosing() {
		s.closeIdle(max(int(float64(s.MaxConns)*_closedShare), 1))
		time.Sleep(_roomPause)
	}
}

// makeRoom closes idle connections if there are MaxConns, and reports whether one more is
// within them.
func (s *Server) makeRoom() bool {
	if s.MaxConns <= 0 || s.Connections() < s.MaxConns {
		return true
	}
	return s.closeIdle(max(int(float64(s.MaxConns)*_closedShare), 1)) > 0
}

// closeIdle closes up to n connections that wait for a request, those that wait the longest
// first, and returns their number. A request that arrives meanwhile is served.
func (s *Server) closeIdle(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var idle []*conn
	for c := range s.conns {
		if c.isIdle() {
			idle = append(idle, c)
		}
	}
	slices.SortFunc(idle, func(a, b *conn) int { return cmp.Compare(a.idleSince.Load(), b.idleSince.Load()) })
	idle = idle[:min(n, len(idle))]
	now := time.Now()
	for _, c := range idle {
		c.evicted.Store(true)
		c.finish(now)
	}
	_idleClosed.Add(len(idle))
	return len(idle)
}

// isIdle reports whether the connection waits for a request and was not told to end.
func (c *conn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.awaiting && c.lastRead.IsZero() && c.pending.Load() == 0
}

// refuse returns the answer to a request on a connection beyond MaxConns.
func (c *conn) refuse() *relay.Answer {
	_refusedConns.Inc()
	a := Refusal(http.StatusServiceUnavailable, relay.TooManyCallers, "the request did not run")
	return withRetryAfter(a, jittered(_refusedRetryAfter))
}

// jittered returns between half of a pause and all of it, so that refused callers do not return
// all at once.
func jittered(pause time.Duration) time.Duration {
	return time.Duration(float64(pause) * (0.5 + rand.Float64()/2))
}

func withRetryAfter(a *relay.Answer, pause time.Duration) *relay.Answer {
	a.Header = append(a.Header, relay.Header{Name: relay.HeaderRetryAfter, Value: strconv.FormatFloat(pause.Seconds(), 'f', 3, 64)})
	return a
}
