// Package estimate estimates when a request would end at a worker, from what is known of the
// worker's queue, of the time of its runs and of the pace of its machine.
//
// A caller wants its answer within the objective of its route. What decides whether a worker
// can give it is the time until the request's run begins there, the time of the run itself,
// and the way there and back, not how many requests a slot has: a queue of short runs delays
// less than one of long runs. Machines that workers share with others slow down for moments;
// an estimate of that fades as fast as it changes.
//
// # Usage
//
//	var runs estimate.Runs
//	runs.Record(estimate.Kind{Service: "s", Route: "r", Local: true}, took)
//	var pace estimate.Pace
//	pace.Record(now, 2.5)
//	queue := estimate.Queue{Busy: 6, Slots: 4, Run: mean, Pace: pace.At(now)}
//	end := queue.Wait() + queue.Runs(run)
package estimate

import (
	"math"
	"time"
)

const (
	// _paceTime is the time in which the pace of a machine changes: an observation fades
	// with it.
	_paceTime = 600 * time.Millisecond
	// _maxPace limits the pace that a worker states.
	_maxPace = 10
	// _sampleWeight is the weight of a new sample in a mean time, at least.
	_sampleWeight = 0.02
	// _minSamples is the number of samples from which a mean is used. Few of them may all
	// be runs of cold objects.
	_minSamples = 30
)

// Pace is the time that work takes on a machine at a moment, relative to the usual time. The
// zero value is a machine of which nothing is known.
type Pace struct {
	seen float64
	at   time.Time
}

// Record records that work takes a multiple of the usual time at now.
func (p *Pace) Record(now time.Time, pace float64) {
	p.seen, p.at = min(pace, _maxPace), now
}

// At returns the expected pace, which tends to 1 with the age of the observation.
func (p *Pace) At(now time.Time) float64 {
	if p.seen <= 0 {
		return 1
	}
	return 1 + (p.seen-1)*math.Exp(-max(now.Sub(p.at), 0).Seconds()/_paceTime.Seconds())
}

// Mean is a mean time that follows slow changes.
type Mean struct {
	samples int
	mean    time.Duration
}

// Record adds a sample.
func (m *Mean) Record(took time.Duration) {
	m.samples++
	m.mean += time.Duration(float64(took-m.mean) * max(_sampleWeight, 1/float64(m.samples)))
}

// Value returns the mean, and whether there are enough samples to use it.
func (m *Mean) Value() (time.Duration, bool) {
	return m.mean, m.samples >= _minSamples
}

// Kind identifies runs that take about the same time: those of a route at a service, in the
// local region or in others, which lie further away.
type Kind struct {
	Service string
	Route   string
	Local   bool
}

// Runs holds the mean times of runs of warm objects that did not wait, with the way to the
// worker and back. The zero value is ready to use.
type Runs struct {
	kinds    map[Kind]*Mean
	services map[string]*Mean
}

// Record records a run at the usual pace.
func (r *Runs) Record(k Kind, took time.Duration) {
	if r.kinds == nil {
		r.kinds, r.services = make(map[Kind]*Mean), make(map[string]*Mean)
	}
	m := r.kinds[k]
	if m == nil {
		m = &Mean{}
		r.kinds[k] = m
	}
	m.Record(took)
	if !k.Local {
		return
	}
	s := r.services[k.Service]
	if s == nil {
		s = &Mean{}
		r.services[k.Service] = s
	}
	s.Record(took)
}

// Of returns the mean time of a run of a kind, and whether it is known.
func (r *Runs) Of(k Kind) (time.Duration, bool) {
	if m := r.kinds[k]; m != nil {
		return m.Value()
	}
	return 0, false
}

// OfService returns the mean time of all runs of a service in the local region, and whether it
// is known.
func (r *Runs) OfService(service string) (time.Duration, bool) {
	if m := r.services[service]; m != nil {
		return m.Value()
	}
	return 0, false
}

// Queue is what is known of the requests at a worker.
type Queue struct {
	// Busy is the number of requests that run or wait there.
	Busy  float64
	Slots int
	// Run is the mean time of the runs there at the usual pace.
	Run  time.Duration
	Pace float64
}

// Wait returns the expected time until a slot is free for one more request.
func (q Queue) Wait() time.Duration {
	slots := float64(max(q.Slots, 1))
	ahead := q.Busy - slots + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / slots * float64(q.Run) * q.Pace)
}

// Runs returns the expected time of a run that takes run at the usual pace.
func (q Queue) Runs(run time.Duration) time.Duration {
	return time.Duration(float64(run) * q.Pace)
}
