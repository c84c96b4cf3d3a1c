// Package backend chooses the worker (backend server) for a request among the
// workers of the own zone.
//
// A Pool counts what it has in flight itself and takes load reports as hints
// about the rest: it adds what a report shows beyond its own requests, and
// lets that part age. Workers that are leaving get nothing new, cold ones are
// ramped up, and ones that answer fast errors are ejected, at most a third of
// the pool at a time.
//
// Pool does no I/O and is not safe for concurrent use.
//
// # Usage
//
//	p := &backend.Pool{Service: "katalog"}
//	p.Listed(now, workers)
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
	// RampTime is the time in which a new worker gets all of its slots.
	RampTime = 3 * time.Second
	// ReportTrust is the age at which a load report counts for nothing.
	ReportTrust = 4 * time.Second
	// FullFor is the time for which a worker that refused counts as full.
	FullFor = 10 * time.Millisecond
	// CrowdedFor is the time for which a refusal tells that the pool is crowded.
	CrowdedFor = 250 * time.Millisecond
	// EjectBase is the first ejection of an outlier; each further one is longer.
	EjectBase = 2 * time.Second
	// EjectMax is the longest ejection.
	EjectMax = 30 * time.Second
	// EjectAfter is the number of failures in a row that ejects a worker.
	EjectAfter = 5
	// MaxEjectedShare is the largest share of the pool that is ejected together.
	MaxEjectedShare = 1.0 / 3
	// DownBase is the time for which a worker that could not be reached gets
	// nothing, doubled with each further try. Any number may be down: a request
	// sent there does not run.
	DownBase = 100 * time.Millisecond
	// DownMax is the longest of these times.
	DownMax = 2 * time.Second

	_othersDecay = 0.7
	// _cautious rounds the mean of what others use, mostly up.
	_cautious       = 0.8
	_errorDecay     = 0.9
	_errorPenalty   = 4.0
	_latencyDecay   = 0.9
	_rampStartShare = 0.25
)

// Worker is a backend server as the platform lists it.
type Worker struct {
	Name    string
	Address string
	Slots   int
	Leaving bool
}

// Result is how an exchange with a worker ended.
type Result string

const (
	// Answered means that a whole answer came.
	Answered Result = "answered"
	// Refused means that the worker had no room and did not run the request.
	Refused Result = "refused"
	// Errored means that the worker answered with a server error.
	Errored Result = "errored"
	// Unreachable means that no connection could be made.
	Unreachable Result = "unreachable"
	// Broken means that the connection broke or the answer was cut short.
	Broken Result = "broken"
	// Cancelled means that the caller left or its deadline passed first.
	Cancelled Result = "cancelled"
)

// Pool holds the workers of one service in one zone.
type Pool struct {
	// Service is the name of the service.
	Service string
	// Instances is the number of entry instances that share the workers. It
	// may change at any time; zero means one.
	Instances int

	workers map[string]*worker
	order   []*worker
	started time.Time
	refused time.Time
}

type worker struct {
	Worker
	since     time.Time
	inFlight  int
	others    float64
	reported  time.Time
	draining  bool
	fullUntil time.Time
	errors    float64
	streak    int
	ejections int
	ejected   time.Time
	// unreached counts failed connections in a row; it is down until downUntil.
	unreached int
	downUntil time.Time
	latency   time.Duration
	gone      bool
}

// Limits narrow a choice.
type Limits struct {
	// Exclude names workers already tried.
	Exclude []string
}

// UpdateWorkers takes the workers of the platform's list. Workers that are no longer
// listed get nothing new.
func (p *Pool) UpdateWorkers(now time.Time, workers []Worker) {
	if p.workers == nil {
		p.workers = make(map[string]*worker)
		p.started = now
	}
	listed := make(map[string]struct{}, len(workers))
	for _, w := range workers {
		listed[w.Name] = struct{}{}
		p.list(now, w)
	}
	for name, w := range p.workers {
		if _, ok := listed[name]; ok {
			continue
		}
		w.gone = true
		if w.inFlight == 0 {
			delete(p.workers, name)
		}
	}
	p.sort()
}

func (p *Pool) list(now time.Time, listed Worker) {
	w, ok := p.workers[listed.Name]
	if !ok || w.Address != listed.Address {
		since := now
		if now.Equal(p.started) {
			since = now.Add(-RampTime) // at its own start the pool finds warm workers
		}
		fresh := &worker{Worker: listed, since: since}
		if ok {
			fresh.inFlight = w.inFlight
		}
		p.workers[listed.Name] = fresh
		return
	}
	w.gone = false
	// A worker that said itself that it drains is not revived by the lagging list.
	w.Worker = listed
}

// RecordLoad takes a load report of a worker. The part of busy beyond the own
// requests is what other entry instances have in flight.
func (p *Pool) RecordLoad(now time.Time, name string, busy int, draining bool) {
	w, ok := p.workers[name]
	if !ok {
		return
	}
	seen := float64(min(max(busy-w.inFlight, 0), w.Slots))
	if now.Sub(w.reported) >= ReportTrust {
		w.others = seen
	} else {
		// Requests are much shorter than the time between reports: their mean
		// says more than the last one.
		w.others = _othersDecay*w.others + (1-_othersDecay)*seen
	}
	w.reported = now
	w.draining = draining
}

