package admission

import (
	"math/rand/v2"
	"time"

	"github.com/wigeonlock/wigeonlock/backend"
	"github.com/wigeonlock/wigeonlock/limit"
	"github.com/wigeonlock/wigeonlock/relay"
)

const (
	// TargetUse is the share of the slots that moved work may fill; the rest
	// is kept for the zone's own callers.
	TargetUse = 0.85
	// MaxQueueTime is the longest time for which requests are queued.
	MaxQueueTime = 200 * time.Millisecond

	// _movedReserve is the part of the slots, one in so many, that must be free
	// when moved work is taken.
	_movedReserve = 4

	_meanDecay = 0.95
	_firstMean = 20 * time.Millisecond
	_trendTime = time.Second
)

// Queue decides which requests of one service get which worker of the own
// zone. T identifies a request that waits. It does no I/O and is not safe for
// concurrent use.
type Queue[T comparable] struct {
	// Pool has the workers.
	Pool backend.Pool
	// Rand makes the random choices.
	Rand *rand.Rand

	queue limit.Queue[T]
	mean  time.Duration
	trend trend
}

// Arrival is a request that asks for a worker.
type Arrival[T comparable] struct {
	Value T
	// Moved tells that it comes from another zone, or that its home is another region.
	Moved bool
	// Tried names the workers tried already.
	Tried    []string
	Priority int
	Deadline time.Time
	// BusyElsewhere are the slots that the other instances of the zone occupy.
	BusyElsewhere int
}

// Decision is what becomes of an arrival: a worker, a place in the queue, or a
// refusal.
type Decision struct {
	Worker  backend.Worker
	Granted bool
	Queued  bool
	// Refusal is set if neither.
	Refusal relay.Reason
}

// Grant is a worker for a request that waited, or the news that it lost its place.
type Grant[T comparable] struct {
	Value   T
	Worker  backend.Worker
	Dropped bool
}

// trend follows the growth of the slots in use.
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

// Acquire asks for a worker. Moved work gets one only within the room for it; the
// zone's own may wait. Requests that lose their place to this one are returned.
func (s *Queue[T]) Acquire(now time.Time, a Arrival[T]) (Decision, []Grant[T]) {
	if a.Moved && !s.admitsMoved(now, a.BusyElsewhere) {
		return Decision{Refusal: relay.NoRoom}, nil
	}
	if s.queue.Len() == 0 {
		if w, ok := s.Pool.Pick(now, s.Rand, backend.Limits{Exclude: a.Tried}); ok {
			return Decision{Worker: w, Granted: true}, nil
		}
	}
	if a.Moved {
		return Decision{Refusal: relay.NoRoom}, nil
	}
	return s.enqueue(now, a)
}

// enqueue lets a request wait until its deadline less twice the mean time that
// a request takes.
func (s *Queue[T]) enqueue(now time.Time, a Arrival[T]) (Decision, []Grant[T]) {
	slots, _ := s.Pool.Load(now)
	if slots == 0 {
		return Decision{Refusal: relay.NoRoom}, nil
	}
	latest := a.Deadline.Add(-2 * s.meanTime())
	if now.Add(s.expectedWait(now)).After(latest) {
		return Decision{Refusal: relay.TooLate}, nil
	}
	perSlot := int(MaxQueueTime / max(s.meanTime(), time.Millisecond))
	s.queue.Max = slots * max(perSlot, 1) / max(s.Pool.Instances, 1)
	dropped, ok := s.queue.Push(limit.Waiter[T]{Priority: a.Priority, Deadline: latest, Value: a.Value})
	lost := lose(nil, dropped)
	if !ok {
		return Decision{Refusal: relay.QueueFull}, lost
	}
	return Decision{Queued: true}, lost
}

// Done ends a request at a worker and hands free slots to those that wait.
func (s *Queue[T]) Done(now time.Time, worker string, result backend.Result, latency time.Duration) []Grant[T] {
	s.Pool.Done(now, worker, result, latency)
	if result == backend.Answered {
		s.mean = time.Duration(_meanDecay*float64(s.meanTime()) + (1-_meanDecay)*float64(latency))
	}
	return s.Serve(now)
}

// Serve hands free slots to the requests that wait.
func (s *Queue[T]) Serve(now time.Time) []Grant[T] {
	var grants []Grant[T]
	for s.queue.Len() > 0 {
		w, ok := s.Pool.Pick(now, s.Rand, backend.Limits{})
		if !ok {
			break
		}
		next, expired, ok := s.queue.Pop(now)
		grants = lose(grants, expired)
		if !ok {
			s.Pool.Done(now, w.Name, backend.Cancelled, 0)
			break
		}
		grants = append(grants, Grant[T]{Value: next.Value, Worker: w})
	}
	return grants
}

// Cancel takes a request out of the queue and reports whether it was there.
func (s *Queue[T]) Cancel(value T) bool {
	return s.queue.Remove(func(other T) bool { return other == value })
}

// Capacity is what a request would find.
type Capacity struct {
	// Free are the slots free at once.
	Free int
	// Wait is the time that the next request would wait if none is.
	Wait time.Duration
	// SlotTime is the mean time that a request occupies a slot.
	SlotTime time.Duration
	// Workers tells whether there are workers at all.
	Workers bool
}

// Capacity tells what the next request would find.
func (s *Queue[T]) Capacity(now time.Time) Capacity {
	slots, _ := s.Pool.Load(now)
	r := Capacity{Wait: s.expectedWait(now), SlotTime: s.meanTime(), Workers: slots > 0}
	if s.queue.Len() == 0 {
		r.Free = s.Pool.Free(now)
	}
	return r
}

// Headroom is the number of further requests that may come from other zones:
// within this instance's part of the target, and within the target of the
// zone less the trend of its own load.
func (s *Queue[T]) Headroom(now time.Time, busyElsewhere int) int {
	slots, inFlight := s.Pool.Load(now)
	s.trend.observe(now, inFlight)
	target := int(float64(slots) * TargetUse)
	part := target / max(s.Pool.Instances, 1)
	reserve := int(max(s.trend.growth, 0))
	return max(min(part-inFlight, target-inFlight-busyElsewhere)-s.queue.Len()-reserve, 0)
}

// admitsMoved reports whether moved work is taken: there is headroom, no
// worker refused lately, and some slots stay free for the own callers, who may
// have come since the others' use was last known.
func (s *Queue[T]) admitsMoved(now time.Time, busyElsewhere int) bool {
	slots, _ := s.Pool.Load(now)
	return s.Headroom(now, busyElsewhere) > 0 && !s.Pool.RecentlyRefused(now) && s.Pool.Free(now) > slots/_movedReserve
}

// expectedWait is the time that the next request would wait in the queue.
func (s *Queue[T]) expectedWait(now time.Time) time.Duration {
	slots, _ := s.Pool.Load(now)
	return s.meanTime() * time.Duration(s.queue.Len()+1) / time.Duration(max(slots/max(s.Pool.Instances, 1), 1))
}

func (s *Queue[T]) meanTime() time.Duration {
	if s.mean == 0 {
		s.mean = _firstMean
	}
	return s.mean
}

func lose[T comparable](grants []Grant[T], waiters []limit.Waiter[T]) []Grant[T] {
	for _, w := range waiters {
		grants = append(grants, Grant[T]{Value: w.Value, Dropped: true})
	}
	return grants
}
