package watch_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/store"
	"github.com/wigeonlock/wigeonlock/watch"
)

func item(key string, revision store.Revision) store.Item {
	return store.Item{Key: key, Value: []byte(key), Revision: revision}
}

func put(key string, revision store.Revision) watch.Change {
	return watch.Change{Change: store.Change{Item: item(key, revision)}}
}

func deleted(key string, revision store.Revision) watch.Change {
	return watch.Change{Change: store.Change{Item: store.Item{Key: key, Revision: revision}, Deleted: true}}
}

func keys(changes []watch.Change) []string {
	var list []string
	for _, c := range changes {
		if c.Deleted {
			list = append(list, "-"+c.Key)
			continue
		}
		list = append(list, c.Key)
	}
	return list
}

// TestChangesAreOrderedByRevision applies batches of two readers, one of which
// lags behind the other.
func TestChangesAreOrderedByRevision(t *testing.T) {
	c := &watch.Cache{}
	assert.Equal(t, []string{"a", "b"}, keys(c.Apply(watch.Batch{Full: true, Revision: 10, Changes: []watch.Change{put("a", 5), put("b", 6)}}, time.Time{})))
	assert.Equal(t, []string{"-a"}, keys(c.Apply(watch.Batch{Revision: 20, Changes: []watch.Change{deleted("a", 15)}}, time.Time{})))

	old := watch.Batch{Full: true, Revision: 12, Changes: []watch.Change{put("a", 5), put("b", 6)}}
	assert.Empty(t, c.Apply(old, time.Time{}), "a lagging reader restores no deleted key")
	assert.EqualValues(t, 20, c.Revision())

	c.Apply(watch.Batch{Revision: 21, Changes: []watch.Change{put("c", 21)}}, time.Time{})
	assert.Empty(t, c.Apply(old, time.Time{}), "a lagging reader deletes no newer key")
	assert.Equal(t, []string{"a"}, keys(c.Apply(watch.Batch{Revision: 30, Changes: []watch.Change{put("a", 25)}}, time.Time{})), "a deleted key was written again")
}

func TestKeyMissingFromSnapshotIsDeleted(t *testing.T) {
	c := &watch.Cache{}
	c.Apply(watch.Batch{Full: true, Revision: 10, Changes: []watch.Change{put("a", 5), put("b", 6)}}, time.Time{})
	tentativeUntil := time.Unix(100, 0)
	deletions := c.Apply(watch.Batch{Full: true, Revision: 20, Changes: []watch.Change{put("b", 6)}}, tentativeUntil)
	require.Equal(t, []string{"-a"}, keys(deletions))
	assert.Equal(t, tentativeUntil, deletions[0].TentativeUntil)
	assert.Len(t, c.Snapshot().Changes, 1)
}

// TestOnlyMissedChangesAreSent connects a neighbour that has read nearly all
// changes: heartbeats are not sent again.
func TestOnlyMissedChangesAreSent(t *testing.T) {
	c := &watch.Cache{}
	for _, change := range c.Apply(watch.Batch{Full: true, Revision: 10, Changes: []watch.Change{
		put("a", 5), put("b", 6), put("d", 7),
	}}, time.Time{}) {
		c.RecordUpdate(change)
	}
	c.Apply(watch.Batch{Revision: 30, Changes: []watch.Change{put("a", 25), deleted("d", 26)}}, time.Time{})
	for _, change := range c.Apply(watch.Batch{Revision: 40, Changes: []watch.Change{put("c", 35)}}, time.Time{}) {
		c.RecordUpdate(change)
	}
	missed, err := c.Since(20)
	require.NoError(t, err)
	assert.False(t, missed.Full)
	assert.ElementsMatch(t, []string{"c", "-d"}, keys(missed.Changes), "key a changed by a heartbeat only")
	assert.EqualValues(t, 40, missed.Revision)
	none, err := c.Since(40)
	require.NoError(t, err)
	assert.Empty(t, none.Changes)
	all, err := c.Since(0)
	require.NoError(t, err)
	assert.True(t, all.Full, "a follower that has read nothing gets a snapshot")
	_, err = c.Since(9)
	require.ErrorIs(t, err, watch.ErrBehind, "a follower that is behind the first snapshot must not miss a change")

	other := &watch.Cache{}
	other.Apply(watch.Batch{Full: true, Revision: 20, Changes: []watch.Change{put("a", 5), put("b", 6), put("d", 7)}}, time.Time{})
	other.Apply(missed, time.Time{})
	assert.Len(t, other.Snapshot().Changes, 3)
}

