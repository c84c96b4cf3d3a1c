package limit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/limit"
)

var _now = time.Unix(1000, 0)

func waiter(name string, priority, deadlineMs int) limit.Waiter[string] {
	return limit.Waiter[string]{
		Priority: priority, Deadline: _now.Add(time.Duration(deadlineMs) * time.Millisecond), Value: name,
	}
}

func TestQueueOrder(t *testing.T) {
	q := limit.Queue[string]{Max: 10}
	for _, w := range []limit.Waiter[string]{
		waiter("low", 3, 10), waiter("late", 1, 90), waiter("soon", 1, 20), waiter("expired", 1, -1),
	} {
		_, ok := q.Push(w)
		require.True(t, ok)
	}
	var order []string
	var dropped []string
	for {
		w, expired, ok := q.Pop(_now)
		for _, e := range expired {
			dropped = append(dropped, e.Value)
		}
		if !ok {
			break
		}
		order = append(order, w.Value)
	}
	assert.Equal(t, []string{"soon", "late", "low"}, order)
	assert.Equal(t, []string{"expired"}, dropped)
}

func TestFullQueueDropsLeastImportant(t *testing.T) {
	q := limit.Queue[string]{Max: 2}
	_, ok := q.Push(waiter("low", 3, 10))
	require.True(t, ok)
	_, ok = q.Push(waiter("middle", 2, 10))
	require.True(t, ok)
	dropped, ok := q.Push(waiter("high", 1, 10))
	require.True(t, ok)
	require.Len(t, dropped, 1)
	assert.Equal(t, "low", dropped[0].Value)
	_, ok = q.Push(waiter("other low", 3, 10))
	assert.False(t, ok)
	assert.True(t, q.Remove(func(name string) bool { return name == "middle" }))
	assert.Equal(t, 1, q.Len())
}

func TestBucketLimitsRate(t *testing.T) {
	const rate = 1000.0
	var b limit.Bucket
	sent := 0
	now := _now
	for range 10_000 {
		now = now.Add(time.Millisecond)
		if b.Admit(now, rate) {
			b.Charge(500)
			sent += 500
		}
	}
	assert.InDelta(t, rate*10, float64(sent), rate)
}
