package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wigeonlock/wigeonlock/quota"
	platform "github.com/wigeonlock/wigeonlock/store"
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

func (e *storeEntry) swap(next quota.Record, expected uint64) (uint64, bool) {
	if e.version != expected {
		return 0, false
	}
	e.version++
	e.record = next
	return e.version, true
}

func newHolder(name string, now time.Time) *quota.Holder {
	s := &quota.Session{ID: name + "/1", Margin: _margin}
	s.Renewed(now, _ttl)
	return &quota.Holder{Name: name, Session: s, ReclaimDelay: _reclaimDelay}
}

// runSteps runs steps until the holder is idle.
func runSteps(now time.Time, h *quota.Holder, e *storeEntry) {
	for range 20 {
		step := h.Next(now)
		switch step.Kind {
		case quota.Idle:
			return
		case quota.Read:
			h.ReadDone(e.record, e.version, true)
		case quota.Swap:
			h.SwapDone(e.swap(step.Record, step.Expected))
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
	// era is that of the store, and copied the record as of a time before.
	era    platform.Era
	copied storeEntry
}

// simHolder is one holder with the end times of its requests and of its lease.
type simHolder struct {
	*quota.Holder
	ends         []time.Time
	lease        time.Time
	paused       bool
	crashed      bool
	listsVersion uint64
	era          platform.Era
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
		s := &simulation{now: time.Unix(1000, 0), version: 1, limit: 6}
		caps := []capChange{{s.now, s.limit}}
		for range 3 {
			s.start()
		}
		steps := rapid.IntRange(50, 250).Draw(t, "steps")
		for range steps {
			s.now = s.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			s.endRequests()
			h := s.holders[rapid.IntRange(0, len(s.holders)-1).Draw(t, "holder")]
			switch rapid.IntRange(0, 14).Draw(t, "event") {
			case 14:
				s.now = s.now.Add(quota.ReturnAfter) // long enough for unused slots to be returned
				s.endRequests()
			case 0:
				s.version++
				s.limit = rapid.IntRange(0, 8).Draw(t, "cap")
				caps = append(caps, capChange{s.now, s.limit})
			case 1:
				h.paused = !h.paused
			case 2:
				s.crash(h)
			case 3, 4:
				s.configure(h)
			case 5:
				s.deliverDelayed()
			case 6, 7, 8:
				s.admit(h)
			default:
				s.step(h, rapid.SampledFrom([]string{"ok", "ok", "ok", "lost", "dropped", "delayed"}).Draw(t, "fault"))
			}
			if used, limit := s.inUse(), largestActiveCap(caps, s.now); used > limit {
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

func (s *simulation) start() {
	s.starts++
	name := fmt.Sprintf("n%d", s.starts)
	h := &simHolder{Holder: newHolder(name, s.now), lease: s.now.Add(_ttl)}
	s.holders = append(s.holders, h)
	s.configure(h)
}

func (s *simulation) crash(h *simHolder) {
	if h.crashed {
		return
	}
	h.crashed = true // its requests run until they end; its lease expires
	s.start()
}

func (s *simulation) configure(h *simHolder) {
	if !h.paused && !h.crashed {
		h.Configure(s.version, s.limit)
		h.listsVersion = s.version
	}
}

// admit sends a request to the holder. confirmed is set exactly if the holder
// has the newest lists.
func (s *simulation) admit(h *simHolder) {
	if h.paused || h.crashed {
		return
	}
	if h.Admit(s.now, h.listsVersion == s.version) == quota.Admitted {
		h.ends = append(h.ends, s.now.Add(_longestRequest))
	}
}

func (s *simulation) endRequests() {
	for _, h := range s.holders {
		var open []time.Time
		for _, end := range h.ends {
			if end.After(s.now) {
				open = append(open, end)
				continue
			}
			h.Release()
		}
		h.ends = open
	}
}

// restore restores the store from the copy.
func (s *simulation) restore() {
	s.era++
	s.store = s.copied
	s.store.version = uint64(platform.VersionOf(s.era, platform.Version(s.copied.version).Count()))
}

func (s *simulation) step(h *simHolder, fault string) {
	if h.paused || h.crashed {
		return
	}
	if h.era < s.era {
		if h.era > 0 {
			s.starts++
			h.Restart(&quota.Session{ID: fmt.Sprintf("%s/%d", h.Name, s.starts), Margin: _margin})
			h.lease = s.now.Add(_ttl)
		}
		h.EnterEra(s.now, s.era)
		h.era = s.era
	}
	if s.now.Before(h.lease) {
		h.lease = s.now.Add(_ttl)
		h.Session.Renewed(s.now, _ttl)
	} else {
		h.Session.Expire()
	}
	step := h.Next(s.now)
	switch step.Kind {
	case quota.Read:
		h.ReadDone(s.store.record, s.store.version, fault != "dropped")
	case quota.Swap:
		s.swap(h, step, fault)
	case quota.Probe:
		for _, share := range step.Sessions {
			if s.expired(share.Session) {
				h.MarkExpired(s.now, share.Session)
			}
		}
	case quota.Idle:
	}
}

func (s *simulation) swap(h *simHolder, step quota.Step, fault string) {
	switch fault {
	case "dropped":
		h.SwapDone(0, false)
	case "delayed":
		s.delayed = append(s.delayed, step)
		h.SwapDone(0, false)
	case "lost":
		s.store.swap(step.Record, step.Expected)
		h.SwapDone(0, false)
	default:
		h.SwapDone(s.store.swap(step.Record, step.Expected))
	}
}

func (s *simulation) deliverDelayed() {
	if len(s.delayed) == 0 {
		return
	}
	step := s.delayed[0]
	s.delayed = s.delayed[1:]
	s.store.swap(step.Record, step.Expected)
}

func (s *simulation) expired(session string) bool {
	for _, h := range s.holders {
		if h.Session.ID == session {
			return !s.now.Before(h.lease)
		}
	}
	return true
}

func (s *simulation) inUse() int {
	used := 0
	for _, h := range s.holders {
		used += len(h.ends)
	}
	return used
}
