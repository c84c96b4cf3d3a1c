package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wigeonlock/wigeonlock/quota"
)

const (
	_ttl          = 10 * time.Second
	_margin       = time.Second
	_reclaimDelay = 5 * time.Second
)

// storeEntry simulates the store's entry of one record.
type storeEntry struct {
	record  quota.Record
	version uint64
}

func (r *storeEntry) swap(next quota.Record, expected uint64) (uint64, bool) {
	if r.version != expected {
		return 0, false
	}
	r.version++
	r.record = next
	return r.version, true
}

func newHolder(name string, now time.Time) *quota.Holder {
	s := &quota.Session{ID: name + "/1", Margin: _margin}
	s.Renewed(now, _ttl)
	return &quota.Holder{Name: name, Session: s, ReclaimDelay: _reclaimDelay}
}

// runSteps runs steps until the holder is idle.
func runSteps(now time.Time, h *quota.Holder, r *storeEntry) {
	for range 20 {
		step := h.Next(now)
		switch step.Kind {
		case quota.Idle:
			return
		case quota.Read:
			h.ReadDone(r.record, r.version, true)
		case quota.Swap:
			h.SwapDone(r.swap(step.Record, step.Expected))
		case quota.Probe:
		}
	}
}

func TestHolderRaisesOnDemand(t *testing.T) {
	now := time.Unix(100, 0)
	var store storeEntry
	h := newHolder("a", now)
	h.Configure(1, 4)
	runSteps(now, h, &store)
	require.Equal(t, quota.NoShare, h.Admit(now, true))
	runSteps(now, h, &store)
	assert.Equal(t, quota.Admitted, h.Admit(now, true))
	assert.Equal(t, 2, h.Share())
}

func TestHolderRefusesWithoutConfirmation(t *testing.T) {
	now := time.Unix(100, 0)
	var store storeEntry
	h := newHolder("a", now)
	h.Base = 2
	h.Configure(1, 4)
	runSteps(now, h, &store)
	assert.Equal(t, quota.Unconfirmed, h.Admit(now, false))
	assert.Equal(t, quota.NoSession, h.Admit(now.Add(_ttl-_margin), true))
	assert.Equal(t, quota.Admitted, h.Admit(now, true))
}

// A swap that lowers the share and times out may still be applied later. Until
// the store version is above the one it expects, only the lower share is usable.
func TestHolderFencesDelayedSwap(t *testing.T) {
	now := time.Unix(100, 0)
	var store storeEntry
	h := newHolder("a", now)
	h.Configure(1, 4)
	runSteps(now, h, &store)
	require.Equal(t, quota.NoShare, h.Admit(now, true))
	runSteps(now, h, &store)
	require.Equal(t, 2, h.Available(now, true))

	var step quota.Step
	for step.Kind != quota.Swap { // until unused slots are returned
		now = now.Add(quota.ReturnAfter)
		h.Session.Renewed(now, _ttl)
		step = h.Next(now)
	}
	h.SwapDone(0, false) // the reply is lost; the swap may still be applied
	require.Equal(t, quota.Read, h.Next(now).Kind)
	h.ReadDone(store.record, store.version, true)
	require.Equal(t, 2, h.Share())
	assert.Zero(t, h.Available(now, true), "the delayed swap may still be applied")

	_, applied := store.swap(step.Record, step.Expected)
	require.True(t, applied)
	assert.Zero(t, store.record.Occupied())
}

func TestHolderIgnoresOlderLists(t *testing.T) {
	now := time.Unix(100, 0)
	var store storeEntry
	h := newHolder("a", now)
	h.Base = 4
	h.Configure(2, 2)
	runSteps(now, h, &store)
	h.Configure(1, 8)
	runSteps(now, h, &store)
	assert.Equal(t, 2, store.record.Cap)
	assert.Equal(t, 2, h.Share())
	assert.Equal(t, quota.Admitted, h.Admit(now, true))
}

func TestHolderWaitsForRescale(t *testing.T) {
	now := time.Unix(100, 0)
	var store storeEntry
	h := newHolder("a", now)
	h.Base = 4
	h.Configure(1, 4)
	runSteps(now, h, &store)
	h.Configure(2, 2)
	assert.Equal(t, quota.Adjusting, h.Admit(now, true))
	require.Equal(t, quota.Read, h.Next(now).Kind)
	h.ReadDone(store.record, store.version, true)
	assert.Equal(t, quota.Adjusting, h.Admit(now, true), "the record still has the old cap")
}

