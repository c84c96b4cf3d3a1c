package placement

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"

	"github.com/wigeonlock/wigeonlock/worker"
)

const _objects = 600

// playObjects sends one request for each object, spread over twelve seconds, and returns
// the worker of each.
func playObjects(p *Placer, at time.Time, workers []*worker.Worker) map[string]string {
	of := make(map[string]string, _objects)
	for n := range _objects {
		object := fmt.Sprint(n)
		now := at.Add(time.Duration(n) * 20 * time.Millisecond)
		r := requestFor(object)
		c := p.Choose(now, r, workers)
		p.Begin(now, r, c.Worker)
		p.End(now, c.Worker, Report{Outcome: Answered, HasLoad: true, Took: 100 * time.Millisecond, Load: c.Load, Warm: c.Warm})
		of[object] = c.Worker.ID
	}
	return of
}

func changed(before, after map[string]string) int {
	n := 0
	for object, id := range before {
		if after[object] != id {
			n++
		}
	}
	return n
}

func countOf(of map[string]string, id string) int {
	n := 0
	for _, w := range of {
		if w == id {
			n++
		}
	}
	return n
}

// TestJoiningWorkerGetsItsShare has a worker join others whose objects all have a place: it
// gets its share of the objects, and no other object moves.
func TestJoiningWorkerGetsItsShare(t *testing.T) {
	workers := workersOf(map[string]int{"a": 12}, 4)
	joined := workers[5]
	others := append(append([]*worker.Worker{}, workers[:5]...), workers[6:]...)
	p := newPlacer()
	before := playObjects(p, _start, others)
	playObjects(p, _start.Add(15*time.Second), workers)
	after := playObjects(p, _start.Add(30*time.Second), workers)
	share := countOf(after, joined.ID)
	assert.InDelta(t, _objects/12, share, 25)
	assert.Equal(t, share, changed(before, after), "only the objects of the new worker move")
}

// TestReplacedWorkerHandsOnItsObjects replaces a third of the workers one after the other, each
// by one that starts cold a second before.
func TestReplacedWorkerHandsOnItsObjects(t *testing.T) {
	workers := workersOf(map[string]int{"a": 12}, 4)
	p := newPlacer()
	before := playObjects(p, _start, workers)
	now := _start.Add(15 * time.Second)
	least := 0
	for i := range 4 {
		old := workers[i]
		least += countOf(before, old.ID)
		successor := *old
		successor.ID, successor.ColdUntil = fmt.Sprintf("new-%d", i), now.Add(3*time.Second)
		p.WorkerStarted(now, &successor)
		p.WorkerLeft(now.Add(time.Second), old)
		workers = append(append([]*worker.Worker{}, workers[:i]...), append([]*worker.Worker{&successor}, workers[i+1:]...)...)
	}
	slices.SortFunc(workers, func(a, b *worker.Worker) int { return strings.Compare(a.ID, b.ID) })
	playObjects(p, now.Add(5*time.Second), workers)
	after := playObjects(p, now.Add(20*time.Second), workers)
	assert.Equal(t, least, changed(before, after))
	for i := range 4 {
		assert.NotZero(t, countOf(after, fmt.Sprintf("new-%d", i)))
	}
}

// TestMovedByLoadStaysAway has an object that load moved: its rank does not bring it back.
func TestMovedByLoadStaysAway(t *testing.T) {
	workers := workersOf(map[string]int{"a": 4}, 4)
	p := newPlacer()
	r := requestFor("x")
	home := p.Choose(_start, r, workers).Worker
	for _, w := range workers {
		if w != home {
			p.Adopt(_start, Move{Service: r.Service, Object: xxhash.Sum64String("x"), Worker: w.ID, Count: 7})
			break
		}
	}
	assert.NotEqual(t, home.ID, p.Choose(_start.Add(time.Second), r, workers).Worker.ID)
}
