package placement

import (
	"math"
	"slices"
	"time"

	"github.com/wigeonlock/wigeonlock/worker"
)

const (
	// _homeLoad is the load up to which the workers of the own region are filled
	// by the objects that stay there, in requests for each slot.
	_homeLoad = 0.6
	// _homeStep bounds how fast the share of objects that stay changes, a
	// second: of a region's requests, at most 0.15 may change the region from
	// one window of two seconds to the next, and chance takes part of that.
	_homeStep = 0.04
	// _homeFirst is how far above an even split between regions the share
	// begins, while the demand is not known.
	_homeFirst = 1.2
	// _largeFirst is the same for large answers. With all of them at home a
	// region with few workers turned requests away until the share had fallen.
	_largeFirst = 1.6
	// _rateWindow is the span over which arrivals are counted.
	_rateWindow = 2 * time.Second
	// _runWeight is the weight of one more run in the mean time of a run.
	_runWeight = 0.02
	// _fewestRuns is the number of runs before their mean counts.
	_fewestRuns = 30
	// _maxRegions bounds the regions that are told apart.
	_maxRegions = 16
)

// homeShare is the share of a service's objects whose place is in the own
// region. It answers waves of demand out of phase between regions whose workers
// are spread unevenly.
type homeShare struct {
	// first is where it begins, in even splits between regions.
	first float64

	share   float64
	known   bool
	changed time.Time
	// own are the slots of the own region at the last change.
	own int

	// count are the arrivals since since; rate is what they were a second in
	// the window before.
	count int
	since time.Time
	rate  float64

	runs int
	run  time.Duration

	// told is the share that was told last.
	told float64
}

func (h *homeShare) arrived(now time.Time) {
	if span := now.Sub(h.since); span >= _rateWindow {
		h.rate = float64(h.count) / span.Seconds()
		h.since, h.count = now, 0
	}
	h.count++
}

func (h *homeShare) ran(took time.Duration) {
	h.runs++
	if h.runs == 1 {
		h.run = took
		return
	}
	h.run += time.Duration(float64(took-h.run) * max(_runWeight, 1/float64(h.runs)))
}

// update returns the share for now. own and all are the slots of usable workers
// in the own region and everywhere, regions those with workers, which count only
// for the first share, and sharers the instances that share the demand of the
// region.
func (h *homeShare) update(now time.Time, own, all, regions, sharers int) float64 {
	if own == 0 || own == all {
		return float64(min(own, 1))
	}
	if !h.known {
		h.share = min(h.first*float64(own*regions)/float64(all), 1)
		h.known, h.changed, h.since, h.own = true, now, now, own
		return h.share
	}
	step := _homeStep * min(now.Sub(h.changed).Seconds(), 1)
	// The objects of workers that left have to move anyway.
	left := h.share * (1 - min(float64(own)/float64(h.own), 1))
	h.changed, h.own = now, own
	if h.runs < _fewestRuns || h.rate == 0 {
		return h.share
	}
	target := min(_homeLoad*float64(own)/h.demand(sharers), 1)
	h.share += max(min(target-h.share, step), -step-left)
	return h.share
}

// demand is what the requests of the region need, in slots.
func (h *homeShare) demand(sharers int) float64 {
	return h.rate * float64(sharers) * h.run.Seconds()
}

// homeKey names a home share: large answers have one of their own.
type homeKey struct {
	service string
	large   bool
}

// homeShare returns the share of a service's objects that stay, and tells when
// it has changed. own and all are the slots of usable workers in the own region
// and everywhere.
func (p *Placer) homeShare(now time.Time, r Request, own, all int, workers []*worker.Worker) float64 {
	h := p.share(homeKey{r.Service, r.Large})
	regions := 0
	if !h.known {
		regions = p.regions(workers)
	}
	share := h.update(now, own, all, regions, r.RegionInstances)
	if math.Abs(share-h.told) >= _shareTold {
		h.told = share
		p.tell(Condition{Kind: LocalShare, Service: r.Service, Share: share, Demand: h.demand(r.RegionInstances), Slots: own})
	}
	return share
}

// regions counts the regions of workers.
func (p *Placer) regions(workers []*worker.Worker) int {
	var seen [_maxRegions]string
	n := 0
	for _, w := range workers {
		if region := p.RegionOf(w.Zone); n < _maxRegions && !slices.Contains(seen[:n], region) {
			seen[n] = region
			n++
		}
	}
	return n
}

func (p *Placer) share(key homeKey) *homeShare {
	h := p.homes[key]
	if h == nil {
		h = &homeShare{first: _homeFirst}
		if key.large {
			h.first = _largeFirst
		}
		if p.homes == nil {
			p.homes = make(map[homeKey]*homeShare)
		}
		p.homes[key] = h
	}
	return h
}