// Slots occupied by requests from before the cap was lowered stay in the record
// as draining.
func TestHolderReportsDrainingWhileOccupied(t *testing.T) {
	now := time.Unix(100, 0)
	var store storeEntry
	h := newHolder("a", now)
	h.Base = 4
	h.Configure(1, 4)
	runSteps(now, h, &store)
	for range 4 {
		require.Equal(t, quota.Admitted, h.Admit(now, true))
	}
	h.Configure(2, 2)
	runSteps(now, h, &store)
	assert.Equal(t, 4, store.record.Occupied())
	h.Release()
	runSteps(now.Add(quota.ReadInterval), h, &store)
	assert.Equal(t, 3, store.record.Occupied())
}

// Under a lowered cap nothing is admitted until the slots that all holders may
// occupy fit within it.
func TestHolderLoweredCap(t *testing.T) {
	now := time.Unix(100, 0)
	var store storeEntry
	a, b := newHolder("a", now), newHolder("b", now)
	for _, h := range []*quota.Holder{a, b} {
		h.Base = 4
		h.Configure(1, 8)
		runSteps(now, h, &store)
		require.Equal(t, quota.Admitted, h.Admit(now, true))
		require.Equal(t, quota.Admitted, h.Admit(now, true))
		require.Equal(t, quota.Admitted, h.Admit(now, true))
	}
	a.Configure(2, 4)
	runSteps(now, a, &store)
	assert.Equal(t, quota.Adjusting, a.Admit(now, true), "b may still occupy its old share")

	b.Configure(2, 4)
	runSteps(now, b, &store)
	a.Release()
	b.Release()
	runSteps(now, b, &store)
	runSteps(now.Add(quota.RefreshInterval), a, &store)
	assert.LessOrEqual(t, store.record.Occupied(), 4)
	assert.Equal(t, quota.NoShare, a.Admit(now, true))
}

func TestHolderReclaimsExpiredSession(t *testing.T) {
	now := time.Unix(100, 0)
	var store storeEntry
	expired := newHolder("dead", now)
	expired.Base = 4
	expired.Configure(1, 4)
	runSteps(now, expired, &store)

	now = now.Add(_ttl)
	h := newHolder("a", now)
	h.Configure(1, 4)
	runSteps(now, h, &store)
	require.Equal(t, quota.NoShare, h.Admit(now, true))
	h.MarkExpired(now, expired.Session.ID)
	runSteps(now, h, &store)
	require.Equal(t, quota.NoShare, h.Admit(now.Add(_reclaimDelay/2), true))

	h.Session.Renewed(now, 2*_ttl)
	runSteps(now.Add(_reclaimDelay), h, &store)
	assert.Equal(t, quota.Admitted, h.Admit(now.Add(_reclaimDelay), true))
}

// simulation runs holders against one record with injected faults.
type simulation struct {
	now     time.Time
	store   storeEntry
	holders []*simHolder
	version uint64
	limit   int
	starts  int
	delayed []quota.Step
}

// simHolder is one holder with the end times of its requests and of its lease.
type simHolder struct {
	*quota.Holder
	ends         []time.Time
	lease        time.Time
	paused       bool
	crashed      bool
	listsVersion uint64
}

const (
	_longestRequest = 3 * time.Second
	_confirmWindow  = 2 * time.Second
)

