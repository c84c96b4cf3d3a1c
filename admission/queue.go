package admission

import (
	"math/rand/v2"
	"time"

	"github.com/wigeonlock/wigeonlock/backend"
	"github.com/wigeonlock/wigeonlock/limit"
	"github.com/wigeonlock/wigeonlock/relay"
)

const (
	// TargetUse is the fraction of the slots that moved requests may fill; the rest
	// is reserved for local callers.
	TargetUse = 0.85
	// MaxQueueTime limits the length of the queue: the queued requests take at most
	// this time to serve.
	MaxQueueTime = 200 * time.Millisecond

	// _movedReserve is the divisor of the slots that stay free for local callers: a
	// moved request is admitted only if more than one in _movedReserve slots is free.
	_movedReserve = 4

	_meanDecay = 0.95
	_firstMean = 20 * time.Millisecond
	_trendTime = time.Second
)

// Queue assigns the requests of one service to the workers of the local zone. T
// identifies a waiting request. Queue does no I/O and is not safe for concurrent
// use.
type Queue[T comparable] struct {
	// Pool holds the workers.
	Pool backend.Pool
	// Rand is the source of random choices.
	Rand *rand.Rand

	queue limit.Queue[T]
	mean  time.Duration
	trend trend
}

// Arrival is a request for a worker.
type Arrival[T comparable] struct {
	Value T
	// Moved is set if the request comes from another zone of its home region, or if
	// its home region is another one.
	Moved bool
	// Tried lists the names of the workers of earlier attempts.
	Tried    []string
	Priority int
	Deadline time.Time
	// BusyElsewhere is the number of slots that the other instances of the zone occupy.
	BusyElsewhere int
}

// Decision is the result of Acquire: a worker, a queue entry or a refusal.
type Decision struct {
	Worker  backend.Worker
	Granted bool
	Queued  bool
	// Refusal is set if the request is neither granted nor queued.
	Refusal relay.Reason
}

// Grant assigns a worker to a queued request. If Dropped is set, the request lost
// its queue entry instead.
type Grant[T comparable] struct {
	Value   T
	Worker  backend.Worker
	Dropped bool
}

// trend tracks the growth of the slots in use.
type trend struct {
	at     time.Time
	inUse  int
	growth float64
}

// observe updates the growth, in slots per _trendTime.
func (t *trend) observe(now time.Time, inUse int) {
	elapsed := now.Sub(t.at)
	if elapsed < _trendTime/4 {
		return
	}
	if !t.at.IsZero() {
		rate := float64(inUse-t.inUse) * float64(_trendTime) / float64(elapsed)
		t.growth = (t.growth + rate) / 2
	}
	t.at = now
	t.inUse = inUse
}

// Acquire requests a worker. Moved requests get one only within the headroom;
// other requests may be queued. Requests dropped from the queue are returned.
func (q *Queue[T]) Acquire(now time.Time, a Arrival[T]) (Decision, []Grant[T]) {
	if a.Moved && !q.admitsMoved(now, a.BusyElsewhere) {
		return Decision{Refusal: relay.NoCapacity}, nil
	}
	if q.queue.Len() == 0 {
		if w, ok := q.Pool.Pick(now, q.Rand, backend.Limits{Exclude: a.Tried}); ok {
			return Decision{Worker: w, Granted: true}, nil
		}
	}
	if a.Moved {
		return Decision{Refusal: relay.NoCapacity}, nil
	}
	return q.enqueue(now, a)
}

// enqueue queues a request until its deadline minus twice the mean time for which a
// request occupies a slot. A request that would wait longer is refused.
func (q *Queue[T]) enqueue(now time.Time, a Arrival[T]) (Decision, []Grant[T]) {
	slots, _ := q.Pool.Load(now)
	if slots == 0 {
		return Decision{Refusal: relay.NoCapacity}, nil
	}
	latest := a.Deadline.Add(-2 * q.meanLatency())
	if now.Add(q.expectedWait(now)).After(latest) {
		return Decision{Refusal: relay.TooLate}, nil
	}
	perSlot := int(MaxQueueTime / max(q.meanLatency(), time.Millisecond))
	q.queue.Max = slots * max(perSlot, 1) / max(q.Pool.Instances, 1)
	dropped, ok := q.queue.Push(limit.Waiter[T]{Priority: a.Priority, Deadline: latest, Value: a.Value})
	grants := appendDropped(nil, dropped)
	if !ok {
		return Decision{Refusal: relay.QueueFull}, grants
	}
	return Decision{Queued: true}, grants
}

