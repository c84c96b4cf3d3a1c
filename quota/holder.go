package quota

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/wigeonlock/wigeonlock/store"
)

var _unsettled = metrics.NewCounter("wigeonlock_quota_raises_after_restore_refused_total")

const (
	// ReturnAfter is the time for which slots of a share must be unused before
	// they are returned.
	ReturnAfter = 500 * time.Millisecond
	// RaiseStep is the smallest raise of a share in slots. A larger share is
	// raised by half.
	RaiseStep = 2
	// ReadInterval is the time between reads of a record that blocks admission
	// or is newer than the configured lists.
	ReadInterval = 250 * time.Millisecond
	// RefreshInterval is the time between reads of a record with unmet demand.
	RefreshInterval = time.Second
	// ProbeInterval is the time between checks for expired sessions.
	ProbeInterval = 5 * time.Second
)

// Reason is the reason for which a request was admitted or refused.
type Reason string

const (
	// Admitted means that the request occupies a slot of the share.
	Admitted Reason = "admitted"
	// Unconfirmed means that the lists are not confirmed to be the newest.
	Unconfirmed Reason = "listsUnconfirmed"
	// NoSession means that the holder's lease expired or is not yet granted.
	NoSession Reason = "noQuotaSession"
	// Adjusting means that the record is not yet adjusted to the cap of the lists.
	Adjusting Reason = "quotaAdjusting"
	// NoShare means that all slots of the share are in use.
	NoShare Reason = "noShiftShare"
)

// StepKind is the store operation that a holder needs.
type StepKind string

const (
	// Idle means that no operation is needed.
	Idle StepKind = "idle"
	// Read means that the record must be read and passed to ReadDone.
	Read StepKind = "read"
	// Swap means that Record must be written by compare-and-swap and the result
	// passed to SwapDone.
	Swap StepKind = "swap"
	// Probe means that the sessions in Sessions must be looked up, and those
	// without a lease passed to MarkExpired.
	Probe StepKind = "probe"
)

// Step is the next store operation of a holder.
type Step struct {
	Kind StepKind
	// Record is the record to write.
	Record Record
	// Expected is the store version that the swap expects.
	Expected uint64
	// Sessions are the shares whose sessions must be probed.
	Sessions []Share
}

// Holder admits requests within its share of one cap.
type Holder struct {
	// Name is the name of the entry instance.
	Name string
	// Session is the session of the current start of the instance.
	Session *Session
	// ReclaimDelay is the time from when another session is found expired until
	// its share is reclaimed: the longest request plus a margin for clocks.
	ReclaimDelay time.Duration
	// Base is the number of slots that the holder keeps when idle.
	Base int

	version      uint64
	limit        int
	record       Record
	storeVersion uint64
	recordKnown  bool
	readNext     bool
	pending      bool
	proposed     Record
	fence        fence
	readAt       time.Time
	probedAt     time.Time
	inUse        int
	window       window
	demand       int
	leaving      bool
	expired      map[string]time.Time
	// era is the era of the store, and settledAt when no slot is occupied any more that
	// was admitted in an earlier one.
	era       store.Era
	settledAt time.Time
}

// fence limits the usable share while a swap that lowers it may still be
// applied, which is until the store version is above the one that the swap
// expects.
type fence struct {
	active   bool
	slots    int
	expected uint64
}

// window tracks the largest use during the current and the previous ReturnAfter.
type window struct {
	since    time.Time
	current  int
	previous int
}

func (w *window) observe(now time.Time, used int) {
	if now.Sub(w.since) >= ReturnAfter {
		w.previous, w.current = w.current, used
		w.since = now
	}
	w.current = max(w.current, used)
}

func (w *window) peak() int {
	return max(w.current, w.previous)
}

// Configure sets the cap from an accepted version of the lists. Versions that
// are not newer than the current one are ignored.
func (h *Holder) Configure(version uint64, limit int) {
	if version <= h.version {
		return
	}
	h.version = version
	h.limit = limit
	h.recordKnown = false // the record must be read before requests are admitted under the new version
}