// TestShiftCap runs holders through lost and delayed swaps, crashes, pauses and
// cap changes, and checks invariant shiftCap: the slots in use never exceed the
// largest cap that was active within the confirmation window plus the longest
// request. Once that time has passed after a change, the new cap holds.
func TestShiftCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{now: time.Unix(1000, 0), version: 1, limit: 6}
		caps := []capChange{{w.now, w.limit}}
		for range 3 {
			w.start()
		}
		steps := rapid.IntRange(50, 250).Draw(t, "steps")
		for range steps {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			w.endRequests()
			n := w.holders[rapid.IntRange(0, len(w.holders)-1).Draw(t, "holder")]
			switch rapid.IntRange(0, 14).Draw(t, "event") {
			case 14:
				w.now = w.now.Add(quota.ReturnAfter) // long enough for unused slots to be returned
				w.endRequests()
			case 0:
				w.version++
				w.limit = rapid.IntRange(0, 8).Draw(t, "cap")
				caps = append(caps, capChange{w.now, w.limit})
			case 1:
				n.paused = !n.paused
			case 2:
				w.crash(n)
			case 3, 4:
				w.configure(n)
			case 5:
				w.deliverDelayed()
			case 6, 7, 8:
				w.admit(n)
			default:
				w.step(n, rapid.SampledFrom([]string{"ok", "ok", "ok", "lost", "dropped", "delayed"}).Draw(t, "fault"))
			}
			if used, limit := w.inUse(), largestActiveCap(caps, w.now); used > limit {
				t.Fatalf("shiftCap: %d slots in use, the cap is %d", used, limit)
			}
		}
	})
}

type capChange struct {
	at    time.Time
	limit int
}

// largestActiveCap returns the largest cap that was active at any time within
// the confirmation window plus the longest request before now.
func largestActiveCap(caps []capChange, now time.Time) int {
	since := now.Add(-_confirmWindow - _longestRequest)
	limit := 0
	for i, c := range caps {
		if i+1 < len(caps) && !caps[i+1].at.After(since) {
			continue
		}
		limit = max(limit, c.limit)
	}
	return limit
}

func (w *simulation) start() {
	w.starts++
	name := fmt.Sprintf("n%d", w.starts)
	n := &simHolder{Holder: newHolder(name, w.now), lease: w.now.Add(_ttl)}
	w.holders = append(w.holders, n)
	w.configure(n)
}

func (w *simulation) crash(n *simHolder) {
	if n.crashed {
		return
	}
	n.crashed = true // its requests run until they end; its lease expires
	w.start()
}

func (w *simulation) configure(n *simHolder) {
	if !n.paused && !n.crashed {
		n.Configure(w.version, w.limit)
		n.listsVersion = w.version
	}
}

// admit sends a request to the holder. confirmed is set exactly if the holder
// has the newest lists.
func (w *simulation) admit(n *simHolder) {
	if n.paused || n.crashed {
		return
	}
	if n.Admit(w.now, n.listsVersion == w.version) == quota.Admitted {
		n.ends = append(n.ends, w.now.Add(_longestRequest))
	}
}

func (w *simulation) endRequests() {
	for _, n := range w.holders {
		var open []time.Time
		for _, end := range n.ends {
			if end.After(w.now) {
				open = append(open, end)
				continue
			}
			n.Release()
		}
		n.ends = open
	}
}

func (w *simulation) step(n *simHolder, fault string) {
	if n.paused || n.crashed {
		return
	}
	if w.now.Before(n.lease) {
		n.lease = w.now.Add(_ttl)
		n.Session.Renewed(w.now, _ttl)
	} else {
		n.Session.Expire()
	}
	step := n.Next(w.now)
	switch step.Kind {
	case quota.Read:
		n.ReadDone(w.store.record, w.store.version, fault != "dropped")
	case quota.Swap:
		w.swap(n, step, fault)
	case quota.Probe:
		for _, s := range step.Sessions {
			if w.expired(s.Session) {
				n.MarkExpired(w.now, s.Session)
			}
		}
	case quota.Idle:
	}
}

func (w *simulation) swap(n *simHolder, step quota.Step, fault string) {
	switch fault {
	case "dropped":
		n.SwapDone(0, false)
	case "delayed":
		w.delayed = append(w.delayed, step)
		n.SwapDone(0, false)
	case "lost":
		w.store.swap(step.Record, step.Expected)
		n.SwapDone(0, false)
	default:
		n.SwapDone(w.store.swap(step.Record, step.Expected))
	}
}

func (w *simulation) deliverDelayed() {
	if len(w.delayed) == 0 {
		return
	}
	step := w.delayed[0]
	w.delayed = w.delayed[1:]
	w.store.swap(step.Record, step.Expected)
}

func (w *simulation) expired(session string) bool {
	for _, n := range w.holders {
		if n.Session.ID == session {
			return !w.now.Before(n.lease)
		}
	}
	return true
}

func (w *simulation) inUse() int {
	used := 0
	for _, n := range w.holders {
		used += len(n.ends)
	}
	return used
}
