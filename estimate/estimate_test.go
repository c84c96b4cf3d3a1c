package estimate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestPaceFades(t *testing.T) {
	now := time.Unix(1000, 0)
	var p Pace
	assert.InDelta(t, 1, p.At(now), 0, "nothing is known")
	p.Record(now, 2.5)
	assert.InDelta(t, 2.5, p.At(now), 0)
	assert.InDelta(t, 1.55, p.At(now.Add(_paceTime)), 0.01)
	assert.InDelta(t, 1, p.At(now.Add(5*time.Second)), 0.01)
	p.Record(now, 1e9)
	assert.InDelta(t, _maxPace, p.At(now), 0)
	p.Record(now, 0)
	assert.InDelta(t, 1, p.At(now), 0, "a worker that states no pace")
}

func TestWaitDependsOnRunsAndPace(t *testing.T) {
	q := Queue{Busy: 3, Slots: 4, Run: 200 * time.Millisecond, Pace: 2}
	assert.Zero(t, q.Wait(), "a slot is free")
	q.Busy = 7
	assert.Equal(t, 400*time.Millisecond, q.Wait())
	assert.Equal(t, 200*time.Millisecond, q.Runs(100*time.Millisecond))
	q.Slots = 0
	assert.Positive(t, q.Wait())
}

func TestRunsAreKnownAfterSamples(t *testing.T) {
	var r Runs
	near, far := Kind{"s", "r", true}, Kind{"s", "r", false}
	_, ok := r.Of(near)
	assert.False(t, ok)
	for range _minSamples {
		r.Record(near, 100*time.Millisecond)
		r.Record(far, 170*time.Millisecond)
	}
	run, ok := r.Of(near)
	assert.True(t, ok)
	assert.Equal(t, 100*time.Millisecond, run)
	run, ok = r.OfService("s")
	assert.True(t, ok)
	assert.Equal(t, 100*time.Millisecond, run, "without the way to other regions")
}
