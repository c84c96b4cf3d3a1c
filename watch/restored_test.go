package watch_test

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"maps"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/store"
	"github.com/wigeonlock/wigeonlock/watch"
)

// numbers orders values that are numbers. Keys under zone/ tell nothing, and "config" and keys
// under zone/ are retained.
type numbers struct{}

func (numbers) Compare(key string, a, b []byte) (int, bool) {
	if strings.HasPrefix(key, "zone/") {
		return 0, false
	}
	first, _ := strconv.Atoi(string(a))
	second, _ := strconv.Atoi(string(b))
	return cmp.Compare(first, second), true
}

func (numbers) Retention(key string) (time.Duration, bool) {
	return map[bool]time.Duration{true: time.Second}[strings.HasPrefix(key, "zone/")], key == "config" || strings.HasPrefix(key, "zone/")
}

func at(era store.Era, number uint64) store.Revision { return store.RevisionOf(era, number) }

func wrote(key, value string, revision store.Revision) watch.Change {
	return watch.Change{Change: store.Change{Item: store.Item{Key: key, Value: []byte(value), Revision: revision}}}
}

// cacheWith returns a cache after a snapshot of era 1 up to revision 66.
func cacheWith(changes ...watch.Change) *watch.Cache {
	c := &watch.Cache{Order: numbers{}}
	c.Apply(watch.Batch{Full: true, Revision: at(1, 66), Changes: changes}, time.Time{})
	return c
}

// snapshot is a whole read of the restored store.
func snapshot(changes ...watch.Change) watch.Batch {
	return watch.Batch{Full: true, Revision: at(2, 50), At: time.Unix(1000, 0), Changes: changes}
}

// values returns the values of all keys, as a neighbour that starts gets them.
func values(c *watch.Cache) map[string]string {
	all := make(map[string]string)
	for _, change := range c.Snapshot().Changes {
		if !change.Deleted {
			all[change.Key] = string(change.Value)
		}
	}
	return all
}

// TestLaterWriteOfRestoredStoreIsApplied gives out the revision of a known write again.
func TestLaterWriteOfRestoredStoreIsApplied(t *testing.T) {
	c := cacheWith(wrote("config", "11", at(1, 66)))
	c.Apply(snapshot(wrote("config", "11", at(2, 50))), time.Time{})
	changes := c.Apply(watch.Batch{Revision: at(2, 60), Changes: []watch.Change{wrote("config", "13", at(2, 60))}}, time.Time{})
	assert.Equal(t, []string{"config"}, keys(changes))
	assert.Equal(t, at(2, 60), c.Revision())
	assert.Equal(t, "13", values(c)["config"])
}

// TestRestoredStoreRevertsNothing has the copy hold older states, which are written again later:
// that is no change, and counts once.
func TestRestoredStoreRevertsNothing(t *testing.T) {
	c := cacheWith(wrote("config", "11", at(1, 66)), wrote("worker", "12", at(1, 65)))
	assert.Empty(t, c.Apply(snapshot(wrote("config", "8", at(2, 40)), wrote("worker", "10", at(2, 41))), time.Time{}))
	assert.Equal(t, map[string]string{"config": "11", "worker": "12"}, values(c))
	assert.Len(t, c.Retained(), 2)
	again := watch.Batch{Revision: at(2, 52), Changes: []watch.Change{wrote("config", "11", at(2, 51)), wrote("worker", "12", at(2, 52))}}
	assert.Empty(t, c.Apply(again, time.Time{}))
	assert.Empty(t, c.Retained())
	assert.Equal(t, map[string]string{"config": "11", "worker": "12"}, values(c))
}

// TestLostKeys has keys missing from the copy: the configuration stays until it is written
// again, a closed zone for a while, others are deleted tentatively.
func TestLostKeys(t *testing.T) {
	c := cacheWith(wrote("config", "11", at(1, 66)), wrote("worker", "1", at(1, 65)), wrote("zone/a", "{}", at(1, 64)), wrote("zone/b", "{}", at(1, 63)))
	until := time.Unix(1001, 0)
	deletions := c.Apply(snapshot(), until)
	require.Equal(t, []string{"-worker"}, keys(deletions))
	assert.Equal(t, until, deletions[0].TentativeUntil)
	c.Apply(watch.Batch{Revision: at(2, 51), Changes: []watch.Change{wrote("zone/b", "{}", at(2, 51))}}, time.Time{})
	assert.Empty(t, c.Expire(time.Unix(1000, 0)))
	assert.Equal(t, []string{"-zone/a"}, keys(c.Expire(time.Unix(1002, 0))))
	assert.Equal(t, map[string]string{"config": "11", "zone/b": "{}"}, values(c))
	assert.Empty(t, c.Expire(time.Unix(2000, 0)))
}

