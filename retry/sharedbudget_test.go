package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestSharedBudgetWithinWindow simulates workers that refuse half of all requests
// for longer than the window: 200 requests per second for 20 s.
func TestSharedBudgetWithinWindow(t *testing.T) {
	const (
		instances = 9
		ratio     = 0.2
		extra     = 58.0
		window    = 10 * time.Second
		step      = 5 * time.Millisecond
	)
	start := time.Unix(1_800_000_000, 0)
	budgets := make([]*SharedBudget, instances)
	for i := range budgets {
		budgets[i] = &SharedBudget{Ratio: ratio, Extra: extra, Window: window}
	}
	var first, retries []time.Time
	for n := 0; n < int(20*time.Second/step); n++ {
		now := start.Add(time.Duration(n) * step)
		b := budgets[n%instances]
		b.RecordFirst(now)
		first = append(first, now)
		if n%2 == 0 && b.Acquire(now, instances) {
			retries = append(retries, now)
		}
	}
	for at := start; at.Before(start.Add(10 * time.Second)); at = at.Add(100 * time.Millisecond) {
		limit := ratio*float64(within(first, at, window)) + extra
		assert.LessOrEqual(t, float64(within(retries, at, window)), limit, "window from %s", at.Sub(start))
	}
	assert.Greater(t, len(retries), 300, "the budget is used")
}

// TestSharedBudgetOfFewRequests checks that an instance may use its part of Extra
// without earlier requests of its own.
func TestSharedBudgetOfFewRequests(t *testing.T) {
	b := &SharedBudget{Ratio: 0.2, Extra: 58, Window: 10 * time.Second}
	now := time.Unix(1_800_000_000, 0)
	b.RecordFirst(now)
	assert.True(t, b.Acquire(now, 9))
	for range 100 {
		b.Acquire(now, 9)
	}
	assert.False(t, b.Acquire(now, 9))
	assert.True(t, b.Acquire(now.Add(12*time.Second), 9), "the window passed")
}

func within(times []time.Time, from time.Time, window time.Duration) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Before(from.Add(window)) {
			n++
		}
	}
	return n
}
