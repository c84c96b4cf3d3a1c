// Package backend chooses the worker (backend server) for a request among the
// workers of the local zone.
//
// A Pool counts its own requests in flight and adds an estimate of the requests of
// other instances. The estimate comes from the workers' load reports and decays with
// the age of the report. Workers that are leaving get no new requests, new ones are
// ramped up, and those that fail repeatedly are ejected, at most a third of the pool
// at a time.
//
// Pool does no I/O and is not safe for concurrent use.
//
// # Usage
//
//	p := &backend.Pool{Service: "katalog"}
//	p.UpdateWorkers(now, workers)
//	w, ok := p.Pick(now, rng, backend.Limits{})
//	// send the request to w.Address
//	p.Done(now, w.Name, backend.Answered, latency)
package backend

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/wigeonlock/wigeonlock/retry"
)

const (
	// RampTime is the time after which a new worker gets all of its slots.
	RampTime = 3 * time.Second
	// MaxReportAge is the age from which a load report is ignored.
	MaxReportAge = 4 * time.Second
	// RefusedFullTime is the time for which a worker that refused counts as full.
	RefusedFullTime = 10 * time.Millisecond
	// RecentRefusal is the time for which a refusal counts in RecentlyRefused.
	RecentRefusal = 250 * time.Millisecond
	// EjectBase is the time of the first ejection; each further one lasts longer.
	EjectBase = 2 * time.Second
	// EjectMax is the longest ejection.
	EjectMax = 30 * time.Second
	// EjectAfter is the number of consecutive failures after which a worker is ejected.
	EjectAfter = 5
	// MaxEjectedShare is the largest fraction of the pool ejected at the same time.
	MaxEjectedShare = 1.0 / 3
	// DownBase is the time for which an unreachable worker gets no requests. It doubles
	// with each further failed connection. Unlike ejection, this has no limit on the
	// number of workers, since a request that reaches no worker does not run.
	DownBase = 100 * time.Millisecond
	// DownMax is the longest time for which an unreachable worker gets no requests.
	DownMax = 2 * time.Second

	_othersDecay = 0.7
	// _roundUp is added to the estimate of the slots that others use before it is
	// truncated, so that it is mostly rounded up.
	_roundUp        = 0.8
	_errorDecay     = 0.9
	_errorPenalty   = 4.0
	_latencyDecay   = 0.9
	_rampStartShare = 0.25
)

// Worker is a backend server in the platform's list.
type Worker struct {
	Name    string
	Address string
	Slots   int
	Leaving bool
}

// Result is the outcome of an exchange with a worker.
type Result string

const (
	// Answered means that a complete answer arrived.
	Answered Result = "answered"
	// Refused means that the worker had no capacity and did not run the request.
	Refused Result = "refused"
	// Errored means that the worker answered with a server error.
	Errored Result = "errored"
	// Unreachable means that no connection could be established.
	Unreachable Result = "unreachable"
	// Broken means that the connection ended before the answer was complete.
	Broken Result = "broken"
	// Cancelled means that the caller disconnected or its deadline passed first.
	Cancelled Result = "cancelled"
)

// Pool holds the workers of one service in one zone.
type Pool struct {
	// Service is the name of the service.
	Service string
	// Instances is the number of entry instances that share the workers; zero means
	// one. It may change at any time.
	Instances int

	workers   map[string]*worker
	order     []*worker
	startedAt time.Time
	refusedAt time.Time
}

type worker struct {
	Worker
	since      time.Time
	inFlight   int
	othersBusy float64
	reportedAt time.Time
	// draining is what the last load report said, saidLeaving is set once an answer said so.
	draining     bool
	saidLeaving  bool
	fullUntil    time.Time
	errorRate    float64
	failures     int
	ejections    int
	ejectedUntil time.Time
	// dialFailures counts consecutive failed connections. The worker is down until
	// downUntil.
	dialFailures int
	downUntil    time.Time
	latency      time.Duration
	removed      bool
}

// Limits restricts the choice of a worker.
type Limits struct {
	// Exclude lists the names of workers that must not be chosen.
	Exclude []string
}

