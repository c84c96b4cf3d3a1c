// Package watch follows the keys under a prefix of the store and delivers each
// change once.
//
// Store calls cost money, so in each region one instance, the reader, polls the
// store and forwards what it reads to the other instances. An instance that has
// received nothing for a while reads the store itself and follows the next
// reader in an order that all instances share. Changes are deduplicated by
// revision, whichever instance they come from.
//
// The first read is a snapshot of all keys; another follows when the store has
// compacted the history since the last read, or was restored from an earlier copy. Then
// only the reader of each region reads it, and tells the others what is different. Keys that are missing from a
// snapshot count as deleted. Right after an outage of the store a deletion may
// be an artefact of the outage. It is then tentative: it carries the time until
// which the key may reappear.
//
// # Usage
//
//	w := &watch.Watcher{Feed: store, Sink: sink, Interval: time.Second}
//	w.Run(ctx)
package watch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/kernel"
	"github.com/wigeonlock/wigeonlock/retry"
	"github.com/wigeonlock/wigeonlock/store"
)

const (
	// _callTimeout limits one call. The store answers within milliseconds, or
	// within a quarter of a second when it is slow.
	_callTimeout = time.Second
	// _snapshotTimeout limits the read of a snapshot, which takes one call per
	// page: about ten pages at 5,000 workers. The feed limits each call.
	_snapshotTimeout = 10 * time.Second
	// _retryBase and _retryMax limit the pause after a failed call. Failed calls
	// cost money, too.
	_retryBase = 150 * time.Millisecond
	_retryMax  = 1500 * time.Millisecond
	// _outageThreshold is how long calls must fail to count as an outage.
	_outageThreshold = time.Second
	// _tentativeWindow is how long after the end of an outage deletions are
	// tentative.
	_tentativeWindow = time.Second
	// _reappearTime is how long after the end of an outage a tentatively deleted
	// key may reappear; the platform promises about two seconds.
	_reappearTime = 1800 * time.Millisecond
	// _maxReadAge is the age of the last read from which an instance reads the
	// store itself. A change has to be active within two and a half seconds.
	_maxReadAge = 1300 * time.Millisecond
	// _followTime is the time in which a neighbour that is followed must send what it
	// has read.
	_followTime = 400 * time.Millisecond
	// _refusedInterval is how often an instance that the store turns away tries to read.
	_refusedInterval = 2 * time.Second
	// _checkInterval is the time between checks of the age of the last read.
	_checkInterval = 100 * time.Millisecond
	// _subscriberQueue is the number of batches queued for one subscriber.
	_subscriberQueue = 16
)

// Sink receives the changes.
type Sink interface {
	// Put receives a written key. It reports whether neighbours need the change,
	// which is false for a mere heartbeat.
	Put(now time.Time, item store.Item) bool
	// Delete receives a deletion. After an outage of the store it is tentative:
	// the key may reappear until tentativeUntil, which is zero otherwise.
	Delete(now time.Time, key string, revision store.Revision, tentativeUntil time.Time)
	// Done is called after each read, once its changes are delivered.
	Done(now time.Time, revision store.Revision)
	// ReadFailed is called when a read of the store fails.
	ReadFailed(now time.Time, err error)
}

// Peers connects to neighbours.
type Peers interface {
	// Follow delivers what a neighbour has read since a revision, and then what
	// it reads until ctx ends or the connection fails. It returns ErrBehind if
	// the neighbour does not hold all changes since that revision.
	Follow(ctx context.Context, n Neighbour, after store.Revision, deliver func(Batch)) error
}