// MarkDraining records that a worker said it takes nothing new.
func (p *Pool) MarkDraining(name string) {
	if w, ok := p.workers[name]; ok {
		w.draining = true
	}
}

// Pick chooses a worker with room and counts a request in flight. It takes
// the better of two random workers with room.
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

// Done ends a request in flight.
func (p *Pool) Done(now time.Time, name string, result Result, latency time.Duration) {
	w, ok := p.workers[name]
	if !ok {
		return
	}
	w.inFlight = max(w.inFlight-1, 0)
	switch result {
	case Answered:
		w.errors *= _errorDecay
		w.streak, w.unreached = 0, 0
		w.latency = blend(w.latency, latency)
	case Refused:
		w.fullUntil = now.Add(FullFor)
		p.refused = now
	case Unreachable:
		w.downUntil = now.Add(retry.Backoff{Base: DownBase, Max: DownMax}.Limit(w.unreached))
		w.unreached++
	case Errored, Broken:
		w.errors = w.errors*_errorDecay + (1 - _errorDecay)
		w.streak++
		p.eject(now, w)
	case Cancelled:
	}
	if w.gone && w.inFlight == 0 {
		delete(p.workers, name)
		p.sort()
	}
}

// Load returns the slots of usable workers and the slots in flight from here.
func (p *Pool) Load(now time.Time) (slots, inFlight int) {
	for _, w := range p.order {
		inFlight += w.inFlight
		if w.up(now) {
			slots += w.rampedSlots(now)
		}
	}
	return slots, inFlight
}

// RecentlyRefused reports whether a worker refused a request within CrowdedFor: the
// pool has less room than its counts show.
func (p *Pool) RecentlyRefused(now time.Time) bool {
	return now.Sub(p.refused) < CrowdedFor
}

// Free returns the free slots of usable workers, as far as known.
func (p *Pool) Free(now time.Time) int {
	free := 0
	for _, w := range p.order {
		if w.usable(now) {
			free += max(w.free(now, p.Instances), 0)
		}
	}
	return free
}

// Names returns the names of the workers that are not gone, sorted.
func (p *Pool) Names() []string {
	names := make([]string, 0, len(p.order))
	for _, w := range p.order {
		if !w.gone {
			names = append(names, w.Name)
		}
	}
	return names
}

// Address returns the address of a worker.
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

// eject takes an outlier out for a while, unless too many are out already.
func (p *Pool) eject(now time.Time, w *worker) {
	if w.streak < EjectAfter || now.Before(w.ejected) {
		return
	}
	out := 0
	for _, other := range p.order {
		if now.Before(other.ejected) {
			out++
		}
	}
	if float64(out+1) > MaxEjectedShare*float64(len(p.order)) {
		return
	}
	limit := retry.Backoff{Base: EjectBase, Max: EjectMax}.Limit(w.ejections)
	w.ejected = now.Add(limit)
	w.ejections++
	w.streak = EjectAfter - 1 // the first failure after the return ejects again
}

// score orders workers with room: lower is better. Occupancy comes first;
// failures weigh more than any occupancy, so that a worker that fails fast
// does not look idle.
func (p *Pool) score(now time.Time, w *worker) float64 {
	slots := float64(max(w.rampedSlots(now), 1))
	return (w.busy(now)+1)/slots + w.errors*_errorPenalty
}

// up reports whether the worker takes work at all.
func (w *worker) up(now time.Time) bool {
	return !w.gone && !w.Leaving && !w.draining && !now.Before(w.ejected) && !now.Before(w.downUntil)
}

// usable reports whether the worker may be sent a request now.
func (w *worker) usable(now time.Time) bool {
	return w.up(now) && !now.Before(w.fullUntil)
}

// busy is what is in flight from here, and from others by the mean of reports
// that age.
func (w *worker) busy(now time.Time) float64 {
	return float64(w.inFlight) + w.othersNow(now)
}

func (w *worker) othersNow(now time.Time) float64 {
	age := now.Sub(w.reported)
	if age >= ReportTrust {
		return 0
	}
	return w.others * (1 - float64(age)/float64(ReportTrust))
}

// free is the room of the worker, less what others use on average, rounded
// mostly up. Without a report it is assumed that the other entry
// instances use their part of the slots.
func (w *worker) free(now time.Time, instances int) int {
	slots := w.rampedSlots(now)
	if now.Sub(w.reported) >= ReportTrust && instances > 1 {
		slots = (slots + instances - 1) / instances
	}
	return slots - w.inFlight - int(w.othersNow(now)+_cautious)
}

// rampedSlots grows from a quarter of the slots to all of them during RampTime.
func (w *worker) rampedSlots(now time.Time) int {
	age := now.Sub(w.since)
	if age >= RampTime {
		return w.Slots
	}
	share := _rampStartShare + (1-_rampStartShare)*float64(age)/float64(RampTime)
	return max(int(float64(w.Slots)*share), 1)
}

func blend(old, sample time.Duration) time.Duration {
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
