// Package placement selects the worker for each request.
//
// Requests for the same object go to the same worker, because a worker that
// handled an object recently serves it several times faster. Weighted rendezvous
// hashing of the object and the worker ID ranks the workers identically on every
// instance, so that only the objects of a worker that joins or leaves are
// reassigned. The local region keeps as many objects as its workers have capacity
// for; the other objects are assigned to workers of other regions. A request is
// sent to the next worker of the ranking only if the best one has no capacity, so
// that each object is warm on few workers.
//
// # Usage
//
//	p := &placement.Placer{Region: "r", RegionOf: regionOf}
//	request := placement.Request{Object: "17"}
//	choice := p.Choose(now, request, workers)
//	if choice.Worker == nil {
//		// choice.Reason explains why
//	}
//	p.Begin(now, request, choice.Worker)
//	p.End(now, choice.Worker, report)
package placement

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonlock/wigeonlock/worker"
)

const (
	// _fullLoad is the load, in requests per slot, at which a worker counts as full
	// and the next one is used. Workers refuse requests at a load of 4.
	_fullLoad = 2.2
	// _assignedWorkers is the number of workers assigned to an object, which keep it
	// warm.
	_assignedWorkers = 2
	// _secondaryCost is the extra cost of the second assigned worker, in requests per
	// slot: it is chosen only if its load is lower by more than that.
	_secondaryCost = 0.3
	// _coldCost is the extra time of a run on a worker where the object is cold, as
	// a multiple of the time of a warm run.
	_coldCost = 1.5
)

// Reason explains why no worker was chosen.
type Reason string

// Reasons for choosing no worker.
const (
	NoWorkers  Reason = "noWorkers"
	NoCapacity Reason = "noRoom"
	AllTried   Reason = "allTried"
)

// Request holds the properties of a request that decide its worker.
type Request struct {
	Service string
	// Object identifies what the request concerns. The caller sets a unique value, such
	// as the request ID, for requests without an object, which spreads them.
	Object string
	// MayServe reports whether workers of a region may serve the request.
	MayServe func(region string) bool
	// Closed reports whether a zone accepts no new requests.
	Closed func(zone string) bool
	// Tried lists the IDs of the workers of earlier attempts.
	Tried []string
	// Large is set if answers are so large that transferring one from another
	// region costs about as much as the answer is worth.
	Large bool
	// RegionInstances is the number of instances that share the region's requests.
	RegionInstances int
	// PermitCold requests a cold-start permit: it reports whether a request may be
	// sent to a cold worker, and counts that request against its rate limit.
	PermitCold func(w *worker.Worker) bool
}

// Choice is the result of Choose.
type Choice struct {
	Worker *worker.Worker
	Reason Reason
	// FullWorker is the ID of the first assigned worker if it has no capacity.
	FullWorker string
	// Load is the estimated load of Worker, or of FullWorker, in requests per slot.
	Load float64
	// Rank is the position of Worker in the ranking; 0 is the best.
	Rank int
	// Warm is set if the object was sent to Worker recently.
	Warm bool
}

// Outcome is the result of an exchange with a worker.
type Outcome string

// Outcomes of an exchange.
const (
	Answered Outcome = "answered"
	// Errored means that the worker answered with a server error.
	Errored Outcome = "errored"
	// Shed means that the worker refused the request.
	Shed Outcome = "shed"
	// Failed means that no valid answer arrived in time.
	Failed Outcome = "failed"
	// WrongWorker means that another worker answered at the address.
	WrongWorker Outcome = "moved"
	// CallerDisconnected means that the exchange was cancelled.
	CallerDisconnected Outcome = "dropped"
	// Unreachable means that no connection could be established. The worker may
	// have restarted and be cold.
	Unreachable Outcome = "unreachable"
	// Broken means that the connection ended before the answer was complete.
	Broken Outcome = "broken"
	// ClosedIdle means that the worker closed an idle connection early.
	ClosedIdle Outcome = "hungUp"
)

// Report describes a finished exchange with a worker.
type Report struct {
	Outcome Outcome
	// Running and Waiting are the load that the worker reported. They are valid if
	// HasLoad is set.
	HasLoad bool
	Running int
	Waiting int
	// Took is the time of the exchange. Load and Warm are those of the Choice.
	Took time.Duration
	Load float64
	Warm bool
	// Opened is the time at which the connection was established.
	Opened time.Time
	// Large is that of the Request.
	Large bool
}

