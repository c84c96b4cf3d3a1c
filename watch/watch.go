// Package watch keeps up with the keys under a prefix of the store and hands
// each change on once.
//
// Calls to the store are paid for, so in each region one instance reads the
// store and the others follow it: it passes on what it read. An instance that
// has heard nothing for a moment reads the store itself, and follows the next
// one in an order that all share. News counts by its revision, whoever brings
// it.
//
// The store is read whole at first, and again when the history that is needed
// is gone. Keys that are missing from a whole reading count as deleted. A
// deletion that shows when the store comes back may be a lapse of the outage:
// it is handed on with the time until which the key may still return.
//
// # Usage
//
//	f := &watch.Watcher{Feed: store, Sink: sink, Interval: time.Second}
//	f.Run(ctx)
package watch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/retry"
	"github.com/wigeonlock/wigeonlock/store"
)

const (
	// _callTime bounds a call: the store answers within milliseconds, or within
	// a quarter of a second when it is slow.
	_callTime = time.Second
	// _wholeTime bounds a whole reading, which takes a call for each page: some
	// ten pages at 5,000 workers. The feed bounds each of them.
	_wholeTime = 10 * time.Second
	// _retryBase and _retryMax bound the pause after a failed call. Failed calls
	// are paid for, too.
	_retryBase = 150 * time.Millisecond
	_retryMax  = 1500 * time.Millisecond
	// _outage is how long the store must be away to count as out.
	_outage = time.Second
	// _lapseSeen is how long after its return the store may still show lapses.
	_lapseSeen = time.Second
	// _lapseTime is how long after the store's return a lapsed key may come
	// back; the platform promises about two seconds.
	_lapseTime = 1800 * time.Millisecond
	// _silence is how old the last reading may be before an instance reads the
	// store itself. News has to be in force within two and a half seconds.
	_silence = 1300 * time.Millisecond
	// _tick is how often the age of the last reading is looked at.
	_tick = 100 * time.Millisecond
	// _queue is the number of batches that wait for a neighbour.
	_queue = 16
)

// Sink takes what changed.
type Sink interface {
	// Put takes a key as it was written. It reports whether that is news to
	// others, or only a sign of life.
	Put(now time.Time, item store.Item) bool
	// Delete takes a deletion. If the store was away before, the key may return
	// until lapse; else lapse is zero.
	Delete(now time.Time, key string, revision store.Revision, lapse time.Time)
	// Done is called after each reading.
	Done(now time.Time, revision store.Revision)
	// ReadFailed is called when a call fails.
	ReadFailed(now time.Time, err error)
}

// Peers connects to neighbours.
type Peers interface {
	// Follow hands on what a neighbour has read since a revision, and what it
	// reads until ctx ends or the connection does. It ends with ErrBehind if the
	// neighbour does not know all changes since then.
	Follow(ctx context.Context, n Neighbour, after store.Revision, deliver func(Batch)) error
}

// Watcher follows a prefix. The exported fields are set before Run.
type Watcher struct {
	Feed   store.Feed
	Sink   Sink
	Prefix string
	// Interval is the pause between two readings of the changes.
	Interval time.Duration
	// Instance is the own name among Neighbours, which returns the instances of
	// the region. Without Peers the instance always reads itself.
	Instance   string
	Neighbours func() []Neighbour
	Peers      Peers
	Log        *zap.Logger

	mu       sync.Mutex
	copy     Cache
	order    ReaderSelector
	audience map[chan Batch]struct{}
	// behindAt is when a neighbour could not continue the own reading, zero once
	// the store was read since.
	behindAt time.Time
	// anew is set when a neighbour is to be asked for all it has.
	anew bool

	// The rest belongs to Run. stale is set when the history since the last
	// reading is gone.
	stale    bool
	lastTry  time.Time
	pause    time.Duration
	failures int
	// lostSince is when the first of the last failures in a row began, and
	// backAt when the store came back from its last outage.
	lostSince time.Time
	backAt    time.Time
	leader    Neighbour
	stop      context.CancelFunc
}

