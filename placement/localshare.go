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

	// count is the number of arrivals since since; rate is the number per second
	// in the window before.
	count int
	since time.Time
	rate  float64

	runs int
	run  time.Duration

	// notified is the share in the last notification.
	notified float64
}

func (h *localShare) recordArrival(now time.Time) {
	if span := now.Sub(h.since); span >= _rateWindow {
		h.rate = float64(h.count) / span.Seconds()
		h.since, h.count = now, 0
	}
	h.count++
}

func (h *localShare) recordRun(took time.Duration) {
	h.runs++
	if h.runs == 1 {
		h.run = took
		return
	}
	h.run += time.Duration(float64(took-h.run) * max(_sampleWeight, 1/float64(h.runs)))
}

// update returns the share at now. localSlots and allSlots are the slots of usable
// workers in the local region and in all regions. regions is the number of regions
// with workers, used only for the initial share. sharers is the number of instances
// that share the region's demand.
func (h *localShare) update(now time.Time, localSlots, allSlots, regions, sharers int) float64 {
	if localSlots == 0 || localSlots == allSlots {
		return float64(min(localSlots, 1))
	}
	if !h.known {
		h.share = min(h.initial*float64(localSlots*regions)/float64(allSlots), 1)
		h.known, h.changed, h.since, h.localSlots = true, now, now, localSlots
		return h.share
	}
	step := _maxShareChange * min(now.Sub(h.changed).Seconds(), 1)
	// The objects of removed workers are reassigned in any case, so the step does
	// not limit them.
	removedShare := h.share * (1 - min(float64(localSlots)/float64(h.localSlots), 1))
	h.changed, h.localSlots = now, localSlots
	if h.runs < _minRuns || h.rate == 0 {
		return h.share
	}
	target := min(_localLoad*float64(localSlots)/h.demand(sharers), 1)
	h.share += max(min(target-h.share, step), -step-removedShare)
	return h.share
}

// demand returns the number of slots that the region's requests need.
func (h *localShare) demand(sharers int) float64 {
	return h.rate * float64(sharers) * h.run.Seconds()
}

// shareKey identifies a local share. Large answers have a share of their own.
type shareKey struct {
	service string
	large   bool
}

// localShare returns the local share of a service's objects and notifies a changed
// one. localSlots and allSlots are the slots of usable workers in the local region
// and in all regions.
func (p *Placer) localShare(now time.Time, r Request, localSlots, allSlots int, workers []*worker.Worker) float64 {
	h := p.share(shareKey{r.Service, r.Large})
	regions := 0
	if !h.known {
		regions = p.regions(workers)
	}
	share := h.update(now, localSlots, allSlots, regions, r.RegionInstances)
	if math.Abs(share-h.notified) >= _shareStep {
		h.notified = share
		p.notify(Condition{Kind: LocalShare, Service: r.Service, Share: share, Demand: h.demand(r.RegionInstances), Slots: localSlots})
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

func (p *Placer) share(key shareKey) *localShare {
	h := p.localShares[key]
	if h == nil {
		h = &localShare{initial: _initialShare}
		if key.large {
			h.initial = _initialLargeShare
		}
		if p.localShares == nil {
			p.localShares = make(map[shareKey]*localShare)
		}
		p.localShares[key] = h
	}
	return h
}