// Placer chooses workers. It is not safe for concurrent use.
type Placer struct {
	// Region is the region of this instance.
	Region string
	// RegionOf returns the region of a zone.
	RegionOf func(zone string) string
	// Changed, if set, is called when a condition changes.
	Changed func(c Condition)

	known       map[string]*state
	localShares map[shareKey]*localShare
	ranking     []ranked
	warm        warmObjects
}

type ranked struct {
	w     *worker.Worker
	score float64
	local bool
}

// Choose returns the worker for a request, or the reason why there is none. It
// requests a cold-start permit only for a worker that it would return, since each
// permit uses up part of a rate limit.
func (p *Placer) Choose(now time.Time, r Request, workers []*worker.Worker) Choice {
	object := xxhash.Sum64String(r.Object)
	p.rank(now, r, object, workers)
	if len(p.ranking) == 0 {
		return Choice{Reason: NoWorkers}
	}
	var refused []string
	for {
		c := p.best(now, r, object, refused)
		if c.Worker == nil || !p.mayBeCold(now, c.Worker) || r.PermitCold(c.Worker) {
			return c
		}
		refused = append(refused, c.Worker.ID)
	}
}

// mayBeCold reports whether a worker is cold or may have restarted.
func (p *Placer) mayBeCold(now time.Time, w *worker.Worker) bool {
	return w.Cold(now) || isValid(now, p.state(w.ID).unreachableAt, w)
}

// best returns the assigned worker of an object with the lowest cost. Workers in
// refused, which are cold and got no permit, are skipped.
func (p *Placer) best(now time.Time, r Request, object uint64, refused []string) Choice {
	best := Choice{Reason: AllTried}
	cost := math.Inf(1)
	assigned := 0
	for i, candidate := range p.ranking {
		w := candidate.w
		s := p.state(w.ID)
		if slices.Contains(r.Tried, w.ID) || slices.Contains(refused, w.ID) || p.avoided(now, w, s) {
			continue
		}
		if assigned++; assigned > _assignedWorkers {
			break
		}
		load := s.load(now, w)
		if load >= _fullLoad || now.Before(s.shedUntil) {
			if best.Worker == nil && best.FullWorker == "" {
				best.Reason, best.FullWorker, best.Load = NoCapacity, w.ID, load
			}
			continue
		}
		warm := p.warm.contains(now, object, w.ID)
		c := max(load, 1)
		if assigned > 1 {
			c += _secondaryCost
			if !warm {
				c += _coldCost
			}
		}
		c *= s.health.cost(now)
		if c < cost {
			best, cost = Choice{Worker: w, Load: load, Rank: i, Warm: warm}, c
		}
	}
	return best
}

// rank sorts the workers that may serve a request, best first. Local objects rank
// the workers of the local region before the others, other objects after them.
func (p *Placer) rank(now time.Time, r Request, object uint64, workers []*worker.Worker) {
	p.ranking = p.ranking[:0]
	localSlots, allSlots := 0, 0
	for _, w := range workers {
		region := p.RegionOf(w.Zone)
		if !w.Usable(now) || r.Closed(w.Zone) || !r.MayServe(region) {
			continue
		}
		local := region == p.Region
		allSlots += w.Slots
		if local {
			localSlots += w.Slots
		}
		p.ranking = append(p.ranking, ranked{w, score(object, w.ID, float64(max(w.Slots, 1))), local})
	}
	isLocal := unit(mix(object)) < p.updateLocalShare(now, r, localSlots, allSlots, workers)
	sort.Slice(p.ranking, func(i, j int) bool {
		a, b := p.ranking[i], p.ranking[j]
		if a.local != b.local {
			return a.local == isLocal
		}
		return a.score > b.score
	})
}

// score returns the weighted rendezvous score of a worker for an object.
func score(object uint64, id string, weight float64) float64 {
	return -weight / math.Log(unit(mix(object^xxhash.Sum64String(id))))
}

// unit maps a hash to (0, 1).
func unit(h uint64) float64 {
	return (float64(h>>11) + 0.5) / (1 << 53)
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