// TestTombstonesAreLimited writes and deletes many keys: the number of remembered
// deletions is limited, and a follower that missed more gets ErrBehind.
func TestTombstonesAreLimited(t *testing.T) {
	c := &watch.Cache{}
	c.Apply(watch.Batch{Full: true, Revision: 1, Changes: []watch.Change{put("stays", 1)}}, time.Time{})
	const n = 20_000
	for i := range n {
		key, revision := fmt.Sprint("k", i), store.Revision(2*i+2)
		c.Apply(watch.Batch{Revision: revision + 1, Changes: []watch.Change{put(key, revision), deleted(key, revision+1)}}, time.Time{})
	}
	_, err := c.Since(2)
	require.ErrorIs(t, err, watch.ErrBehind)
	late, err := c.Since(2*n - 20)
	require.NoError(t, err)
	assert.False(t, late.Full)
	assert.Len(t, late.Changes, 11)
}

func TestExcludedReadersAreSkipped(t *testing.T) {
	now := time.Unix(1000, 0)
	all := []watch.Neighbour{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}}
	s := &watch.ReaderSelector{Self: "none"}
	first, found := s.Reader(now, all)
	require.True(t, found)
	again, _ := (&watch.ReaderSelector{Self: "other"}).Reader(now, []watch.Neighbour{all[3], all[1], all[0], all[2]})
	assert.Equal(t, first, again, "all instances have the same order")

	s.Exclude(now, first.Name)
	second, found := s.Reader(now, all)
	require.True(t, found)
	assert.NotEqual(t, first, second)
	back, _ := s.Reader(now.Add(time.Minute), all)
	assert.Equal(t, first, back)

	self := &watch.ReaderSelector{Self: first.Name}
	_, found = self.Reader(now, all)
	assert.False(t, found, "the first instance reads the store itself")
	_, found = s.Reader(now, nil)
	assert.False(t, found, "an instance without neighbours reads the store itself")
}

// feed is a store that can be written, be unavailable and compact its history.
type feed struct {
	mu          sync.Mutex
	items       map[string]store.Item
	changes     []store.Change
	rev         store.Revision
	unavailable bool
	compacted   bool
	calls       int
	// ranges counts the calls of Range.
	ranges int
	// alwaysCompacted makes each call fail with ErrCompacted.
	alwaysCompacted bool
	// rangeTime is how long Range takes.
	rangeTime time.Duration
}

func (f *feed) write(key string, deletion bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rev++
	if deletion {
		delete(f.items, key)
		f.changes = append(f.changes, store.Change{Item: store.Item{Key: key, Revision: f.rev}, Deleted: true})
		return
	}
	if f.items == nil {
		f.items = map[string]store.Item{}
	}
	f.items[key] = item(key, f.rev)
	f.changes = append(f.changes, store.Change{Item: f.items[key]})
}

func (f *feed) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *feed) Range(ctx context.Context, _ string) ([]store.Item, store.Revision, error) {
	f.set(func() { f.ranges++ })
	select {
	case <-time.After(f.rangeTime):
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.unavailable {
		return nil, 0, store.ErrUnavailable
	}
	if f.alwaysCompacted {
		return nil, 0, store.ErrCompacted
	}
	var list []store.Item
	for _, i := range f.items {
		list = append(list, i)
	}
	f.compacted = false
	return list, f.rev, nil
}

func (f *feed) Changes(_ context.Context, _ string, after store.Revision, _ time.Duration) ([]store.Change, store.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.unavailable {
		return nil, 0, store.ErrUnavailable
	}
	if f.compacted {
		return nil, 0, store.ErrCompacted
	}
	var list []store.Change
	for _, c := range f.changes {
		if c.Revision > after {
			list = append(list, c)
		}
	}
	return list, f.rev, nil
}

// sink records the calls of the watcher.
type sink struct {
	mu        sync.Mutex
	keys      map[string]bool
	tentative map[string]time.Time
	failures  int
	reads     int
	// panicsAt is the key at which Put panics.
	panicsAt string
	// onDone, if set, is called after each read.
	onDone func()
}

func newSink() *sink { return &sink{keys: map[string]bool{}, tentative: map[string]time.Time{}} }

func (s *sink) Put(_ time.Time, i store.Item) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i.Key == s.panicsAt && i.Key != "" {
		panic("bad value")
	}
	s.keys[i.Key] = true
	return true
}

