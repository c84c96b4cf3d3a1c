package watch_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/watch"
)

// TestStrongestNeighbourReads orders neighbours by capacity before the hash of names.
func TestStrongestNeighbourReads(t *testing.T) {
	all := []watch.Neighbour{{Name: "a", Capacity: 0.2}, {Name: "b", Capacity: 0.2}, {Name: "c", Capacity: 0.2}}
	for i := range all {
		list := append([]watch.Neighbour(nil), all...)
		list[i].Capacity = 0.8
		reader, found := (&watch.ReaderSelector{Self: "none"}).Reader(time.Unix(1000, 0), list)
		assert.True(t, found)
		assert.Equal(t, list[i].Name, reader.Name)
	}
}

// TestStartsFromNeighbour starts an instance next to one that reads the store: it gets
// the snapshot from there without a call, but not one that was read too long ago, from
// which a worker that left would come back, nor from a neighbour that sends nothing.
func TestStartsFromNeighbour(t *testing.T) {
	for name, tt := range map[string]struct {
		stale, silent, fromNeighbour bool
	}{
		"current": {fromNeighbour: true},
		"stale":   {stale: true},
		"silent":  {silent: true},
	} {
		t.Run(name, func(t *testing.T) {
			old, current := &feed{}, &feed{}
			old.write("left", false)
			current.write("left", false)
			all := []watch.Neighbour{{Name: "n1", Capacity: 1}, {Name: "n2"}}
			p := &peers{watchers: map[string]*watch.Watcher{}, silent: map[string]bool{"n1": tt.silent}, mute: tt.silent}
			s := newSink()
			p.watchers["n1"] = &watch.Watcher{
				Feed: old, Sink: newSink(), Interval: 50 * time.Millisecond, Instance: "n1", Peers: p,
				Neighbours: func() []watch.Neighbour { return all },
			}
			run(t, p.watchers["n1"])
			require.Eventually(t, func() bool { return !p.watchers["n1"].ReadAt().IsZero() }, _waitTimeout, _pollInterval)
			if tt.stale {
				old.set(func() { old.unavailable = true })
				current.write("left", true)
				time.Sleep(1500 * time.Millisecond)
			}
			started := &watch.Watcher{
				Feed: current, Sink: s, Interval: 50 * time.Millisecond, Instance: "n2", Peers: p,
				Neighbours: func() []watch.Neighbour { return all[1:] },
				Start: func(context.Context) (watch.Start, error) {
					return watch.Start{Candidates: all[:1], Patient: true}, nil
				},
			}
			p.mu.Lock()
			p.watchers["n2"] = started
			p.mu.Unlock()
			reads := make(chan int, 1)
			s.onDone = func() {
				select {
				case reads <- current.calls:
				default:
				}
			}
			run(t, started)
			first := <-reads
			assert.Equal(t, tt.fromNeighbour, first == 0, "calls of the store before the first keys: %d", first)
			assert.Equal(t, !tt.stale, s.has("left"))
		})
	}
}

// TestPatientInstancesWaitForReader kills all instances of a region at once: those that
// callers are not sent to wait for one that reads the store, instead of reading it all at
// the same time.
func TestPatientInstancesWaitForReader(t *testing.T) {
	f := &feed{rangeTime: 300 * time.Millisecond}
	f.write("a", false)
	all := []watch.Neighbour{{Name: "n0", Capacity: 1}}
	for n := 1; n < 8; n++ {
		all = append(all, watch.Neighbour{Name: fmt.Sprint("n", n)})
	}
	p := &peers{watchers: map[string]*watch.Watcher{}, silent: map[string]bool{}}
	sinks := make(map[string]*sink)
	for i, n := range all {
		sinks[n.Name] = newSink()
		p.watchers[n.Name] = &watch.Watcher{
			Feed: f, Sink: sinks[n.Name], Interval: 100 * time.Millisecond, Instance: n.Name, Peers: p,
			Neighbours: func() []watch.Neighbour { return all },
			Start: func(context.Context) (watch.Start, error) {
				return watch.Start{Candidates: all[:1], Patient: i > 0}, nil
			},
		}
	}
	for _, n := range all {
		run(t, p.watchers[n.Name])
	}
	require.Eventually(t, func() bool {
		for _, s := range sinks {
			if !s.has("a") {
				return false
			}
		}
		return true
	}, _waitTimeout, _pollInterval)
	f.set(func() { assert.Less(t, f.ranges, 3, "whole reads of the store") })
}

// TestSlowListDelaysNoStart has the store answer slowly: the keys are read without waiting
// for the list of neighbours.
func TestSlowListDelaysNoStart(t *testing.T) {
	f, s := &feed{}, newSink()
	f.write("a", false)
	started := time.Now()
	run(t, &watch.Watcher{
		Feed: f, Sink: s, Interval: 50 * time.Millisecond, Instance: "n1", Peers: &peers{},
		Neighbours: func() []watch.Neighbour { return nil },
		Start: func(ctx context.Context) (watch.Start, error) {
			<-ctx.Done()
			return watch.Start{}, ctx.Err()
		},
	})
	require.Eventually(t, func() bool { return s.has("a") }, _waitTimeout, _pollInterval)
	assert.Less(t, time.Since(started), 600*time.Millisecond)
}

// TestPanicLeavesOutOneKey has a value make the sink panic: the other keys are delivered
// and the watcher goes on.
func TestPanicLeavesOutOneKey(t *testing.T) {
	f, s := &feed{}, newSink()
	s.panicsAt = "bad"
	for _, key := range []string{"a", "bad", "c"} {
		f.write(key, false)
	}
	run(t, &watch.Watcher{Feed: f, Sink: s, Interval: 10 * time.Millisecond})
	require.Eventually(t, func() bool { return s.has("a") && s.has("c") }, _waitTimeout, _pollInterval)
	f.write("bad", false)
	f.write("d", false)
	require.Eventually(t, func() bool { return s.has("d") }, _waitTimeout, _pollInterval)
	assert.False(t, s.has("bad"))
}

// TestCompactedSnapshotIsNotReadForever has the store answer each call as if its history
// were compacted.
func TestCompactedSnapshotIsNotReadForever(t *testing.T) {
	f, s := &feed{alwaysCompacted: true}, newSink()
	run(t, &watch.Watcher{Feed: f, Sink: s, Interval: 50 * time.Millisecond})
	time.Sleep(500 * time.Millisecond)
	f.set(func() { assert.Less(t, f.calls, 20) })
}