// Watcher follows the keys under a prefix. The exported fields are set before
// Run.
type Watcher struct {
	Feed   store.Feed
	Sink   Sink
	Prefix string
	// Interval is the pause between two reads of the changes.
	Interval time.Duration
	// Instance is the name of this instance.
	Instance string
	// Neighbours returns the instances of the region, this one included.
	Neighbours func() []Neighbour
	// Peers connects to the reader. If it is nil, this instance always reads the
	// store itself.
	Peers Peers
	// Order orders values of different eras of the store, and Era returns the latest era
	// that the store has named. Both may be nil.
	Order Order
	Era   func() store.Era
	// Start, if set, returns how to begin before any key was read.
	Start func(ctx context.Context) (Start, error)
	Log   *zap.Logger

	mu          sync.Mutex
	cache       Cache
	selector    ReaderSelector
	subscribers map[chan Batch]struct{}
	// behindAt is the time at which a neighbour returned ErrBehind. It is zero
	// once the store has been read since.
	behindAt time.Time
	// needSnapshot requests a snapshot from the next neighbour that is followed.
	needSnapshot bool

	// The fields below are used only by the goroutine of Run.

	// snapshotDue is set when the store cannot tell the changes since the last read.
	snapshotDue bool
	// awaitedAt is the revision before the restore after which a neighbour is awaited to
	// read the store, until awaitUntil.
	awaitedAt  store.Revision
	awaitUntil time.Time
	// candidates are the neighbours that were known at the start.
	candidates  []Neighbour
	lastAttempt time.Time
	pause       time.Duration
	failures    int
	// failingSince is the start of the first of the latest consecutive failures.
	failingSince time.Time
	// recoveredAt is the time at which the last outage of the store ended.
	recoveredAt time.Time
	// reader is the neighbour that is followed since followedAt; none if its name is
	// empty.
	reader     Neighbour
	followedAt time.Time
	stopFollow context.CancelFunc
}

var (
	_snapshots     = metrics.NewCounter("wigeonlock_follow_whole_readings_total")
	_reads         = metrics.NewCounter("wigeonlock_follow_readings_total")
	_changes       = metrics.NewCounter("wigeonlock_follow_changes_total")
	_failures      = metrics.NewCounter("wigeonlock_follow_failures_total")
	_panics        = metrics.NewCounter("wigeonlock_follow_panics_total")
	_behind        = metrics.NewCounter("wigeonlock_follow_behind_total")
	_retained      = metrics.NewCounter("wigeonlock_follow_retained_keys_total")
	_lost          = metrics.NewCounter("wigeonlock_follow_lost_keys_total")
	_expired       = metrics.NewCounter("wigeonlock_follow_expired_keys_total")
	_earlierEras   = metrics.NewCounter("wigeonlock_follow_earlier_era_batches_total")
	_readerChanges = metrics.NewCounter("wigeonlock_follow_leader_changes_total")
)

// Run follows the prefix until ctx ends and returns nil.
func (w *Watcher) Run(ctx context.Context) error {
	w.mu.Lock()
	w.selector.Self = w.Instance
	w.cache.Order = w.Order
	w.mu.Unlock()
	w.startFromNeighbour(ctx)
	backoff := retry.Backoff{Base: _retryBase, Max: _retryMax}
	tick := time.NewTicker(_checkInterval)
	defer tick.Stop()
	for {
		now := time.Now()
		w.expire(now)
		isReader := w.selectReader(ctx, now)
		if w.due(now, isReader) {
			w.lastAttempt, w.pause = now, w.Interval
			if err := w.poll(ctx, isReader); err != nil {
				w.pause = backoff.Delay(w.failures-1, rand.Float64())
			}
		}
		select {
		case <-ctx.Done():
			if w.stopFollow != nil {
				w.stopFollow()
			}
			return nil
		case <-tick.C:
		}
	}
}

