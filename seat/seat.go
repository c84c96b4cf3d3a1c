// Package seat keeps objects in place when a worker is replaced by another one.
//
// The rank of a worker for an object is a hash of the object and of the worker's seat. A
// worker has a seat of its own, named after its ID, unless it replaces another one: if a
// worker leaves and one of the same group (service, zone and size) has just started, the
// successor takes the seat, and with it the objects, of the one that left. Without that, the
// objects of a worker that leaves scatter over all others, and the successor draws its share
// from all others as well: twice the moves, and objects that move again with each further
// replacement.
//
// Which worker succeeds which is decided by hash, so that instances that learn of starts and
// leavings in another order mostly agree. Where they don't, they tell each other, and which of
// the pairs hold follows from all of them.
//
// # Usage
//
//	b := &seat.Book{Taken: tell}
//	b.Started(now, "i-2", "orders/tunis-a/6", true)
//	b.Left(now, "i-1", "orders/tunis-a/6")
//	b.Of("i-2") // "i-1"
package seat

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// _pairTime is the longest time between the start of a worker and the leaving of the one
	// that it replaces, in either order. A replaced worker leaves when its successor is ready,
	// or its successor starts on the freed machine: both take seconds.
	_pairTime = 30 * time.Second
	// _maxPending limits the newcomers and the vacant seats that are remembered for a group.
	_maxPending = 256
	// _maxLeft is the number of workers that left above which older ones are forgotten: more
	// than are replaced at once in the largest service.
	_maxLeft = 4096
	// _maxClaims limits the successions that other instances may tell.
	_maxClaims = 4096
)

// Succession is a worker that has the seat of an earlier one.
type Succession struct {
	Worker string `json:"worker"`
	Seat   string `json:"seat"`
	// Group is that of the worker.
	Group string `json:"group"`
}

// Book knows the seats of workers. It is not safe for concurrent use.
type Book struct {
	// Taken, if set, is called when a worker takes the seat of another one. It must not block.
	Taken func(s Succession)

	// claims are all successions that this instance or another one decided, with their
	// scores. Of those, seats and owners hold the ones in force, by worker and by seat.
	claims map[Succession]uint64
	seats  map[string]Succession
	owners map[string]string
	groups map[string]*group
	left   map[string]departure
	// version counts the changes of seats.
	version uint64
}

// departure is a worker that left, with the seat that it had.
type departure struct {
	seat string
	at   time.Time
}

// group holds the workers of a group that may still be paired.
type group struct {
	newcomers []pending
	vacant    []pending
}

// pending is a worker without a predecessor, or a seat without a successor.
type pending struct {
	name string
	at   time.Time
}

// Of returns the seat of a worker.
func (b *Book) Of(worker string) string {
	if s, ok := b.seats[worker]; ok {
		return s.Seat
	}
	if _, taken := b.owners[worker]; taken {
		// The worker came back, and another one has its seat.
		return worker + "/again"
	}
	return worker
}

// Version changes when the seat of any worker changes.
func (b *Book) Version() uint64 {
	return b.version
}

// Started records a worker that takes requests from now on. fresh is set if it has just started,
// so that no object is warm there: only such a worker takes the seat of another one. One that
// had left gets its own seat again, unless that was taken meanwhile.
func (b *Book) Started(now time.Time, worker, groupName string, fresh bool) {
	g := b.group(now, groupName)
	if earlier, ok := b.left[worker]; ok {
		delete(b.left, worker)
		vacant := len(g.vacant)
		g.vacant = without(g.vacant, earlier.seat)
		if len(g.vacant) < vacant {
			if earlier.seat != worker {
				b.put(Succession{worker, earlier.seat, groupName})
			}
			return
		}
	}
	if _, ok := b.seats[worker]; ok || !fresh {
		return
	}
	if i := closest(worker, g.vacant); i >= 0 {
		vacated := g.vacant[i].name
		g.vacant = remove(g.vacant, i)
		b.take(Succession{worker, vacated, groupName})
		return
	}
	g.newcomers = add(g.newcomers, pending{worker, now})
}

// Left records that a worker takes no requests any more. Further calls for the same worker
// change nothing.
func (b *Book) Left(now time.Time, worker, groupName string) {
	if _, ok := b.left[worker]; ok {
		return
	}
	g := b.group(now, groupName)
	vacated := b.Of(worker)
	b.free(worker)
	b.recordLeft(now, worker, vacated)
	before := len(g.newcomers)
	g.newcomers = without(g.newcomers, worker)
	if len(g.newcomers) < before {
		return // It has no objects that another one could take.
	}
	if i := closest(vacated, g.newcomers); i >= 0 {
		successor := g.newcomers[i].name
		g.newcomers = remove(g.newcomers, i)
		b.take(Succession{successor, vacated, groupName})
		return
	}
	g.vacant = add(g.vacant, pending{vacated, now})
}

