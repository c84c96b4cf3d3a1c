package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wigeonlock/wigeonlock/quota"
	platform "github.com/wigeonlock/wigeonlock/store"
)

// TestRestoredRecordDoesNotExceedTheCap restores the record to before a holder raised its share,
// whose requests still run: no other holder may get these slots before they have ended, neither
// one that lived through the restore nor one that starts after it.
func TestRestoredRecordDoesNotExceedTheCap(t *testing.T) {
	now := time.Unix(100, 0)
	var entry storeEntry
	era := platform.Era(1)
	enter := func(holders ...*quota.Holder) {
		for _, h := range holders {
			h.EnterEra(now, era)
		}
	}
	a, b := newHolder("a", now), newHolder("b", now)
	enter(a, b)
	for _, h := range []*quota.Holder{a, b} {
		h.Configure(1, 4)
		runSteps(now, h, &entry)
	}
	copied := entry
	for range 4 {
		for a.Admit(now, true) != quota.Admitted {
			runSteps(now, a, &entry)
		}
	}
	require.Equal(t, 4, a.InUse())

	entry, era = copied, 2
	entry.version++
	started := newHolder("c", now)
	started.Configure(1, 4)
	enter(b, started)
	admitted := func() int {
		sum := 0
		for _, h := range []*quota.Holder{b, started} {
			h.Session.Renewed(now, _ttl)
			_ = h.Admit(now, true)
			runSteps(now, h, &entry)
			for h.Admit(now, true) == quota.Admitted {
				continue
			}
			sum += h.InUse()
		}
		return sum
	}
	end := now.Add(quota.LeaseTTL + _reclaimDelay)
	for ; now.Before(end); now = now.Add(quota.RefreshInterval) {
		assert.Zero(t, admitted(), "a may have 4 requests running, of 4")
	}
	now = now.Add(quota.RefreshInterval)
	admitted()
	now = now.Add(quota.RefreshInterval)
	assert.Positive(t, admitted())
	assert.LessOrEqual(t, admitted(), 4)
}

// TestShiftCapAcrossRestores draws restores of the store beside the other faults. Sessions last
// as long as leases do, so that their holders notice in time.
func TestShiftCapAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{now: time.Unix(1000, 0), version: 1, limit: 2, era: 1}
		for range 3 {
			s.start()
		}
		for range rapid.IntRange(100, 400).Draw(t, "steps") {
			s.now = s.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			s.endRequests()
			h := s.holders[rapid.IntRange(0, len(s.holders)-1).Draw(t, "holder")]
			switch rapid.IntRange(0, 24).Draw(t, "event") {
			case 0:
				s.copied = s.store
			case 1:
				if s.copied.version > 0 {
					s.restore()
				}
			case 2:
				h.paused = !h.paused
			case 3:
				s.crash(h)
			case 4, 5, 6, 7, 8, 9, 10:
				s.admit(h)
			default:
				s.step(h, rapid.SampledFrom([]string{"ok", "ok", "ok", "lost", "dropped"}).Draw(t, "fault"))
			}
			if used := s.inUse(); used > s.limit {
				t.Fatalf("shiftCap: %d slots in use, the cap is %d", used, s.limit)
			}
		}
	})
}
