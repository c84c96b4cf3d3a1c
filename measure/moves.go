package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeonlock/wigeonlock/placement"
	"github.com/wigeonlock/wigeonlock/seat"
)

const (
	// _movesScores is the number of scores that are computed for one row: it limits the number
	// of objects in rows with many workers.
	_movesScores = 40_000_000
	// _maxMovesObjects is the largest number of objects in a row.
	_maxMovesObjects = 200_000
	// _movesZones is the number of zones that the workers are in.
	_movesZones = 6
	// _replacedOf is the number of workers of which a rolling replacement replaces one.
	_replacedOf = 3
)

// MovesRow is what one event does to the objects of a service under one scheme.
type MovesRow struct {
	// Scheme is "byId", by which a worker ranks by its ID and an object stays at its place
	// while that is there, or "bySeat", by which successors inherit seats and objects go to
	// where they rank highest.
	Scheme string `json:"scheme"`
	// Event is what happens to the workers.
	Event   string `json:"event"`
	Workers int    `json:"workers"`
	Objects int    `json:"objects"`
	// Moved is the share of the objects that have another worker afterwards, Least the smallest
	// share by which the objects can follow the sizes.
	Moved float64 `json:"moved"`
	Least float64 `json:"least"`
	// Changes is the number of changes of the worker for each object, those included that were
	// undone.
	Changes float64 `json:"changes"`
	// Imbalance is the largest share of a worker, over the one that its size asks for.
	Imbalance float64 `json:"imbalance"`
	// LookupNs is the time to find the worker that ranks highest, in nanoseconds.
	LookupNs float64 `json:"lookupNs"`
}

// Moves computes which objects change their worker when workers come and go. Rows with few
// objects for each worker have an imbalance by chance.
func Moves(ctx context.Context, o Options) ([]MovesRow, error) {
	var rows []MovesRow
	for _, workers := range []int{14, 216, 5400} {
		for _, event := range _movesEvents {
			for _, scheme := range []string{_byID, _bySeat} {
				if err := ctx.Err(); err != nil {
					return rows, err
				}
				o.progress(fmt.Sprintf("%d workers, %s, %s", workers, event.name, scheme))
				rows = append(rows, runMoves(scheme, event, workers, o.Seed))
			}
		}
	}
	return rows, nil
}

const (
	_byID   = "byId"
	_bySeat = "bySeat"
)

// movesWorker is a worker of the model.
type movesWorker struct {
	id   string
	zone int
	size int
}

func (w movesWorker) group() string {
	return fmt.Sprintf("s/%d/%d", w.zone, w.size)
}

// movesEvent changes the workers of a model step by step; objects are placed after each.
type movesEvent struct {
	name  string
	steps func(m *movesModel)
}

var _movesEvents = []movesEvent{
	{"join", func(m *movesModel) { m.join(movesWorker{"joined", 1, 6}) }},
	{"leave", func(m *movesModel) { m.leave(0) }},
	{"replace", func(m *movesModel) { m.replace(0) }},
	{"replaceAThird", func(m *movesModel) {
		for range len(m.workers) / _replacedOf {
			m.replace(0)
		}
	}},
	{"resize", func(m *movesModel) {
		w := m.workers[0]
		m.leave(0)
		w.size *= 2
		m.join(w)
	}},
	{"zoneLeaves", func(m *movesModel) {
		for i := len(m.workers) - 1; i >= 0; i-- {
			if m.workers[i].zone == 0 {
				m.leave(i)
			}
		}
	}},
}

// movesModel holds the place of each object.
type movesModel struct {
	scheme  string
	workers []movesWorker
	seats   seat.Book
	now     time.Time
	objects []uint64
	// places holds the worker of each object, scores its rank there.
	places  []string
	scores  []float64
	changes int
}

