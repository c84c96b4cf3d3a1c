// Package limit provides a queue of requests that wait for a slot, and a limit
// for byte rates.
//
// A Queue orders requests by priority and, within a priority, by deadline. A
// request that can no longer start in time expires, and a full queue drops its
// least important request.
//
// Queue does no I/O and is not safe for concurrent use.
//
// # Usage
//
//	q := &limit.Queue[*call]{Max: 64}
//	dropped, ok := q.Push(limit.Waiter[*call]{Priority: 1, Deadline: deadline, Value: c})
//	next, expired, ok := q.Pop(now)
package limit

import (
	"container/heap"
	"time"
)

// Waiter is a waiting request. Priority 1 is the highest.
type Waiter[T any] struct {
	Priority int
	// Deadline is the latest time at which the request may start.
	Deadline time.Time
	Value    T
}

// Queue holds waiting requests.
type Queue[T any] struct {
	// Max is the largest number of waiting requests.
	Max int

	items waiters[T]
	next  uint64
}

// Push adds a request. If the queue is full, the least important request is
// dropped: a queued one is returned, and ok is false if it is the pushed one.
func (q *Queue[T]) Push(w Waiter[T]) (dropped []Waiter[T], ok bool) {
	q.next++
	item := &waiter[T]{Waiter: w, order: q.next}
	if len(q.items) < q.Max {
		heap.Push(&q.items, item)
		return nil, true
	}
	last := q.last()
	if last == nil || !less(item, last) {
		return nil, false
	}
	heap.Remove(&q.items, last.index)
	heap.Push(&q.items, item)
	return []Waiter[T]{last.Waiter}, true
}

// Pop removes and returns the next request that can still start in time, and the
// requests before it that expired. ok is false if there is no such request.
func (q *Queue[T]) Pop(now time.Time) (next Waiter[T], expired []Waiter[T], ok bool) {
	for len(q.items) > 0 {
		item, _ := heap.Pop(&q.items).(*waiter[T])
		if now.After(item.Deadline) {
			expired = append(expired, item.Waiter)
			continue
		}
		return item.Waiter, expired, true
	}
	return Waiter[T]{}, expired, false
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int {
	return len(q.items)
}

// Remove removes the first request for which match is true. It reports whether
// there was one.
func (q *Queue[T]) Remove(match func(T) bool) bool {
	for _, item := range q.items {
		if match(item.Value) {
			heap.Remove(&q.items, item.index)
			return true
		}
	}
	return false
}

func (q *Queue[T]) last() *waiter[T] {
	var last *waiter[T]
	for _, item := range q.items {
		if last == nil || less(last, item) {
			last = item
		}
	}
	return last
}

type waiter[T any] struct {
	Waiter[T]
	order uint64
	index int
}

type waiters[T any] []*waiter[T]

func less[T any](a, b *waiter[T]) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.order < b.order
}

func (w waiters[T]) Len() int           { return len(w) }
func (w waiters[T]) Less(i, j int) bool { return less(w[i], w[j]) }

func (w waiters[T]) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index = i
	w[j].index = j
}

func (w *waiters[T]) Push(x any) {
	item, _ := x.(*waiter[T])
	item.index = len(*w)
	*w = append(*w, item)
}

func (w *waiters[T]) Pop() any {
	old := *w
	item := old[len(old)-1]
	*w = old[:len(old)-1]
	return item
}
