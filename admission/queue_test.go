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
	s := &admission.Queue[string]{Rand: rand.New(rand.NewPCG(1, 2))}
	list := make([]backend.Worker, workers)
	for i := range list {
		list[i] = backend.Worker{Name: fmt.Sprint("w", i), Address: fmt.Sprint("a", i), Slots: slots}
	}
	s.Pool.UpdateWorkers(_now, list)
	return s
}

func arrival(name string, priority int) admission.Arrival[string] {
	return admission.Arrival[string]{Value: name, Priority: priority, Deadline: _now.Add(2 * time.Second)}
}

// fill acquires all slots and returns their workers.
func fill(t *testing.T, s *admission.Queue[string]) []string {
	t.Helper()
	var workers []string
	for {
		v, _ := s.Acquire(_now, arrival("first", 1))
		if !v.Granted {
			require.True(t, v.Queued)
			require.True(t, s.Cancel("first"))
			return workers
		}
		workers = append(workers, v.Worker.Name)
	}
}

func TestFreedSlotGoesByPriority(t *testing.T) {
	s := newQueue(2, 2)
	workers := fill(t, s)
	require.Len(t, workers, 4)
	for _, a := range []admission.Arrival[string]{arrival("low", 3), arrival("high", 1)} {
		v, evicted := s.Acquire(_now, a)
		require.True(t, v.Queued)
		require.Empty(t, evicted)
	}
	grants := s.Done(_now, workers[0], backend.Answered, 20*time.Millisecond)
	require.Len(t, grants, 1)
	assert.Equal(t, "high", grants[0].Value)
	assert.Equal(t, workers[0], grants[0].Worker.Name)
}

// A request that could not end in time is refused instead of queued.
func TestTooLateIsRefusedAtOnce(t *testing.T) {
	s := newQueue(1, 1)
	fill(t, s)
	a := arrival("late", 1)
	a.Deadline = _now.Add(30 * time.Millisecond) // less than waiting and running take on average
	v, _ := s.Acquire(_now, a)
	assert.Equal(t, relay.TooLate, v.Refusal)
}

// The queue is limited and drops its least important request.
func TestFullQueueDropsLeastImportant(t *testing.T) {
	s := newQueue(1, 1)
	fill(t, s)
	queued := 0
	for {
		v, evicted := s.Acquire(_now, arrival(fmt.Sprint("low", queued), 3))
		require.Empty(t, evicted)
		if v.Refusal != "" {
			assert.Equal(t, relay.QueueFull, v.Refusal)
			break
		}
		queued++
		require.Less(t, queued, 1000)
	}
	v, evicted := s.Acquire(_now, arrival("high", 1))
	assert.True(t, v.Queued)
	require.Len(t, evicted, 1)
	assert.True(t, evicted[0].Dropped)
	assert.Contains(t, evicted[0].Value, "low")
}

// Invariant noOverload: moved requests get at most the target, are never queued,
// and get nothing while a worker refuses.
func TestMovedRequestsLeaveSlotsFree(t *testing.T) {
	moved := arrival("moved", 1)
	moved.Moved = true
	s := newQueue(2, 10)
	taken := 0
	for {
		v, _ := s.Acquire(_now, moved)
		if !v.Granted {
			assert.Equal(t, relay.NoCapacity, v.Refusal)
			break
		}
		taken++
	}
	assert.Equal(t, 15, taken, "a quarter of 20 slots stays free")

	s = newQueue(2, 10)
	s.Pool.Instances = 2
	for _, name := range s.Pool.Names() {
		s.Pool.RecordLoad(_now, name, 0, false)
	}
	taken = 0
	for {
		if v, _ := s.Acquire(_now, moved); !v.Granted {
			break
		}
		taken++
	}
	assert.Equal(t, 8, taken, "the part of one of two instances")

	s = newQueue(2, 10)
	v, _ := s.Acquire(_now, arrival("own", 1))
	s.Done(_now, v.Worker.Name, backend.Refused, 0)
	v, _ = s.Acquire(_now, moved)
	assert.Equal(t, relay.NoCapacity, v.Refusal)
}

func TestHeadroomCountsOtherInstances(t *testing.T) {
	s := newQueue(2, 10)
	assert.Equal(t, 17, s.Headroom(_now, 0))
	assert.Equal(t, 7, s.Headroom(_now, 10))
	assert.Zero(t, s.Headroom(_now, 30))
}

func TestNoWorkers(t *testing.T) {
	s := newQueue(0, 1)
	v, _ := s.Acquire(_now, arrival("a", 1))
	assert.Equal(t, relay.NoCapacity, v.Refusal)
	assert.False(t, s.Capacity(_now).Workers)
}
