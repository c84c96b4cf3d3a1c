package worker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wigeonlock/wigeonlock/store"
	"github.com/wigeonlock/wigeonlock/worker"
)

var _start = time.Unix(1_800_000_000, 0)

func entry(id string, heartbeat int64) worker.Entry {
	return worker.Entry{ID: id, Service: "s", Address: "10.0.0.1:80", Zone: "a", Slots: 4, Born: 100, Heartbeat: heartbeat}
}

func TestHeartbeatIsNoChange(t *testing.T) {
	r := worker.NewRegistry()
	assert.True(t, r.Put(_start, entry("i", 1), 10), "a new worker is a change")
	assert.False(t, r.Put(_start.Add(time.Second), entry("i", 2), 11))
	leaving := entry("i", 3)
	leaving.Leaving = true
	assert.True(t, r.Put(_start.Add(2*time.Second), leaving, 12))
	assert.False(t, r.Get("i").Usable(_start.Add(2*time.Second)))
}

func TestOlderUpdateIsIgnored(t *testing.T) {
	r := worker.NewRegistry()
	leaving := entry("i", 5)
	leaving.Leaving = true
	r.Put(_start, leaving, 20)
	r.Put(_start, entry("i", 4), 19)
	assert.True(t, r.Get("i").Leaving, "an older revision")
	r.Put(_start, entry("i", 4), 21)
	assert.True(t, r.Get("i").Leaving, "a heartbeat that was delayed on its way to the store")
}

func TestRemovedStaysRemoved(t *testing.T) {
	r := worker.NewRegistry()
	leaving := entry("i", 5)
	leaving.Leaving = true
	r.Put(_start, leaving, 20)
	r.Delete("i", 30)
	assert.Nil(t, r.Get("i"))
	r.Put(_start, entry("i", 5), 25)
	assert.Nil(t, r.Get("i"), "written before the removal")
	r.Put(_start, entry("i", 6), 31)
	assert.Nil(t, r.Get("i"), "the same start had reported that it is leaving")
	again := entry("i", 1)
	again.Born = 200
	assert.True(t, r.Put(_start, again, 32), "a new start under the same ID")
	assert.Len(t, r.ByService("s"), 1)
}

func TestTentativeDeletion(t *testing.T) {
	r := worker.NewRegistry()
	r.Put(_start, entry("back", 1), 10)
	r.Put(_start, entry("lost", 1), 11)
	left := entry("left", 1)
	left.Leaving = true
	r.Put(_start, left, 12)
	expiry := _start.Add(1800 * time.Millisecond)
	for _, id := range []string{"back", "lost", "left"} {
		r.MarkMissing(id, 20, expiry)
	}
	assert.Nil(t, r.Get("left"), "a leaving worker does not return")
	assert.True(t, r.Get("back").Usable(_start.Add(time.Second)))

	assert.True(t, r.Put(_start.Add(time.Second), entry("back", 2), 21), "its return is a change")
	r.Sweep(expiry)
	assert.NotNil(t, r.Get("back"))
	assert.Nil(t, r.Get("lost"))
	assert.Len(t, r.ByService("s"), 1)
}

func TestMissingWithoutOutageIsRemoved(t *testing.T) {
	r := worker.NewRegistry()
	r.Put(_start, entry("i", 1), 10)
	r.MarkMissing("i", 20, time.Time{})
	assert.Nil(t, r.Get("i"))
}

func TestColdUntilNextEntry(t *testing.T) {
	r := worker.NewRegistry()
	r.Put(_start, entry("i", 1), 10)
	assert.False(t, r.Get("i").Cold(_start))
	r.MarkCold(_start, "a", func(string) time.Duration { return 3 * time.Second })
	assert.True(t, r.Get("i").Cold(_start.Add(2*time.Second)))
	assert.False(t, r.Get("i").Cold(_start.Add(3*time.Second)))

	cold := entry("i", 2)
	cold.ColdLeft = 2 * time.Second
	assert.True(t, r.Put(_start.Add(10*time.Second), cold, 11), "cold again is a change")
	assert.True(t, r.Get("i").Cold(_start.Add(11*time.Second)))
	cold.Heartbeat, cold.ColdLeft = 3, 500*time.Millisecond
	assert.False(t, r.Put(_start.Add(11500*time.Millisecond), cold, 12), "as cold as known")
}

func TestNewAddressIsNewWorker(t *testing.T) {
	r := worker.NewRegistry()
	r.Put(_start, entry("i", 1), 10)
	first := r.Get("i")
	restarted := entry("i", 1)
	restarted.Address, restarted.Born = "10.0.0.2:80", 200
	r.Put(_start, restarted, 11)
	assert.True(t, first.Removed)
	assert.Equal(t, "10.0.0.2:80", r.Get("i").Address)
	assert.Len(t, r.ByService("s"), 1)
}

// TestEndOfColdTimeIsChange has a worker warm up: an instance that later starts from the
// snapshot of a neighbour must not take it for cold.
func TestEndOfColdTimeIsChange(t *testing.T) {
	r := worker.NewRegistry()
	e := worker.Entry{ID: "i", Service: "s", Zone: "a", Slots: 1, Born: 1, Heartbeat: 1, ColdLeft: 3 * time.Second}
	now := time.Unix(1000, 0)
	assert.True(t, r.Put(now, e, 1))
	e.Heartbeat, e.ColdLeft = 2, 1500*time.Millisecond
	assert.False(t, r.Put(now.Add(1500*time.Millisecond), e, 2), "it gets warm as known")
	e.Heartbeat, e.ColdLeft = 3, 0
	assert.True(t, r.Put(now.Add(3*time.Second), e, 3))
	e.Heartbeat = 4
	assert.False(t, r.Put(now.Add(4500*time.Millisecond), e, 4))
}

// TestRestoredStoreBringsNoWorkerBack applies updates of a later era of the store, in which a
// copy of some seconds ago is read, and then of the one before.
func TestRestoredStoreBringsNoWorkerBack(t *testing.T) {
	now := time.Unix(100, 0)
	r := worker.NewRegistry()
	entry := func(id string, heartbeat int64, leaving bool) worker.Entry {
		return worker.Entry{ID: id, Service: "s", Address: "10.0.0.1:80", Zone: "z", Slots: 1, Born: 5, Heartbeat: heartbeat, Leaving: leaving}
	}
	r.Put(now, entry("leaves", 12, true), store.RevisionOf(1, 66))
	r.Put(now, entry("gone", 12, false), store.RevisionOf(1, 60))
	r.Delete("gone", store.RevisionOf(1, 67))

	assert.False(t, r.Put(now, entry("leaves", 10, false), store.RevisionOf(2, 40)))
	assert.False(t, r.Put(now, entry("gone", 12, false), store.RevisionOf(2, 41)))
	assert.True(t, r.Get("leaves").Leaving)
	assert.Nil(t, r.Get("gone"))

	r.Put(now, entry("leaves", 13, true), store.RevisionOf(2, 51))
	assert.True(t, r.Put(now, entry("gone", 13, false), store.RevisionOf(2, 52)), "it was only silent")
	assert.True(t, r.Put(now, entry("gone", 14, true), store.RevisionOf(1, 70)), "a neighbour retained that it leaves")
	assert.True(t, r.Get("gone").Leaving)
	r.Delete("gone", store.RevisionOf(1, 71))
	assert.Nil(t, r.Get("gone"), "a neighbour retained that it is gone")
	r.Put(now, entry("leaves", 11, false), store.RevisionOf(1, 90))
	assert.True(t, r.Get("leaves").Leaving)
}
