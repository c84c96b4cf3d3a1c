// Package worker holds what an instance believes of the workers of all
// services: which there are, which are leaving, gone, cold or suspected.
//
// News comes with the store's revision and is applied in that order, whatever
// the order in which it arrives. A worker that said it is leaving, or whose
// entry is gone, gets nothing new.
//
// # Usage
//
//	r := worker.NewRegistry()
//	r.Put(now, entry, revision)
//	r.Delete("i-7", revision)
//	for _, w := range r.Of("calendrier") {
//		if w.Usable(now) { ... }
//	}
package worker

import (
	"sort"
	"time"

	"github.com/wigeonlock/wigeonlock/store"
)

// _coldSlack is how much longer than known a worker must be cold for that to
// be news: what it says is as old as its way here.
const _coldSlack = 500 * time.Millisecond

const (
	// _maxRemoved is the number of removals above which old ones are forgotten,
	// and _longAgo how many revisions old they are then: some minutes of signs of
	// life of a thousand workers.
	_maxRemoved = 4096
	_longAgo    = 200_000
)

// Entry is what a worker says of itself.
type Entry struct {
	// ID names one start of a worker; a worker may start again under its ID.
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	Leaving bool
	// ColdLeft is how long the worker stays cold, from when it said so.
	ColdLeft time.Duration
	// Born is the Unix millisecond of its start by its own clock.
	Born int64
	// Heartbeat counts what the worker wrote since its start.
	Heartbeat int64
}

// Worker is a worker as this instance sees it.
type Worker struct {
	Entry
	// Revision is the one of the last news.
	Revision store.Revision
	// LastUpdate is when news of it last came.
	LastUpdate time.Time
	// ColdUntil is when the worker is warm.
	ColdUntil time.Time
	// ExpiresAt is when an entry that is missing counts as gone; zero if the
	// entry stands.
	ExpiresAt time.Time
	// Removed is set when the entry is gone for good.
	Removed bool
}

// Usable reports whether the worker may get new work.
func (w *Worker) Usable(now time.Time) bool {
	return !w.Removed && !w.Leaving && (w.ExpiresAt.IsZero() || now.Before(w.ExpiresAt))
}

// Cold reports whether the worker is cold.
func (w *Worker) Cold(now time.Time) bool {
	return now.Before(w.ColdUntil)
}

// Registry holds all workers. It is not safe for concurrent use.
type Registry struct {
	byID     map[string]*Worker
	services map[string][]*Worker
	// removed holds what was removed, so that older news does not bring it back.
	removed map[string]removal
	// Changed is called when the belief about a worker changes, if set.
	Changed func(w *Worker, what string)
}

// removal is the last that was known of a worker whose entry is gone.
type removal struct {
	revision store.Revision
	born     int64
	beat     int64
	leaving  bool
}

// outdated reports whether an entry was written before the removal, or by a
// start of the worker that had said it is leaving.
func (r removal) outdated(e Entry, revision store.Revision) bool {
	if revision <= r.revision {
		return true
	}
	return r.born != 0 && (e.Born < r.born || e.Born == r.born && (r.leaving || e.Heartbeat <= r.beat))
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		byID: make(map[string]*Worker), services: make(map[string][]*Worker), removed: make(map[string]removal),
	}
}

// ByService returns the workers of a service, ordered by ID.
func (r *Registry) ByService(service string) []*Worker {
	return r.services[service]
}

// Count returns the number of workers known.
func (r *Registry) Count() int {
	return len(r.byID)
}

// Each calls f with each worker known.
func (r *Registry) Each(f func(w *Worker)) {
	for _, w := range r.byID {
		f(w)
	}
}

// Get returns a worker, or nil.
func (r *Registry) Get(id string) *Worker {
	return r.byID[id]
}

// Put applies an entry as it was written at a revision. It reports whether it
// tells more than that the worker lives.
func (r *Registry) Put(now time.Time, e Entry, revision store.Revision) bool {
	if r.removed[e.ID].outdated(e, revision) {
		return false
	}
	w := r.byID[e.ID]
	if w != nil && revision <= w.Revision {
		if revision == w.Revision {
			w.ExpiresAt = time.Time{}
		}
		return false
	}
	if w != nil && w.Born != 0 && (e.Born < w.Born || e.Born == w.Born && e.Heartbeat < w.Heartbeat) {
		return false
	}
	if w == nil || w.Born != e.Born || w.Address != e.Address || w.Service != e.Service {
		r.start(now, w, e, revision)
		return true
	}
	return r.update(now, w, e, revision)
}

