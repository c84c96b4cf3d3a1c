// Package retry decides which requests may be retried and when.
//
// Backoff computes exponential delays with jitter, Budget and SharedBudget limit
// retries to a share of first attempts, Circuit stops calls to a failing
// destination, and RefusalRate stops retries while many requests are refused. All
// types take the time and random numbers from their caller.
//
// # Usage
//
//	budget := retry.Budget{Share: 0.1, Burst: 10}
//	budget.RecordFirst()
//	if budget.Acquire() {
//		// one retry
//	}
package retry

import (
	"time"
)

// Outcome is what is known about the execution of a request.
type Outcome string

const (
	// Run means that the request ran and its answer arrived.
	Run Outcome = "run"
	// NotRun means that no worker ran the request.
	NotRun Outcome = "notRun"
	// Unknown means that a worker may have run the request.
	Unknown Outcome = "unknown"
)

// Idempotent reports whether requests with this method may run more than once.
func Idempotent(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	default:
		return false
	}
}

// Allowed reports whether a request with the given outcome may be retried.
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

// Backoff computes exponential delays with jitter.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// Limit returns the longest delay before the given attempt, counted from zero.
func (b Backoff) Limit(attempt int) time.Duration {
	if attempt < 32 && b.Base<<attempt < b.Max {
		return b.Base << attempt
	}
	return b.Max
}

// Delay returns the delay before the given attempt, counted from zero: between
// half of Limit and Limit. random is in [0, 1).
func (b Backoff) Delay(attempt int, random float64) time.Duration {
	return time.Duration(float64(b.Limit(attempt)) * (0.5 + random/2))
}

// Budget limits the retries of this instance to Share of its first attempts, plus
// Burst. It is not safe for concurrent use.
type Budget struct {
	Share float64
	Burst float64

	spent float64
}

// RecordFirst records the first attempt of a request.
func (b *Budget) RecordFirst() {
	b.spent = max(b.spent-b.Share, 0)
}

// Acquire permits one retry, or returns false if the budget is used up.
func (b *Budget) Acquire() bool {
	if b.spent+1 > b.Burst {
		return false
	}
	b.spent++
	return true
}

// Circuit rejects calls after Threshold consecutive failures until a delay of
// Backoff has passed; each further failure starts the next delay. It is not safe
// for concurrent use.
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

// Open reports whether the circuit is open, even if a call may probe it now.
func (c *Circuit) Open() bool {
	return c.failures >= c.Threshold
}

// Succeed records a successful call and closes the circuit.
func (c *Circuit) Succeed() {
	c.failures = 0
}

// Fail records a failed call. random is in [0, 1).
func (c *Circuit) Fail(now time.Time, random float64) {
	c.failures++
	if c.failures >= c.Threshold {
		c.until = now.Add(c.Backoff.Delay(c.failures-c.Threshold, random))
	}
}

// RefusalRate tracks the share of requests that workers refuse. While few are
// refused, a refused request may be sent to another worker: it did not run and
// cost little. While many are refused, a retry only adds load.
type RefusalRate struct {
	share float64
}

const (
	_refusalDecay    = 0.98
	_maxRefusalShare = 0.5
)

// Record records whether a worker refused a request.
func (r *RefusalRate) Record(refused bool) {
	r.share *= _refusalDecay
	if refused {
		r.share += 1 - _refusalDecay
	}
}

// Allow reports whether a refused request may be sent to another worker.
func (r *RefusalRate) Allow() bool {
	return r.share < _maxRefusalShare
}
