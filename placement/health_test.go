package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestSlowWorkerGetsLess has a worker run five times slower than the others
// while its load reports show capacity.
func TestSlowWorkerGetsLess(t *testing.T) {
	h := &health{}
	for n := range 10 {
		h.recordRun(_start.Add(time.Duration(n)*100*time.Millisecond), 5)
	}
	now := _start.Add(time.Second)
	assert.Greater(t, h.cost(now), 3.0)
	assert.InDelta(t, 1, h.cost(now.Add(20*time.Second)), 0.1, "it gets requests again")

	even := &health{}
	for n := range 10 {
		even.recordRun(_start.Add(time.Duration(n)*100*time.Millisecond), 1.5)
	}
	assert.InDelta(t, 1, even.cost(now), 0.01, "workers differ a little")
}

// TestDegradedWorkerGetsLess has a worker fail half of its requests while its
// health check succeeds.
func TestDegradedWorkerGetsLess(t *testing.T) {
	h := &health{}
	for n := range 20 {
		h.recordResult(_start, n%2 == 0)
	}
	assert.Greater(t, h.cost(_start), 2.5)
	for range 20 {
		h.recordResult(_start, false)
	}
	assert.Less(t, h.cost(_start), 1.1)
	assert.InDelta(t, 1, (&health{}).cost(_start), 0.01, "no observations")
}

// TestSecondWorkerTakesOverFromDegraded has a worker refuse requests although it
// has free slots: once the object is warm on the second assigned worker, that one
// gets the requests.
func TestSecondWorkerTakesOverFromDegraded(t *testing.T) {
	workers := workersOf(map[string]int{"a": 4}, 4)
	p := newPlacer()
	first := p.Choose(_start, requestFor("x"), workers).Worker
	got := map[string]int{}
	for n := range 40 {
		now := _start.Add(time.Duration(n) * 50 * time.Millisecond)
		r := requestFor("x")
		w := p.Choose(now, r, workers).Worker
		got[w.ID]++
		p.Begin(now, requestFor("x"), w)
		if w != first {
			p.End(now, w, Report{Outcome: Answered, HasLoad: true, Took: 100 * time.Millisecond})
			continue
		}
		p.End(now, w, Report{Outcome: Shed, HasLoad: true, Running: 1})
		r.Tried = []string{w.ID}
		second := p.Choose(now, r, workers).Worker
		p.Begin(now, requestFor("x"), second)
		p.End(now, second, Report{Outcome: Answered, HasLoad: true, Took: 100 * time.Millisecond})
	}
	assert.Less(t, got[first.ID], 10, "%v", got)
}
