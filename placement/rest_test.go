package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wigeonlock/wigeonlock/worker"
)

// askForRest sends a request to a worker, which refuses it and asks for a pause.
func askForRest(p *Placer, now time.Time, w *worker.Worker, pause time.Duration) {
	p.Begin(now, requestFor("x"), w)
	p.End(now, w, Report{Outcome: Shed, Rest: pause, HasLoad: true})
}

// chosen counts the requests for 400 objects that go to a worker at a time.
func chosen(p *Placer, now time.Time, id string, workers []*worker.Worker) int {
	n := 0
	for object := range 400 {
		if c := p.Choose(now, requestFor(fmt.Sprint(object)), workers); c.Worker != nil && c.Worker.ID == id {
			n++
		}
	}
	return n
}

// TestHerdReturnsAtTheEndOfAPause checks that a resting worker gets nothing, and its objects
// again one after the other.
func TestHerdReturnsAtTheEndOfAPause(t *testing.T) {
	const pause = 2 * time.Second
	workers := workersOf(map[string]int{"a": 4}, 1000)
	p, rested := newPlacer(), workers[0]
	before := chosen(p, _start, rested.ID, workers)
	assert.Positive(t, before)
	askForRest(p, _start, rested, pause)
	end := _start.Add(pause + _restSpread)
	for at := _start; at.Before(_start.Add(pause)); at = at.Add(50 * time.Millisecond) {
		assert.Zero(t, chosen(p, at, rested.ID, workers))
	}
	assert.Less(t, chosen(p, end.Add(50*time.Millisecond), rested.ID, workers), before/2)
	assert.Equal(t, before, chosen(p, end.Add(ResumeTime), rested.ID, workers), "no object has moved")
}

// TestPauseCountsAsFailure checks that a worker that asks for a pause stays sound.
func TestPauseCountsAsFailure(t *testing.T) {
	workers := workersOf(map[string]int{"a": 2}, 4)
	p := newPlacer()
	for range 20 {
		askForRest(p, _start, workers[0], time.Second)
	}
	s := p.state(workers[0].ID)
	assert.Zero(t, s.faults)
	assert.InDelta(t, 1, s.health.cost(_start), 0.001)
	assert.False(t, _start.Before(s.shedUntil))
	assert.Zero(t, s.inFlight)
}

// TestShorterPauseReplacesLongerOne checks that a pause is never shortened.
func TestShorterPauseReplacesLongerOne(t *testing.T) {
	workers := workersOf(map[string]int{"a": 2}, 1000)
	p := newPlacer()
	askForRest(p, _start, workers[0], 10*time.Second)
	askForRest(p, _start, workers[0], 100*time.Millisecond)
	p.Begin(_start, requestFor("x"), workers[0])
	p.End(_start, workers[0], Report{Outcome: Answered, Took: time.Millisecond})
	assert.Zero(t, chosen(p, _start.Add(9*time.Second), workers[0].ID, workers))
}

// TestPauseHoldsForTheNextIncarnation restarts a worker in its pause.
func TestPauseHoldsForTheNextIncarnation(t *testing.T) {
	workers := workersOf(map[string]int{"a": 2}, 1000)
	p := newPlacer()
	askForRest(p, _start, workers[0], time.Hour)
	assert.True(t, p.Resting(_start.Add(time.Minute), workers[0]))
	workers[0].Born = 2
	assert.Positive(t, chosen(p, _start, workers[0].ID, workers))
}

// TestAllWorkersRest checks that the choice says when the first worker takes requests again.
func TestAllWorkersRest(t *testing.T) {
	workers := workersOf(map[string]int{"a": 3}, 4)
	p := newPlacer()
	for i, w := range workers {
		askForRest(p, _start, w, time.Duration(i+2)*time.Second)
	}
	r := requestFor("x")
	r.Tried = []string{workers[0].ID}
	c := p.Choose(_start, r, workers)
	assert.Equal(t, Resting, c.Reason)
	assert.WithinRange(t, c.RestsUntil, _start.Add(2*time.Second), _start.Add(2*time.Second+_restSpread))
	assert.NotNil(t, p.Choose(_start.Add(2*time.Second+_restSpread+ResumeTime), requestFor("x"), workers).Worker)
}

// TestRemovalEndsAPause has the entry of a worker vanish in its pause and come back.
func TestRemovalEndsAPause(t *testing.T) {
	workers := workersOf(map[string]int{"a": 2}, 1000)
	p := newPlacer()
	askForRest(p, _start, workers[0], 3*time.Second)
	gone := func(id string) bool { return id == workers[0].ID }
	p.Forget(_start.Add(time.Second), gone)
	assert.True(t, p.Resting(_start.Add(2*time.Second), workers[0]))
	p.Forget(_start.Add(time.Minute), gone)
	assert.NotContains(t, p.known, workers[0].ID)
}