// selectReader follows the neighbour that is the reader, and reports whether
// this instance has to read the store itself.
func (w *Watcher) selectReader(ctx context.Context, now time.Time) bool {
	if w.Peers == nil {
		return true
	}
	if w.behind(now) {
		return true
	}
	w.mu.Lock()
	switch {
	case !w.outdated(now):
	case w.reader.Name == "" && w.failures > 0:
		// The store turns this instance away, and may serve others.
		w.selector.Refused = true
		w.closeSubscribers()
	case w.reader.Name != "" && now.Sub(w.followedAt) >= _followTime:
		w.selector.Exclude(now, w.reader.Name)
	}
	reader, found := w.selector.Reader(now, w.Neighbours())
	w.mu.Unlock()
	if reader == w.reader {
		return !found
	}
	if w.stopFollow != nil {
		w.stopFollow()
		w.stopFollow = nil
	}
	w.reader, w.followedAt = reader, now
	_readerChanges.Inc()
	if !found {
		w.Log.Info("reading the store on behalf of the neighbours")
		return true
	}
	w.Log.Info("following a neighbour", zap.String("neighbour", reader.Name))
	followCtx, cancel := context.WithCancel(ctx)
	w.stopFollow = cancel
	go w.follow(followCtx, reader)
	return false
}

// behind reports whether the store has to be read before a neighbour is followed
// again. If the store cannot be read within _maxReadAge, the neighbour is asked
// for a snapshot instead.
func (w *Watcher) behind(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.behindAt.IsZero() {
		return false
	}
	read := w.cache.ReadAt().After(w.behindAt)
	if !read && now.Sub(w.behindAt) <= _maxReadAge {
		return true
	}
	w.behindAt, w.needSnapshot, w.reader = time.Time{}, !read, Neighbour{}
	return false
}

// follow applies what a neighbour reads until the connection ends.
func (w *Watcher) follow(ctx context.Context, n Neighbour) {
	w.mu.Lock()
	after := w.cache.Revision()
	if w.needSnapshot {
		after, w.needSnapshot = 0, false
	}
	w.mu.Unlock()
	err := w.Peers.Follow(ctx, n, after, func(b Batch) { w.apply(time.Now(), b, time.Time{}) })
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, ErrBehind) {
		_behind.Inc()
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.cache.Revision().Era() < w.era() {
			// The store does not have the changes since either, another neighbour may.
			w.selector.Exclude(time.Now(), n.Name)
			return
		}
		w.behindAt = time.Now()
		return
	}
	w.Log.Info("lost the connection to a neighbour", zap.String("neighbour", n.Name), zap.String("error", errorText(err)))
	w.mu.Lock()
	w.selector.Exclude(time.Now(), n.Name)
	w.mu.Unlock()
}

func errorText(err error) string {
	if err == nil {
		return "stream ended"
	}
	return err.Error()
}

// ReadAt returns the time of the last read of the store, by this instance or by
// the neighbour that it follows.
func (w *Watcher) ReadAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cache.ReadAt()
}

// Revision returns the revision up to which the store was read.
func (w *Watcher) Revision() store.Revision {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cache.Revision()
}

// outdated reports whether the last read is too old. The caller holds mu.
func (w *Watcher) outdated(now time.Time) bool {
	return now.Sub(w.cache.ReadAt()) > _maxReadAge
}

