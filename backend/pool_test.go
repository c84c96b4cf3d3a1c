package backend_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/backend"
)

var _start = time.Unix(1000, 0)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(3, 4)) }

func workers(n, slots int) []backend.Worker {
	list := make([]backend.Worker, n)
	for i := range list {
		list[i] = backend.Worker{Name: fmt.Sprintf("w%d", i), Address: fmt.Sprintf("a%d", i), Slots: slots}
	}
	return list
}

func newPool(n, slots int) *backend.Pool {
	p := &backend.Pool{Service: "katalog"}
	p.UpdateWorkers(_start, workers(n, slots))
	return p
}

// TestUnreachableWorkerIsDown makes one of two workers unreachable: it gets nothing
// until its down time has passed, though one of two is more than may be ejected.
func TestUnreachableWorkerIsDown(t *testing.T) {
	p := newPool(2, 4)
	rng := newRand()
	for {
		w, ok := p.Pick(_start, rng, backend.Limits{Exclude: []string{"w1"}})
		if !ok {
			break
		}
		require.Equal(t, "w0", w.Name)
		p.Done(_start, w.Name, backend.Unreachable, 0)
	}
	assert.Equal(t, map[string]int{"w1": 4}, pickAll(p, _start.Add(backend.DownBase/2)))
	for range 4 {
		p.Done(_start, "w1", backend.Answered, time.Millisecond)
	}
	assert.Equal(t, map[string]int{"w0": 4, "w1": 4}, pickAll(p, _start.Add(backend.DownMax)), "used again")
}

// pickAll picks until no slot is free and returns the number of picks by worker.
func pickAll(p *backend.Pool, now time.Time) map[string]int {
	rng := newRand()
	picks := make(map[string]int)
	for {
		w, ok := p.Pick(now, rng, backend.Limits{})
		if !ok {
			return picks
		}
		picks[w.Name]++
	}
}

func TestSlotsAreNotExceeded(t *testing.T) {
	picks := pickAll(newPool(4, 5), _start)
	assert.Equal(t, map[string]int{"w0": 5, "w1": 5, "w2": 5, "w3": 5}, picks)
}

func TestPickPrefersFreeWorkers(t *testing.T) {
	p := newPool(4, 100)
	rng := newRand()
	most := 0
	picks := make(map[string]int)
	for range 200 {
		w, ok := p.Pick(_start, rng, backend.Limits{})
		require.True(t, ok)
		picks[w.Name]++
		most = max(most, picks[w.Name])
	}
	assert.LessOrEqual(t, most, 55, "two choices keep the workers even")
}

// A report shows what other instances have in flight; its weight decreases with its
// age.
func TestReportedBusyAges(t *testing.T) {
	p := newPool(1, 10)
	p.RecordLoad(_start, "w0", 8, false)
	assert.Equal(t, 2, p.Free(_start))
	assert.Equal(t, 6, p.Free(_start.Add(backend.MaxReportAge/2)))
	assert.Equal(t, 10, p.Free(_start.Add(backend.MaxReportAge)))
}

// A worker that always reports itself idle gets no more than its slots, and one
// that reports itself full is used again once the report is old.
func TestWrongReports(t *testing.T) {
	p := newPool(2, 5)
	rng := newRand()
	for range 10 {
		p.RecordLoad(_start, "w0", 0, false)
		p.Pick(_start, rng, backend.Limits{})
	}
	_, ok := p.Pick(_start, rng, backend.Limits{})
	assert.False(t, ok)

	q := newPool(1, 5)
	q.RecordLoad(_start, "w0", 99, false)
	assert.Zero(t, q.Free(_start))
	assert.Positive(t, q.Free(_start.Add(backend.MaxReportAge)))
}

// Without reports, each of the instances that share the workers uses only its part.
func TestSharedWithoutReports(t *testing.T) {
	p := newPool(4, 5)
	p.Instances = 2
	total := 0
	for _, n := range pickAll(p, _start) {
		total += n
	}
	assert.Equal(t, 12, total, "three of five slots of each worker")
}

func TestDrainingGetsNothing(t *testing.T) {
	signals := map[string]func(p *backend.Pool, now time.Time){
		"list": func(p *backend.Pool, now time.Time) {
			list := workers(2, 5)
			list[0].Leaving = true
			p.UpdateWorkers(now, list)
		},
		"not listed": func(p *backend.Pool, now time.Time) { p.UpdateWorkers(now, workers(2, 5)[1:]) },
		"answer":     func(p *backend.Pool, _ time.Time) { p.MarkDraining("w0") },
		"report":     func(p *backend.Pool, now time.Time) { p.RecordLoad(now, "w0", 0, true) },
	}
	for name, signal := range signals {
		t.Run(name, func(t *testing.T) {
			p := newPool(2, 5)
			signal(p, _start)
			assert.Equal(t, map[string]int{"w1": 5}, pickAll(p, _start))
		})
	}
}

