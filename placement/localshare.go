package placement

import (
	"math"
	"slices"
	"time"

	"github.com/wigeonlock/wigeonlock/worker"
)

const (
	// _localLoad is the load, in requests per slot, up to which local objects fill
	// the workers of the local region.
	_localLoad = 0.6
	// _maxShareChange limits the change of the local share per second. At most 0.15
	// of a region's requests may change the region from one window of two seconds to
	// the next, and random variation takes part of that.
	_maxShareChange = 0.04
	// _initialShare is the initial local share while the demand is not known, as a
	// multiple of an even split between the regions.
	_initialShare = 1.2
	// _initialLargeShare is the same for large answers. With a local share of 1, a
	// region with few workers refused requests until the share had fallen.
	_initialLargeShare = 1.6
	// _rateWindow is the window in which arrivals are counted.
	_rateWindow = 2 * time.Second
	// _sampleWeight is the weight of a new sample in the mean time of a run.
	_sampleWeight = 0.02
	// _minRuns is the number of samples from which the mean is used.
	_minRuns = 30
	// _maxRegions limits the number of regions that are distinguished.
	_maxRegions = 16
)

// localShare is the share of a service's objects that are assigned to workers of
// the local region. It adapts to peaks of demand that regions have at different
// times, with workers spread unevenly over the regions.
type localShare struct {
	// initial is the initial share, in even splits between the regions.
	initial float64

	share   float64
	known   bool
	changed time.Time
	// localSlots is the number of slots in the local region at the last update.
	localSlots int

	// count is the number of arrivals since windowStart; rate is the number per
	// second in the window before.
	count       int
	windowStart time.Time
	rate        float64

	// run is the mean time of runs samples.
	runs int
	run  time.Duration

	// notified is the share in the last notification.
	notified float64
}

func (s *localShare) recordArrival(now time.Time) {
	if span := now.Sub(s.windowStart); span >= _rateWindow {
		s.rate = float64(s.count) / span.Seconds()
		s.windowStart, s.count = now, 0
	}
	s.count++
}

func (s *localShare) recordRun(took time.Duration) {
	s.runs++
	if s.runs == 1 {
		s.run = took
		return
	}
	s.run += time.Duration(float64(took-s.run) * max(_sampleWeight, 1/float64(s.runs)))
}

// update returns the share at now. localSlots and allSlots are the slots of usable
// workers in the local region and in all regions. regions is the number of regions
// with workers, used only for the initial share. instances is the number of
// instances that share the region's demand.
func (s *localShare) update(now time.Time, localSlots, allSlots, regions, instances int) float64 {
	if localSlots == 0 || localSlots == allSlots {
		return float64(min(localSlots, 1))
	}
	if !s.known {
		s.share = min(s.initial*float64(localSlots*regions)/float64(allSlots), 1)
		s.known, s.changed, s.windowStart, s.localSlots = true, now, now, localSlots
		return s.share
	}
	step := _maxShareChange * min(now.Sub(s.changed).Seconds(), 1)
	// The objects of removed workers are reassigned in any case, so the share may
	// fall by their part in addition to the step.
	removedShare := s.share * (1 - min(float64(localSlots)/float64(s.localSlots), 1))
	s.changed, s.localSlots = now, localSlots
	if s.runs < _minRuns || s.rate == 0 {
		return s.share
	}
	target := min(_localLoad*float64(localSlots)/s.demand(instances), 1)
	s.share += max(min(target-s.share, step), -step-removedShare)
	return s.share
}

// demand returns the number of slots that the region's requests need.
func (s *localShare) demand(instances int) float64 {
	return s.rate * float64(instances) * s.run.Seconds()
}

// shareKey identifies a local share. Large answers have a share of their own.
type shareKey struct {
	service string
	large   bool
}

// updateLocalShare updates and returns the local share of a service's objects, and
// notifies a change of at least _shareStep. Requests that only the local region may serve, or
// only others, tell nothing of it. localSlots and allSlots are the slots of
// usable workers in the local region and in all regions.
func (p *Placer) updateLocalShare(now time.Time, r Request, localSlots, allSlots int, workers []*worker.Worker) float64 {
	if r.Bound && (localSlots == 0 || localSlots == allSlots) {
		return float64(min(localSlots, 1))
	}
	s := p.localShareFor(shareKey{r.Service, r.Large})
	regions := 0
	if !s.known {
		regions = p.regions(workers)
	}
	share := s.update(now, localSlots, allSlots, regions, r.RegionInstances)
	if math.Abs(share-s.notified) >= _shareStep {
		s.notified = share
		p.notify(Condition{Kind: LocalShare, Service: r.Service, Share: share, Demand: s.demand(r.RegionInstances), Slots: localSlots})
	}
	return share
}

// regions returns the number of regions that have workers.
func (p *Placer) regions(workers []*worker.Worker) int {
	var found [_maxRegions]string
	n := 0
	for _, w := range workers {
		if region := p.RegionOf(w.Zone); n < _maxRegions && !slices.Contains(found[:n], region) {
			found[n] = region
			n++
		}
	}
	return n
}

func (p *Placer) localShareFor(key shareKey) *localShare {
	s := p.localShares[key]
	if s == nil {
		s = &localShare{initial: _initialShare}
		if key.large {
			s.initial = _initialLargeShare
		}
		if p.localShares == nil {
			p.localShares = make(map[shareKey]*localShare)
		}
		p.localShares[key] = s
	}
	return s
}
