package quota

import (
	"time"
)

const (
	// ReturnAfter is the time for which a part of a share must be unused
	// before it is given back.
	ReturnAfter = 500 * time.Millisecond
	// RaiseStep is the smallest raise in slots; a larger share is raised by half.
	RaiseStep = 2
	// ReadInterval is the time between reads of a record that blocks admission.
	ReadInterval = 250 * time.Millisecond
	// RefreshInterval is the time between reads of a record whose cap is used up.
	RefreshInterval = time.Second
	// ProbeInterval is the time between looks for sessions that lapsed.
	ProbeInterval = 5 * time.Second
)

// Reason tells why a request was admitted or refused.
type Reason string

const (
	// Admitted means that the request occupies a slot of the share.
	Admitted Reason = "admitted"
	// Unconfirmed means that the lists may have changed unseen.
	Unconfirmed Reason = "listsUnconfirmed"
	// NoSession means that the holder's lease lapsed or is not yet granted.
	NoSession Reason = "noQuotaSession"
	// Adjusting means that the record does not yet follow the lists.
	Adjusting Reason = "quotaAdjusting"
	// NoShare means that the share is used up.
	NoShare Reason = "noShiftShare"
)

// StepKind is what a holder needs from the store.
type StepKind string

const (
	// Idle means that nothing is to be done.
	Idle StepKind = "idle"
	// Read means that the record is to be read.
	Read StepKind = "read"
	// Swap means that the record is to be swapped.
	Swap StepKind = "swap"
	// Probe means that the sessions in Sessions are to be looked up, and the
	// ones that are gone reported by Gone.
	Probe StepKind = "probe"
)

// Step is what a holder needs from the store next.
type Step struct {
	Kind StepKind
	// Record is the record to write.
	Record Record
	// Expected is the store version that the swap expects.
	Expected uint64
	// Sessions are the shares whose sessions are in question.
	Sessions []Share
}

// Holder admits requests within its share of one resource.
type Holder struct {
	// Name is the entry instance.
	Name string
	// Session identifies one start of the instance.
	Session *Session
	// ReclaimDelay is the time from when a session is seen gone until its share is
	// free: the longest request and a margin for clocks.
	ReclaimDelay time.Duration
	// Base is the share that an idle holder keeps.
	Base int

	version  uint64
	limit    int
	record   Record
	stored   uint64
	known    bool
	refresh  bool
	pending  bool
	proposed Record
	fence    fence
	readAt   time.Time
	probedAt time.Time
	inUse    int
	window   window
	wanted   int
	departed bool
	gone     map[string]time.Time
}

// fence bounds the share while a swap that lowers it may still be applied:
// until the store is past the version that the swap expects.
type fence struct {
	active   bool
	slots    int
	expected uint64
}

// window keeps the largest use of the current and the previous GiveBackAfter.
type window struct {
	since    time.Time
	current  int
	previous int
}

func (w *window) note(now time.Time, used int) {
	if now.Sub(w.since) >= ReturnAfter {
		w.previous, w.current = w.current, used
		w.since = now
	}
	w.current = max(w.current, used)
}

func (w *window) peak() int {
	return max(w.current, w.previous)
}

// Configure takes the cap of an accepted version of the lists.
func (h *Holder) Configure(version uint64, limit int) {
	if version <= h.version {
		return
	}
	h.version = version
	h.limit = limit
	h.known = false // read the record before anything is admitted under the new version
}

// Restart begins a new session after the old one lapsed. Its share is left to
// be reclaimed; requests that still run count against the new one.
func (h *Holder) Restart(session *Session) {
	h.Session = session
	h.known = false
	h.fence.active = false
}

// Admit takes a slot of the share. confirmed tells that the lists are known
// to be the newest as of a moment ago.
func (h *Holder) Admit(now time.Time, confirmed bool) Reason {
	reason := h.admit(now, confirmed)
	switch reason {
	case Admitted:
		h.inUse++
		h.window.note(now, h.inUse)
	case NoShare:
		h.wanted = max(h.wanted, h.inUse+1)
	}
	return reason
}

// Release ends an admitted request.
func (h *Holder) Release() {
	h.inUse--
}

// InUse returns the slots that admitted requests occupy.
func (h *Holder) InUse() int {
	return h.inUse
}

// Available returns how many more requests would be admitted now.
func (h *Holder) Available(now time.Time, confirmed bool) int {
	switch h.admit(now, confirmed) {
	case Admitted:
		return h.usable() - h.inUse
	default:
		return 0
	}
}

// Limit returns the cap of all holders together.
func (h *Holder) Limit() int {
	return h.limit
}

// Share returns the confirmed share in slots.
func (h *Holder) Share() int {
	return h.share().Slots
}

// Leave makes the holder give everything back as its requests end.
func (h *Holder) Leave() {
	h.departed = true
}

func (h *Holder) admit(now time.Time, confirmed bool) Reason {
	switch {
	case !confirmed:
		return Unconfirmed
	case !h.Session.Valid(now):
		return NoSession
	case !h.known || h.record.Version != h.version || h.record.Occupied() > h.record.Cap:
		return Adjusting
	case h.inUse >= h.usable() || h.departed:
		return NoShare
	default:
		return Admitted
	}
}

func (h *Holder) share() Share {
	return h.record.ShareOf(h.Name, h.Session.ID)
}

