// Package placement selects the worker for each request.
//
// Requests for the same object go to the same worker, its place, because a worker
// that handled an object recently serves it several times faster. Weighted rendezvous
// hashing of the object and the worker ID ranks the workers identically on every
// instance, so that only the objects of a worker that joins or leaves are
// reassigned. The local region keeps as many objects as its workers have capacity
// for; the other objects begin in other regions.
//
// An object leaves its place only when that worker has no capacity, and then moves as
// a whole, first to a worker of the same region. By hash alone some workers get twice
// the objects of others, and regions have their peaks at different times. How many
// objects move is limited by what their cold runs cost the workers that take them.
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
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonlock/wigeonlock/estimate"
	"github.com/wigeonlock/wigeonlock/seat"
	"github.com/wigeonlock/wigeonlock/worker"
)

const (
	// _fullLoad is the load, in requests per slot, at which a worker counts as full.
	// Workers refuse requests at a load of 4.
	_fullLoad = 2.2
	// _returnLoad is the same for a caller that was refused before and returns. In
	// overload, refusing it again would end its request, while a new caller has a
	// return left.
	_returnLoad = 3.4
	// _maxPlaces is the number of workers, in the order of the ranking, among which a
	// new place is sought for an object whose place has no capacity.
	_maxPlaces = 4
	// _moveLoad is the load below which a worker takes over objects of others: a slot
	// is free, so that the first run there, which is cold, does not wait.
	_moveLoad = 1.0
	// _idleLoad is the mean load below which the cold runs of a worker delay no others,
	// and _idleMaxAge the age from which load reports no longer tell that.
	_idleLoad   = 0.4
	_idleMaxAge = 5 * time.Second
	// _earlierBy is the part of a run by which a request has to end earlier elsewhere.
	_earlierBy = 0.25
	// _shortRun is the part of the expected time in which a request may still end.
	_shortRun = 0.5
	// _coldRun is the time of a run on a worker where the object is cold, as a
	// multiple of the time of a warm run.
	_coldRun = 2.5
)

// Reason explains why no worker was chosen.
type Reason string

// Reasons for choosing no worker.
const (
	NoWorkers  Reason = "noWorkers"
	NoCapacity Reason = "noRoom"
	AllTried   Reason = "allTried"
	// AwaitsPermit means that the permit for the worker is pending.
	AwaitsPermit Reason = "awaitsPermit"
	// Resting means that the workers that are left have asked for a pause.
	Resting Reason = "resting"
)

// Placer chooses workers. It is not safe for concurrent use.
type Placer struct {
	// Region is the region of this instance.
	Region string
	// RegionOf returns the region of a zone.
	RegionOf func(zone string) string
	// Changed, if set, is called when a condition changes.
	Changed func(c Condition)
	// Moved, if set, is called when an object moves. It must not block.
	Moved func(m Move)
	// Loaded, if set, is called with the load of a worker that the other instances of the
	// region should know. It must not block.
	Loaded func(l WorkerLoad)

	known       map[string]*state
	localShares map[shareKey]*localShare
	rosters     map[string]*roster
	usable      []bool
	ranking     []ranked
	warm        warmObjects
	places      map[string]*places
	runs        estimate.Runs
	failures    map[string]*failures
	seats       seat.Book
	// placeLost is set while Choose runs for an object whose place takes no requests any more.
	placeLost bool
}

type ranked struct {
	w     *worker.Worker
	s     *state
	local bool
	// rank is the position among all workers that may serve the request.
	rank int
}

// Choose returns the worker for a request, or the reason why there is none. It requests a
// permit only for a worker that it would return, since each permit uses up part of a rate
// limit.
func (p *Placer) Choose(now time.Time, r Request, workers []*worker.Worker) Choice {
	object := xxhash.Sum64String(r.Object)
	if len(r.Tried) == 0 && !r.Again {
		p.localShareFor(shareKey{r.Service, r.Large}).recordArrival(now)
	}
	p.placeLost = r.Sticky && p.lost(now, r, object, workers)
	p.rank(now, r, object, workers)
	leftOut := p.leaveOutLimited(r, object)
	c := p.chooseRanked(now, r, object)
	if !leftOut || c.Worker != nil || c.Reason == AwaitsPermit {
		return c
	}
	// No other worker can take the object.
	p.rank(now, r, object, workers)
	return p.chooseRanked(now, r, object)
}

