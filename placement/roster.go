package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonlock/wigeonlock/worker"
)

// _maxOrdered limits the number of workers in the remembered orders of a service: four bytes
// each, so that a megabyte holds those of 370 objects on 700 workers.
const _maxOrdered = 1 << 18

// roster is what placement keeps of the workers of a service between changes of them: for each
// object, the workers in the order of their scores. Hashing and sorting them takes most of the
// time of a decision.
type roster struct {
	members []member
	// seats is the version of the seats by which members are hashed.
	seats   uint64
	orders  map[uint64][]int32
	ordered int
}

// member is a worker, and what does not change while it is in a roster.
type member struct {
	w  *worker.Worker
	s  *state
	id string
	// hash is that of the worker's seat.
	hash   uint64
	zone   string
	region string
	slots  int
}

// isOf reports whether a member still describes a worker.
func (m *member) isOf(w *worker.Worker) bool {
	return m.w == w && m.id == w.ID && m.zone == w.Zone && m.slots == w.Slots
}

// rosterOf returns the roster of a service, which begins anew if a worker changed.
func (p *Placer) rosterOf(service string, workers []*worker.Worker) *roster {
	known := p.rosters[service]
	if known != nil && known.seats == p.seats.Version() &&
		slices.EqualFunc(known.members, workers, func(m member, w *worker.Worker) bool { return m.isOf(w) }) {
		return known
	}
	if p.rosters == nil {
		p.rosters = make(map[string]*roster)
	}
	known = &roster{seats: p.seats.Version(), orders: make(map[uint64][]int32)}
	for _, w := range workers {
		known.members = append(known.members, member{
			w: w, s: p.state(w.ID), id: w.ID, hash: xxhash.Sum64String(p.seats.Of(w.ID)), zone: w.Zone, region: p.RegionOf(w.Zone), slots: w.Slots,
		})
	}
	p.rosters[service] = known
	return known
}

// order returns the indices of the members, best first. That of a sticky object, which is asked
// for again, is kept.
func (r *roster) order(object uint64, sticky bool) []int32 {
	if kept, ok := r.orders[object]; ok {
		return kept
	}
	scores := make([]float64, len(r.members))
	order := make([]int32, len(r.members))
	for i, m := range r.members {
		scores[i], order[i] = score(object, m.hash, float64(max(m.slots, 1))), int32(i)
	}
	slices.SortStableFunc(order, func(a, b int32) int { return cmp.Compare(scores[b], scores[a]) })
	if !sticky {
		return order
	}
	if r.ordered += len(order); r.ordered > _maxOrdered {
		clear(r.orders)
		r.ordered = len(order)
	}
	r.orders[object] = order
	return order
}

// score returns the weighted rendezvous score of a worker, whose seat has a hash, for an object.
func score(object, hash uint64, weight float64) float64 {
	return -weight / math.Log(unit(mix(object^hash)))
}