// TestDeletedKeyDoesNotComeBack has the copy hold a worker that left and a zone that was opened
// in the seconds that the store lost. A later entry of the worker and a later request to close
// the zone count.
func TestDeletedKeyDoesNotComeBack(t *testing.T) {
	c := cacheWith(wrote("worker", "12", at(1, 40)), wrote("zone/a", "{}", at(1, 41)))
	c.Apply(watch.Batch{Revision: at(1, 70), Changes: []watch.Change{deleted("worker", at(1, 69)), deleted("zone/a", at(1, 70))}}, time.Time{})
	assert.Empty(t, c.Apply(snapshot(wrote("worker", "12", at(2, 40)), wrote("zone/a", "{}", at(2, 41))), time.Time{}))
	assert.Empty(t, values(c), "a neighbour that starts must not use them either")

	assert.Empty(t, c.Apply(watch.Batch{Revision: at(2, 52), Changes: []watch.Change{deleted("worker", at(2, 52))}}, time.Time{}))
	assert.Len(t, c.Retained(), 1, "the store itself has no worker now")
	later := watch.Batch{Revision: at(2, 55), Changes: []watch.Change{wrote("worker", "13", at(2, 53)), wrote("zone/a", "{}", at(2, 55))}}
	assert.Equal(t, []string{"worker", "zone/a"}, keys(c.Apply(later, time.Time{})))
}

// TestStartInTheGapLearnsWhatWasLost lets an instance read only the restored store, and then
// hear from a neighbour that has lived through the restore.
func TestStartInTheGapLearnsWhatWasLost(t *testing.T) {
	known := cacheWith(wrote("config", "11", at(1, 66)), wrote("worker", "12", at(1, 40)), wrote("zone/a", "{}", at(1, 41)), wrote("zone/b", "{}", at(1, 42)))
	known.Apply(watch.Batch{Revision: at(1, 70), Changes: []watch.Change{deleted("worker", at(1, 69)), deleted("zone/a", at(1, 70))}}, time.Time{})
	copied := snapshot(wrote("config", "8", at(2, 39)), wrote("worker", "12", at(2, 40)), wrote("zone/a", "{}", at(2, 41)))
	known.Apply(copied, time.Time{})

	started := &watch.Cache{Order: numbers{}}
	started.Apply(copied, time.Time{})
	missed, err := known.Since(started.Revision())
	require.NoError(t, err)
	changes := started.Apply(missed, time.Time{})
	assert.ElementsMatch(t, []string{"config", "-worker", "-zone/a", "zone/b"}, keys(changes))
	assert.Equal(t, map[string]string{"config": "11", "zone/b": "{}"}, values(started))
	assert.Len(t, started.Retained(), 4, "it passes them on")
	assert.Equal(t, []string{"-zone/b"}, keys(started.Expire(time.Unix(1002, 0))))
}

// TestNeighbourOfEarlierEra applies what a neighbour passes on that is cut off from the restored
// store, or whose build names no era: it reverts nothing, does not count as a read of the store,
// and adds what is newer.
func TestNeighbourOfEarlierEra(t *testing.T) {
	for name, era := range map[string]store.Era{"cut off": 1, "other build": 0} {
		t.Run(name, func(t *testing.T) {
			c := cacheWith(wrote("config", "8", at(1, 40)), wrote("worker", "12", at(1, 65)), wrote("zone/a", "{}", at(1, 42)))
			c.Apply(snapshot(wrote("config", "13", at(2, 49)), wrote("worker", "13", at(2, 50))), time.Time{})
			c.Apply(watch.Batch{Revision: at(2, 51), Changes: []watch.Change{deleted("worker", at(2, 51)), deleted("zone/a", at(2, 51))}}, time.Time{})
			readAt := c.ReadAt()
			old := watch.Batch{Full: true, Revision: at(era, 90), At: time.Unix(2000, 0), Changes: []watch.Change{
				wrote("config", "11", at(era, 80)), wrote("worker", "12", at(era, 81)), wrote("zone/a", "{}", at(era, 82)),
			}}
			assert.Empty(t, c.Apply(old, time.Time{}))
			assert.Equal(t, map[string]string{"config": "13"}, values(c))
			assert.Equal(t, at(2, 51), c.Revision())
			assert.Equal(t, readAt, c.ReadAt())
			news := watch.Batch{Revision: at(era, 91), Changes: []watch.Change{wrote("config", "15", at(era, 91))}}
			assert.Equal(t, []string{"config"}, keys(c.Apply(news, time.Time{})))
		})
	}
}