// Done records the end of a request on a worker and assigns free slots to queued
// requests.
func (q *Queue[T]) Done(now time.Time, worker string, result backend.Result, latency time.Duration) []Grant[T] {
	q.Pool.Done(now, worker, result, latency)
	if result == backend.Answered {
		q.mean = time.Duration(_meanDecay*float64(q.meanLatency()) + (1-_meanDecay)*float64(latency))
	}
	return q.Serve(now)
}

// Serve assigns free slots to queued requests.
func (q *Queue[T]) Serve(now time.Time) []Grant[T] {
	var grants []Grant[T]
	for q.queue.Len() > 0 {
		w, ok := q.Pool.Pick(now, q.Rand, backend.Limits{})
		if !ok {
			break
		}
		next, expired, ok := q.queue.Pop(now)
		grants = appendDropped(grants, expired)
		if !ok {
			q.Pool.Done(now, w.Name, backend.Cancelled, 0)
			break
		}
		grants = append(grants, Grant[T]{Value: next.Value, Worker: w})
	}
	return grants
}

// Cancel removes a request from the queue and reports whether it was queued.
func (q *Queue[T]) Cancel(value T) bool {
	return q.queue.Remove(func(other T) bool { return other == value })
}

// Capacity is the capacity that the next request would find.
type Capacity struct {
	// Free is the number of slots free at once.
	Free int
	// Wait is the expected time in the queue if no slot is free.
	Wait time.Duration
	// SlotTime is the mean time for which a request occupies a slot.
	SlotTime time.Duration
	// Workers reports whether there are usable workers.
	Workers bool
}

// Capacity returns the capacity that the next request would find.
func (q *Queue[T]) Capacity(now time.Time) Capacity {
	slots, _ := q.Pool.Load(now)
	c := Capacity{Wait: q.expectedWait(now), SlotTime: q.meanLatency(), Workers: slots > 0}
	if q.queue.Len() == 0 {
		c.Free = q.Pool.Free(now)
	}
	return c
}

// Headroom returns how many more requests may come from other zones: within this
// instance's part of the target, and within the target of the zone, less the queue
// and the growth of this instance's load.
func (q *Queue[T]) Headroom(now time.Time, busyElsewhere int) int {
	slots, inFlight := q.Pool.Load(now)
	q.trend.observe(now, inFlight)
	target := int(float64(slots) * TargetUse)
	part := target / max(q.Pool.Instances, 1)
	reserve := int(max(q.trend.growth, 0))
	return max(min(part-inFlight, target-inFlight-busyElsewhere)-q.queue.Len()-reserve, 0)
}

// admitsMoved reports whether a moved request is admitted: there is headroom, no
// worker refused recently, and some slots stay free for requests of local callers
// that the other instances admitted since their load was last updated.
func (q *Queue[T]) admitsMoved(now time.Time, busyElsewhere int) bool {
	slots, _ := q.Pool.Load(now)
	return q.Headroom(now, busyElsewhere) > 0 && !q.Pool.RecentlyRefused(now) && q.Pool.Free(now) > slots/_movedReserve
}

// expectedWait returns the expected time that the next request waits in the queue.
func (q *Queue[T]) expectedWait(now time.Time) time.Duration {
	slots, _ := q.Pool.Load(now)
	return q.meanLatency() * time.Duration(q.queue.Len()+1) / time.Duration(max(slots/max(q.Pool.Instances, 1), 1))
}

func (q *Queue[T]) meanLatency() time.Duration {
	if q.mean == 0 {
		q.mean = _firstMean
	}
	return q.mean
}

func appendDropped[T comparable](grants []Grant[T], waiters []limit.Waiter[T]) []Grant[T] {
	for _, w := range waiters {
		grants = append(grants, Grant[T]{Value: w.Value, Dropped: true})
	}
	return grants
}
