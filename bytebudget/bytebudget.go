// Package bytebudget shares the memory that a process may hold for others between its uses:
// bodies of requests, answers, and buffers of connections. Bytes are taken before they are
// read, and given back when they are sent or dropped, so that no remote end can make the
// process exceed its memory.
//
// Ledger decides who gets bytes and in which order; Budget is the same for concurrent use, with
// waiting. A nil Budget has no limit and its leases cost nothing.
//
// # Usage
//
//	b := bytebudget.New(limit, shares)
//	lease, ok := b.Acquire(ctx, bytebudget.Requests, length, wait)
//	if !ok {
//		return refusal(b.Pause(bytebudget.Requests, length))
//	}
//	defer lease.Release()
package bytebudget

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Budget is a Ledger for concurrent use, whose claims can be waited for.
type Budget struct {
	mu      sync.Mutex
	ledger  Ledger
	waiters map[*Claim]chan struct{}
	peaks   map[Use]int64
	// refusedAt is when a claim last got no bytes.
	refusedAt map[Use]time.Time
}

// _shortTime is how long memory counts as short after a claim got none.
const _shortTime = time.Second

// New returns a budget of a number of bytes.
func New(limit int64, shares Shares) *Budget {
	return &Budget{
		ledger: Ledger{Limit: limit, Shares: shares}, waiters: make(map[*Claim]chan struct{}),
		peaks: make(map[Use]int64), refusedAt: make(map[Use]time.Time),
	}
}

// Lease is what one holder of bytes has. A nil Lease holds nothing and has no limit. It is used
// by one goroutine at a time.
type Lease struct {
	budget *Budget
	use    Use
	held   int64
}

// Lease returns a lease that holds nothing yet.
func (b *Budget) Lease(use Use) *Lease {
	if b == nil {
		return nil
	}
	return &Lease{budget: b, use: use}
}

// Acquire waits for bytes of a use, for a limited time. It returns false if there was no room.
func (b *Budget) Acquire(ctx context.Context, use Use, n int64, wait time.Duration) (*Lease, bool) {
	if b == nil {
		return nil, true
	}
	l := b.Lease(use)
	if !l.Fill(ctx, n, wait) {
		return nil, false
	}
	return l, true
}

// Fill makes the lease hold at least a number of bytes, and waits for them for a limited time,
// like Acquire.
func (l *Lease) Fill(ctx context.Context, to int64, wait time.Duration) bool {
	if l.has(to) {
		return true
	}
	return l.budget.claim(ctx, l, &Claim{Use: l.use, Bytes: to - l.held}, wait)
}

// Grow is Fill for what must not be dropped: it goes before all others, and up to the size of a
// small piece there is always room.
func (l *Lease) Grow(ctx context.Context, to int64, wait time.Duration) bool {
	if l.has(to) {
		return true
	}
	b := l.budget
	if to <= b.ledger.Shares.Small {
		b.mu.Lock()
		b.take(l.use, to-l.held)
		b.mu.Unlock()
		l.held = to
		return true
	}
	return b.claim(ctx, l, &Claim{Use: l.use, Bytes: to - l.held, Urgent: true}, wait)
}

// has reports whether the lease needs no more to hold a number of bytes.
func (l *Lease) has(n int64) bool {
	return l == nil || n <= l.held || n <= l.budget.ledger.Shares.Free
}

// Shrink gives back what the lease holds beyond a number of bytes.
func (l *Lease) Shrink(to int64) {
	if l == nil || to >= l.held {
		return
	}
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	granted := b.ledger.Give(time.Now(), l.use, l.held-to)
	l.held = to
	b.wake(granted)
}

// Release gives back all that the lease holds.
func (l *Lease) Release() { l.Shrink(0) }

// Held returns the bytes that the lease holds.
func (l *Lease) Held() int64 {
	if l == nil {
		return 0
	}
	return l.held
}

func (b *Budget) claim(ctx context.Context, l *Lease, c *Claim, wait time.Duration) bool {
	b.mu.Lock()
	if b.ledger.Never(c, l.held) {
		b.mu.Unlock()
		count("refusals", c.Use)
		return false
	}
	b.ledger.Ask(c)
	if c.Granted() {
		l.held += c.Bytes
		b.notePeak(c.Use)
		b.mu.Unlock()
		return true
	}
	granted := make(chan struct{})
	b.waiters[c] = granted
	b.mu.Unlock()
	if wait > 0 {
		count("waits", c.Use)
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-granted:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.waiters, c)
	if c.Granted() {
		l.held += c.Bytes
		return true
	}
	b.wake(b.ledger.Withdraw(c))
	b.refusedAt[c.Use] = time.Now()
	count("refusals", c.Use)
	return false
}

// wake tells waiting claims that they are granted. The caller holds b.mu.
func (b *Budget) wake(granted []*Claim) {
	for _, c := range granted {
		b.notePeak(c.Use)
		if waiter := b.waiters[c]; waiter != nil {
			delete(b.waiters, c)
			close(waiter)
		}
	}
}

func (b *Budget) take(use Use, n int64) {
	b.ledger.Take(use, n)
	b.notePeak(use)
}

func (b *Budget) notePeak(use Use) {
	b.peaks[use] = max(b.peaks[use], b.ledger.Held(use))
}

// Take takes bytes whether there is room or not, for what cannot wait.
func (b *Budget) Take(use Use, n int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.take(use, n)
}

// Give gives back bytes that Take took.
func (b *Budget) Give(use Use, n int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wake(b.ledger.Give(time.Now(), use, n))
}

// Limit returns the bytes of all uses together, 0 if there is no limit.
func (b *Budget) Limit() int64 {
	if b == nil {
		return 0
	}
	return b.ledger.Limit
}

// Short reports whether something waits for bytes of a use, or got none just before.
func (b *Budget) Short(use Use) bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Waits(use) || time.Since(b.refusedAt[use]) < _shortTime
}

// Pause returns the time after which there may be room for n bytes of a use.
func (b *Budget) Pause(use Use, n int64) time.Duration {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Pause(use, n)
}

// State is what a use holds, at most held so far, and may hold, in bytes.
type State struct {
	Held, Peak, Most int64
}

// State returns the state of a use.
func (b *Budget) State(use Use) State {
	if b == nil {
		return State{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return State{Held: b.ledger.Held(use), Peak: b.peaks[use], Most: b.ledger.Most(use)}
}

func count(what string, use Use) {
	metrics.GetOrCreateCounter("wigeonlock_memory_" + what + `_total{use="` + string(use) + `"}`).Inc()
}