var (
	_wholes   = metrics.NewCounter("wigeonlock_follow_whole_readings_total")
	_readings = metrics.NewCounter("wigeonlock_follow_readings_total")
	_changes  = metrics.NewCounter("wigeonlock_follow_changes_total")
	_lost     = metrics.NewCounter("wigeonlock_follow_failures_total")
	_behind   = metrics.NewCounter("wigeonlock_follow_behind_total")
	_turns    = metrics.NewCounter("wigeonlock_follow_leader_changes_total")
)

// Run follows until ctx ends.
func (f *Watcher) Run(ctx context.Context) error {
	f.mu.Lock()
	f.order.Self = f.Instance
	f.mu.Unlock()
	backoff := retry.Backoff{Base: _retryBase, Max: _retryMax}
	tick := time.NewTicker(_tick)
	defer tick.Stop()
	for {
		now := time.Now()
		reads := f.choose(ctx, now)
		if f.due(now, reads) {
			f.lastTry, f.pause = now, f.Interval
			if err := f.step(ctx); err != nil {
				f.pause = backoff.Delay(f.failures-1, rand.Float64())
			}
		}
		select {
		case <-ctx.Done():
			if f.stop != nil {
				f.stop()
			}
			return nil
		case <-tick.C:
		}
	}
}

// choose follows the neighbour whose turn it is, and reports whether this
// instance is to read the store.
func (f *Watcher) choose(ctx context.Context, now time.Time) bool {
	if f.Peers == nil {
		return true
	}
	if f.behind(now) {
		return true
	}
	f.mu.Lock()
	if f.leader.Name != "" && f.silent(now) {
		f.order.Exclude(now, f.leader.Name)
	}
	leader, found := f.order.Reader(now, f.Neighbours())
	f.mu.Unlock()
	if leader == f.leader {
		return !found
	}
	if f.stop != nil {
		f.stop()
		f.stop = nil
	}
	f.leader = leader
	_turns.Inc()
	if !found {
		f.Log.Info("reads the store for its neighbours")
		return true
	}
	f.Log.Info("follows a neighbour", zap.String("neighbour", leader.Name))
	followCtx, cancel := context.WithCancel(ctx)
	f.stop = cancel
	go f.follow(followCtx, leader)
	return false
}

// behind reports whether the store is to be read before a neighbour is followed
// again. Where that does not work the neighbour is asked for all it has.
func (f *Watcher) behind(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.behindAt.IsZero() {
		return false
	}
	read := f.copy.ReadAt().After(f.behindAt)
	if !read && now.Sub(f.behindAt) <= _silence {
		return true
	}
	f.behindAt, f.anew, f.leader = time.Time{}, !read, Neighbour{}
	return false
}

// follow takes what a neighbour reads until the connection ends.
func (f *Watcher) follow(ctx context.Context, n Neighbour) {
	f.mu.Lock()
	after := f.copy.Revision()
	if f.anew {
		after, f.anew = 0, false
	}
	f.mu.Unlock()
	err := f.Peers.Follow(ctx, n, after, func(b Batch) { f.take(time.Now(), b, time.Time{}) })
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, ErrBehind) {
		_behind.Inc()
		f.mu.Lock()
		f.behindAt = time.Now()
		f.mu.Unlock()
		return
	}
	f.Log.Info("neighbour is lost", zap.String("neighbour", n.Name), zap.String("error", errorText(err)))
	f.mu.Lock()
	f.order.Exclude(time.Now(), n.Name)
	f.mu.Unlock()
}

func errorText(err error) string {
	if err == nil {
		return "stream ended"
	}
	return err.Error()
}

// ReadAt returns when the store was read last, by this instance or for it.
func (f *Watcher) ReadAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy.ReadAt()
}

// silent reports whether the last reading is too old. The caller holds mu.
func (f *Watcher) silent(now time.Time) bool {
	return now.Sub(f.copy.ReadAt()) > _silence
}

