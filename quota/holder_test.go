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
	_ttl    = 10 * time.Second
	_margin = time.Second
	_settle = 5 * time.Second
)

// register is the store's entry of one resource.
type register struct {
	record  quota.Record
	version uint64
}

func (r *register) swap(next quota.Record, expected uint64) (uint64, bool) {
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
	return &quota.Holder{Name: name, Session: s, ReclaimDelay: _settle}
}

// settle runs steps until the holder is idle.
func settle(now time.Time, h *quota.Holder, r *register) {
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
	var store register
	h := newHolder("a", now)
	h.Configure(1, 4)
	settle(now, h, &store)
	require.Equal(t, quota.NoShare, h.Admit(now, true))
	settle(now, h, &store)
	assert.Equal(t, quota.Admitted, h.Admit(now, true))
	assert.Equal(t, 2, h.Share())
}

func TestHolderRefusesWithoutConfirmation(t *testing.T) {
	now := time.Unix(100, 0)
	var store register
	h := newHolder("a", now)
	h.Base = 2
	h.Configure(1, 4)
	settle(now, h, &store)
	assert.Equal(t, quota.Unconfirmed, h.Admit(now, false))
	assert.Equal(t, quota.NoSession, h.Admit(now.Add(_ttl-_margin), true))
	assert.Equal(t, quota.Admitted, h.Admit(now, true))
}

// A swap that lowers the share and times out may be applied later. Until the
// store is past it, the lower share holds.
func TestHolderFencesDelayedSwap(t *testing.T) {
	now := time.Unix(100, 0)
	var store register
	h := newHolder("a", now)
	h.Configure(1, 4)
	settle(now, h, &store)
	require.Equal(t, quota.NoShare, h.Admit(now, true))
	settle(now, h, &store)
	require.Equal(t, 2, h.Available(now, true))

	var step quota.Step
	for step.Kind != quota.Swap { // give back what is unused
		now = now.Add(quota.ReturnAfter)
		h.Session.Renewed(now, _ttl)
		step = h.Next(now)
	}
	h.SwapDone(0, false) // the reply is lost; the swap is still under way
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
	var store register
	h := newHolder("a", now)
	h.Base = 4
	h.Configure(2, 2)
	settle(now, h, &store)
	h.Configure(1, 8)
	settle(now, h, &store)
	assert.Equal(t, 2, store.record.Cap)
	assert.Equal(t, 2, h.Share())
	assert.Equal(t, quota.Admitted, h.Admit(now, true))
}

func TestHolderWaitsForRescale(t *testing.T) {
	now := time.Unix(100, 0)
	var store register
	h := newHolder("a", now)
	h.Base = 4
	h.Configure(1, 4)
	settle(now, h, &store)
	h.Configure(2, 2)
	assert.Equal(t, quota.Adjusting, h.Admit(now, true))
	require.Equal(t, quota.Read, h.Next(now).Kind)
	h.ReadDone(store.record, store.version, true)
	assert.Equal(t, quota.Adjusting, h.Admit(now, true), "the record still has the old cap")
}

// Slots that are still occupied from before the cap was lowered stay in the
// record as draining.
func TestHolderKeepsDrainingWhileOccupied(t *testing.T) {
	now := time.Unix(100, 0)
	var store register
	h := newHolder("a", now)
	h.Base = 4
	h.Configure(1, 4)
	settle(now, h, &store)
	for range 4 {
		require.Equal(t, quota.Admitted, h.Admit(now, true))
	}
	h.Configure(2, 2)
	settle(now, h, &store)
	assert.Equal(t, 4, store.record.Occupied())
	h.Release()
	settle(now.Add(quota.ReadInterval), h, &store)
	assert.Equal(t, 3, store.record.Occupied())
}

// Under a lower cap nothing is admitted until the shares of all holders that
// may still be occupied fit.
func TestHolderLoweredCap(t *testing.T) {
	now := time.Unix(100, 0)
	var store register
	a, b := newHolder("a", now), newHolder("b", now)
	for _, h := range []*quota.Holder{a, b} {
		h.Base = 4
		h.Configure(1, 8)
		settle(now, h, &store)
		require.Equal(t, quota.Admitted, h.Admit(now, true))
		require.Equal(t, quota.Admitted, h.Admit(now, true))
		require.Equal(t, quota.Admitted, h.Admit(now, true))
	}
	a.Configure(2, 4)
	settle(now, a, &store)
	assert.Equal(t, quota.Adjusting, a.Admit(now, true), "b may still occupy its old share")

	b.Configure(2, 4)
	settle(now, b, &store)
	a.Release()
	b.Release()
	settle(now, b, &store)
	settle(now.Add(quota.RefreshInterval), a, &store)
	assert.LessOrEqual(t, store.record.Occupied(), 4)
	assert.Equal(t, quota.NoShare, a.Admit(now, true))
}

