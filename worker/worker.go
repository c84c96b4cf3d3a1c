// Package worker holds the known state of the workers of all services: which
// workers exist and which are leaving, removed, cold or suspected.
//
// Updates carry the store's revision and are applied in revision order,
// regardless of the order in which they arrive. Updates of different eras of the store are
// ordered by what the worker says of itself: its start and its count of entries. A worker that reported that it is
// leaving, or whose entry was removed, gets no new requests.
//
// # Usage
//
//	r := worker.NewRegistry()
//	r.Put(now, entry, revision)
//	r.Delete("i-7", revision)
//	for _, w := range r.ByService("calendrier") {
//		if w.Usable(now) { ... }
//	}
package worker

import (
	"sort"
	"time"

	"github.com/wigeonlock/wigeonlock/store"
)

// _coldTolerance is how much longer than known a worker must be cold for Put to
// report a change, since entries arrive with a delay.
const _coldTolerance = 500 * time.Millisecond

const (
	// _maxRemoved is the number of removals above which those that are more than
	// _removalMaxAge revisions old are deleted. That many revisions are some minutes of
	// heartbeats of a thousand workers.
	_maxRemoved    = 4096
	_removalMaxAge = 200_000
)

// Entry is what a worker registers about itself.
type Entry struct {
	// ID identifies a worker; a worker may restart under the same ID.
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	Leaving bool
	// ColdLeft is how long the worker stays cold, from when it wrote the entry.
	ColdLeft time.Duration
	// Born is the time of the worker's start in Unix milliseconds, by its own clock.
	Born int64
	// Heartbeat counts the entries that the worker has written since its start.
	Heartbeat int64
}

// Worker is the state of a worker as known to this instance.
type Worker struct {
	Entry
	// Revision is the revision of the last update.
	Revision store.Revision
	// LastUpdate is when the last update arrived.
	LastUpdate time.Time
	// ColdUntil is when the worker stops being cold.
	ColdUntil time.Time
	// ExpiresAt is when a tentative deletion becomes final; zero if the entry
	// exists.
	ExpiresAt time.Time
	// Removed is set once the entry is finally removed.
	Removed bool
	// SaidLeavingAt is when this incarnation said in an answer that it leaves, whatever its
	// entry says, or zero.
	SaidLeavingAt time.Time
}

// Leaving names an incarnation of a worker that said in an answer that it leaves.
type Leaving struct {
	Worker string `json:"worker"`
	// Born is the start of the incarnation in Unix milliseconds.
	Born int64 `json:"born"`
	// AgeMs is how long ago it said so.
	AgeMs int64 `json:"ageMs"`
}

// Usable reports whether the worker may get new requests.
func (w *Worker) Usable(now time.Time) bool {
	return !w.Removed && !w.Leaving && w.SaidLeavingAt.IsZero() && (w.ExpiresAt.IsZero() || now.Before(w.ExpiresAt))
}

// precedes reports whether an entry of another era of the store is newer than the known
// one, although its revision may be lower.
func (w *Worker) precedes(e Entry, revision store.Revision) bool {
	return revision.Era() != w.Revision.Era() && (e.Born > w.Born || e.Born == w.Born && e.Heartbeat > w.Heartbeat)
}

// Cold reports whether the worker is cold.
func (w *Worker) Cold(now time.Time) bool {
	return now.Before(w.ColdUntil)
}

// Registry holds all known workers. It is not safe for concurrent use.
type Registry struct {
	byID     map[string]*Worker
	services map[string][]*Worker
	// removed holds the removals, so that older updates do not restore a worker.
	removed map[string]removal
	// Changed, if set, is called when the state of a worker changes.
	Changed func(w *Worker, change string)
}

// removal is the last known state of a worker whose entry was removed.
type removal struct {
	revision  store.Revision
	born      int64
	heartbeat int64
	leaving   bool
}