func (s *sink) Delete(_ time.Time, key string, _ store.Revision, tentativeUntil time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.keys, key)
	s.tentative[key] = tentativeUntil
}

func (s *sink) Done(time.Time, store.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.onDone != nil {
		s.onDone()
	}
}

func (s *sink) ReadFailed(time.Time, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures++
}

func (s *sink) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[key]
}

func (s *sink) tentativeUntil(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tentative[key]
}

const (
	_waitTimeout  = 10 * time.Second
	_pollInterval = 5 * time.Millisecond
)

func run(t *testing.T, w *watch.Watcher) {
	t.Helper()
	w.Log = zap.NewNop()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		assert.NoError(t, w.Run(ctx))
	}()
	t.Cleanup(func() { cancel(); <-done })
}

func TestReadsChangesAndSnapshotAfterCompaction(t *testing.T) {
	f, s := &feed{}, newSink()
	f.write("a", false)
	run(t, &watch.Watcher{Feed: f, Sink: s, Interval: 10 * time.Millisecond})
	require.Eventually(t, func() bool { return s.has("a") }, _waitTimeout, _pollInterval)
	f.write("b", false)
	require.Eventually(t, func() bool { return s.has("b") }, _waitTimeout, _pollInterval)

	f.set(func() {
		f.rev++
		delete(f.items, "a")
		f.compacted = true
	})
	require.Eventually(t, func() bool { return !s.has("a") }, _waitTimeout, _pollInterval, "a deletion in the compacted history")
	tentativeUntil := s.tentativeUntil("a")
	assert.True(t, tentativeUntil.IsZero(), "there was no outage")
}

// TestTentativeDeletionAfterOutage deletes a key during an outage of the store and
// another one after it.
func TestTentativeDeletionAfterOutage(t *testing.T) {
	f, s := &feed{}, newSink()
	f.write("a", false)
	run(t, &watch.Watcher{Feed: f, Sink: s, Interval: 10 * time.Millisecond})
	require.Eventually(t, func() bool { return s.has("a") }, _waitTimeout, _pollInterval)
	f.set(func() { f.unavailable = true })
	time.Sleep(1300 * time.Millisecond)
	f.write("a", true)
	f.set(func() { f.unavailable = false })
	require.Eventually(t, func() bool { return !s.has("a") }, _waitTimeout, _pollInterval)
	tentativeUntil := s.tentativeUntil("a")
	assert.False(t, tentativeUntil.IsZero(), "the key may reappear")
	assert.Less(t, time.Until(tentativeUntil), 2*time.Second)

	f.write("b", false)
	require.Eventually(t, func() bool { return s.has("b") }, _waitTimeout, _pollInterval)
	time.Sleep(1100 * time.Millisecond)
	f.write("b", true)
	require.Eventually(t, func() bool { return !s.has("b") }, _waitTimeout, _pollInterval)
	tentativeUntil = s.tentativeUntil("b")
	assert.True(t, tentativeUntil.IsZero(), "a deletion more than a second after the outage is definite")
}

// peers connects watchers in one process. Those in silent accept connections but
// forward no batches.
type peers struct {
	mu       sync.Mutex
	watchers map[string]*watch.Watcher
	silent   map[string]bool
	follows  int
	// snapshots counts the followers that were sent a snapshot.
	snapshots int
	// mute is set if a neighbour does not send what was missed either.
	mute bool
}

