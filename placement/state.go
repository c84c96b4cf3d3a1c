package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonlock/wigeonlock/retry"
	"github.com/wigeonlock/wigeonlock/worker"
)

const (
	// _loadAge is how long a worker's word on its load counts.
	_loadAge = time.Second
	// _shedTime is how long a worker that turned a request away counts as full.
	_shedTime = 100 * time.Millisecond
	// _entryTime is how long the entry of a worker that ended may stand: three
	// of its signs of life, and the way here.
	_entryTime = 5 * time.Second
	// _brokeTogether is the time within which two exchanges break off when a
	// worker ends: it may be back, and cold, before it is found unreachable.
	_brokeTogether = 100 * time.Millisecond
	// _faultBase and _faultMax bound the time for which a worker that failed is
	// avoided.
	_faultBase = 500 * time.Millisecond
	_faultMax  = 8 * time.Second
)

// state is what this instance found out about a worker by itself.
type state struct {
	inFlight int
	// told is the worker's word on its load, as of toldAt with toldInFlight
	// requests of this instance under way.
	told         int
	toldInFlight int
	toldAt       time.Time
	shedUntil    time.Time
	// faults counts failures in a row; avoidUntil is when it is tried again.
	faults     int
	faultAt    time.Time
	avoidUntil time.Time
	// brokeAt is when the last exchange broke off.
	brokeAt time.Time
	// unreachableAt and movedAt are when it could not be reached, and when
	// another one had its address. Both hold until there is news of it, or its
	// entry stood for longer than that of a worker that ended.
	unreachableAt time.Time
	movedAt       time.Time
	health        health
	// unhealthy is what was told of its health last.
	unhealthy bool
}

// avoided reports whether a worker failed lately, or lost its address, with no
// word of it since.
func (p *Placer) avoided(now time.Time, w *worker.Worker, s *state) bool {
	return holds(now, s.movedAt, w) || now.Before(s.avoidUntil)
}

// holds reports whether what was found out about a worker still counts.
func holds(now, found time.Time, w *worker.Worker) bool {
	return !found.IsZero() && !w.LastUpdate.After(found) && now.Sub(found) < _entryTime
}

func (s *state) load(now time.Time, w *worker.Worker) float64 {
	busy := s.inFlight
	if now.Sub(s.toldAt) < _loadAge {
		busy = max(busy, s.told+s.inFlight-s.toldInFlight)
	}
	return float64(busy) / float64(max(w.Slots, 1))
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

// Begin records a request on its way to a worker.
func (p *Placer) Begin(now time.Time, r Request, w *worker.Worker) {
	p.warm.note(now, xxhash.Sum64String(r.Object), w.ID)
	p.state(w.ID).inFlight++
	p.share(homeKey{w.Service, r.Large}).arrived(now)
}

// End records how an exchange with a worker ended.
func (p *Placer) End(now time.Time, w *worker.Worker, r Report) {
	s := p.state(w.ID)
	s.inFlight--
	p.learn(now, s, w, r)
	p.judge(now, s, w)
	if r.HasLoad {
		s.told, s.toldInFlight, s.toldAt = r.Running+r.Waiting, s.inFlight, now
	}
	switch r.Outcome {
	case Answered:
		s.faults = 0
		if r.Opened.Before(s.unreachableAt) {
			// The worker still has a connection from before: it did not end.
			s.unreachableAt, s.brokeAt = time.Time{}, time.Time{}
		}
	case Shed:
		if !r.HasLoad || r.Running+r.Waiting >= w.Slots {
			s.shedUntil = now.Add(_shedTime)
		}
	case Failed, Unreachable, Broken:
		if r.Outcome == Unreachable || r.Outcome == Broken && now.Sub(s.brokeAt) < _brokeTogether {
			p.suspect(now, s, w, r.Outcome)
		}
		if r.Outcome == Broken {
			s.brokeAt = now
		}
		if now.Sub(s.faultAt) > _faultMax {
			s.faults = 0
		}
		s.faultAt = now
		pause := retry.Backoff{Base: _faultBase, Max: _faultMax}.Limit(s.faults)
		s.faults++
		if !now.Before(s.avoidUntil) {
			p.tell(Condition{Kind: Avoided, Worker: w.ID, Service: w.Service, Outcome: r.Outcome, Faults: s.faults, AvoidFor: pause})
		}
		s.avoidUntil = now.Add(pause)
	case WrongWorker:
		s.movedAt = now
		p.tell(Condition{Kind: Displaced, Worker: w.ID, Service: w.Service, Outcome: r.Outcome})
	}
}

// Suspect records that a worker may have ended, and be cold when it is back.
func (p *Placer) Suspect(now time.Time, w *worker.Worker) {
	p.suspect(now, p.state(w.ID), w, ClosedIdle)
}

func (p *Placer) suspect(now time.Time, s *state, w *worker.Worker, why Outcome) {
	if !holds(now, s.unreachableAt, w) {
		p.tell(Condition{Kind: MayBeCold, Worker: w.ID, Service: w.Service, Outcome: why})
	}
	s.unreachableAt = now
}

// learn takes what an exchange tells of the time of runs and of the health of
// the worker.
func (p *Placer) learn(now time.Time, s *state, w *worker.Worker, r Report) {
	share := p.share(homeKey{w.Service, r.Large})
	switch r.Outcome {
	case Answered:
		if p.RegionOf(w.Zone) == p.Region {
			share.ran(r.Took)
		}
		if r.Warm && share.runs >= _fewestRuns {
			s.health.ran(now, r.Took.Seconds()/(share.run.Seconds()*max(r.Load, 1)))
		}
		s.health.failed(now, false)
	case Errored, Failed, Broken:
		s.health.failed(now, true)
	case Shed:
		if r.HasLoad && r.Running+r.Waiting < w.Slots {
			s.health.failed(now, true)
		}
	}
}

// judge tells when a worker is thought unhealthy or well again.
func (p *Placer) judge(now time.Time, s *state, w *worker.Worker) {
	cost := s.health.cost(now)
	switch {
	case !s.unhealthy && cost >= _unhealthyCost:
		s.unhealthy = true
		p.tell(Condition{Kind: Unhealthy, Worker: w.ID, Service: w.Service, Slowdown: s.health.slow, FailureRate: s.health.fails})
	case s.unhealthy && cost < _healthyCost:
		s.unhealthy = false
		p.tell(Condition{Kind: Recovered, Worker: w.ID, Service: w.Service, Slowdown: s.health.slow, FailureRate: s.health.fails})
	}
}

// Forget drops what is known of workers that are gone.
func (p *Placer) Forget(gone func(id string) bool) {
	for id, s := range p.known {
		if s.inFlight == 0 && gone(id) {
			delete(p.known, id)
		}
	}
}
