// Package retry decides what may be tried again and when.
//
// Backoff gives exponential delays with jitter, Budget bounds retries to a
// share of first tries, and Circuit stops calls to a destination that fails.
// All types take the time and randomness from their caller.
//
// # Usage
//
//	budget := retry.Budget{Share: 0.1, Burst: 10}
//	budget.First()
//	if budget.Take() {
//		// one retry
//	}
package retry

import (
	"time"
)

// Outcome tells what is known of a request.
type Outcome string

const (
	// Run means that the request ran and its answer is at hand.
	Run Outcome = "run"
	// NotRun means that no worker ran the request.
	NotRun Outcome = "notRun"
	// Unknown means that a worker may have run the request.
	Unknown Outcome = "unknown"
)

// Idempotent reports whether a method may run more than once.
func Idempotent(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	default:
		return false
	}
}

// Allowed reports whether a request with the given outcome may be tried again.
func Allowed(method string, outcome Outcome) bool {
	switch outcome {
	case NotRun:
		return true
	case Unknown:
		return Idempotent(method)
	default:
		return false
	}
}

// Backoff gives exponential delays with full jitter.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// Limit returns the longest delay before the given try; attempt counts from
// zero.
func (b Backoff) Limit(attempt int) time.Duration {
	if attempt < 32 && b.Base<<attempt < b.Max {
		return b.Base << attempt
	}
	return b.Max
}

// Delay returns the delay before the given try; attempt counts from zero and
// random is in [0, 1).
func (b Backoff) Delay(attempt int, random float64) time.Duration {
	return time.Duration(float64(b.Limit(attempt)) * (0.5 + random/2))
}

// Budget bounds retries to Share of first tries, plus Burst. It is not safe
// for concurrent use.
type Budget struct {
	Share float64
	Burst float64

	spent float64
}

// RecordFirst records a first try.
func (b *Budget) RecordFirst() {
	b.spent = max(b.spent-b.Share, 0)
}

// Acquire permits one retry, or returns false when the budget is used up.
func (b *Budget) Acquire() bool {
	if b.spent+1 > b.Burst {
		return false
	}
	b.spent++
	return true
}

// Circuit opens after Threshold failures in a row and lets one call through
// after each delay of Backoff. It is not safe for concurrent use.
type Circuit struct {
	Threshold int
	Backoff   Backoff

	failures int
	until    time.Time
}

// Allow reports whether a call may be made now.
func (c *Circuit) Allow(now time.Time) bool {
	return c.failures < c.Threshold || !now.Before(c.until)
}

// Open reports whether the circuit is open, whether or not a call may probe it.
func (c *Circuit) Open() bool {
	return c.failures >= c.Threshold
}

// Succeed records a call that succeeded.
func (c *Circuit) Succeed() {
	c.failures = 0
}

// Fail records a call that failed; random is in [0, 1).
func (c *Circuit) Fail(now time.Time, random float64) {
	c.failures++
	if c.failures >= c.Threshold {
		c.until = now.Add(c.Backoff.Delay(c.failures-c.Threshold, random))
	}
}

// RefusalRate follows the share of requests that workers refuse. While few are
// refused, a refused one may be sent to another worker: it did not run and
// cost little. While many are, that would only add to the load.
type RefusalRate struct {
	share float64
}

const (
	_pressureDecay = 0.98
	_pressureLimit = 0.5
)

// Record records whether a worker refused a request.
func (p *RefusalRate) Record(refused bool) {
	p.share *= _pressureDecay
	if refused {
		p.share += 1 - _pressureDecay
	}
}

// Allow reports whether a refused request may be sent to another worker.
func (p *RefusalRate) Allow() bool {
	return p.share < _pressureLimit
}