// due reports whether this instance has to read the store now. isReader is
// whether it reads for its neighbours.
func (w *Watcher) due(now time.Time, isReader bool) bool {
	if now.Sub(w.lastAttempt) < w.pause {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !isReader && now.Before(w.awaitUntil) && w.cache.Revision() == w.awaitedAt {
		return false
	}
	return isReader || w.outdated(now) || w.selector.Refused && now.Sub(w.lastAttempt) >= _refusedInterval
}

// poll reads the store once and applies what it read. isReader is whether this instance
// reads for its neighbours.
func (w *Watcher) poll(ctx context.Context, isReader bool) error {
	started := time.Now()
	b, err := w.read(ctx)
	now := time.Now()
	switch {
	case errors.Is(err, store.ErrRestored) && !w.snapshotDue:
		if w.awaitNeighbour(now, isReader) {
			return nil
		}
		w.snapshotDue = true
		return w.poll(ctx, isReader)
	case errors.Is(err, store.ErrCompacted) && !w.snapshotDue:
		w.snapshotDue = true
		w.Log.Info("store compacted the needed history, reading a snapshot")
		return w.poll(ctx, isReader)
	case err != nil:
		_failures.Inc()
		if w.failures == 0 {
			w.failingSince = started
		}
		w.failures++
		w.Sink.ReadFailed(now, err)
		return err
	}
	_reads.Inc()
	if w.failures > 0 && now.Sub(w.failingSince) > _outageThreshold {
		w.recoveredAt = now
	}
	w.failures = 0
	w.mu.Lock()
	w.selector.Refused = false
	w.mu.Unlock()
	b.At = started
	tentativeUntil := w.tentativeUntil(now)
	for i := range b.Changes {
		b.Changes[i].TentativeUntil = tentativeUntil
	}
	missed := w.missedByStore(ctx, b)
	w.apply(now, b, tentativeUntil)
	for _, m := range missed {
		w.apply(now, m, time.Time{})
	}
	if b.Full && isReader && w.Peers != nil {
		go w.askNeighbours(ctx)
	}
	return nil
}

func (w *Watcher) read(ctx context.Context) (Batch, error) {
	w.mu.Lock()
	after := w.cache.Revision()
	w.mu.Unlock()
	if after == 0 || w.snapshotDue {
		snapshotCtx, cancel := context.WithTimeout(ctx, _snapshotTimeout)
		defer cancel()
		items, revision, err := w.Feed.Range(snapshotCtx, w.Prefix)
		if err != nil {
			return Batch{}, err
		}
		_snapshots.Inc()
		w.snapshotDue = false
		b := Batch{Full: true, Revision: revision}
		for _, item := range items {
			b.Changes = append(b.Changes, Change{Change: store.Change{Item: item}})
		}
		return b, nil
	}
	callCtx, cancel := context.WithTimeout(ctx, _callTimeout)
	defer cancel()
	changes, revision, err := w.Feed.Changes(callCtx, w.Prefix, after, 0)
	if err != nil {
		return Batch{}, err
	}
	b := Batch{Revision: revision}
	for _, c := range changes {
		b.Changes = append(b.Changes, Change{Change: c})
	}
	return b, nil
}

// tentativeUntil returns the time until which a key that is deleted now may
// reappear, or zero if the deletion is definite.
func (w *Watcher) tentativeUntil(now time.Time) time.Time {
	if w.recoveredAt.IsZero() || now.Sub(w.recoveredAt) > _tentativeWindow {
		return time.Time{}
	}
	return w.recoveredAt.Add(_reappearTime)
}

// apply applies a batch and forwards the changes that neighbours need.
func (w *Watcher) apply(now time.Time, b Batch, tentativeUntil time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b.Revision.Era() < w.era() {
		// It may hold news, but does not confirm what the store has now.
		_earlierEras.Inc()
		b.At = time.Time{}
	}
	before := w.cache.Revision()
	changes := w.cache.Apply(b, tentativeUntil)
	forwarded := Batch{Revision: b.Revision, At: b.At}
	for _, c := range changes {
		_changes.Inc()
		if w.deliver(now, c) {
			w.cache.RecordUpdate(c)
			forwarded.Changes = append(forwarded.Changes, c)
		}
	}
	if before > 0 && b.Revision.Era() > before.Era() {
		forwarded.Changes = append(forwarded.Changes, w.restored(before, b, changes)...)
	}
	w.Sink.Done(now, b.Revision)
	w.forward(forwarded)
}

// deliver passes a change to the sink and reports whether neighbours need it. A key whose
// value makes the sink panic is left out, as one that cannot be decoded.
func (w *Watcher) deliver(now time.Time, c Change) (needed bool) {
	err := kernel.Guard(func() error {
		if c.Deleted {
			w.Sink.Delete(now, c.Key, c.Revision, c.TentativeUntil)
			needed = true
			return nil
		}
		needed = w.Sink.Put(now, c.Item)
		return nil
	})
	if err != nil {
		_panics.Inc()
		w.Log.Error("change panicked", zap.String("key", c.Key), zap.Error(err))
	}
	return needed
}