// chooseRanked chooses among the ranked workers.
func (p *Placer) chooseRanked(now time.Time, r Request, object uint64) Choice {
	if len(p.ranking) == 0 {
		return Choice{Reason: NoWorkers}
	}
	var refused []string
	for {
		c := p.best(now, r, object, refused)
		if c.Worker == nil {
			return c
		}
		switch r.Permit(c.Worker, p.mayBeCold(now, c.Worker)) {
		case Granted:
			if r.Sticky {
				p.recordPlace(now, r, object, c)
			}
			return c
		case Pending:
			return Choice{Reason: AwaitsPermit}
		case Denied:
			refused = append(refused, c.Worker.ID)
		}
	}
}

// recordPlace records that a request for an object is sent to the worker of a choice. The other
// instances of the region are told of the first place of an object too: their local shares may
// differ, and with them the places that they would choose.
func (p *Placer) recordPlace(now time.Time, r Request, object uint64, c Choice) {
	p.countChange(r.Service, object, c)
	places := p.placesOf(r.Service)
	first := places.of(now, object) == ""
	count := places.record(now, object, c)
	if (c.Moves || first) && p.Moved != nil {
		p.Moved(Move{r.Service, object, c.Worker.ID, count, c.Homeward || first})
	}
}

// mayBeCold reports whether a worker is cold or may have restarted.
func (p *Placer) mayBeCold(now time.Time, w *worker.Worker) bool {
	return w.Cold(now) || isValid(now, p.state(w.ID).unreachableAt, w)
}

// best returns the place of an object if it has capacity, or else a worker that
// takes the object over. Workers in refused, for which there was no permit, are skipped, and
// then also limited ones where the object is cold: a cold run there would use a permit that
// a warm object needs.
func (p *Placer) best(now time.Time, r Request, object uint64, refused []string) Choice {
	restsUntil := p.firstRestEnd(now)
	p.ranking = slices.DeleteFunc(p.ranking, func(candidate ranked) bool {
		w := candidate.w
		return slices.Contains(r.Tried, w.ID) || slices.Contains(refused, w.ID) || p.avoided(now, w, candidate.s, object) ||
			len(refused) > 0 && r.share(w) < 1 && !p.warm.contains(now, object, w.ID)
	})
	if len(p.ranking) == 0 && !restsUntil.IsZero() {
		return Choice{Reason: Resting, RestsUntil: restsUntil}
	}
	if len(p.ranking) == 0 {
		return Choice{Reason: AllTried}
	}
	if p.placeLost && len(refused) == 0 {
		if c := p.substitute(now, r, object); c.Worker != nil {
			return c
		}
	}
	places := p.placesOf(r.Service)
	at := max(p.indexOf(places.of(now, object)), 0)
	place := p.choice(now, object, at)
	if other := p.earlier(now, r, object, at, place); other.Worker != nil {
		return other
	}
	s := p.state(place.Worker.ID)
	full := p.full(now, r, place)
	if !full && p.cost(now, r.Service, s) < _unhealthyCost {
		if home := p.homeward(now, r, object, at); home.Worker != nil {
			return home
		}
		return place
	}
	if taker := p.taker(now, r, object, at); taker.Worker != nil {
		return taker
	}
	if full {
		return Choice{Reason: NoCapacity, FullWorker: place.Worker.ID, Load: place.Load}
	}
	return place
}

// taker returns the worker that takes over an object whose place, at an index of the
// ranking, has no capacity. The object moves as a whole and stays: spreading its
// requests would make every worker run it cold. Another region is considered only if
// no worker of the same one can take the object.
func (p *Placer) taker(now time.Time, r Request, object uint64, place int) Choice {
	from := p.ranking[place].local
	for _, local := range []bool{from, !from} {
		c := p.takerAmong(now, r, object, place, local)
		if c.Worker != nil && p.mayMove(now, r, &c, local == from) {
			c.Moves = true
			return c
		}
	}
	return Choice{}
}

// takerAmong returns the best of the first workers of the local or the other regions
// that can take an object. Workers where it is warm need capacity, any other a free
// slot.
func (p *Placer) takerAmong(now time.Time, r Request, object uint64, place int, local bool) Choice {
	var best Choice
	cost := math.Inf(1)
	seen := 0
	for i, candidate := range p.ranking {
		if i == place || candidate.local != local {
			continue
		}
		if seen++; seen > _maxPlaces {
			break
		}
		c := p.choice(now, object, i)
		s := p.state(c.Worker.ID)
		if !c.Warm && c.Load >= _moveLoad || p.full(now, r, c) || p.cost(now, r.Service, s) >= _unhealthyCost || r.share(c.Worker) < 1 {
			continue
		}
		if taken := c.Load + runCost(c.Warm); taken < cost {
			best, cost = c, taken
		}
	}
	return best
}