// EnterEra tells the holder the era of the store. The record of a restored store may lack
// shares that are in use: it is not raised until the sessions of earlier eras have ended and
// their requests too, unless another holder has waited for that.
func (h *Holder) EnterEra(now time.Time, era store.Era) {
	if era <= h.era {
		return
	}
	h.era, h.settledAt = era, now
	if era > 1 {
		h.settledAt = now.Add(LeaseTTL + h.ReclaimDelay)
	}
	h.storeVersion, h.recordKnown, h.fence.active = 0, false, false
}

// isSettled reports whether a record holds all slots that may be occupied.
func (h *Holder) isSettled(now time.Time, r Record) bool {
	return h.era <= 1 || r.Era == uint32(h.era) || !now.Before(h.settledAt)
}

// Restart begins a new session after the old one expired. The old share is left
// to be reclaimed. Requests still running count against the new share.
func (h *Holder) Restart(session *Session) {
	h.Session = session
	h.recordKnown = false
	h.fence.active = false
}

// Admit acquires a slot of the share and returns Admitted, or the reason for
// refusal. confirmed means that the lists were recently confirmed to be the
// newest. Release must be called when an admitted request ends.
func (h *Holder) Admit(now time.Time, confirmed bool) Reason {
	reason := h.admit(now, confirmed)
	switch reason {
	case Admitted:
		h.inUse++
		h.window.observe(now, h.inUse)
	case NoShare:
		h.demand = max(h.demand, h.inUse+1)
	}
	return reason
}

// Release frees the slot of an admitted request.
func (h *Holder) Release() {
	h.inUse--
}

// InUse returns the number of slots that admitted requests occupy.
func (h *Holder) InUse() int {
	return h.inUse
}

// Available returns the number of further requests that would be admitted now.
func (h *Holder) Available(now time.Time, confirmed bool) int {
	switch h.admit(now, confirmed) {
	case Admitted:
		return h.usable() - h.inUse
	default:
		return 0
	}
}

// Limit returns the cap in slots that all holders share.
func (h *Holder) Limit() int {
	return h.limit
}

// Share returns the confirmed share in slots.
func (h *Holder) Share() int {
	return h.share().Slots
}

// Leave makes the holder admit nothing more and return its slots as its
// requests end.
func (h *Holder) Leave() {
	h.leaving = true
}

func (h *Holder) admit(now time.Time, confirmed bool) Reason {
	switch {
	case !confirmed:
		return Unconfirmed
	case !h.Session.Valid(now):
		return NoSession
	case !h.recordKnown || h.record.Version != h.version || h.record.Occupied() > h.record.Cap:
		return Adjusting
	case h.inUse >= h.usable() || h.leaving:
		return NoShare
	default:
		return Admitted
	}
}

func (h *Holder) share() Share {
	return h.record.ShareOf(h.Name, h.Session.ID)
}

// usable returns the number of slots that the holder may use: the share, or the
// lower fenced value while a swap that lowers it may still be applied.
func (h *Holder) usable() int {
	slots := h.share().Slots
	if h.fence.active {
		slots = min(slots, h.fence.slots)
	}
	return slots
}

