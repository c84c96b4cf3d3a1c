package watch

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/store"
)

const (
	// _restoredWait and _restoredSpread are how long an instance waits, after the store was
	// restored, for a neighbour to read it: all keys take a call for each page.
	_restoredWait   = 2 * time.Second
	_restoredSpread = 1500 * time.Millisecond
	// _maxLoggedKeys is the number of keys that are named after a restore.
	_maxLoggedKeys = 10
)

// era returns the latest era that the store has named.
func (w *Watcher) era() store.Era {
	if w.Era == nil {
		return 0
	}
	return w.Era()
}

// awaitNeighbour reports whether this instance leaves it to a neighbour to read all keys of
// a restored store. It does so once, for a while.
func (w *Watcher) awaitNeighbour(now time.Time, isReader bool) bool {
	w.recoveredAt, w.failures = now, 0
	w.mu.Lock()
	defer w.mu.Unlock()
	if known := w.cache.Revision(); w.awaitedAt != known {
		w.awaitedAt = known
		w.awaitUntil = now.Add(_restoredWait + time.Duration(rand.Float64()*float64(_restoredSpread)))
		// While the store was away, no neighbour had news.
		w.selector.Reset()
		if w.Peers != nil {
			_, found := w.selector.Reader(now, w.Neighbours())
			isReader = !found
		}
	}
	return !isReader && now.Before(w.awaitUntil)
}

// restored logs what a restore of the store undid, and returns what is retained. The
// caller holds mu.
func (w *Watcher) restored(before store.Revision, b Batch, changes []Change) []Change {
	lost := 0
	for _, c := range changes {
		if c.Deleted {
			lost++
		}
	}
	retained := w.cache.Retained()
	keys := make([]string, 0, _maxLoggedKeys)
	for _, c := range retained[:min(len(retained), _maxLoggedKeys)] {
		keys = append(keys, c.Key)
	}
	_lost.Add(lost)
	_retained.Add(len(retained))
	w.Log.Warn("keys of the restored store are known", zap.Stringer("revision", b.Revision), zap.Stringer("knownRevision", before),
		zap.Bool("snapshot", b.Full), zap.Int("changed", len(changes)-lost), zap.Int("lost", lost),
		zap.Int("retained", len(retained)), zap.Strings("retainedKeys", keys))
	return retained
}

// expire deletes the keys that a restored store lost and that were not written again.
func (w *Watcher) expire(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.cache.Expire(now) {
		_expired.Inc()
		w.Log.Warn("lost key was not written again", zap.String("key", c.Key))
		w.deliver(now, c)
	}
}
