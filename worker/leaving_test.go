package worker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wigeonlock/wigeonlock/store"
	"github.com/wigeonlock/wigeonlock/worker"
)

// TestWorkerThatSaidItLeavesIsBackAfterAnEntry applies what the store may say of a worker that
// said that it leaves: only its next incarnation is used.
func TestWorkerThatSaidItLeavesIsBackAfterAnEntry(t *testing.T) {
	next := entry("i", 1)
	next.Born = 200
	elsewhere := entry("i", 2)
	elsewhere.Address = "10.0.0.2:80"
	tests := map[string]struct {
		change func(r *worker.Registry)
		usable bool
	}{
		"heartbeat":      {func(r *worker.Registry) { r.Put(_start, entry("i", 2), 20) }, false},
		"other address":  {func(r *worker.Registry) { r.Put(_start, elsewhere, 20) }, false},
		"restored store": {func(r *worker.Registry) { r.Put(_start, entry("i", 2), store.RevisionOf(2, 5)) }, false},
		"older copy":     {func(r *worker.Registry) { r.Put(_start, entry("i", 1), store.RevisionOf(2, 5)) }, false},
		"removed, back":  {func(r *worker.Registry) { r.Delete("i", 20); r.Put(_start, entry("i", 3), 21) }, false},
		"missing, back": {func(r *worker.Registry) {
			r.MarkMissing("i", 20, _start.Add(time.Second))
			r.Put(_start, entry("i", 3), 21)
		}, false},
		"restarted":       {func(r *worker.Registry) { r.Put(_start, next, 20) }, true},
		"gone, restarted": {func(r *worker.Registry) { r.Delete("i", 20); r.Put(_start, next, 21) }, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := worker.NewRegistry()
			r.Put(_start, entry("i", 1), 10)
			assert.True(t, r.SaysLeaving(_start, "i", 100))
			assert.False(t, r.SaysLeaving(_start, "i", 100), "known")
			assert.False(t, r.Get("i").Usable(_start))
			tt.change(r)
			w := r.Get("i")
			assert.Equal(t, tt.usable, w != nil && w.Usable(_start))
		})
	}
}

// TestAnswerOfAnEarlierIncarnationCondemnsTheNext records what an incarnation said after the
// next one is known.
func TestAnswerOfAnEarlierIncarnationCondemnsTheNext(t *testing.T) {
	r := worker.NewRegistry()
	next := entry("i", 1)
	next.Born = 200
	r.Put(_start, next, 10)
	assert.False(t, r.SaysLeaving(_start, "i", 100))
	assert.True(t, r.Get("i").Usable(_start))
}

// TestNewsOfAnUnknownWorkerIsKept records what a neighbour was told before the entry is read.
func TestNewsOfAnUnknownWorkerIsKept(t *testing.T) {
	r := worker.NewRegistry()
	old := entry("i", 7)
	old.Born = 50
	r.Put(_start, old, 9)
	assert.True(t, r.SaysLeaving(_start, "i", 100), "of a later incarnation than the known one")
	assert.Nil(t, r.Get("i"), "the known one has ended")
	r.Put(_start, entry("i", 1), 10)
	assert.Nil(t, r.Get("i"))
	next := entry("i", 1)
	next.Born = 200
	r.Put(_start, next, 11)
	assert.True(t, r.Get("i").Usable(_start))
	assert.Empty(t, r.SaidLeaving(_start, 8))
}

// TestWithoutStartTimeTheCountTellsTheIncarnation has a worker that does not say when it
// started leave and come back.
func TestWithoutStartTimeTheCountTellsTheIncarnation(t *testing.T) {
	r := worker.NewRegistry()
	unborn := func(heartbeat int64) worker.Entry {
		e := entry("i", heartbeat)
		e.Born = 0
		return e
	}
	r.Put(_start, unborn(5), 10)
	r.SaysLeaving(_start, "i", 0)
	r.Put(_start, unborn(6), 11)
	assert.False(t, r.Get("i").Usable(_start))
	r.Put(_start, unborn(1), 12)
	assert.True(t, r.Get("i").Usable(_start))
}

// TestLargerCountHidesThatAWorkerLeaves has another writer put an entry with a large count
// where the worker's entry is.
func TestLargerCountHidesThatAWorkerLeaves(t *testing.T) {
	r := worker.NewRegistry()
	r.Put(_start, entry("i", 1), 10)
	r.Put(_start, entry("i", 900_000), 11)
	leaving := entry("i", 3)
	leaving.Leaving = true
	r.Put(_start, leaving, 12)
	assert.False(t, r.Get("i").Usable(_start), "written later, by the worker itself")
}