func TestHolderReclaimsLapsedSession(t *testing.T) {
	now := time.Unix(100, 0)
	var store register
	dead := newHolder("dead", now)
	dead.Base = 4
	dead.Configure(1, 4)
	settle(now, dead, &store)

	now = now.Add(_ttl)
	h := newHolder("a", now)
	h.Configure(1, 4)
	settle(now, h, &store)
	require.Equal(t, quota.NoShare, h.Admit(now, true))
	h.MarkExpired(now, dead.Session.ID)
	settle(now, h, &store)
	require.Equal(t, quota.NoShare, h.Admit(now.Add(_settle/2), true))

	h.Session.Renewed(now, 2*_ttl)
	settle(now.Add(_settle), h, &store)
	assert.Equal(t, quota.Admitted, h.Admit(now.Add(_settle), true))
}

// world drives holders through faults and checks invariant shiftCap.
type world struct {
	now     time.Time
	store   register
	holders []*node
	version uint64
	limit   int
	starts  int
	delayed []quota.Step
}

// node is one holder with the times that its requests end, and its lease.
type node struct {
	*quota.Holder
	ends   []time.Time
	lease  time.Time
	paused bool
	dead   bool
	knows  uint64
}

const (
	_longest = 3 * time.Second
	_window  = 2 * time.Second
)

// TestShiftCap drives the real type through lost and delayed swaps, crashes,
// pauses and cap changes. Invariant shiftCap: what is in use never exceeds the
// largest cap that was in force within the confirmation window and the longest
// request; and once they have passed after a change, it fits the new cap.
func TestShiftCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: time.Unix(1000, 0), version: 1, limit: 6}
		caps := []capAt{{w.now, w.limit}}
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
				w.now = w.now.Add(quota.ReturnAfter) // long enough to give back
				w.endRequests()
			case 0:
				w.version++
				w.limit = rapid.IntRange(0, 8).Draw(t, "cap")
				caps = append(caps, capAt{w.now, w.limit})
			case 1:
				n.paused = !n.paused
			case 2:
				w.crash(n)
			case 3, 4:
				w.learn(n)
			case 5:
				w.deliverDelayed()
			case 6, 7, 8:
				w.admit(n)
			default:
				w.step(n, rapid.SampledFrom([]string{"ok", "ok", "ok", "lost", "dropped", "delayed"}).Draw(t, "fault"))
			}
			if used, limit := w.inUse(), largest(caps, w.now); used > limit {
				t.Fatalf("shiftCap: %d slots in use, the cap is %d", used, limit)
			}
		}
	})
}

type capAt struct {
	at    time.Time
	limit int
}

// largest is the largest cap in force at any time since the confirmation
// window and the longest request before now.
func largest(caps []capAt, now time.Time) int {
	since := now.Add(-_window - _longest)
	limit := 0
	for i, c := range caps {
		if i+1 < len(caps) && !caps[i+1].at.After(since) {
			continue
		}
		limit = max(limit, c.limit)
	}
	return limit
}

func (w *world) start() {
	w.starts++
	name := fmt.Sprintf("n%d", w.starts)
	n := &node{Holder: newHolder(name, w.now), lease: w.now.Add(_ttl)}
	w.holders = append(w.holders, n)
	w.learn(n)
}

func (w *world) crash(n *node) {
	if n.dead {
		return
	}
	n.dead = true // its requests go on until they end; its lease runs out
	w.start()
}

func (w *world) learn(n *node) {
	if !n.paused && !n.dead {
		n.Configure(w.version, w.limit)
		n.knows = w.version
	}
}

// admit offers a request. The confirmation is honest: it says that the
// holder's lists were the newest within the window.
func (w *world) admit(n *node) {
	if n.paused || n.dead {
		return
	}
	if n.Admit(w.now, n.knows == w.version) == quota.Admitted {
		n.ends = append(n.ends, w.now.Add(_longest))
	}
}

func (w *world) endRequests() {
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

func (w *world) step(n *node, fault string) {
	if n.paused || n.dead {
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
			if w.lapsed(s.Session) {
				n.MarkExpired(w.now, s.Session)
			}
		}
	case quota.Idle:
	}
}

func (w *world) swap(n *node, step quota.Step, fault string) {
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

func (w *world) deliverDelayed() {
	if len(w.delayed) == 0 {
		return
	}
	step := w.delayed[0]
	w.delayed = w.delayed[1:]
	w.store.swap(step.Record, step.Expected)
}

func (w *world) lapsed(session string) bool {
	for _, n := range w.holders {
		if n.Session.ID == session {
			return !w.now.Before(n.lease)
		}
	}
	return true
}

func (w *world) inUse() int {
	used := 0
	for _, n := range w.holders {
		used += len(n.ends)
	}
	return used
}