// start replaces what is known by a new start of a worker.
func (r *Registry) start(now time.Time, old *Worker, e Entry, revision store.Revision) {
	if old != nil {
		r.drop(old)
	}
	w := &Worker{Entry: e, Revision: revision, LastUpdate: now, ColdUntil: now.Add(e.ColdLeft)}
	r.byID[e.ID] = w
	known := r.services[e.Service]
	list := make([]*Worker, 0, len(known)+1)
	list = append(append(list, known...), w)
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	r.services[e.Service] = list
	r.tell(w, "started")
}

// update applies what a known start of a worker says.
func (r *Registry) update(now time.Time, w *Worker, e Entry, revision store.Revision) bool {
	wasLeaving, coldUntil := w.Leaving, w.ColdUntil
	news := e.Leaving != w.Leaving || e.Slots != w.Slots || e.Zone != w.Zone || !w.ExpiresAt.IsZero() ||
		now.Add(e.ColdLeft).Sub(coldUntil) > _coldSlack && e.ColdLeft > 0
	w.Entry, w.Revision, w.LastUpdate, w.ExpiresAt = e, revision, now, time.Time{}
	w.ColdUntil = now.Add(e.ColdLeft)
	switch {
	case e.Leaving && !wasLeaving:
		r.tell(w, "leaving")
	case !e.Leaving && wasLeaving:
		r.tell(w, "back")
	}
	return news
}

// Delete applies the removal of an entry at a revision.
func (r *Registry) Delete(id string, revision store.Revision) {
	if revision <= r.removed[id].revision {
		return
	}
	w := r.byID[id]
	if w == nil {
		last := r.removed[id]
		last.revision = revision
		r.removed[id] = last
		return
	}
	if revision <= w.Revision {
		return
	}
	r.forget(revision)
	r.removed[id] = removal{revision: revision, born: w.Born, beat: w.Heartbeat, leaving: w.Leaving}
	r.drop(w)
	r.tell(w, "gone")
}

// forget drops removals from long ago when there are many: their workers do not
// come back.
func (r *Registry) forget(now store.Revision) {
	if len(r.removed) < _maxRemoved {
		return
	}
	for id, last := range r.removed {
		if last.revision+_longAgo < now {
			delete(r.removed, id)
		}
	}
}

// MarkMissing applies that an entry went with an outage of the store. The worker
// counts as gone unless the entry returns until lapse.
func (r *Registry) MarkMissing(id string, revision store.Revision, lapse time.Time) {
	w := r.byID[id]
	if w == nil || revision < w.Revision {
		return
	}
	if lapse.IsZero() || w.Leaving {
		r.Delete(id, revision)
		return
	}
	if w.ExpiresAt.IsZero() {
		w.ExpiresAt = lapse
		r.tell(w, "missing")
	}
}

// MarkCold treats the workers of a zone as cold for a time, or until they say
// otherwise.
func (r *Registry) MarkCold(now time.Time, zone string, coldTime func(service string) time.Duration) {
	for _, w := range r.byID {
		if w.Zone == zone {
			w.ColdUntil = later(w.ColdUntil, now.Add(coldTime(w.Service)))
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Sweep forgets workers whose entries did not return.
func (r *Registry) Sweep(now time.Time) {
	for _, w := range r.byID {
		if !w.ExpiresAt.IsZero() && !now.Before(w.ExpiresAt) {
			r.Delete(w.ID, w.Revision+1)
		}
	}
}

func (r *Registry) drop(w *Worker) {
	w.Removed = true
	delete(r.byID, w.ID)
	list := r.services[w.Service]
	kept := make([]*Worker, 0, len(list))
	for _, other := range list {
		if other != w {
			kept = append(kept, other)
		}
	}
	r.services[w.Service] = kept
}

func (r *Registry) tell(w *Worker, what string) {
	if r.Changed != nil {
		r.Changed(w, what)
	}
}