func (p *peers) Follow(ctx context.Context, n watch.Neighbour, after store.Revision, deliver func(watch.Batch)) error {
	p.mu.Lock()
	source := p.watchers[n.Name]
	p.follows++
	p.mu.Unlock()
	if source == nil {
		return errors.New("nobody listens at " + n.Address)
	}
	missed, batches, end, err := source.Subscribe(after)
	if err != nil {
		return err
	}
	defer end()
	if missed.Full {
		p.mu.Lock()
		p.snapshots++
		p.mu.Unlock()
	}
	p.mu.Lock()
	mute := p.mute
	p.mu.Unlock()
	if !mute {
		deliver(missed)
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case b, ok := <-batches:
			if !ok {
				return nil
			}
			p.mu.Lock()
			silent := p.silent[n.Name]
			p.mu.Unlock()
			if !silent {
				deliver(b)
			}
		}
	}
}

// TestOneInstanceReadsForAll runs three instances, of which one reads the store
// for the others until it stops sending.
func TestOneInstanceReadsForAll(t *testing.T) {
	f := &feed{}
	f.write("a", false)
	all := []watch.Neighbour{{Name: "n1"}, {Name: "n2"}, {Name: "n3"}}
	p := &peers{watchers: map[string]*watch.Watcher{}, silent: map[string]bool{}}
	sinks := map[string]*sink{}
	for _, n := range all {
		sinks[n.Name] = newSink()
		p.watchers[n.Name] = &watch.Watcher{
			Feed: f, Sink: sinks[n.Name], Interval: 100 * time.Millisecond, Instance: n.Name, Peers: p,
			Neighbours: func() []watch.Neighbour { return all },
		}
	}
	for _, n := range all {
		run(t, p.watchers[n.Name])
	}
	everywhere := func(key string) func() bool {
		return func() bool {
			for _, s := range sinks {
				if !s.has(key) {
					return false
				}
			}
			return true
		}
	}
	require.Eventually(t, everywhere("a"), _waitTimeout, _pollInterval)
	time.Sleep(500 * time.Millisecond)
	f.set(func() { f.calls = 0 })
	time.Sleep(2 * time.Second)
	f.set(func() { assert.Less(t, f.calls, 45, "only one of the three instances reads, ten times a second") })

	f.write("b", false)
	require.Eventually(t, everywhere("b"), _waitTimeout, _pollInterval)

	reader, _ := (&watch.ReaderSelector{Self: "none"}).Reader(time.Now(), all)
	p.mu.Lock()
	p.silent[reader.Name] = true
	p.mu.Unlock()
	f.write("c", false)
	require.Eventually(t, everywhere("c"), _waitTimeout, _pollInterval, "the others receive the change without the reader")
}

// refusedFeed is the store as an instance sees it that the store may turn away.
type refusedFeed struct {
	*feed
	refused atomic.Bool
}

func (f *refusedFeed) Range(ctx context.Context, prefix string) ([]store.Item, store.Revision, error) {
	if f.refused.Load() {
		return nil, 0, store.ErrThrottled
	}
	return f.feed.Range(ctx, prefix)
}

func (f *refusedFeed) Changes(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Change, store.Revision, error) {
	if f.refused.Load() {
		return nil, 0, store.ErrThrottled
	}
	return f.feed.Changes(ctx, prefix, after, wait)
}

// TestRefusedReadersFollowTheNext has the store turn away the first two instances in the
// order of readers, while it serves the third: they must hear of changes from that one.
func TestRefusedReadersFollowTheNext(t *testing.T) {
	f := &feed{}
	f.write("a", false)
	all := []watch.Neighbour{{Name: "n1", Capacity: 4}, {Name: "n2", Capacity: 3}, {Name: "n3", Capacity: 2}, {Name: "n4", Capacity: 1}}
	p := &peers{watchers: map[string]*watch.Watcher{}, silent: map[string]bool{}}
	sinks, feeds := map[string]*sink{}, map[string]*refusedFeed{}
	for _, n := range all {
		sinks[n.Name], feeds[n.Name] = newSink(), &refusedFeed{feed: f}
		p.watchers[n.Name] = &watch.Watcher{
			Feed: feeds[n.Name], Sink: sinks[n.Name], Interval: 100 * time.Millisecond, Instance: n.Name, Peers: p,
			Neighbours: func() []watch.Neighbour { return all },
		}
	}
	for _, n := range all {
		run(t, p.watchers[n.Name])
	}
	everywhere := func(key string) func() bool {
		return func() bool {
			for _, s := range sinks {
				if !s.has(key) {
					return false
				}
			}
			return true
		}
	}
	require.Eventually(t, everywhere("a"), _waitTimeout, _pollInterval)
	feeds["n1"].refused.Store(true)
	feeds["n2"].refused.Store(true)
	time.Sleep(4 * time.Second)
	for n := range 8 {
		key := fmt.Sprint("b", n)
		f.write(key, false)
		require.Eventually(t, everywhere(key), 2500*time.Millisecond, _pollInterval, "change %d", n)
		time.Sleep(500 * time.Millisecond)
	}
}

