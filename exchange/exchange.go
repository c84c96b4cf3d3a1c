// Package exchange sends one request to one worker over pooled HTTP/1.1
// connections and reports its answer, or the fault and whether the worker may
// have run the request.
//
// The package retries nothing. A connection is reused only if its last exchange
// ended cleanly, no bytes arrived since, and it was idle for less than the
// worker's idle timeout. An answer is accepted only if it carries the ID of the
// request, is complete and has no content encoding.
//
// # Usage
//
//	pool := &exchange.Pool{HeaderNames: names}
//	result := pool.Do(ctx, exchange.Target{ID: "i-7", Address: "10.1.0.9:80"}, request, repeatable)
//	switch result.Answer.Outcome {
//	case retry.NotRun: // may be sent elsewhere
//	}
package exchange

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"github.com/wigeonlock/wigeonlock/bytebudget"
	"github.com/wigeonlock/wigeonlock/relay"
)

const (
	// _dialTimeout is the timeout of a connection attempt: four round trips
	// between regions.
	_dialTimeout = 300 * time.Millisecond
	// _userTimeout is the longest time that sent bytes may stay unacknowledged
	// (TCP_USER_TIMEOUT).
	_userTimeout = 1500 * time.Millisecond
	// The TCP keep-alive settings detect a dead connection while an answer is
	// awaited.
	_keepAliveIdle     = 2 * time.Second
	_keepAliveInterval = time.Second
	_keepAliveCount    = 2
	// _defaultIdle is the idle limit of a connection whose worker states none.
	_defaultIdle = 4 * time.Second
	// _idleShare is the fraction of the worker's idle timeout for which a
	// connection is reused.
	_idleShare = 0.8
	// _maxIdleNonRepeatable is the longest idle time of a connection that is used
	// for a request that must not run twice: a reset would leave its outcome
	// unknown.
	_maxIdleNonRepeatable = 3 * time.Second
	// _maxIdleConns is the maximum number of idle connections to one worker.
	_maxIdleConns = 16
	// _idleCheckInterval is how often idle connections are checked for a close by the
	// worker: a worker may have restarted two seconds after it ended. A check costs
	// one system call for each worker.
	_idleCheckInterval = 500 * time.Millisecond
	// _endingTime is how long a process that ends may take to close its sockets.
	_endingTime = 10 * time.Millisecond
	// _massCloseThreshold is the number of checked workers above which a close by
	// most of them is assumed to have a local cause.
	_massCloseThreshold = 3
	// _maxStray is the maximum number of late answers to other requests that are
	// skipped before the answer to the current request.
	_maxStray = 2
)

// HeaderNames are the names of the headers between an instance and workers.
type HeaderNames struct {
	RequestID string
	// TimeLeft is the time until the deadline of a request, in milliseconds.
	TimeLeft string
	// Expect is the ID of the worker that the request is for.
	Expect string
	// Team is the name of the caller's team.
	Team string
	// NotRun marks the answer of a worker that did not run the request.
	NotRun string
	// Stamp marks the answer of a worker that ran the request.
	Stamp string
	// Load is the load report of a worker: running, waiting and slots, separated
	// by commas, and then possibly the time that work takes there, in percent of the usual.
	Load string
	// Limit is the number of requests per second that a worker takes from all
	// instances together.
	Limit string
	// Leaving is "1" in the answers of a worker that leaves.
	Leaving string
	// Rest is the pause that a worker asks this instance for when it refuses a request.
	Rest string
	// Cold is how long a worker stays cold, in milliseconds, and Self its ID, in the answers
	// at its health path.
	Cold string
	Self string
}

// Target is the ID and the host:port address of a worker.
type Target struct {
	ID      string
	Address string
	// MaxIdle is the number of idle connections to the worker that are kept, or NoIdle.
	// 0 means _maxIdleConns, which is also the largest number.
	MaxIdle int
	// Withdrawn, if set, is called when there is a connection. If it returns true, nothing
	// is sent: what the worker said meanwhile rules it out.
	Withdrawn func() bool
}

// NoIdle is a MaxIdle by which no idle connection is kept.
const NoIdle = -1

// keepsIdle reports whether one more idle connection is kept, beside n others.
func (t Target) keepsIdle(n int) bool {
	if t.MaxIdle == 0 {
		return n < _maxIdleConns
	}
	return n < min(t.MaxIdle, _maxIdleConns)
}

