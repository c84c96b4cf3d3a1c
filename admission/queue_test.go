package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/admission"
	"github.com/wigeonlock/wigeonlock/backend"
	"github.com/wigeonlock/wigeonlock/relay"
)

var _now = time.Unix(1000, 0)

func newQueue(workers, slots int) *admission.Queue[string] {
	q := &admission.Queue[string]{Rand: rand.New(rand.NewPCG(1, 2))}
	list := make([]backend.Worker, workers)
	for i := range list {
		list[i] = backend.Worker{Name: fmt.Sprint("w", i), Address: fmt.Sprint("a", i), Slots: slots}
	}
	q.Pool.UpdateWorkers(_now, list)
	return q
}

func arrival(name string, priority int) admission.Arrival[string] {
	return admission.Arrival[string]{Value: name, Priority: priority, Deadline: _now.Add(2 * time.Second)}
}

// fill acquires all slots and returns their workers.
func fill(t *testing.T, q *admission.Queue[string]) []string {
	t.Helper()
	var workers []string
	for {
		d, _ := q.Acquire(_now, arrival("first", 1))
		if !d.Granted {
			require.True(t, d.Queued)
			require.True(t, q.Cancel("first"))
			return workers
		}
		workers = append(workers, d.Worker.Name)
	}
}

func TestFreedSlotGoesByPriority(t *testing.T) {
	q := newQueue(2, 2)
	workers := fill(t, q)
	require.Len(t, workers, 4)
	for _, a := range []admission.Arrival[string]{arrival("low", 3), arrival("high", 1)} {
		d, dropped := q.Acquire(_now, a)
		require.True(t, d.Queued)
		require.Empty(t, dropped)
	}
	grants := q.Done(_now, workers[0], backend.Answered, 20*time.Millisecond)
	require.Len(t, grants, 1)
	assert.Equal(t, "high", grants[0].Value)
	assert.Equal(t, workers[0], grants[0].Worker.Name)
}

// A request that could not end in time is refused instead of queued.
func TestTooLateIsRefusedAtOnce(t *testing.T) {
	q := newQueue(1, 1)
	fill(t, q)
	a := arrival("late", 1)
	a.Deadline = _now.Add(30 * time.Millisecond) // less than waiting and running take on average
	d, _ := q.Acquire(_now, a)
	assert.Equal(t, relay.TooLate, d.Refusal)
}

// The queue is limited and drops its least important request.
func TestFullQueueDropsLeastImportant(t *testing.T) {
	q := newQueue(1, 1)
	fill(t, q)
	queued := 0
	for {
		d, dropped := q.Acquire(_now, arrival(fmt.Sprint("low", queued), 3))
		require.Empty(t, dropped)
		if d.Refusal != "" {
			assert.Equal(t, relay.QueueFull, d.Refusal)
			break
		}
		queued++
		require.Less(t, queued, 1000)
	}
	d, dropped := q.Acquire(_now, arrival("high", 1))
	assert.True(t, d.Queued)
	require.Len(t, dropped, 1)
	assert.True(t, dropped[0].Dropped)
	assert.Contains(t, dropped[0].Value, "low")
}

// Invariant noOverload: moved requests get at most the target, are never queued,
// and get nothing while a worker refuses.
func TestMovedRequestsLeaveSlotsFree(t *testing.T) {
	moved := arrival("moved", 1)
	moved.Moved = true
	q := newQueue(2, 10)
	admitted := 0
	for {
		d, _ := q.Acquire(_now, moved)
		if !d.Granted {
			assert.Equal(t, relay.NoCapacity, d.Refusal)
			break
		}
		admitted++
	}
	assert.Equal(t, 15, admitted, "a quarter of 20 slots stays free")

	q = newQueue(2, 10)
	q.Pool.Instances = 2
	for _, name := range q.Pool.Names() {
		q.Pool.RecordLoad(_now, name, 0, false)
	}
	admitted = 0
	for {
		if d, _ := q.Acquire(_now, moved); !d.Granted {
			break
		}
		admitted++
	}
	assert.Equal(t, 8, admitted, "the part of one of two instances")

	q = newQueue(2, 10)
	d, _ := q.Acquire(_now, arrival("own", 1))
	q.Done(_now, d.Worker.Name, backend.Refused, 0)
	d, _ = q.Acquire(_now, moved)
	assert.Equal(t, relay.NoCapacity, d.Refusal)
}

func TestHeadroomCountsOtherInstances(t *testing.T) {
	q := newQueue(2, 10)
	assert.Equal(t, 17, q.Headroom(_now, 0))
	assert.Equal(t, 7, q.Headroom(_now, 10))
	assert.Zero(t, q.Headroom(_now, 30))
}

func TestNoWorkers(t *testing.T) {
	q := newQueue(0, 1)
	d, _ := q.Acquire(_now, arrival("a", 1))
	assert.Equal(t, relay.NoCapacity, d.Refusal)
	assert.False(t, q.Capacity(_now).Workers)
}