// TestSnapshotMayTakeLongerThanCall reads a snapshot whose pages together take
// longer than the timeout of one call, as with many keys, a slow store, or
// hundreds of instances that start at once.
func TestSnapshotMayTakeLongerThanCall(t *testing.T) {
	f, s := &feed{rangeTime: 1500 * time.Millisecond}, newSink()
	f.write("a", false)
	run(t, &watch.Watcher{Feed: f, Sink: s, Interval: 50 * time.Millisecond})
	require.Eventually(t, func() bool { return s.has("a") }, _waitTimeout, _pollInterval)
}

func TestSlowSubscriberIsClosed(t *testing.T) {
	f, s := &feed{}, newSink()
	watcher := &watch.Watcher{Feed: f, Sink: s, Interval: time.Millisecond}
	_, batches, end, err := watcher.Subscribe(0)
	require.NoError(t, err)
	defer end()
	run(t, watcher)
	closed := false
	deadline := time.After(_waitTimeout)
	time.Sleep(3 * time.Second)
	for !closed {
		select {
		case _, ok := <-batches:
			closed = !ok
		case <-deadline:
			t.Fatal("the channel did not close")
		}
	}
}

// TestFollowerThatIsBehindReadsChanges starts a follower before the instance that
// it follows, as when all instances start at once. It must not be sent a snapshot,
// which costs a hundred times the bytes of the changes, unless it cannot read the
// store itself.
func TestFollowerThatIsBehindReadsChanges(t *testing.T) {
	for _, refused := range []bool{false, true} {
		t.Run(fmt.Sprint("refused ", refused), func(t *testing.T) {
			f, followerFeed := &feed{}, &feed{}
			f.write("a", false)
			followerFeed.write("a", false)
			all := []watch.Neighbour{{Name: "n1"}, {Name: "n2"}}
			reader, _ := (&watch.ReaderSelector{Self: "none"}).Reader(time.Now(), all)
			name := all[0].Name
			if name == reader.Name {
				name = all[1].Name
			}
			known := &atomic.Bool{}
			p := &peers{watchers: map[string]*watch.Watcher{}, silent: map[string]bool{}}
			s := newSink()
			neighbours := func() []watch.Neighbour {
				if known.Load() {
					return all
				}
				return nil
			}
			p.watchers[name] = &watch.Watcher{
				Feed: followerFeed, Sink: s, Interval: 50 * time.Millisecond, Instance: name, Peers: p, Neighbours: neighbours,
			}
			p.watchers[reader.Name] = &watch.Watcher{
				Feed: f, Sink: newSink(), Interval: 50 * time.Millisecond, Instance: reader.Name, Peers: p, Neighbours: neighbours,
			}
			run(t, p.watchers[name])
			require.Eventually(t, func() bool { return s.has("a") }, _waitTimeout, _pollInterval)
			followerFeed.set(func() { followerFeed.unavailable = refused })
			f.write("b", false)
			f.write("c", false)
			if !refused {
				followerFeed.write("b", false)
				followerFeed.write("c", false)
			}
			run(t, p.watchers[reader.Name])
			require.Eventually(t, func() bool { return !p.watchers[reader.Name].ReadAt().IsZero() }, _waitTimeout, _pollInterval)
			known.Store(true)
			require.Eventually(t, func() bool { return s.has("c") }, _waitTimeout, _pollInterval)
			f.write("d", false)
			require.Eventually(t, func() bool { return s.has("d") }, _waitTimeout, _pollInterval, "it keeps following")
			p.mu.Lock()
			defer p.mu.Unlock()
			if refused {
				assert.Equal(t, 1, p.snapshots)
			} else {
				assert.Zero(t, p.snapshots)
			}
		})
	}
}