// due reports whether the store is to be read now.
func (f *Watcher) due(now time.Time, reads bool) bool {
	if now.Sub(f.lastTry) < f.pause {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return reads || f.silent(now)
}

// step reads the store.
func (f *Watcher) step(ctx context.Context) error {
	started := time.Now()
	b, err := f.read(ctx)
	now := time.Now()
	switch {
	case errors.Is(err, store.ErrCompacted):
		f.stale = true
		f.Log.Info("history of the store is gone, reading anew")
		return f.step(ctx)
	case err != nil:
		_lost.Inc()
		if f.failures == 0 {
			f.lostSince = started
		}
		f.failures++
		f.Sink.ReadFailed(now, err)
		return err
	}
	_readings.Inc()
	if f.failures > 0 && now.Sub(f.lostSince) > _outage {
		f.backAt = now
	}
	f.failures = 0
	b.At = started
	lapse := f.lapse(now)
	for i := range b.Changes {
		b.Changes[i].TentativeUntil = lapse
	}
	f.take(now, b, lapse)
	return nil
}

func (f *Watcher) read(ctx context.Context) (Batch, error) {
	f.mu.Lock()
	after := f.copy.Revision()
	f.mu.Unlock()
	if after == 0 || f.stale {
		wholeCtx, cancel := context.WithTimeout(ctx, _wholeTime)
		defer cancel()
		items, revision, err := f.Feed.Range(wholeCtx, f.Prefix)
		if err != nil {
			return Batch{}, err
		}
		_wholes.Inc()
		f.stale = false
		b := Batch{Full: true, Revision: revision}
		for _, item := range items {
			b.Changes = append(b.Changes, Change{Change: store.Change{Item: item}})
		}
		return b, nil
	}
	callCtx, cancel := context.WithTimeout(ctx, _callTime)
	defer cancel()
	changes, revision, err := f.Feed.Changes(callCtx, f.Prefix, after, 0)
	if err != nil {
		return Batch{}, err
	}
	b := Batch{Revision: revision}
	for _, c := range changes {
		b.Changes = append(b.Changes, Change{Change: c})
	}
	return b, nil
}

// lapse returns until when a key that is deleted now may return, or zero.
func (f *Watcher) lapse(now time.Time) time.Time {
	if f.backAt.IsZero() || now.Sub(f.backAt) > _lapseSeen {
		return time.Time{}
	}
	return f.backAt.Add(_lapseTime)
}

// take applies a batch and passes on what is news to others.
func (f *Watcher) take(now time.Time, b Batch, lapse time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	news := f.copy.Apply(b, lapse)
	passed := Batch{Revision: b.Revision, At: b.At}
	for _, c := range news {
		_changes.Inc()
		if c.Deleted {
			f.Sink.Delete(now, c.Key, c.Revision, c.TentativeUntil)
			passed.Changes = append(passed.Changes, c)
			continue
		}
		if f.Sink.Put(now, c.Item) {
			f.copy.RecordUpdate(c)
			passed.Changes = append(passed.Changes, c)
		}
	}
	f.Sink.Done(now, b.Revision)
	for listener := range f.audience {
		select {
		case listener <- passed:
		default:
			// A neighbour that does not keep up starts anew.
			delete(f.audience, listener)
			close(listener)
		}
	}
}

// Subscribe returns what was read since a revision and a channel with what is read
// from then on. It closes when the listener does not keep up; end ends it. The
// error is ErrBehind if the changes since the revision are not known.
func (f *Watcher) Subscribe(after store.Revision) (missed Batch, batches <-chan Batch, end func(), err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	missed, err = f.copy.Since(after)
	if err != nil {
		return Batch{}, nil, nil, err
	}
	if f.audience == nil {
		f.audience = make(map[chan Batch]struct{})
	}
	listener := make(chan Batch, _queue)
	f.audience[listener] = struct{}{}
	return missed, listener, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.audience, listener)
	}, nil
}