// Load is the load report of a worker: its running and waiting requests, its slots, and
// how long work takes there.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Pace is the time that work takes on the worker's machine at this moment, relative to
	// the usual time, or zero if the report does not state it.
	Pace float64
}

// Fault is the way in which an exchange failed.
type Fault string

const (
	// None means that the worker answered the request.
	None Fault = ""
	// Unreachable means that no connection could be made.
	Unreachable Fault = "unreachable"
	// Broken means that the connection failed before the answer was complete, or that
	// the answer was malformed.
	Broken Fault = "broken"
	// InvalidAnswer means that the worker sent an answer to another request, one
	// with a content encoding, or one that is too large.
	InvalidAnswer Fault = "spoiled"
	// TimedOut means that no complete answer arrived before the deadline.
	TimedOut Fault = "silent"
	// CallerDisconnected means that the caller disconnected and the exchange was
	// cancelled.
	CallerDisconnected Fault = "callerLeft"
	// Misdirected means that another worker now has the address.
	Misdirected Fault = "misdirected"
	// Refused means that the worker declined to run the request.
	Refused Fault = "refused"
	// Starved means that this process has no connection left. It says nothing of the worker.
	Starved Fault = "noConnections"
	// Withdrawn means that the target was withdrawn before the request was sent.
	Withdrawn Fault = "withdrawn"
)

// Result is the result of an exchange.
type Result struct {
	// Answer is never nil; it has a body only if the request ran.
	Answer *relay.Answer
	Fault  Fault
	// Sent is set when there was a connection, so that the worker may have received
	// the request.
	Sent bool
	// Reused is set when the connection served an earlier exchange.
	Reused bool
	// Load is nil unless the worker reported it.
	Load *Load
	// Limit is the number of requests per second that the worker takes from all
	// instances together, or nil if its answer names none.
	Limit *float64
	// Leaving is set if the worker said that it leaves, also in an answer that broke off.
	Leaving bool
	// Rest is how long the worker wants no requests from this instance, or zero.
	Rest time.Duration
	// SentAt is when the request was written.
	SentAt time.Time
	// Took is the duration of the exchange, including the dial.
	Took time.Duration
	// Opened is when the connection was established, zero if none was.
	Opened time.Time
	// Connect is the time to establish a new connection, FirstByte the time from
	// sending to the first byte of the answer, and Body the time from there to
	// its last byte. Each is zero if the exchange did not reach it.
	Connect   time.Duration
	FirstByte time.Duration
	Body      time.Duration

	// closing is set when the worker closes the connection after the answer.
	closing bool
}

// Pool sends requests over reusable connections to workers. The exported fields
// are set before the first use.
type Pool struct {
	HeaderNames HeaderNames
	// Dial replaces the TCP dialer in tests.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnIdleClose, if set, is called by Sweep with the address of a worker that
	// closed an idle connection before its stated timeout: the worker may have
	// ended.
	OnIdleClose func(address string)
	// BodyBudget limits the memory of the large bodies that are being read at a time, in
	// bytes, of requests that bring no room for their answer. 0 is _defaultBodyBudget.
	BodyBudget int64
	// MaxConns is the largest number of connections to all workers together, or 0. At that
	// number, idle ones give way to new ones.
	MaxConns int

	budgetOnce sync.Once
	bodies     *bytebudget.Budget
	open       atomic.Int64

	mu        sync.Mutex
	idle      map[string][]*conn
	checkedAt time.Time
}

var (
	_dials      = metrics.NewCounter("wigeonlock_worker_dials_total")
	_reuses     = metrics.NewCounter("wigeonlock_worker_connection_reuses_total")
	_stale      = metrics.NewCounter("wigeonlock_worker_connections_stale_total")
	_idleCloses = metrics.NewCounter("wigeonlock_worker_hangups_total")
	_strays     = metrics.NewCounter("wigeonlock_stray_answers_total")
	// _unnamedRefusals counts refusals that may be copies of earlier ones.
	_unnamedRefusals = metrics.NewCounter("wigeonlock_unnamed_refusals_total")
	_badRests        = metrics.NewCounter("wigeonlock_unusable_rests_total")
	_probes          = metrics.NewCounter("wigeonlock_probes_total")
	_badStatuses     = metrics.NewCounter("wigeonlock_unusable_statuses_total")
	_badLimits       = metrics.NewCounter("wigeonlock_unusable_limits_total")
	_badLoads        = metrics.NewCounter("wigeonlock_unusable_loads_total")
	_starved         = metrics.NewCounter("wigeonlock_worker_connections_denied_total")
	_surpluses       = metrics.NewCounter("wigeonlock_surplus_bytes_total")
)