// Next returns the next store operation. The result of a read or swap must be
// passed to ReadDone or SwapDone; until then Next returns Idle.
func (h *Holder) Next(now time.Time) Step {
	if h.pending || !h.Session.Valid(now) || h.version == 0 {
		return Step{Kind: Idle}
	}
	if !h.recordKnown || h.readNext {
		return h.read(now)
	}
	if h.record.Version > h.version {
		return h.waitForLists(now) // this instance receives the newer lists soon
	}
	next, changed := h.propose(now)
	if changed {
		return h.swap(next)
	}
	if h.record.Occupied() > h.record.Cap || h.demand > 0 {
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
	h.fence = fence{active: true, slots: slots, expected: h.storeVersion}
	return Step{Kind: Swap, Record: next, Expected: h.storeVersion}
}

// propose returns the record as the holder wants to write it, and whether it
// differs from the known one.
func (h *Holder) propose(now time.Time) (Record, bool) {
	next, changed := h.record, false
	if next.Version < h.version {
		next, changed = next.Rescaled(h.version, h.limit), true
	}
	if h.era > 1 && h.isSettled(now, next) && next.Era < uint32(h.era) {
		next.Era, changed = uint32(h.era), true
	}
	if reclaimed, ok := h.reclaim(now, next); ok {
		next, changed = reclaimed, true
	}
	share := next.ShareOf(h.Name, h.Session.ID)
	before := share
	share.Draining = min(share.Draining, max(h.inUse-share.Slots, 0))
	share.Slots = h.targetSlots(now, next.WithShare(share), share.Slots)
	if share != before {
		next, changed = next.WithShare(share), true
	}
	return next, changed
}

// targetSlots returns the number of slots that the holder wants in a record.
func (h *Holder) targetSlots(now time.Time, r Record, current int) int {
	if h.leaving {
		return min(current, h.inUse)
	}
	need := max(h.Base, h.demand)
	if need > current && !h.isSettled(now, r) {
		_unsettled.Inc()
		return current
	}
	if need > current {
		free := max(r.Cap-r.Occupied(), 0)
		raised := current + min(max(need-current, RaiseStep, current/2), free)
		h.window.observe(now, raised) // a raise counts as used, otherwise it would be returned at once
		return raised
	}
	h.window.observe(now, h.inUse)
	return min(current, max(h.window.peak(), h.Base))
}

// reclaim removes the shares of sessions that were found expired at least
// ReclaimDelay ago.
func (h *Holder) reclaim(now time.Time, r Record) (Record, bool) {
	changed := false
	for _, s := range r.Shares {
		since, expired := h.expired[s.Session]
		if expired && now.Sub(since) >= h.ReclaimDelay {
			r = r.WithShare(Share{Holder: s.Holder, Session: s.Session})
			changed = true
		}
	}
	return r, changed
}

// unblock returns the step of a holder that lacks slots: a probe of the other
// sessions for shares to reclaim every ProbeInterval, and otherwise a read for
// changes by the other holders.
func (h *Holder) unblock(now time.Time) Step {
	interval := RefreshInterval
	if h.record.Occupied() > h.record.Cap {
		interval = ReadInterval
	}
	if now.Sub(h.readAt) < interval {
		return Step{Kind: Idle}
	}
	h.demand = 0
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
	h.readNext = true
	h.readAt = now
	return Step{Kind: Probe, Sessions: others}
}

func (h *Holder) waitForLists(now time.Time) Step {
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

// MarkExpired records that the session of another holder has no lease. The time
// of the first call counts.
func (h *Holder) MarkExpired(now time.Time, session string) {
	if h.expired == nil {
		h.expired = make(map[string]time.Time)
	}
	if _, known := h.expired[session]; !known {
		h.expired[session] = now
	}
}

// ReadDone processes the result of a read: the record and its store version. An
// absent record is empty and has version zero. ok is false if the read failed.
func (h *Holder) ReadDone(r Record, storeVersion uint64, ok bool) {
	h.pending = false
	if !ok || storeVersion < h.storeVersion {
		return
	}
	h.confirm(r, storeVersion)
}

// SwapDone processes the result of the last swap: the store version of the
// written record. ok is false if the swap was not applied or its reply was lost;
// the record is then read next. Until then the previous share stays valid within
// the fence, because other holders change it only for a new version of the
// lists, which this holder receives itself, or after its session has ended.
func (h *Holder) SwapDone(storeVersion uint64, ok bool) {
	h.pending = false
	if !ok {
		h.readNext = true
		return
	}
	h.confirm(h.proposed, storeVersion)
	if h.share().Slots >= h.demand {
		h.demand = 0
	}
}

func (h *Holder) confirm(r Record, storeVersion uint64) {
	h.record = r
	h.storeVersion = storeVersion
	h.recordKnown = true
	h.readNext = false
	if storeVersion > h.fence.expected {
		h.fence.active = false
	}
}
