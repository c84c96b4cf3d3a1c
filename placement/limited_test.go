package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/worker"
)

// keeping returns a ShareOf by which one worker keeps a share of its objects.
func keeping(id string, share float64) func(w *worker.Worker) float64 {
	return func(w *worker.Worker) float64 {
		if w.ID == id {
			return share
		}
		return 1
	}
}

// TestLimitedWorkerKeepsShareOfObjects has a worker keep a third of its objects for a while:
// the others go to the next worker in their ranking, and back as soon as it keeps all.
func TestLimitedWorkerKeepsShareOfObjects(t *testing.T) {
	workers := workersOf(map[string]int{"a": 8}, 4)
	p := newPlacer()
	place := func(object string, share float64) string {
		r := requestFor(object)
		r.ShareOf = keeping("i-01", share)
		return p.Choose(_start, r, workers).Worker.ID
	}
	own, kept := 0, 0
	for n := range 1000 {
		object := fmt.Sprint(n)
		before := place(object, 1)
		during := place(object, 1.0/3)
		if before != "i-01" {
			assert.Equal(t, before, during, "objects of others stay")
			continue
		}
		own++
		if during == before {
			kept++
			continue
		}
		assert.Equal(t, newPlacer().Choose(_start, requestFor(object), workers[1:]).Worker.ID, during)
		assert.Equal(t, before, place(object, 1))
	}
	assert.InDelta(t, float64(own)/3, kept, float64(own)/6)
}

// TestLimitedWorkerIsAskedLast has all other workers be full: the one that does not keep the
// object is better than a refusal.
func TestLimitedWorkerIsAskedLast(t *testing.T) {
	workers := workersOf(map[string]int{"a": 2}, 1)
	p := newPlacer()
	for range 3 {
		p.Begin(_start, requestFor("x"), workers[1])
	}
	r := requestFor("x")
	r.ShareOf = keeping(workers[0].ID, 0)
	require.NotNil(t, p.Choose(_start, r, workers).Worker)
	assert.Equal(t, workers[0].ID, p.Choose(_start, r, workers).Worker.ID)
	r.Permit = func(w *worker.Worker, _ bool) Permission {
		if w == workers[0] {
			return Denied
		}
		return Granted
	}
	assert.Nil(t, p.Choose(_start, r, workers).Worker)
}

// TestLimitedWorkerTakesNoObjects has an object leave a full worker: not to one that gives
// objects away.
func TestLimitedWorkerTakesNoObjects(t *testing.T) {
	workers := workersOf(map[string]int{"a": 3}, 4)
	full := func(w *worker.Worker) *Placer {
		p := newPlacer()
		for range 9 {
			p.Begin(_start, requestFor("other"), w)
		}
		return p
	}
	for n := range 50 {
		r := requestFor(fmt.Sprint(n))
		r.Sticky = false
		first := newPlacer().Choose(_start, r, workers).Worker
		taker := full(first).Choose(_start, r, workers)
		require.True(t, taker.Moves)
		r.ShareOf = keeping(taker.Worker.ID, 0.999)
		other := full(first).Choose(_start, r, workers)
		require.NotNil(t, other.Worker)
		assert.NotEqual(t, taker.Worker.ID, other.Worker.ID)
	}
}

// TestMoveNeedsPermit has an object leave a full worker while the worker that would take it
// has no permit: the request is not sent there, and the object does not move.
func TestMoveNeedsPermit(t *testing.T) {
	workers := workersOf(map[string]int{"a": 2}, 4)
	r := requestFor("x")
	r.Sticky = false
	p := newPlacer()
	first := p.Choose(_start, r, workers).Worker
	for range 9 {
		p.Begin(_start, requestFor("other"), first)
	}
	moved := 0
	p.Moved = func(Move) { moved++ }
	var asked []string
	r.Permit = func(w *worker.Worker, _ bool) Permission {
		asked = append(asked, w.ID)
		return Denied
	}
	assert.Nil(t, p.Choose(_start, r, workers).Worker)
	require.Len(t, asked, 1)
	assert.NotEqual(t, first.ID, asked[0])
	assert.Zero(t, moved)
}

// TestPendingPermit has the permit for the place of an object be pending: no other worker is
// chosen meanwhile, and the request is counted once.
func TestPendingPermit(t *testing.T) {
	workers := workersOf(map[string]int{"a": 2}, 4)
	p := newPlacer()
	permission := Pending
	r := requestFor("x")
	r.Permit = func(*worker.Worker, bool) Permission { return permission }
	c := p.Choose(_start, r, workers)
	assert.Equal(t, AwaitsPermit, c.Reason)
	assert.Nil(t, c.Worker)
	permission, r.Again = Granted, true
	require.NotNil(t, p.Choose(_start.Add(time.Millisecond), r, workers).Worker)
	assert.Equal(t, 1, p.localShareFor(shareKey{"s", false}).count)
}

// TestOverloadedLimitsKeepObjectsWarm has all workers name limits: a request without a permit
// is refused at once, and takes no permit of a worker where its object is cold.
func TestOverloadedLimitsKeepObjectsWarm(t *testing.T) {
	workers := workersOf(map[string]int{"a": 4}, 4)
	p := newPlacer()
	for n := range 50 {
		r := requestFor(fmt.Sprint(n))
		r.ShareOf = func(*worker.Worker) float64 { return 0.3 }
		place := p.Choose(_start, r, workers).Worker
		assert.Equal(t, newPlacer().Choose(_start, requestFor(r.Object), workers).Worker, place, "objects stay")
		p.Begin(_start, r, place)
		p.End(_start, place, Report{Outcome: Answered})
		asked := 0
		r.Permit = func(*worker.Worker, bool) Permission { asked++; return Denied }
		assert.Nil(t, p.Choose(_start, r, workers).Worker)
		assert.Equal(t, 1, asked)
	}
}
