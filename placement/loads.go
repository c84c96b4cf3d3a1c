package placement

import (
	"time"

	"github.com/wigeonlock/wigeonlock/worker"
)

const (
	// _busyLoad is the load from which a worker's report is worth telling: requests are
	// about to wait there. _slowPace is the same for the pace of its machine: a run that is
	// slower has taken longer than runs differ among themselves.
	_busyLoad = 0.75
	_slowPace = 1.3
)

// WorkerLoad is what a worker reported to an instance of the region, since the last time.
type WorkerLoad struct {
	Worker string `json:"worker"`
	// Load is the number of requests that run or wait there, Pace the time that work takes
	// there, relative to the usual time, or zero.
	Load int     `json:"load,omitempty"`
	Pace float64 `json:"pace,omitempty"`
	// Idle is set if the worker was told as busy or slow and is not any more.
	Idle bool `json:"idle,omitempty"`
	// Refused is set if the worker refused a request. Spare is set if it had a free slot.
	Refused bool `json:"refused,omitempty"`
	Spare   bool `json:"spare,omitempty"`
}

// tellLoad tells the neighbours what a worker reported if it decides between workers: that
// it is busy or slow, or refused, or is not any more.
func (p *Placer) tellLoad(s *state, w *worker.Worker, r Report) {
	if p.Loaded == nil {
		return
	}
	busy := r.Running + r.Waiting
	notable := float64(busy) >= _busyLoad*float64(w.Slots) || r.Pace >= _slowPace || r.Outcome == Shed
	if !notable && !s.told {
		return
	}
	s.told = notable
	p.Loaded(WorkerLoad{
		Worker: w.ID, Load: busy, Pace: r.Pace, Idle: !notable, Refused: r.Outcome == Shed, Spare: busy < w.Slots,
	})
}

// AdoptLoad applies what a worker reported to another instance of the region. The age of
// the news is the time between two tellings, which is short against the time of a run.
func (p *Placer) AdoptLoad(now time.Time, w *worker.Worker, l WorkerLoad) {
	if l.Load < 0 || l.Pace < 0 {
		return
	}
	s := p.state(w.ID)
	p.recordLoad(now, s, w, l.Load, l.Pace)
	s.told = s.told && !l.Idle
	switch {
	case l.Refused && l.Spare:
		s.health.recordResult(now, true)
		p.notifyHealth(now, s, w)
	case l.Refused:
		s.shedUntil = now.Add(_refusedTime)
	}
}