// TestFollowersAcrossRestores subscribes from positions of three eras.
func TestFollowersAcrossRestores(t *testing.T) {
	c := cacheWith(wrote("a", "1", at(1, 60)))
	c.Apply(watch.Batch{Full: true, Revision: at(2, 50), Changes: []watch.Change{wrote("a", "1", at(2, 40)), wrote("b", "1", at(2, 45))}}, time.Time{})
	for _, change := range c.Apply(watch.Batch{Full: true, Revision: at(3, 20), Changes: []watch.Change{wrote("a", "2", at(3, 18)), wrote("c", "1", at(3, 20))}}, time.Time{}) {
		c.RecordUpdate(change)
	}
	for _, after := range []store.Revision{at(1, 66), at(2, 50)} {
		missed, err := c.Since(after)
		require.NoError(t, err, after)
		assert.ElementsMatch(t, []string{"a", "c", "-b"}, keys(missed.Changes), after)
	}
	for _, ahead := range []store.Revision{at(1, 67), at(2, 51), at(4, 1), at(0, 66)} {
		_, err := c.Since(ahead)
		assert.ErrorIs(t, err, watch.ErrBehind, "%s: what it knows more may be lost", ahead)
	}
}

// restorable is a store that can be restored from a copy of its data.
type restorable struct {
	mu        sync.Mutex
	items     map[string]store.Item
	changes   []store.Change
	rev       store.Revision
	down      atomic.Bool
	snapshots atomic.Int32
	calls     atomic.Int32
	era       atomic.Uint32
	copied    *restorable
}

func newRestorable() *restorable {
	f := &restorable{items: map[string]store.Item{}, rev: at(1, 1)}
	f.era.Store(1)
	return f
}

func (f *restorable) configure(version string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rev++
	f.items["config"] = store.Item{Key: "config", Value: []byte(version), Revision: f.rev}
	f.changes = append(f.changes, store.Change{Item: f.items["config"]})
}

// copy keeps the data as they are for restore.
func (f *restorable) copy() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.copied = &restorable{items: maps.Clone(f.items), rev: f.rev}
}

func (f *restorable) restore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.era.Add(1)
	f.rev = store.RevisionOf(store.Era(f.era.Load()), f.copied.rev.Number())
	f.items, f.changes = map[string]store.Item{}, nil
	for key, i := range f.copied.items {
		i.Revision = store.RevisionOf(f.rev.Era(), i.Revision.Number())
		f.items[key] = i
	}
}

func (f *restorable) named() store.Era { return store.Era(f.era.Load()) }

func (f *restorable) Range(context.Context, string) ([]store.Item, store.Revision, error) {
	f.calls.Add(1)
	if f.down.Load() {
		return nil, 0, store.ErrUnavailable
	}
	f.snapshots.Add(1)
	time.Sleep(50 * time.Millisecond) // some pages
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]store.Item, 0, len(f.items))
	for _, i := range f.items {
		list = append(list, i)
	}
	return list, f.rev, nil
}

