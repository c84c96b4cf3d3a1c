package placement

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/wigeonlock/wigeonlock/seat"
	"github.com/wigeonlock/wigeonlock/worker"
)

// change is why an object's requests go to another worker than before.
type change string

const (
	_changeOverload change = "fullOrUnhealthy"
	_changeHomeward change = "homeward"
	_changeLeft     change = "placeLeft"
	_changePermit   change = "noPermit"
	_changeBack     change = "placeBack"
	_changeTold     change = "neighbour"
)

// homeward returns the worker of the same region where the object's rank is highest, if the
// object may move there from its place, at an index of the ranking. Workers that join would
// otherwise get no object that has a place, and their share would stay below their size. The
// object stays where it is if load moved it there: its rank says nothing of load.
func (p *Placer) homeward(now time.Time, r Request, object uint64, at int) Choice {
	places := p.placesOf(r.Service)
	last, ok := places.last[object]
	if !r.Sticky || !ok || last.displaced || p.ranking[at].w.ID != last.id {
		return Choice{}
	}
	region := p.RegionOf(p.ranking[at].w.Zone)
	home := slices.IndexFunc(p.ranking, func(candidate ranked) bool {
		return candidate.local == p.ranking[at].local && p.RegionOf(candidate.w.Zone) == region
	})
	if home < 0 || home == at {
		return Choice{}
	}
	c := p.choice(now, object, home)
	s := p.state(c.Worker.ID)
	if p.mayBeCold(now, c.Worker) || c.Load >= _moveLoad || p.full(now, r, c) ||
		p.cost(now, r.Service, s) >= _unhealthyCost || r.share(c.Worker) < 1 {
		return Choice{}
	}
	if !c.Warm {
		if !places.home.allows(now, p.moveRate(r)) {
			return Choice{}
		}
		c.charged = append(c.charged, &places.home)
	}
	c.Moves, c.Homeward = true, true
	return c
}

// lost reports whether the place of an object takes no requests any more.
func (p *Placer) lost(now time.Time, r Request, object uint64, workers []*worker.Worker) bool {
	id := p.placesOf(r.Service).of(now, object)
	if id == "" {
		return false
	}
	i, found := slices.BinarySearchFunc(workers, id, func(w *worker.Worker, id string) int { return strings.Compare(w.ID, id) })
	return !found || !workers[i].Usable(now) || r.Closed(workers[i].Zone)
}

// substitute returns the new place of an object whose place takes no requests any more. A
// worker that has just started is left out: until it is warm it takes few requests, and the
// object would change its worker with each of them. It gets the object later, by homeward.
func (p *Placer) substitute(now time.Time, r Request, object uint64) Choice {
	for i, candidate := range p.ranking[:min(len(p.ranking), _maxPlaces)] {
		c := p.choice(now, object, i)
		s := p.state(candidate.w.ID)
		if p.mayBeCold(now, candidate.w) || p.full(now, r, c) || p.cost(now, r.Service, s) >= _unhealthyCost || r.share(candidate.w) < 1 {
			continue
		}
		c.Moves, c.Homeward = true, true
		return c
	}
	return Choice{}
}

// countChange counts an object whose requests go to another worker than the last one did.
func (p *Placer) countChange(service string, object uint64, c Choice) {
	last, ok := p.placesOf(service).last[object]
	if !ok || last.sent == "" || last.sent == c.Worker.ID {
		return
	}
	cause := _changeTold
	switch {
	case p.placeLost:
		cause = _changeLeft
	case c.Homeward:
		cause = _changeHomeward
	case c.Moves:
		cause = _changeOverload
	case last.id == c.Worker.ID && last.sent != last.id:
		cause = _changeBack
	case p.indexOf(last.id) >= 0:
		cause = _changePermit
	}
	metrics.GetOrCreateCounter(`wigeonlock_object_changes_total{cause="` + string(cause) + `"}`).Inc()
}

// WorkerStarted records a worker that takes requests from now on. A cold one may take the
// objects of a worker that it replaces.
func (p *Placer) WorkerStarted(now time.Time, w *worker.Worker) {
	p.seats.Started(now, w.ID, seatGroup(w), w.Cold(now))
}

// WorkerLeft records a worker that gets no requests any more.
func (p *Placer) WorkerLeft(now time.Time, w *worker.Worker) {
	p.seats.Left(now, w.ID, seatGroup(w))
}

// OnSuccession sets what is called when a worker takes the place of another one. It must not
// block.
func (p *Placer) OnSuccession(f func(s seat.Succession)) {
	p.seats.Taken = f
}

// Successions returns the workers that took the place of another one, at most limit.
func (p *Placer) Successions(limit int) []seat.Succession {
	return p.seats.Successions(limit)
}

// AdoptSuccession applies what another instance decided.
func (p *Placer) AdoptSuccession(now time.Time, s seat.Succession) {
	p.seats.Adopt(now, s)
}

// seatGroup names the workers that may replace each other without a change of anyone's share.
func seatGroup(w *worker.Worker) string {
	return w.Service + "/" + w.Zone + "/" + strconv.Itoa(w.Slots)
}
