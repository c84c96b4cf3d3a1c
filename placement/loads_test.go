package placement

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/worker"
)

// tellLoads passes what workers report to each placer to the others.
func tellLoads(placers []*Placer, workers []*worker.Worker, now *time.Time) {
	for i, p := range placers {
		p.Loaded = func(l WorkerLoad) {
			for j, other := range placers {
				for _, w := range workers {
					if j != i && w.ID == l.Worker {
						other.AdoptLoad(*now, w, l)
					}
				}
			}
		}
	}
}

// TestLoadSeenByNeighbours has one instance see that a worker is full, and then that it is
// not any more. The others of the region see few of its answers: they filled it further.
func TestLoadSeenByNeighbours(t *testing.T) {
	workers := workersOf(map[string]int{"a": 6}, 4)
	placers := []*Placer{newPlacer(), newPlacer()}
	now := _start
	tellLoads(placers, workers, &now)
	sees, other := placers[0], placers[1]
	r := requestFor("x")
	place := other.Choose(now, r, workers).Worker
	answer := func(busy int, outcome Outcome) {
		sees.Begin(now, r, place)
		sees.End(now, place, Report{Outcome: outcome, HasLoad: true, Running: min(busy, 4), Waiting: max(busy-4, 0)})
	}
	answer(12, Answered)
	other.localShareFor(shareKey{service: "s"}).run = 200 * time.Millisecond
	assert.InDelta(t, 3, other.state(place.ID).load(now, place), 0)
	moved := other.Choose(now, requestFor("x"), workers)
	assert.NotEqual(t, place, moved.Worker)
	answer(1, Answered)
	assert.InDelta(t, 0.25, other.state(place.ID).load(now, place), 0)
	told := false
	sees.Loaded = func(WorkerLoad) { told = true }
	answer(1, Answered)
	assert.False(t, told, "a worker with free slots is no news")
	answer(1, Shed)
	assert.True(t, told)
}

// TestRefusalsSeenByNeighbours has a worker refuse requests though it has free slots: the
// instances of a region learn it from each other, instead of each from refusals of its own.
func TestRefusalsSeenByNeighbours(t *testing.T) {
	workers := workersOf(map[string]int{"a": 6}, 4)
	placers := []*Placer{newPlacer(), newPlacer()}
	now := _start
	tellLoads(placers, workers, &now)
	for range 2 {
		placers[0].Begin(now, requestFor("x"), workers[0])
		placers[0].End(now, workers[0], Report{Outcome: Shed, HasLoad: true, Running: 1})
	}
	assert.GreaterOrEqual(t, placers[1].state(workers[0].ID).health.cost(now), float64(_unhealthyCost))
}

// TestSlowMomentOfWarmWorker has an object warm on two workers, of which its place is slow for
// a moment: its requests ended there, 2.5 times later, while the other had free slots.
func TestSlowMomentOfWarmWorker(t *testing.T) {
	workers := workersOf(map[string]int{"a": 6}, 4)
	p := newPlacer()
	r := requestFor("x")
	r.Route = "r"
	place := p.Choose(_start, r, workers).Worker
	p.rank(_start, r, xxhash.Sum64String(r.Object), workers)
	second := p.ranking[1].w
	for _, w := range []*worker.Worker{place, second} {
		for range 100 {
			p.Begin(_start, r, w)
			p.End(_start, w, Report{Outcome: Answered, HasLoad: true, Took: 200 * time.Millisecond, Warm: true, Route: "r"})
		}
	}
	require.Equal(t, place, p.Choose(_start, r, workers).Worker)
	p.AdoptLoad(_start, place, WorkerLoad{Worker: place.ID, Load: 1, Pace: 2.5})
	c := p.Choose(_start, r, workers)
	assert.Equal(t, second, c.Worker)
	assert.False(t, c.Moves, "a slow moment moves nothing")
	assert.Equal(t, place, p.Choose(_start.Add(2*time.Second), r, workers).Worker)
}

// TestSlowMomentMovesNothing has the place of an object slow for a moment where the object is
// warm nowhere else: a cold run would cost more.
func TestSlowMomentMovesNothing(t *testing.T) {
	workers := workersOf(map[string]int{"a": 6}, 4)
	p := newPlacer()
	place := p.Choose(_start, requestFor("x"), workers).Worker
	p.AdoptLoad(_start, place, WorkerLoad{Worker: place.ID, Load: 1, Pace: 2.5})
	assert.Equal(t, place, p.Choose(_start, requestFor("x"), workers).Worker)
}

// TestWaitsAreNoDemand has the requests of a region wait at its workers, so that answers take
// three times as long as a run: the region seemed to need three times its slots, and its
// objects left for other regions, where they were cold.
func TestWaitsAreNoDemand(t *testing.T) {
	workers := workersOf(map[string]int{"a": 8, "b": 4}, 4)
	p := newPlacer()
	const run, perSecond = 200 * time.Millisecond, 80
	for n := range 10 * perSecond {
		now := _start.Add(time.Duration(n) * time.Second / perSecond)
		p.Choose(now, requestFor("x"), workers)
		p.Begin(now, requestFor("x"), workers[0])
		p.End(now, workers[0], Report{Outcome: Answered, Took: 3 * run, Load: 3, Warm: true})
	}
	s := p.localShareFor(shareKey{service: "s"})
	assert.InDelta(t, perSecond*run.Seconds(), s.demand(1), 1)
	assert.InDelta(t, 1, s.share, 0.01)
}

// TestAllWorkersRefuseAlike has all workers refuse two of five requests though they have free
// slots, and one of them full. Its object goes to another, which is no worse than the rest:
// as all passed for unhealthy, none could take it, and its requests were refused.
func TestAllWorkersRefuseAlike(t *testing.T) {
	workers := workersOf(map[string]int{"a": 8}, 4)
	p := newPlacer()
	for n := range 400 {
		w := workers[n%len(workers)]
		now := _start.Add(time.Duration(n) * 5 * time.Millisecond)
		outcome := Answered
		if n/len(workers)%5 < 2 {
			outcome = Shed
		}
		p.Begin(now, requestFor("y"), w)
		p.End(now, w, Report{Outcome: outcome, HasLoad: true, Running: 1, Took: 100 * time.Millisecond, Warm: true})
	}
	now := _start.Add(2 * time.Second)
	full := p.Choose(now, requestFor("x"), workers).Worker
	for range 10 {
		p.Begin(now, requestFor("y"), full)
	}
	c := p.Choose(now, requestFor("x"), workers)
	require.NotNil(t, c.Worker, "%v", c.Reason)
	assert.NotEqual(t, full, c.Worker)
}

// TestRequestsInVainAreRefusedAtOnce has a caller return with 60 ms left, where runs take 200 and
// requests wait: it took a place in the queue until its deadline passed.
func TestRequestsInVainAreRefusedAtOnce(t *testing.T) {
	workers := workersOf(map[string]int{"a": 1}, 4)
	p := newPlacer()
	r := requestFor("x")
	r.Route, r.Returning = "r", true
	for range 100 {
		p.Begin(_start, r, workers[0])
		p.End(_start, workers[0], Report{Outcome: Answered, Took: 200 * time.Millisecond, Warm: true, Route: "r"})
	}
	for range 8 {
		p.Begin(_start, r, workers[0])
	}
	r.TimeLeft = time.Second
	require.Equal(t, workers[0], p.Choose(_start, r, workers).Worker)
	r.TimeLeft = 60 * time.Millisecond
	assert.Equal(t, NoCapacity, p.Choose(_start, r, workers).Reason)
}