func runMoves(scheme string, event movesEvent, workers int, seed uint64) MovesRow {
	r := rand.New(rand.NewPCG(seed, uint64(workers)))
	m := &movesModel{scheme: scheme, now: time.Unix(0, 0)}
	for i := range workers {
		m.workers = append(m.workers, movesWorker{fmt.Sprintf("w-%d", i), i % _movesZones, 3 + r.IntN(4)})
	}
	m.objects = make([]uint64, min(_maxMovesObjects, _movesScores/workers))
	m.places, m.scores = make([]string, len(m.objects)), make([]float64, len(m.objects))
	for i := range m.objects {
		m.objects[i] = r.Uint64()
	}
	started := time.Now()
	m.place("")
	lookup := time.Since(started) / time.Duration(len(m.objects))
	m.changes = 0
	before, sizes := slices.Clone(m.places), m.shares()
	event.steps(m)
	moved := 0
	for i, place := range m.places {
		if place != before[i] {
			moved++
		}
	}
	count := float64(len(m.objects))
	return MovesRow{
		Scheme: scheme, Event: event.name, Workers: workers, Objects: len(m.objects), Least: m.least(sizes),
		Moved: float64(moved) / count, Changes: float64(m.changes) / count, Imbalance: m.imbalance(),
		LookupNs: float64(lookup.Nanoseconds()),
	}
}

func (m *movesModel) candidate(w movesWorker) placement.Candidate {
	if m.scheme == _byID {
		return placement.Candidate{Seat: w.id, Size: w.size}
	}
	return placement.Candidate{Seat: m.seats.Of(w.id), Size: w.size}
}

// join adds a worker. Objects that rank higher there follow only by seat: by ID they stay where
// they are.
func (m *movesModel) join(w movesWorker) {
	m.workers = append(m.workers, w)
	m.seats.Started(m.now, w.id, w.group(), true)
	if m.scheme == _byID {
		return
	}
	c := m.candidate(w)
	for i, object := range m.objects {
		if s := c.Score(object); s > m.scores[i] {
			m.move(i, w.id, s)
		}
	}
}

// leave removes a worker, and places its objects elsewhere.
func (m *movesModel) leave(i int) {
	w := m.workers[i]
	m.seats.Left(m.now, w.id, w.group())
	m.workers = slices.Delete(m.workers, i, i+1)
	m.place(w.id)
}

// replace has a worker leave and its successor start; the requests between the two go
// elsewhere.
func (m *movesModel) replace(i int) {
	successor := m.workers[i]
	successor.id += "-new"
	m.leave(i)
	m.join(successor)
}

// place places the objects whose place is a worker that left.
func (m *movesModel) place(left string) {
	candidates := make([]placement.Candidate, len(m.workers))
	for i, w := range m.workers {
		candidates[i] = m.candidate(w)
	}
	order := placement.NewOrder(candidates)
	for i, object := range m.objects {
		if m.places[i] == left {
			first := order.First(object)
			m.move(i, m.workers[first].id, candidates[first].Score(object))
		}
	}
}

func (m *movesModel) move(i int, to string, score float64) {
	m.places[i], m.scores[i] = to, score
	m.changes++
}

// shares returns the share that the size of each worker asks for.
func (m *movesModel) shares() map[string]float64 {
	total := 0
	for _, w := range m.workers {
		total += w.size
	}
	shares := make(map[string]float64, len(m.workers))
	for _, w := range m.workers {
		shares[w.id] = float64(w.size) / float64(total)
	}
	return shares
}

// least returns the smallest share of objects that has to move for the shares to follow the
// sizes: what the workers that shrank or left have too much.
func (m *movesModel) least(before map[string]float64) float64 {
	after, least := m.shares(), 0.0
	for id, share := range before {
		least += max(share-after[id], 0)
	}
	return least
}

func (m *movesModel) imbalance() float64 {
	counts := make(map[string]int)
	for _, place := range m.places {
		counts[place]++
	}
	worst := 0.0
	for id, share := range m.shares() {
		worst = max(worst, float64(counts[id])/float64(len(m.objects))/share)
	}
	return worst
}