// mayMove reports whether an object may move to the worker of c, and sets the limits that
// the move is charged to. Cold runs on a busy worker are limited, as they delay others, and
// so is any change of the region.
func (p *Placer) mayMove(now time.Time, r Request, c *Choice, sameRegion bool) bool {
	if !r.Sticky {
		return true
	}
	places := p.placesOf(r.Service)
	if !sameRegion {
		c.charged = append(c.charged, &places.away)
		// The other instances of the region follow each move.
		if !places.away.allows(now, _maxShareChange*float64(len(places.last))/float64(max(r.RegionInstances, 1))) {
			return false
		}
	}
	if c.Warm || p.state(c.Worker.ID).idle(now) {
		return true
	}
	c.charged = append(c.charged, &places.busy)
	return places.busy.allows(now, p.moveRate(r))
}

// moveRate returns the number of objects of a service that may move to busy workers
// per second.
func (p *Placer) moveRate(r Request) float64 {
	slots := 0
	for _, candidate := range p.ranking {
		slots += candidate.w.Slots
	}
	return movesPerSecond(slots, p.localShareFor(shareKey{r.Service, r.Large}).run, r.Instances)
}

// runCost returns the time of a run as a multiple of a warm one.
func runCost(warm bool) float64 {
	if warm {
		return 1
	}
	return _coldRun
}

func (p *Placer) choice(now time.Time, object uint64, i int) Choice {
	w := p.ranking[i].w
	return Choice{Worker: w, Load: p.state(w.ID).load(now, w), Rank: p.ranking[i].rank, Warm: p.warm.contains(now, object, w.ID)}
}

// indexOf returns the index of a worker in the ranking, or -1.
func (p *Placer) indexOf(id string) int {
	return slices.IndexFunc(p.ranking, func(r ranked) bool { return r.w.ID == id })
}

// rank sorts the workers that may serve a request, best first. Local objects rank
// the workers of the local region before the others, other objects after them.
func (p *Placer) rank(now time.Time, r Request, object uint64, workers []*worker.Worker) {
	known := p.rosterOf(r.Service, workers)
	p.usable = p.usable[:0]
	localSlots, allSlots := 0, 0
	for i := range known.members {
		m := &known.members[i]
		w, region := m.w, m.region
		if !w.Usable(now) || r.Closed(w.Zone) || !r.MayServe(region) {
			p.usable = append(p.usable, false)
			continue
		}
		p.usable = append(p.usable, true)
		allSlots += m.slots
		if region == p.Region {
			localSlots += m.slots
		}
	}
	isLocal := unit(mix(object)) < p.updateLocalShare(now, r, localSlots, allSlots, workers)
	order := known.order(object, r.Sticky)
	p.ranking = p.ranking[:0]
	for _, local := range []bool{isLocal, !isLocal} {
		for _, i := range order {
			if m := &known.members[i]; p.usable[i] && (m.region == p.Region) == local {
				p.ranking = append(p.ranking, ranked{m.w, m.s, local, len(p.ranking)})
			}
		}
	}
}

// leaveOutLimited removes the limited workers from the ranking, except the first if it keeps
// the object, and reports whether it removed any. If all workers are limited, objects stay
// where they are warm.
func (p *Placer) leaveOutLimited(r Request, object uint64) bool {
	isLimited := func(candidate ranked) bool { return r.share(candidate.w) < 1 }
	if r.ShareOf == nil || !slices.ContainsFunc(p.ranking, func(candidate ranked) bool { return !isLimited(candidate) }) {
		return false
	}
	before := len(p.ranking)
	p.ranking = slices.DeleteFunc(p.ranking, func(candidate ranked) bool {
		return isLimited(candidate) && (candidate.rank > 0 || !r.keeps(candidate.w, object))
	})
	return len(p.ranking) < before
}

// share returns the part of its objects that a worker keeps.
func (r Request) share(w *worker.Worker) float64 {
	if r.ShareOf == nil {
		return 1
	}
	return r.ShareOf(w)
}

// keeps reports whether an object is among those that a worker keeps.
func (r Request) keeps(w *worker.Worker, object uint64) bool {
	share := r.share(w)
	return share >= 1 || unit(mix(^object^xxhash.Sum64String(w.ID))) < share
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