// UpdateWorkers applies the platform's list. Workers that are no longer listed get
// no new requests.
func (p *Pool) UpdateWorkers(now time.Time, workers []Worker) {
	if p.workers == nil {
		p.workers = make(map[string]*worker)
		p.startedAt = now
	}
	listed := make(map[string]struct{}, len(workers))
	for _, w := range workers {
		listed[w.Name] = struct{}{}
		p.updateWorker(now, w)
	}
	for name, w := range p.workers {
		if _, ok := listed[name]; ok {
			continue
		}
		w.removed = true
		if w.inFlight == 0 {
			delete(p.workers, name)
		}
	}
	p.sort()
}

func (p *Pool) updateWorker(now time.Time, listed Worker) {
	w, ok := p.workers[listed.Name]
	if !ok || w.Address != listed.Address {
		since := now
		if now.Equal(p.startedAt) {
			since = now.Add(-RampTime) // workers in the first list are not ramped up
		}
		fresh := &worker{Worker: listed, since: since}
		if ok {
			fresh.inFlight = w.inFlight
		}
		p.workers[listed.Name] = fresh
		return
	}
	w.removed = false
	// What the worker said stays, since the list lags behind it.
	w.Worker = listed
}

// RecordLoad applies a load report of a worker. The part of busy beyond the requests
// of this instance is what the other entry instances have in flight.
func (p *Pool) RecordLoad(now time.Time, name string, busy int, draining bool) {
	w, ok := p.workers[name]
	if !ok {
		return
	}
	observed := float64(min(max(busy-w.inFlight, 0), w.Slots))
	if now.Sub(w.reportedAt) >= MaxReportAge {
		w.othersBusy = observed
	} else {
		// Requests are much shorter than the interval between reports, so the mean is
		// more accurate than the last report.
		w.othersBusy = _othersDecay*w.othersBusy + (1-_othersDecay)*observed
	}
	w.reportedAt = now
	w.draining = draining
}

// MarkDraining records that a worker said in an answer that it accepts no new requests. Load
// reports may lag and do not take it back.
func (p *Pool) MarkDraining(name string) {
	if w, ok := p.workers[name]; ok {
		w.saidLeaving = true
	}
}

// Pick returns the better of two random workers with free slots and counts a
// request in flight on it. It returns false if no worker has a free slot. Each
// successful Pick needs one Done.
func (p *Pool) Pick(now time.Time, rng *rand.Rand, limits Limits) (Worker, bool) {
	var candidates [64]*worker
	open := candidates[:0]
	for _, w := range p.order {
		if w.usable(now) && w.free(now, p.Instances) > 0 && !excluded(w.Name, limits.Exclude) {
			open = append(open, w)
		}
	}
	if len(open) == 0 {
		return Worker{}, false
	}
	chosen := open[rng.IntN(len(open))]
	if len(open) > 1 {
		other := open[rng.IntN(len(open))]
		if p.score(now, other) < p.score(now, chosen) {
			chosen = other
		}
	}
	chosen.inFlight++
	return chosen.Worker, true
}

// Done records the end of a request in flight.
func (p *Pool) Done(now time.Time, name string, result Result, latency time.Duration) {
	w, ok := p.workers[name]
	if !ok {
		return
	}
	w.inFlight = max(w.inFlight-1, 0)
	switch result {
	case Answered:
		w.errorRate *= _errorDecay
		w.failures, w.dialFailures = 0, 0
		w.latency = meanLatency(w.latency, latency)
	case Refused:
		w.fullUntil = now.Add(RefusedFullTime)
		p.refusedAt = now
	case Unreachable:
		w.downUntil = now.Add(retry.Backoff{Base: DownBase, Max: DownMax}.Limit(w.dialFailures))
		w.dialFailures++
	case Errored, Broken:
		w.errorRate = w.errorRate*_errorDecay + (1 - _errorDecay)
		w.failures++
		p.eject(now, w)
	case Cancelled:
	}
	if w.removed && w.inFlight == 0 {
		delete(p.workers, name)
		p.sort()
	}
}

// Load returns the slots of usable workers and the number of slots that this
// instance occupies.
func (p *Pool) Load(now time.Time) (slots, inFlight int) {
	for _, w := range p.order {
		inFlight += w.inFlight
		if w.up(now) {
			slots += w.rampedSlots(now)
		}
	}
	return slots, inFlight
}