func (f *restorable) Changes(_ context.Context, _ string, after store.Revision, _ time.Duration) ([]store.Change, store.Revision, error) {
	f.calls.Add(1)
	if f.down.Load() {
		return nil, 0, store.ErrUnavailable
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if after.Era() != f.rev.Era() {
		return nil, 0, store.ErrRestored
	}
	var list []store.Change
	for _, c := range f.changes {
		if c.Revision > after {
			list = append(list, c)
		}
	}
	return list, f.rev, nil
}

// valueSink records the values of keys.
type valueSink struct {
	*sink
	values sync.Map
}

func (s *valueSink) Put(now time.Time, i store.Item) bool {
	s.values.Store(i.Key, bytes.Clone(i.Value))
	return s.sink.Put(now, i)
}

func (s *valueSink) version() string {
	v, _ := s.values.Load("config")
	text, _ := v.([]byte)
	return string(text)
}

// region is a number of watchers that read one store.
type region struct {
	feed     *restorable
	peers    *peers
	all      []watch.Neighbour
	sinks    map[string]*valueSink
	interval time.Duration
}

func newRegion(f *restorable, instances int) *region {
	r := &region{
		feed: f, peers: &peers{watchers: map[string]*watch.Watcher{}, silent: map[string]bool{}}, sinks: map[string]*valueSink{},
		interval: 300 * time.Millisecond,
	}
	for n := range instances {
		r.all = append(r.all, watch.Neighbour{Name: fmt.Sprintf("n%03d", n), Capacity: float64(instances - n)})
	}
	return r
}

func (r *region) watcher(name string) *watch.Watcher {
	s := &valueSink{sink: newSink()}
	w := &watch.Watcher{
		Feed: r.feed, Sink: s, Interval: r.interval, Instance: name, Peers: r.peers, Order: numbers{}, Era: r.feed.named,
		Neighbours: func() []watch.Neighbour { return r.all },
	}
	r.peers.mu.Lock()
	defer r.peers.mu.Unlock()
	r.peers.watchers[name], r.sinks[name] = w, s
	return w
}

// active returns a condition: all instances have a version of the configuration.
func (r *region) active(version string) func() bool {
	return func() bool {
		r.peers.mu.Lock()
		defer r.peers.mu.Unlock()
		for _, s := range r.sinks {
			if s.version() != version {
				return false
			}
		}
		return true
	}
}

// TestRestoredStoreIsReadByFew restores the store of a region of 3, 98 and 180 instances twice,
// as in fleets of 9, 295 and 540: all must hear of what is different and of what is written
// then, without all of them reading all keys.
func TestRestoredStoreIsReadByFew(t *testing.T) {
	for _, instances := range []int{3, 98, 180} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			f := newRestorable()
			f.configure("8")
			r := newRegion(f, instances)
			for _, n := range r.all {
				run(t, r.watcher(n.Name))
			}
			require.Eventually(t, r.active("8"), _waitTimeout, 20*time.Millisecond)
			version := 8
			for range 2 {
				time.Sleep(time.Second)
				f.copy()
				for range 5 {
					version++
					f.configure(strconv.Itoa(version))
				}
				require.Eventually(t, r.active(strconv.Itoa(version)), _waitTimeout, 20*time.Millisecond)
				f.snapshots.Store(0)
				f.down.Store(true)
				time.Sleep(1700 * time.Millisecond)
				f.restore()
				f.down.Store(false)
				time.Sleep(2500 * time.Millisecond)
				assert.True(t, r.active(strconv.Itoa(version))(), "no version comes back")
				version++
				f.configure(strconv.Itoa(version))
				require.Eventually(t, r.active(strconv.Itoa(version)), 2*time.Second, 20*time.Millisecond)
				assert.LessOrEqual(t, f.snapshots.Load(), int32(8), "whole reads of the store")
			}
		})
	}
}

// TestReaderThatStartsInTheGapHearsOfLostConfiguration restarts the instance that reads for the
// others while the restored store has an older configuration.
func TestReaderThatStartsInTheGapHearsOfLostConfiguration(t *testing.T) {
	f := newRestorable()
	f.configure("8")
	r := newRegion(f, 5)
	for _, n := range r.all[1:] {
		run(t, r.watcher(n.Name))
	}
	require.Eventually(t, r.active("8"), _waitTimeout, 20*time.Millisecond)
	f.copy()
	f.configure("11")
	require.Eventually(t, r.active("11"), _waitTimeout, 20*time.Millisecond)
	f.down.Store(true)
	time.Sleep(time.Second)
	f.restore()
	f.down.Store(false)
	run(t, r.watcher(r.all[0].Name))
	require.Eventually(t, r.active("11"), 4*time.Second, 20*time.Millisecond)
	f.configure("13")
	require.Eventually(t, r.active("13"), 2500*time.Millisecond, 20*time.Millisecond)
}

// TestStartInTheGapAsksBeforeItUsesTheStore starts an instance that callers are sent to: it must
// have asked a neighbour before it uses what the restored store has.
func TestStartInTheGapAsksBeforeItUsesTheStore(t *testing.T) {
	f := newRestorable()
	f.configure("8")
	r := newRegion(f, 2)
	run(t, r.watcher(r.all[0].Name))
	require.Eventually(t, r.active("8"), _waitTimeout, 20*time.Millisecond)
	f.copy()
	f.configure("11")
	require.Eventually(t, r.active("11"), _waitTimeout, 20*time.Millisecond)
	f.restore()
	require.Eventually(t, func() bool { return r.peers.watchers[r.all[0].Name].Revision().Era() == 2 }, _waitTimeout, 20*time.Millisecond)

	started := r.watcher(r.all[1].Name)
	started.Start = func(context.Context) (watch.Start, error) { return watch.Start{Candidates: r.all[:1]}, nil }
	own := &peers{watchers: r.peers.watchers, silent: map[string]bool{}}
	started.Peers = own
	started.Neighbours = func() []watch.Neighbour { return r.all[1:] } // none is known before the first read
	asked := make(chan int, 1)
	r.sinks[r.all[1].Name].onDone = func() {
		own.mu.Lock()
		defer own.mu.Unlock()
		select {
		case asked <- own.follows:
		default:
		}
	}
	run(t, started)
	assert.Positive(t, <-asked, "neighbours asked before the first read takes effect")
	require.Eventually(t, r.active("11"), _waitTimeout, 5*time.Millisecond)
}