// usable is the share that may be relied on: while a swap that lowers it may
// be applied, the lower one.
func (h *Holder) usable() int {
	slots := h.share().Slots
	if h.fence.active {
		slots = min(slots, h.fence.slots)
	}
	return slots
}

// Next returns what the holder needs from the store. Each step is answered by
// ReadDone or SwapDone before the next one is asked for.
func (h *Holder) Next(now time.Time) Step {
	if h.pending || !h.Session.Valid(now) || h.version == 0 {
		return Step{Kind: Idle}
	}
	if !h.known || h.refresh {
		return h.read(now)
	}
	if h.record.Version > h.version {
		return h.wait(now) // this instance will see the newer lists soon
	}
	next, changed := h.propose(now)
	if changed {
		return h.swap(next)
	}
	if h.record.Occupied() > h.record.Cap || h.wanted > 0 {
		return h.unblock(now)
	}
	return Step{Kind: Idle}
}

func (h *Holder) swap(next Record) Step {
	h.pending = true
	h.proposed = next
	slots := next.ShareOf(h.Name, h.Session.ID).Slots
	if h.fence.active {
		slots = min(slots, h.fence.slots)
	}
	h.fence = fence{active: true, slots: slots, expected: h.stored}
	return Step{Kind: Swap, Record: next, Expected: h.stored}
}

// propose returns the record as the holder would have it.
func (h *Holder) propose(now time.Time) (Record, bool) {
	next, changed := h.record, false
	if next.Version < h.version {
		next, changed = next.Rescaled(h.version, h.limit), true
	}
	if reclaimed, ok := h.reclaim(now, next); ok {
		next, changed = reclaimed, true
	}
	share := next.ShareOf(h.Name, h.Session.ID)
	before := share
	share.Draining = min(share.Draining, max(h.inUse-share.Slots, 0))
	share.Slots = h.target(now, next.WithShare(share), share.Slots)
	if share != before {
		next, changed = next.WithShare(share), true
	}
	return next, changed
}

// target is the share that the holder would have in a record.
func (h *Holder) target(now time.Time, r Record, current int) int {
	if h.departed {
		return min(current, h.inUse)
	}
	need := max(h.Base, h.wanted)
	if need > current {
		room := max(r.Cap-r.Occupied(), 0)
		raised := current + min(max(need-current, RaiseStep, current/2), room)
		h.window.note(now, raised) // a raise counts as used, or it would be given back at once
		return raised
	}
	h.window.note(now, h.inUse)
	return min(current, max(h.window.peak(), h.Base))
}

// reclaim drops the shares of sessions that were seen gone for Settle.
func (h *Holder) reclaim(now time.Time, r Record) (Record, bool) {
	changed := false
	for _, s := range r.Shares {
		since, gone := h.gone[s.Session]
		if gone && now.Sub(since) >= h.ReclaimDelay {
			r = r.WithShare(Share{Holder: s.Holder, Session: s.Session})
			changed = true
		}
	}
	return r, changed
}

// unblock looks for shares to reclaim when the cap is used up, and otherwise
// waits for the other holders.
func (h *Holder) unblock(now time.Time) Step {
	interval := RefreshInterval
	if h.record.Occupied() > h.record.Cap {
		interval = ReadInterval
	}
	if now.Sub(h.readAt) < interval {
		return Step{Kind: Idle}
	}
	h.wanted = 0
	if now.Sub(h.probedAt) < ProbeInterval {
		return h.read(now)
	}
	h.probedAt = now
	var others []Share
	for _, s := range h.record.Shares {
		if s.Session != h.Session.ID {
			others = append(others, s)
		}
	}
	h.refresh = true
	h.readAt = now
	return Step{Kind: Probe, Sessions: others}
}

func (h *Holder) wait(now time.Time) Step {
	if now.Sub(h.readAt) < ReadInterval {
		return Step{Kind: Idle}
	}
	return h.read(now)
}

func (h *Holder) read(now time.Time) Step {
	h.pending = true
	h.readAt = now
	return Step{Kind: Read}
}

// MarkExpired records that a session of another holder has no lease.
func (h *Holder) MarkExpired(now time.Time, session string) {
	if h.gone == nil {
		h.gone = make(map[string]time.Time)
	}
	if _, known := h.gone[session]; !known {
		h.gone[session] = now
	}
}

// ReadDone takes the record as read, at the given store version. A record
// that is absent is empty at version zero. When the read failed, ok is false.
func (h *Holder) ReadDone(r Record, stored uint64, ok bool) {
	h.pending = false
	if !ok || stored < h.stored {
		return
	}
	h.confirm(r, stored)
}

// SwapDone takes the result of the swap of the last step, with the store
// version that it gave. When it was not applied or its reply was lost, ok is
// false and the record is read next. Until then the former share holds, within
// the fence: nobody else changes a share but under other lists, which this
// holder learns of by itself, or after its session.
func (h *Holder) SwapDone(stored uint64, ok bool) {
	h.pending = false
	if !ok {
		h.refresh = true
		return
	}
	h.confirm(h.proposed, stored)
	if h.share().Slots >= h.wanted {
		h.wanted = 0
	}
}

func (h *Holder) confirm(r Record, stored uint64) {
	h.record = r
	h.stored = stored
	h.known = true
	h.refresh = false
	if stored > h.fence.expected {
		h.fence.active = false
	}
}
