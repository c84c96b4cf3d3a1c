// Package follow keeps up with the keys under a prefix of the store and hands
// each change on once, in order of revisions.
//
// It reads the prefix whole at first, and again when the history it needs is
// gone. Keys that are missing from a full reading count as deleted. A deletion
// that shows when the store comes back may be a lapse of the outage: it is
// handed on with the time until which the key may still return.
//
// # Usage
//
//	f := &follow.Follower{Feed: store, Sink: sink, Interval: time.Second}
//	f.Run(ctx)
package follow

import (
	"context"
	"math/rand/v2"
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
	// _retryBase and _retryMax bound the pause after a failed call.
	_retryBase = 100 * time.Millisecond
	_retryMax  = 700 * time.Millisecond
	// _outage is how long the store must be away to count as out.
	_outage = time.Second
	// _lapseSeen is how long after its return the store may still show lapses.
	_lapseSeen = time.Second
	// _lapseTime is how long after the store's return a lapsed key may come
	// back; the platform promises about two seconds.
	_lapseTime = 1800 * time.Millisecond
)

// Sink takes what changed.
type Sink interface {
	// Put takes a key as it was written.
	Put(now time.Time, item store.Item)
	// Delete takes a deletion. If the store was away before, the key may return
	// until lapse; else lapse is zero.
	Delete(now time.Time, key string, revision store.Revision, lapse time.Time)
	// Done is called after each successful reading.
	Done(now time.Time, revision store.Revision)
	// Lost is called when a call fails.
	Lost(now time.Time, err error)
}

// Follower follows a prefix. The exported fields are set before Run.
type Follower struct {
	Feed   store.Feed
	Sink   Sink
	Prefix string
	// Interval is the pause between two readings of the changes.
	Interval time.Duration
	Log      *zap.Logger

	known    map[string]store.Revision
	after    store.Revision
	whole    bool
	lastGood time.Time
	// backAt is when the store came back from its last outage.
	backAt   time.Time
	failures int
}

var (
	_ranges  = metrics.NewCounter("wigeonlock_follow_full_readings_total")
	_changes = metrics.NewCounter("wigeonlock_follow_changes_total")
	_lost    = metrics.NewCounter("wigeonlock_follow_failures_total")
)

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.known = make(map[string]store.Revision)
	f.lastGood = time.Now()
	backoff := retry.Backoff{Base: _retryBase, Max: _retryMax}
	for ctx.Err() == nil {
		pause := f.Interval
		if err := f.step(ctx); err != nil {
			pause = backoff.Delay(f.failures, rand.Float64())
			f.failures++
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return nil
}

// step makes one reading.
func (f *Follower) step(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, _callTime)
	defer cancel()
	var err error
	if f.whole {
		err = f.readChanges(callCtx)
	} else {
		err = f.readWhole(callCtx)
	}
	now := time.Now()
	switch {
	case errors.Is(err, store.ErrCompacted):
		f.whole = false
		f.Log.Info("history of the store is gone, reading anew", zap.Uint64("revision", uint64(f.after)))
		return f.step(ctx)
	case err != nil:
		_lost.Inc()
		f.Sink.Lost(now, err)
		return err
	}
	f.failures = 0
	f.lastGood = now
	f.Sink.Done(now, f.after)
	return nil
}

func (f *Follower) readWhole(ctx context.Context) error {
	items, revision, err := f.Feed.Range(ctx, f.Prefix)
	if err != nil {
		return err
	}
	_ranges.Inc()
	now := time.Now()
	lapse := f.lapse(now)
	present := make(map[string]struct{}, len(items))
	for _, item := range items {
		present[item.Key] = struct{}{}
		f.put(now, item)
	}
	for key := range f.known {
		if _, ok := present[key]; !ok {
			f.remove(now, key, revision, lapse)
		}
	}
	f.after, f.whole = revision, true
	return nil
}

func (f *Follower) readChanges(ctx context.Context) error {
	changes, revision, err := f.Feed.Changes(ctx, f.Prefix, f.after, 0)
	if err != nil {
		return err
	}
	now := time.Now()
	lapse := f.lapse(now)
	for _, c := range changes {
		_changes.Inc()
		if c.Deleted {
			f.remove(now, c.Key, c.Revision, lapse)
			continue
		}
		f.put(now, c.Item)
	}
	f.after = max(f.after, revision)
	return nil
}

// lapse returns until when a key that is deleted now may return, or zero.
func (f *Follower) lapse(now time.Time) time.Time {
	if now.Sub(f.lastGood) > _outage+f.Interval {
		f.backAt = now
	}
	if f.backAt.IsZero() || now.Sub(f.backAt) > _lapseSeen {
		return time.Time{}
	}
	return f.backAt.Add(_lapseTime)
}

func (f *Follower) put(now time.Time, item store.Item) {
	f.known[item.Key] = item.Revision
	f.Sink.Put(now, item)
}

func (f *Follower) remove(now time.Time, key string, revision store.Revision, lapse time.Time) {
	delete(f.known, key)
	f.Sink.Delete(now, key, revision, lapse)
}