// A lagging list does not clear the draining state that a worker reported itself.
func TestLaggingListKeepsDraining(t *testing.T) {
	p := newPool(2, 5)
	p.MarkDraining("w0")
	p.UpdateWorkers(_start.Add(time.Second), workers(2, 5))
	assert.Equal(t, map[string]int{"w1": 5}, pickAll(p, _start.Add(time.Second)))
}

func TestNewWorkerIsRamped(t *testing.T) {
	p := newPool(1, 8)
	now := _start.Add(time.Minute)
	p.UpdateWorkers(now, workers(2, 8))
	assert.Equal(t, 2, pickAll(p, now)["w1"])
	assert.Equal(t, 6, pickAll(p, now.Add(backend.RampTime))["w1"], "the rest of its slots")
}

func TestOutlierIsEjectedAndReturns(t *testing.T) {
	p := newPool(6, 5)
	rng := newRand()
	now := _start
	fail := func() {
		for range 2000 {
			w, ok := p.Pick(now, rng, backend.Limits{})
			require.True(t, ok)
			result := backend.Answered
			if w.Name == "w0" {
				result = backend.Errored
			}
			p.Done(now, w.Name, result, time.Millisecond)
		}
	}
	fail()
	assert.Zero(t, pickAll(p, now)["w0"])
	assert.Positive(t, pickAll(p, now.Add(backend.EjectBase))["w0"])
}

// At most a third of the workers is ejected, however many fail.
func TestEjectionIsLimited(t *testing.T) {
	p := newPool(6, 5)
	for i := range 6 {
		for range backend.EjectAfter {
			p.Done(_start, fmt.Sprintf("w%d", i), backend.Errored, time.Millisecond)
		}
	}
	assert.Len(t, pickAll(p, _start), 4)
}

// A worker that returns errors at once looks idle, but must get few requests.
func TestFastErrorsDoNotAttractRequests(t *testing.T) {
	p := newPool(3, 5)
	rng := newRand()
	now := _start
	picks := make(map[string]int)
	type open struct {
		name string
		end  time.Time
	}
	var inFlight []open
	for range 3000 {
		now = now.Add(2 * time.Millisecond)
		unfinished := inFlight[:0]
		for _, o := range inFlight {
			if o.end.After(now) {
				unfinished = append(unfinished, o)
				continue
			}
			p.Done(now, o.name, backend.Answered, 20*time.Millisecond)
		}
		inFlight = unfinished
		w, ok := p.Pick(now, rng, backend.Limits{})
		if !ok {
			continue
		}
		picks[w.Name]++
		if w.Name == "w0" {
			p.Done(now, w.Name, backend.Errored, 0)
			continue
		}
		inFlight = append(inFlight, open{w.Name, now.Add(20 * time.Millisecond)})
	}
	total := picks["w0"] + picks["w1"] + picks["w2"]
	assert.Less(t, picks["w0"], total/20)
}

func TestRefusalMarksFull(t *testing.T) {
	p := newPool(1, 5)
	w, ok := p.Pick(_start, newRand(), backend.Limits{})
	require.True(t, ok)
	p.Done(_start, w.Name, backend.Refused, 0)
	assert.Zero(t, p.Free(_start))
	assert.Positive(t, p.Free(_start.Add(backend.MaxReportAge)))
}

func TestExcludeTried(t *testing.T) {
	p := newPool(2, 5)
	w, ok := p.Pick(_start, newRand(), backend.Limits{Exclude: []string{"w0"}})
	require.True(t, ok)
	assert.Equal(t, "w1", w.Name)
}

// TestLaggingLoadReportTakesAFarewellBack checks that a load report, which may lag, does not
// clear what the worker said in an answer. A worker at another address is another one.
func TestLaggingLoadReportTakesAFarewellBack(t *testing.T) {
	p := newPool(1, 4)
	p.MarkDraining("w0")
	p.RecordLoad(_start, "w0", 0, false)
	_, ok := p.Pick(_start, newRand(), backend.Limits{})
	assert.False(t, ok)
	p.UpdateWorkers(_start, []backend.Worker{{Name: "w0", Address: "elsewhere", Slots: 4}})
	_, ok = p.Pick(_start.Add(time.Minute), newRand(), backend.Limits{})
	assert.True(t, ok)
}
