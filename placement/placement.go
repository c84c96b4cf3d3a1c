// Package placement decides which worker gets a request.
//
// Requests for the same object go to the same worker, since a worker that
// handled an object recently is several times faster. Each worker gets a score
// from the object and its ID, alike on all instances, and the best one is
// taken; when workers come or go, only their own objects move. As many objects
// as the workers of the own region have room for stay there; the others have
// their place in other regions. A request leaves the best worker only when that
// one has no room, for the next in the same order, so that an object is warm on
// few workers.
//
// # Usage
//
//	p := &placement.Placer{Region: "r", RegionOf: regionOf}
//	request := placement.Request{Object: "17"}
//	choice := p.Choose(now, request, workers)
//	if choice.Worker == nil {
//		// choice.Reason tells why
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
	// _fullLoad is the load, in requests for each slot, above which a request
	// goes to the next worker: a worker turns requests away at four.
	_fullLoad = 2.2
	// _places is the number of workers on which an object is kept warm.
	_places = 2
	// _nextPlace is how much less load another place of an object must have to
	// be taken instead of the first, in requests for each slot.
	_nextPlace = 0.3
	// _coldRun is what a run takes longer where the object is cold, in runs of a
	// warm one.
	_coldRun = 1.5
)

// Reason tells why there is no worker.
type Reason string

// Reasons for having no worker.
const (
	NoWorkers  Reason = "noWorkers"
	NoCapacity Reason = "noRoom"
	AllTried   Reason = "allTried"
)

// Request is what placing needs to know of a request.
type Request struct {
	Service string
	// Object names what the request concerns; requests without one are spread.
	Object string
	// MayServe bounds the regions that may serve it.
	MayServe func(region string) bool
	// Closed reports whether a zone must get nothing new.
	Closed func(zone string) bool
	// Tried names the workers that it was sent to before.
	Tried []string
	// Large is set where answers are so large that bringing one from another
	// region costs about what it is worth.
	Large bool
	// RegionInstances is the number of instances that share the region's requests.
	RegionInstances int
	// PermitCold asks for leave to send to a cold worker.
	PermitCold func(w *worker.Worker) bool
}

// Choice is the worker for a request.
type Choice struct {
	Worker *worker.Worker
	Reason Reason
	// FullWorker names the first place of the object if there is no room.
	FullWorker string
	// Load is what the worker, or the full one, was thought to have, in requests
	// for each slot.
	Load float64
	// Rank counts the workers that were passed over; 0 is the best.
	Rank int
	// Warm is set if the object ran there lately.
	Warm bool
}

// Outcome tells how an exchange with a worker ended.
type Outcome string

// Outcomes of an exchange.
const (
	Answered    Outcome = "answered"
	Errored     Outcome = "errored"
	Shed        Outcome = "shed"
	Failed      Outcome = "failed"
	WrongWorker Outcome = "moved"
	Dropped     Outcome = "dropped"
	// Unreachable means that no connection could be made: it may have started
	// anew and be cold.
	Unreachable Outcome = "unreachable"
	// Broken means that the connection ended before the answer did.
	Broken Outcome = "broken"
	// ClosedIdle means that the worker ended an idle connection before its time.
	ClosedIdle Outcome = "hungUp"
)

// Report is what an exchange told of a worker.
type Report struct {
	Outcome Outcome
	// Waiting and Running are the worker's word on its load; HasLoad is set if it
	// gave one.
	HasLoad bool
	Running int
	Waiting int
	// Took is the time of the exchange, Load and Warm what the worker was chosen
	// by.
	Took time.Duration
	Load float64
	Warm bool
	// Opened is when the connection was made.
	Opened time.Time
	// Large is that of the request.
	Large bool
}

// Placer chooses workers. It is not safe for concurrent use.
type Placer struct {
	// Region is where the instance stands.
	Region string
	// RegionOf returns the region of a zone.
	RegionOf func(zone string) string
	// Changed is called when a condition changes, if set.
	Changed func(c Condition)

	known   map[string]*state
	homes   map[homeKey]*homeShare
	ranking []ranked
	warm    warmth
}

type ranked struct {
	w     *worker.Worker
	score float64
	home  bool
}

// Choose returns the worker for a request. Leave to send to a cold worker is
// asked for only when it would be taken, since each leave counts.
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

// mayBeCold reports whether a worker is cold, or may be.
func (p *Placer) mayBeCold(now time.Time, w *worker.Worker) bool {
	return w.Cold(now) || holds(now, p.state(w.ID).unreachableAt, w)
}

// best returns the cheapest of an object's places. Cold workers that were
// refused are none.
func (p *Placer) best(now time.Time, r Request, object uint64, refused []string) Choice {
	best := Choice{Reason: AllTried}
	cost := math.Inf(1)
	places := 0
	for i, candidate := range p.ranking {
		w := candidate.w
		s := p.state(w.ID)
		if slices.Contains(r.Tried, w.ID) || slices.Contains(refused, w.ID) || p.avoided(now, w, s) {
			continue
		}
		if places++; places > _places {
			break
		}
		load := s.load(now, w)
		if load >= _fullLoad || now.Before(s.shedUntil) {
			if best.Worker == nil && best.FullWorker == "" {
				best.Reason, best.FullWorker, best.Load = NoCapacity, w.ID, load
			}
			continue
		}
		warm := p.warm.holds(now, object, w.ID)
		c := max(load, 1)
		if places > 1 {
			c += _nextPlace
			if !warm {
				c += _coldRun
			}
		}
		c *= s.health.cost(now)
		if c < cost {
			best, cost = Choice{Worker: w, Load: load, Rank: i, Warm: warm}, c
		}
	}
	return best
}

// rank orders the workers that may serve a request, best first. The objects
// that stay at home have the workers of the own region first, the others last.
func (p *Placer) rank(now time.Time, r Request, object uint64, workers []*worker.Worker) {
	p.ranking = p.ranking[:0]
	own, all := 0, 0
	for _, w := range workers {
		region := p.RegionOf(w.Zone)
		if !w.Usable(now) || r.Closed(w.Zone) || !r.MayServe(region) {
			continue
		}
		home := region == p.Region
		all += w.Slots
		if home {
			own += w.Slots
		}
		p.ranking = append(p.ranking, ranked{w, score(object, w.ID, float64(max(w.Slots, 1))), home})
	}
	stays := unit(mix(object)) < p.homeShare(now, r, own, all, workers)
	sort.Slice(p.ranking, func(i, j int) bool {
		a, b := p.ranking[i], p.ranking[j]
		if a.home != b.home {
			return a.home == stays
		}
		return a.score > b.score
	})
}

// score is the weighted rendezvous score of a worker for an object.
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