// outdated reports whether an entry was written before the removal, or by an
// incarnation of the worker that had reported that it is leaving.
func (r removal) outdated(e Entry, revision store.Revision) bool {
	if revision <= r.revision && (revision.Era() == r.revision.Era() || r.born == 0) {
		return true
	}
	return r.born != 0 && (e.Born < r.born || e.Born == r.born && (r.leaving || e.Heartbeat <= r.heartbeat))
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

// Count returns the number of known workers.
func (r *Registry) Count() int {
	return len(r.byID)
}

// Each calls f with each known worker.
func (r *Registry) Each(f func(w *Worker)) {
	for _, w := range r.byID {
		f(w)
	}
}

// Get returns the worker with the given ID, or nil.
func (r *Registry) Get(id string) *Worker {
	return r.byID[id]
}

// Put applies an entry that was written at a revision. It reports whether the
// entry is more than a heartbeat.
func (r *Registry) Put(now time.Time, e Entry, revision store.Revision) bool {
	if r.removed[e.ID].outdated(e, revision) {
		return false
	}
	w := r.byID[e.ID]
	if w != nil && revision <= w.Revision && !w.precedes(e, revision) {
		if revision == w.Revision {
			w.ExpiresAt = time.Time{}
		}
		return false
	}
	if w != nil && w.Born != 0 && (e.Born < w.Born || e.Born == w.Born && e.Heartbeat < w.Heartbeat) {
		if e.Born == w.Born && e.Leaving && !w.Leaving {
			// A worker never takes it back, so it holds whatever was counted.
			return r.update(now, w, e, revision)
		}
		return false
	}
	if w == nil || !w.isIncarnationOf(e) || w.Address != e.Address || w.Service != e.Service {
		r.start(now, w, e, revision)
		return true
	}
	return r.update(now, w, e, revision)
}

// isIncarnationOf reports whether an entry is of the known incarnation of its worker. Without
// the time of its start, a count of entries that begins anew tells the next one.
func (w *Worker) isIncarnationOf(e Entry) bool {
	return w.Born == e.Born && (e.Born != 0 || e.Heartbeat >= w.Heartbeat)
}

// start replaces the state of a worker by that of a new incarnation, or of the same one at
// another address.
func (r *Registry) start(now time.Time, old *Worker, e Entry, revision store.Revision) {
	w := &Worker{Entry: e, Revision: revision, LastUpdate: now, ColdUntil: now.Add(e.ColdLeft)}
	if old != nil {
		if old.isIncarnationOf(e) {
			w.SaidLeavingAt = old.SaidLeavingAt
		}
		r.remove(old)
	}
	r.byID[e.ID] = w
	known := r.services[e.Service]
	list := make([]*Worker, 0, len(known)+1)
	list = append(append(list, known...), w)
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	r.services[e.Service] = list
	r.notify(w, "started")
}

// update applies an entry of the known incarnation of a worker.
func (r *Registry) update(now time.Time, w *Worker, e Entry, revision store.Revision) bool {
	wasLeaving, coldUntil := w.Leaving, w.ColdUntil
	// An instance that starts from the snapshot of a neighbour would take a worker for cold
	// whose cold time is over, if the neighbour were not told of the end.
	warmedUp := e.ColdLeft == 0 && w.ColdLeft > 0
	changed := e.Leaving != w.Leaving || e.Slots != w.Slots || e.Zone != w.Zone || !w.ExpiresAt.IsZero() || warmedUp ||
		now.Add(e.ColdLeft).Sub(coldUntil) > _coldTolerance && e.ColdLeft > 0
	w.Entry, w.Revision, w.LastUpdate, w.ExpiresAt = e, revision, now, time.Time{}
	w.ColdUntil = now.Add(e.ColdLeft)
	switch {
	case e.Leaving && !wasLeaving:
		r.notify(w, "leaving")
	case !e.Leaving && wasLeaving:
		r.notify(w, "back")
	}
	return changed
}

// Delete applies the removal of an entry at a revision. A removal of an earlier era of the
// store than that of the entry is given only if it is newer.
func (r *Registry) Delete(id string, revision store.Revision) {
	if isBefore(revision, r.removed[id].revision) {
		return
	}
	w := r.byID[id]
	if w == nil {
		last := r.removed[id]
		last.revision = revision
		r.removed[id] = last
		return
	}
	if isBefore(revision, w.Revision) {
		return
	}
	r.forget(revision)
	r.removed[id] = removal{revision: revision, born: w.Born, heartbeat: w.Heartbeat, leaving: w.Leaving || !w.SaidLeavingAt.IsZero()}
	r.remove(w)
	r.notify(w, "gone")
}

// SaysLeaving records that an incarnation of a worker said in an answer that it leaves. Only
// the next incarnation gets requests again, also if the entry is removed and comes back. It
// reports whether that is new.
func (r *Registry) SaysLeaving(at time.Time, id string, born int64) bool {
	w := r.byID[id]
	switch {
	case w != nil && w.Born == born:
		if !w.SaidLeavingAt.IsZero() {
			return false
		}
		w.SaidLeavingAt = at
		if !w.Leaving {
			r.notify(w, "leaving")
		}
		return true
	case born == 0 || w != nil && w.Born > born:
		return false
	}
	last := r.removed[id]
	if last.born > born || last.born == born && last.leaving {
		return false
	}
	r.removed[id] = removal{revision: last.revision, born: born, leaving: true}
	if w != nil {
		// An incarnation has ended before the next one can say that it leaves.
		r.remove(w)
		r.notify(w, "gone")
	}
	return true
}

// SaidLeaving returns the incarnations that said in an answer that they leave, at most limit.
func (r *Registry) SaidLeaving(now time.Time, limit int) []Leaving {
	var list []Leaving
	for _, w := range r.byID {
		if len(list) < limit && w.Born != 0 && !w.SaidLeavingAt.IsZero() {
			list = append(list, Leaving{Worker: w.ID, Born: w.Born, AgeMs: max(now.Sub(w.SaidLeavingAt), 0).Milliseconds()})
		}
	}
	return list
}

// isBefore reports whether a revision is not after another one of its era.
func isBefore(revision, known store.Revision) bool {
	return revision.Era() == known.Era() && revision <= known
}

// forget deletes old removals when there are many. Workers removed that long ago do
// not return.
func (r *Registry) forget(now store.Revision) {
	if len(r.removed) < _maxRemoved {
		return
	}
	for id, last := range r.removed {
		if last.revision+_removalMaxAge < now {
			delete(r.removed, id)
		}
	}
}

// MarkMissing tentatively deletes a worker whose entry vanished in an outage of
// the store: the worker is removed unless the entry reappears before expiry. A
// leaving worker is removed at once, and so is any worker if expiry is zero.
func (r *Registry) MarkMissing(id string, revision store.Revision, expiry time.Time) {
	w := r.byID[id]
	if w == nil || revision < w.Revision && revision.Era() == w.Revision.Era() {
		return
	}
	if expiry.IsZero() || w.Leaving {
		r.Delete(id, revision)
		return
	}
	if w.ExpiresAt.IsZero() {
		w.ExpiresAt = expiry
		r.notify(w, "missing")
	}
}

// MarkCold treats the workers of a zone as cold for coldTime, or until their next
// entry.
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

// Sweep removes workers whose tentative deletion expired.
func (r *Registry) Sweep(now time.Time) {
	for _, w := range r.byID {
		if !w.ExpiresAt.IsZero() && !now.Before(w.ExpiresAt) {
			r.Delete(w.ID, w.Revision+1)
		}
	}
}

func (r *Registry) remove(w *Worker) {
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

func (r *Registry) notify(w *Worker, change string) {
	if r.Changed != nil {
		r.Changed(w, change)
	}
}
