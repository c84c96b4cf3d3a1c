// Package exchange carries one request to one worker and its answer back, over
// connections of its own, and tells what is known of the request afterwards.
//
// Nothing is sent a second time here. A connection is used again only if its
// last exchange ended cleanly, nothing came after it, and it was idle for less
// than the worker keeps it. An answer counts only if it names the request, is
// whole and carries the worker's own bytes.
//
// # Usage
//
//	pool := &exchange.Pool{Names: names}
//	result := pool.Do(ctx, exchange.Target{ID: "i-7", Address: "10.1.0.9:80"}, request)
//	switch result.Answer.Outcome {
//	case retry.NotRun: // may be sent elsewhere
//	}
package exchange

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/wigeonlock/wigeonlock/relay"
)

const (
	// _dialTimeout bounds the time to a connection: four round trips between
	// regions.
	_dialTimeout = 300 * time.Millisecond
	// _userTimeout bounds the time for which sent bytes may stay unacknowledged.
	_userTimeout = 1500 * time.Millisecond
	// _keepAliveIdle and _keepAliveInterval find a silent connection while an
	// answer is awaited.
	_keepAliveIdle     = 2 * time.Second
	_keepAliveInterval = time.Second
	_keepAliveCount    = 2
	// _defaultIdle is how long a connection is kept when the worker does not say.
	_defaultIdle = 4 * time.Second
	// _idleMargin is the part of the worker's idle time that is used.
	_idleMargin = 0.8
	// _provenIdle is how long a connection may have been idle for a request that
	// must not run twice: a reset on it leaves the outcome unknown.
	_provenIdle = 3 * time.Second
	// _maxIdle bounds the idle connections to one worker.
	_maxIdle = 16
	// _lookInterval is how often idle connections are looked at: a worker may be
	// back two seconds after its end. It costs a system call for each worker.
	_lookInterval = 500 * time.Millisecond
	// _fewLooked is the number of workers up to which all of them may hang up.
	_fewLooked = 3
	// _maxStray bounds the late answers to other requests that are passed over.
	_maxStray = 2
)

// HeaderNames are the names of the headers that workers and this instance exchange.
type HeaderNames struct {
	RequestID string
	// TimeLeft is in milliseconds.
	TimeLeft string
	// Expect names the worker that is meant.
	Expect string
	// NotRun marks an answer to a request that did not run.
	NotRun string
	// Load is running, waiting and slots, separated by commas.
	Load string
}

// Target is a worker to send to.
type Target struct {
	ID      string
	Address string
}

// Load is what a worker says of its load.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Fault tells what went wrong with an exchange.
type Fault string

const (
	// None means that there is an answer.
	None Fault = ""
	// Unreachable means that no connection could be made.
	Unreachable Fault = "unreachable"
	// Broken means that the connection ended before the answer did.
	Broken Fault = "broken"
	// InvalidAnswer means that the bytes are no whole answer to this request.
	InvalidAnswer Fault = "spoiled"
	// TimedOut means that no answer came in time.
	TimedOut Fault = "silent"
	// CallerDisconnected means that the caller left.
	CallerDisconnected Fault = "callerLeft"
	// Misdirected means that another worker has the address.
	Misdirected Fault = "misdirected"
	// Refused means that the worker did not run the request.
	Refused Fault = "refused"
)

// Result is what came of an exchange.
type Result struct {
	// Answer is never nil; it has a body only if the request ran.
	Answer *relay.Answer
	Fault  Fault
	// Sent is set when the worker may have seen the request.
	Sent bool
	// Reused is set when the connection had been used before.
	Reused bool
	// Load is nil unless the worker told it.
	Load *Load
	// Took is the time from sending to the last byte of the answer.
	Took time.Duration
	// Opened is when the connection was made, zero if none was.
	Opened time.Time
	// Connect is the time to a new connection, FirstByte that from sending to
	// the first byte of the answer, and Body from there to its last; each is
	// zero if it did not come so far.
	Connect   time.Duration
	FirstByte time.Duration
	Body      time.Duration

	// closing is set when the worker ends the connection.
	closing bool
}

// Pool keeps connections to workers. The exported fields are set before the
// first use.
type Pool struct {
	HeaderNames HeaderNames
	// Dial replaces the dialer, for tests.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnIdleClose is called with the address of a worker that ended an idle
	// connection before its time, if set: it may have ended itself.
	OnIdleClose func(address string)

	mu       sync.Mutex
	idle     map[string][]*conn
	lookedAt time.Time
}

var (
	_dials     = metrics.NewCounter("wigeonlock_worker_dials_total")
	_reuses    = metrics.NewCounter("wigeonlock_worker_connection_reuses_total")
	_stale     = metrics.NewCounter("wigeonlock_worker_connections_stale_total")
	_hangUps   = metrics.NewCounter("wigeonlock_worker_hangups_total")
	_strays    = metrics.NewCounter("wigeonlock_stray_answers_total")
	_surpluses = metrics.NewCounter("wigeonlock_surplus_bytes_total")
)

// take returns an idle connection that may be used again, or nil.
func (p *Pool) take(address string, longest time.Duration) *conn {
	now := time.Now()
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		idle := now.Sub(c.since)
		if idle > longest && idle <= c.idleLimit {
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

// put keeps a connection for another exchange.
func (p *Pool) put(address string, c *conn) {
	c.since = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*conn)
	}
	if len(p.idle[address]) >= _maxIdle {
		c.close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// Drop closes the idle connections to an address.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.close()
	}
}

// Sweep closes connections that were idle for too long, and looks from time to
// time whether workers hung up.
func (p *Pool) Sweep(now time.Time) {
	p.look(now)
	var stale []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.since) > c.idleLimit {
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

// look tells of workers that ended an idle connection well before the time that
// they named. Where most of them did, the cause is on this side.
func (p *Pool) look(now time.Time) {
	if p.OnIdleClose == nil || now.Sub(p.lookedAt) < _lookInterval {
		return
	}
	p.lookedAt = now
	looked := 0
	var ended []string
	p.mu.Lock()
	for address, list := range p.idle {
		if len(list) == 0 {
			continue
		}
		c := list[len(list)-1]
		if !c.told || now.Sub(c.since) > c.idleLimit {
			continue
		}
		looked++
		if c.ended() {
			ended = append(ended, address)
		}
	}
	p.mu.Unlock()
	if looked > _fewLooked && len(ended) > looked/2 {
		return
	}
	for _, address := range ended {
		_hangUps.Inc()
		p.Drop(address)
		p.OnIdleClose(address)
	}
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	_dials.Inc()
	ctx, cancel := context.WithTimeout(ctx, _dialTimeout)
	defer cancel()
	dial := p.Dial
	if dial == nil {
		dial = dialTCP
	}
	nc, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return newConn(nc), nil
}