// acquire removes and returns an idle connection that may be reused, or nil. Only
// a connection idle for at most maxIdle is returned.
func (p *Pool) acquire(address string, maxIdle time.Duration) *conn {
	now := time.Now()
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		idle := now.Sub(c.idleSince)
		if idle > maxIdle && idle <= c.idleLimit {
			p.mu.Unlock()
			return nil
		}
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		if idle <= c.idleLimit && c.quiet() {
			_reuses.Inc()
			return c
		}
		_stale.Inc()
		c.close()
	}
}

// release returns a connection to the pool, or closes it if the pool is full.
func (p *Pool) release(t Target, c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*conn)
	}
	if !t.keepsIdle(len(p.idle[t.Address])) {
		c.close()
		return
	}
	p.idle[t.Address] = append(p.idle[t.Address], c)
}

// CloseIdle closes all idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.close()
	}
}

// Sweep closes connections beyond their idle limit, and checks at intervals
// whether workers closed idle connections. Calls of Sweep must not be concurrent.
func (p *Pool) Sweep(now time.Time) {
	p.checkIdle(now)
	var stale []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) > c.idleLimit {
				stale = append(stale, c)
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
	p.mu.Unlock()
	for _, c := range stale {
		c.close()
	}
}

// checkIdle reports workers that closed an idle connection well before their
// stated timeout. If most of the checked workers did, the cause is assumed to be
// local, and none is reported.
func (p *Pool) checkIdle(now time.Time) {
	if p.OnIdleClose == nil || now.Sub(p.checkedAt) < _idleCheckInterval {
		return
	}
	p.checkedAt = now
	checked := 0
	var ended []string
	p.mu.Lock()
	for address, list := range p.idle {
		if len(list) == 0 {
			continue
		}
		c := list[len(list)-1]
		if !c.limitStated || now.Sub(c.idleSince) > c.idleLimit {
			continue
		}
		checked++
		if c.ended() {
			ended = append(ended, address)
		}
	}
	p.mu.Unlock()
	if checked > _massCloseThreshold && len(ended) > checked/2 {
		return
	}
	for _, address := range ended {
		_idleCloses.Inc()
		p.CloseIdle(address)
		p.OnIdleClose(address)
	}
}

// HasEnded reports whether nothing listens at the address of a worker. If it does, the new
// connection is kept, unless it ends at once: a process that ends may close its listener last.
func (p *Pool) HasEnded(ctx context.Context, t Target) bool {
	c, err := p.dial(ctx, t.Address)
	if err != nil {
		return errors.Is(err, unix.ECONNREFUSED)
	}
	time.Sleep(_endingTime)
	if c.ended() {
		c.close()
		return true
	}
	p.release(t, c)
	return false
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	// Counted before the dial, so that concurrent dials stay within MaxConns.
	if open := p.open.Add(1); p.MaxConns > 0 && open > int64(p.MaxConns) && !p.closeOldestIdle() {
		p.open.Add(-1)
		_starved.Inc()
		return nil, errNoConnections
	}
	_dials.Inc()
	ctx, cancel := context.WithTimeout(ctx, _dialTimeout)
	defer cancel()
	dial := p.Dial
	if dial == nil {
		dial = dialTCP
	}
	nc, err := dial(ctx, address)
	if err != nil {
		p.open.Add(-1)
		return nil, err
	}
	c := newConn(nc)
	c.open = &p.open
	return c, nil
}

// closeOldestIdle closes the connection that was idle the longest. It returns false if none
// is idle.
func (p *Pool) closeOldestIdle() bool {
	p.mu.Lock()
	var oldest string
	for address, list := range p.idle {
		if len(list) > 0 && (oldest == "" || list[0].idleSince.Before(p.idle[oldest][0].idleSince)) {
			oldest = address
		}
	}
	if oldest == "" {
		p.mu.Unlock()
		return false
	}
	c := p.idle[oldest][0]
	p.idle[oldest] = slices.Delete(p.idle[oldest], 0, 1)
	if len(p.idle[oldest]) == 0 {
		delete(p.idle, oldest)
	}
	p.mu.Unlock()
	c.close()
	return true
}

// Connections returns the number of open connections, and of those that are idle.
func (p *Pool) Connections() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		idle += len(list)
	}
	return int(p.open.Load()), idle
}
