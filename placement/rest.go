package placement

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonlock/wigeonlock/worker"
)

const (
	// ResumeTime is the time after the pause of a worker in which its objects return to it
	// one after the other: all at once would fill it again.
	ResumeTime = 500 * time.Millisecond
	// _restSpread is the longest time by which an instance extends a pause, at random, so
	// that not all instances return at once.
	_restSpread = 200 * time.Millisecond
)

// rest is a pause that a worker asked this instance for.
type rest struct {
	until time.Time
	// born is the start of the incarnation that asked. The next one has not asked.
	born int64
}

func (r rest) isOf(w *worker.Worker) bool {
	return r.born == w.Born
}

// excludes reports whether a request for an object must not be sent to the worker: in the
// pause, and for a decreasing share of the objects in the time after it.
func (r rest) excludes(now time.Time, w *worker.Worker, object uint64) bool {
	if r.until.IsZero() || !r.isOf(w) {
		return false
	}
	since := now.Sub(r.until)
	return since < 0 || since < ResumeTime && unit(mix(^object^xxhash.Sum64String(w.ID))) >= since.Seconds()/ResumeTime.Seconds()
}

// startRest begins a pause or extends it. A pause that ends later than a new one stays.
func (p *Placer) startRest(now time.Time, s *state, w *worker.Worker, pause time.Duration) {
	until := now.Add(pause)
	if s.rest.isOf(w) && !until.After(s.rest.until) {
		return
	}
	if !s.rest.isOf(w) || !now.Before(s.rest.until) {
		until = until.Add(rand.N(_restSpread))
		p.notify(Condition{Kind: Rests, Worker: w.ID, Service: w.Service, Outcome: Shed, AvoidFor: until.Sub(now)})
	}
	s.rest = rest{until: until, born: w.Born}
}

// Resting reports whether a worker is in a pause that it asked for.
func (p *Placer) Resting(now time.Time, w *worker.Worker) bool {
	s := p.known[w.ID]
	return s != nil && s.rest.isOf(w) && now.Before(s.rest.until)
}

// firstRestEnd returns when the first of the ranked workers that rest takes requests again,
// or zero if none of them rests.
func (p *Placer) firstRestEnd(now time.Time) time.Time {
	var first time.Time
	for _, candidate := range p.ranking {
		s := candidate.s
		if s.rest.until.IsZero() || !s.rest.isOf(candidate.w) || now.Sub(s.rest.until) >= ResumeTime {
			continue
		}
		if first.IsZero() || s.rest.until.Before(first) {
			first = s.rest.until
		}
	}
	return first
}