func (b *Book) recordLeft(now time.Time, worker, seat string) {
	if b.left == nil {
		b.left = make(map[string]departure)
	}
	if len(b.left) >= _maxLeft {
		for id, d := range b.left {
			if now.Sub(d.at) >= _pairTime {
				delete(b.left, id)
			}
		}
	}
	b.left[worker] = departure{seat, now}
}

// Adopt records a succession that another instance decided.
func (b *Book) Adopt(now time.Time, s Succession) {
	if s.Worker == "" || s.Seat == "" || s.Worker == s.Seat || len(b.claims) >= _maxClaims {
		return
	}
	if _, gone := b.left[s.Worker]; gone {
		return
	}
	g := b.group(now, s.Group)
	g.newcomers, g.vacant = without(g.newcomers, s.Worker), without(g.vacant, s.Seat)
	b.put(s)
}

// Successions returns the successions that hold, at most limit.
func (b *Book) Successions(limit int) []Succession {
	var list []Succession
	for _, s := range b.seats {
		if len(list) >= limit {
			break
		}
		list = append(list, s)
	}
	return list
}

func (b *Book) take(s Succession) {
	b.put(s)
	if b.Taken != nil {
		b.Taken(s)
	}
}

func (b *Book) put(s Succession) {
	if _, known := b.claims[s]; known {
		return
	}
	if b.claims == nil {
		b.claims = make(map[Succession]uint64)
	}
	b.claims[s] = score(s.Worker, s.Seat)
	b.resolve()
}

// free makes a worker give up an inherited seat.
func (b *Book) free(worker string) {
	before := len(b.claims)
	for s := range b.claims {
		if s.Worker == worker {
			delete(b.claims, s)
		}
	}
	if len(b.claims) < before {
		b.resolve()
	}
}

// resolve derives the seats from the claims: those with the higher score come first, and each
// worker and each seat is in one pair only. It depends on the claims alone, not on the order in
// which an instance heard of them.
func (b *Book) resolve() {
	b.version++
	ordered := slices.SortedFunc(maps.Keys(b.claims), func(x, y Succession) int {
		return cmp.Or(cmp.Compare(b.claims[y], b.claims[x]), cmp.Compare(x.Worker, y.Worker), cmp.Compare(x.Seat, y.Seat))
	})
	b.seats, b.owners = make(map[string]Succession, len(ordered)), make(map[string]string, len(ordered))
	for _, s := range ordered {
		if _, seated := b.seats[s.Worker]; seated {
			continue
		}
		if _, taken := b.owners[s.Seat]; !taken {
			b.seats[s.Worker], b.owners[s.Seat] = s, s.Worker
		}
	}
}

// group returns a group without what is too old to be paired.
func (b *Book) group(now time.Time, name string) *group {
	if b.groups == nil {
		b.groups = make(map[string]*group)
	}
	g := b.groups[name]
	if g == nil {
		g = &group{}
		b.groups[name] = g
	}
	g.newcomers, g.vacant = recent(now, g.newcomers), recent(now, g.vacant)
	return g
}

// closest returns the index of the best pair for a name, or -1 if there is none.
func closest(name string, list []pending) int {
	best, highest := -1, uint64(0)
	for i, p := range list {
		if score := score(name, p.name); best < 0 || score > highest {
			best, highest = i, score
		}
	}
	return best
}

// score ranks the pair of two names, in either order.
func score(a, b string) uint64 {
	return xxhash.Sum64String(min(a, b) + "/" + max(a, b))
}

func recent(now time.Time, list []pending) []pending {
	kept := list[:0]
	for _, p := range list {
		if now.Sub(p.at) < _pairTime {
			kept = append(kept, p)
		}
	}
	return kept
}

func add(list []pending, p pending) []pending {
	if len(list) >= _maxPending {
		list = remove(list, 0)
	}
	return append(list, p)
}

func remove(list []pending, i int) []pending {
	return append(list[:i], list[i+1:]...)
}

func without(list []pending, name string) []pending {
	for i, p := range list {
		if p.name == name {
			return remove(list, i)
		}
	}
	return list
}
