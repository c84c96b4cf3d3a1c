package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonlock/wigeonlock/estimate"
	"github.com/wigeonlock/wigeonlock/retry"
	"github.com/wigeonlock/wigeonlock/worker"
)

const (
	// _reportMaxAge is the time for which a load report of a worker is used.
	_reportMaxAge = time.Second
	// _meanLoadTime is the time over which load reports are averaged.
	_meanLoadTime = time.Second
	// _refusedTime is the time for which a worker that refused a request counts as
	// full.
	_refusedTime = 100 * time.Millisecond
	// _maxEntryTime is the longest time for which the entry of a worker that ended
	// may remain known: three heartbeat intervals and the propagation delay.
	_maxEntryTime = 5 * time.Second
	// _breakInterval is the interval within which two broken exchanges mean that the
	// worker ended. It may restart, cold, before it is found unreachable.
	_breakInterval = 100 * time.Millisecond
	// _faultsToAvoid is the number of consecutive failures from which a worker that can
	// be reached is avoided. Its objects run cold elsewhere meanwhile, which a single
	// lost or garbled answer is not worth.
	_faultsToAvoid = 2
	// _faultBase and _faultMax are the shortest and the longest time for which a
	// worker is avoided after a failure.
	_faultBase = 500 * time.Millisecond
	_faultMax  = 8 * time.Second
)

// state is what this instance observed of a worker.
type state struct {
	inFlight int
	// reportedLoad is the load that the worker reported at reportedAt, when
	// reportedInFlight requests of this instance were in flight.
	reportedLoad     int
	reportedInFlight int
	reportedAt       time.Time
	shedUntil        time.Time
	// meanLoad is the load over the last reports.
	meanLoad float64
	// pace is that of the worker's machine.
	pace estimate.Pace
	// told is set while the neighbours believe that the worker is busy or slow.
	told bool
	// faults is the number of consecutive failures; the worker is avoided until
	// avoidUntil.
	faults     int
	faultAt    time.Time
	avoidUntil time.Time
	// brokenAt is the time of the last Broken outcome.
	brokenAt time.Time
	// unreachableAt is when the worker could not be reached or was suspected of having
	// ended, wrongWorkerAt when another worker answered at its address. Each is valid
	// until an update of the worker arrives, at most for _maxEntryTime.
	unreachableAt time.Time
	wrongWorkerAt time.Time
	// endedAt is when nothing listened at the worker's address. It is valid like these.
	endedAt time.Time
	rest    rest
	health  health
	// unhealthy is the health in the last notification.
	unhealthy bool
}

// avoided reports whether a worker failed recently, another worker has its address, or it
// rests.
func (p *Placer) avoided(now time.Time, w *worker.Worker, s *state, object uint64) bool {
	return isValid(now, s.wrongWorkerAt, w) || isValid(now, s.endedAt, w) || now.Before(s.avoidUntil) || s.rest.excludes(now, w, object)
}

// isValid reports whether an observation of a worker is still valid.
func isValid(now, observedAt time.Time, w *worker.Worker) bool {
	return !observedAt.IsZero() && !w.LastUpdate.After(observedAt) && now.Sub(observedAt) < _maxEntryTime
}

func (s *state) load(now time.Time, w *worker.Worker) float64 {
	busy := s.inFlight
	if now.Sub(s.reportedAt) < _reportMaxAge {
		busy = max(busy, s.reportedLoad+s.inFlight-s.reportedInFlight)
	}
	return float64(busy) / float64(max(w.Slots, 1))
}

// full reports whether a worker with a load has no capacity for a request.
func (s *state) full(now time.Time, r Request, load float64) bool {
	limit := _fullLoad
	if r.Returning {
		limit = _returnLoad
	}
	return load >= limit || now.Before(s.shedUntil)
}

// idle reports whether the worker has told that it has slots to spare. One that tells no
// load may be busy.
func (s *state) idle(now time.Time) bool {
	return s.meanLoad < _idleLoad && now.Sub(s.reportedAt) < _idleMaxAge
}

func (p *Placer) state(id string) *state {
	s := p.known[id]
	if s == nil {
		s = &state{}
		if p.known == nil {
			p.known = make(map[string]*state)
		}
		p.known[id] = s
	}
	return s
}

// Begin records that a request is sent to a worker. Each Begin needs one End.
func (p *Placer) Begin(now time.Time, r Request, w *worker.Worker) {
	if r.Sticky {
		p.warm.record(now, xxhash.Sum64String(r.Object), w.ID)
	}
	p.state(w.ID).inFlight++
}

// End records the end of an exchange with a worker.
func (p *Placer) End(now time.Time, w *worker.Worker, r Report) {
	s := p.state(w.ID)
	s.inFlight--
	if r.Rest > 0 {
		p.startRest(now, s, w, r.Rest)
	} else {
		p.recordRun(Choice{Worker: w}, w.Service, r)
		p.updateHealth(now, s, w, r)
		p.notifyHealth(now, s, w)
	}
	if r.HasLoad {
		p.recordLoad(now, s, w, r.Running+r.Waiting, r.Pace)
		p.tellLoad(s, w, r)
	}
	if r.Rest > 0 {
		// A worker that asks for a pause is sound, and says when it has capacity again.
		return
	}
	switch r.Outcome {
	case Answered:
		s.faults = 0
		if r.Opened.Before(s.unreachableAt) {
			// A connection from before still works, so the worker did not restart.
			s.unreachableAt, s.brokenAt = time.Time{}, time.Time{}
		}
	case Shed:
		if !r.HasLoad || r.Running+r.Waiting >= w.Slots {
			s.shedUntil = now.Add(_refusedTime)
		}
	case Failed, Unreachable, Broken:
		if r.Outcome == Unreachable || r.Outcome == Broken && now.Sub(s.brokenAt) < _breakInterval {
			p.suspect(now, s, w, r.Outcome)
		}
		if r.Outcome == Broken {
			s.brokenAt = now
		}
		p.recordFault(now, s, w, r.Outcome)
	case WrongWorker:
		s.wrongWorkerAt = now
		p.notify(Condition{Kind: Displaced, Worker: w.ID, Service: w.Service, Outcome: r.Outcome})
	}
}

