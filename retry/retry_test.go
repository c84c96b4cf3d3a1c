package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wigeonlock/wigeonlock/retry"
)

func TestAllowed(t *testing.T) {
	tests := []struct {
		method  string
		outcome retry.Outcome
		want    bool
	}{
		{"GET", retry.Unknown, true},
		{"GET", retry.NotRun, true},
		{"GET", retry.Run, false},
		{"POST", retry.NotRun, true},
		{"POST", retry.Unknown, false},
		{"PATCH", retry.Unknown, false},
	}
	for _, tt := range tests {
		assert.Equal(t, tt.want, retry.Allowed(tt.method, tt.outcome), "%s after %s", tt.method, tt.outcome)
	}
}

func TestBudgetUnderTotalFailure(t *testing.T) {
	const attempts = 10_000
	budget := retry.Budget{Share: 0.1, Burst: 10}
	retries := 0
	for range attempts {
		budget.RecordFirst()
		for budget.Acquire() {
			retries++
		}
	}
	assert.LessOrEqual(t, retries, attempts/10+10)
	assert.Greater(t, retries, attempts/11)
}

func TestCircuit(t *testing.T) {
	now := time.Unix(0, 0)
	c := retry.Circuit{Threshold: 2, Backoff: retry.Backoff{Base: time.Second, Max: 4 * time.Second}}
	c.Fail(now, 0)
	assert.True(t, c.Allow(now))
	c.Fail(now, 0)
	assert.False(t, c.Allow(now))
	assert.True(t, c.Allow(now.Add(time.Second)))
	c.Fail(now, 0.999)
	assert.False(t, c.Allow(now.Add(time.Second)))
	c.Succeed()
	assert.True(t, c.Allow(now))
}

func TestBackoffIsLimited(t *testing.T) {
	b := retry.Backoff{Base: 10 * time.Millisecond, Max: time.Second}
	for attempt := range 100 {
		d := b.Delay(attempt, 0.99)
		assert.Positive(t, d)
		assert.LessOrEqual(t, d, time.Second)
	}
}