// RecentlyRefused reports whether a worker refused a request within RecentRefusal:
// the pool then has less capacity than its counts show.
func (p *Pool) RecentlyRefused(now time.Time) bool {
	return now.Sub(p.refusedAt) < RecentRefusal
}

// Free returns the estimated number of free slots of usable workers.
func (p *Pool) Free(now time.Time) int {
	free := 0
	for _, w := range p.order {
		if w.usable(now) {
			free += max(w.free(now, p.Instances), 0)
		}
	}
	return free
}

// Names returns the sorted names of the listed workers.
func (p *Pool) Names() []string {
	names := make([]string, 0, len(p.order))
	for _, w := range p.order {
		if !w.removed {
			names = append(names, w.Name)
		}
	}
	return names
}

// Address returns the address of a worker, or false if it is unknown.
func (p *Pool) Address(name string) (string, bool) {
	w, ok := p.workers[name]
	if !ok {
		return "", false
	}
	return w.Address, true
}

func (p *Pool) sort() {
	p.order = p.order[:0]
	for _, w := range p.workers {
		p.order = append(p.order, w)
	}
	sort.Slice(p.order, func(i, j int) bool { return p.order[i].Name < p.order[j].Name })
}

// eject ejects a worker after EjectAfter failures, unless too many are ejected.
func (p *Pool) eject(now time.Time, w *worker) {
	if w.failures < EjectAfter || now.Before(w.ejectedUntil) {
		return
	}
	ejected := 0
	for _, other := range p.order {
		if now.Before(other.ejectedUntil) {
			ejected++
		}
	}
	if float64(ejected+1) > MaxEjectedShare*float64(len(p.order)) {
		return
	}
	duration := retry.Backoff{Base: EjectBase, Max: EjectMax}.Limit(w.ejections)
	w.ejectedUntil = now.Add(duration)
	w.ejections++
	w.failures = EjectAfter - 1 // the first failure after the ejection ejects again
}

// score returns the cost of a worker with free slots: lower is better. The error
// rate outweighs any occupancy, since a worker that fails fast looks idle.
func (p *Pool) score(now time.Time, w *worker) float64 {
	slots := float64(max(w.rampedSlots(now), 1))
	return (w.busy(now)+1)/slots + w.errorRate*_errorPenalty
}

// up reports whether the worker is in service, whether or not it is full.
func (w *worker) up(now time.Time) bool {
	return !w.removed && !w.Leaving && !w.draining && !w.saidLeaving && !now.Before(w.ejectedUntil) && !now.Before(w.downUntil)
}

// usable reports whether the worker may be sent a request now.
func (w *worker) usable(now time.Time) bool {
	return w.up(now) && !now.Before(w.fullUntil)
}

// busy returns the requests in flight from this instance, plus the estimate for the
// other instances.
func (w *worker) busy(now time.Time) float64 {
	return float64(w.inFlight) + w.othersEstimate(now)
}

// othersEstimate returns the estimated number of requests in flight from other
// instances.
func (w *worker) othersEstimate(now time.Time) float64 {
	age := now.Sub(w.reportedAt)
	if age >= MaxReportAge {
		return 0
	}
	return w.othersBusy * (1 - float64(age)/float64(MaxReportAge))
}

// free returns the number of free slots of the worker, with the estimate for other
// instances mostly rounded up. Without a recent report, the other entry instances
// are assumed to use their part of the slots.
func (w *worker) free(now time.Time, instances int) int {
	slots := w.rampedSlots(now)
	if now.Sub(w.reportedAt) >= MaxReportAge && instances > 1 {
		slots = (slots + instances - 1) / instances
	}
	return slots - w.inFlight - int(w.othersEstimate(now)+_roundUp)
}

// rampedSlots returns the usable slots, which grow from a quarter to all during
// RampTime.
func (w *worker) rampedSlots(now time.Time) int {
	age := now.Sub(w.since)
	if age >= RampTime {
		return w.Slots
	}
	share := _rampStartShare + (1-_rampStartShare)*float64(age)/float64(RampTime)
	return max(int(float64(w.Slots)*share), 1)
}

func meanLatency(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return time.Duration(_latencyDecay*float64(old) + (1-_latencyDecay)*float64(sample))
}

func excluded(name string, list []string) bool {
	for _, e := range list {
		if e == name {
			return true
		}
	}
	return false
}