// recordFault records a failure. From the second consecutive one on, the worker is avoided for
// longer each time.
func (p *Placer) recordFault(now time.Time, s *state, w *worker.Worker, cause Outcome) {
	if now.Sub(s.faultAt) > _faultMax {
		s.faults = 0
	}
	s.faultAt = now
	s.faults++
	if s.faults < _faultsToAvoid && cause != Unreachable {
		return
	}
	pause := retry.Backoff{Base: _faultBase, Max: _faultMax}.Limit(max(s.faults-_faultsToAvoid, 0))
	if !now.Before(s.avoidUntil) {
		p.notify(Condition{Kind: Avoided, Worker: w.ID, Service: w.Service, Outcome: cause, Faults: s.faults, AvoidFor: pause})
	}
	s.avoidUntil = now.Add(pause)
}

// recordLoad records how many requests run or wait at a worker, and the pace of its machine.
func (p *Placer) recordLoad(now time.Time, s *state, w *worker.Worker, load int, pace float64) {
	weight := 1 - math.Exp(-now.Sub(s.reportedAt).Seconds()/_meanLoadTime.Seconds())
	s.meanLoad += weight * (float64(load)/float64(max(w.Slots, 1)) - s.meanLoad)
	s.reportedLoad, s.reportedInFlight, s.reportedAt = load, s.inFlight, now
	s.pace.Record(now, pace)
}

// Ended records that nothing listens at the address of a worker any more. It is avoided until
// its next entry, and may be cold then.
func (p *Placer) Ended(now time.Time, w *worker.Worker) {
	s := p.state(w.ID)
	p.suspect(now, s, w, Unreachable)
	s.endedAt = now
}

// Suspect records that a worker may have ended and be cold after a restart.
func (p *Placer) Suspect(now time.Time, w *worker.Worker) {
	p.suspect(now, p.state(w.ID), w, ClosedIdle)
}

func (p *Placer) suspect(now time.Time, s *state, w *worker.Worker, cause Outcome) {
	if !isValid(now, s.unreachableAt, w) {
		p.notify(Condition{Kind: MayBeCold, Worker: w.ID, Service: w.Service, Outcome: cause})
	}
	s.unreachableAt = now
}

// updateHealth updates the mean time of a run and the health of the worker.
func (p *Placer) updateHealth(now time.Time, s *state, w *worker.Worker, r Report) {
	share := p.localShareFor(shareKey{w.Service, r.Large})
	refused := r.Outcome == Shed && r.HasLoad && r.Running+r.Waiting < w.Slots
	switch r.Outcome {
	case Answered, Errored, Failed, Broken, Shed:
		p.failuresOf(w.Service).record(r.Outcome != Answered && (refused || r.Outcome != Shed))
	}
	switch r.Outcome {
	case Answered:
		if p.RegionOf(w.Zone) == p.Region {
			// A request whose run waited takes no more of a slot.
			share.recordRun(time.Duration(r.Took.Seconds() / max(r.Load, 1) * float64(time.Second)))
		}
		if r.Warm && share.runs >= _minRuns {
			s.health.recordRun(now, r.Took.Seconds()/(share.run.Seconds()*max(r.Load, 1)))
		}
		s.health.recordResult(now, false)
	case Errored, Failed, Broken:
		s.health.recordResult(now, true)
	case Shed:
		if refused {
			s.health.recordResult(now, true)
		}
	}
}

// cost returns the cost of a run on a worker, relative to one on a healthy worker.
func (p *Placer) cost(now time.Time, service string, s *state) float64 {
	return s.health.costBeyond(now, p.failuresOf(service).rate)
}

func (p *Placer) failuresOf(service string) *failures {
	f := p.failures[service]
	if f == nil {
		if p.failures == nil {
			p.failures = make(map[string]*failures)
		}
		f = &failures{}
		p.failures[service] = f
	}
	return f
}

// notifyHealth notifies when a worker becomes unhealthy or recovers.
func (p *Placer) notifyHealth(now time.Time, s *state, w *worker.Worker) {
	cost := p.cost(now, w.Service, s)
	switch {
	case !s.unhealthy && cost >= _unhealthyCost:
		s.unhealthy = true
		p.notify(Condition{Kind: Unhealthy, Worker: w.ID, Service: w.Service, Slowdown: s.health.slowdown, FailureRate: s.health.failureRate})
	case s.unhealthy && cost < _healthyCost:
		s.unhealthy = false
		p.notify(Condition{Kind: Recovered, Worker: w.ID, Service: w.Service, Slowdown: s.health.slowdown, FailureRate: s.health.failureRate})
	}
}

// Forget deletes the state of workers that were removed and have no request in
// flight. A worker that rests may be back before its pause ends.
func (p *Placer) Forget(now time.Time, removed func(id string) bool) {
	for id, s := range p.known {
		if s.inFlight == 0 && !now.Before(s.rest.until) && removed(id) {
			delete(p.known, id)
			clear(p.rosters)
		}
	}
}
