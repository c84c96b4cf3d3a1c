package rollout

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/kernel"
	"github.com/wigeonlock/wigeonlock/plan"
	"github.com/wigeonlock/wigeonlock/retry"
	"github.com/wigeonlock/wigeonlock/store"
)

const (
	// ServiceName is the name of the follower in its kernel.
	ServiceName = "rollout"
	// WatchWait is the time for which a watch waits in the store.
	WatchWait = 2800 * time.Millisecond
	// ConfirmWindow is the age up to which a confirmation counts. It is the
	// time within which an accepted edit is in force: an instance that could
	// not confirm its lists for longer admits no shifted work.
	ConfirmWindow = 4900 * time.Millisecond

	_repairAfter = 3
	// _clockRate is how slowly the store's clock may run against the own one.
	_clockRate = 0.95
)

// Source is another instance that has lists.
type Source interface {
	// Lists returns a head and the parts with the given digests.
	Lists(ctx context.Context, digests []string) (Head, [][]byte, error)
}

// Follower keeps the newest lists in force. The exported fields are set
// before Start.
type Follower struct {
	Store store.Store
	Log   *zap.Logger

	mu       sync.Mutex
	acceptor Acceptor
	stored   store.Version
	older    int
	current  atomic.Pointer[Current]
	changed  []func(Current)
}

// Current is the version of the lists in force.
type Current struct {
	Version uint64
	EditID  string
	Index   *plan.Index
}

var (
	_ kernel.Service = (*Follower)(nil)

	_watchFailures = metrics.NewCounter("wigeonlock_lists_watch_failures_total")
	_olderHeads    = metrics.NewCounter("wigeonlock_lists_older_heads_total")
	_fromPeers     = metrics.NewCounter("wigeonlock_lists_from_peers_total")
	_installed     = metrics.NewCounter("wigeonlock_lists_installed_total")
	_repairs       = metrics.NewCounter("wigeonlock_lists_store_repairs_total")
)

// Name returns ServiceName.
func (f *Follower) Name() string { return ServiceName }

// Start begins to watch the store.
func (f *Follower) Start(_ context.Context, k *kernel.Kernel) error {
	k.Go(ServiceName, f.watch)
	return nil
}

// Stop does nothing: the watch ends with the kernel.
func (f *Follower) Stop(context.Context) error { return nil }

// Current returns the lists in force, or nil before there are any.
func (f *Follower) Current() *Current {
	return f.current.Load()
}

// OnChange calls a function with each version that comes into force. It is
// called before Start, or from another service's Start.
func (f *Follower) OnChange(changed func(Current)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changed = append(f.changed, changed)
}

// Confirmed reports whether the lists in force were known to be the newest
// within ConfirmWindow.
func (f *Follower) Confirmed(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.acceptor.ConfirmedAt()) < ConfirmWindow
}

// ConfirmedAge returns the version in force and the age of its confirmation.
func (f *Follower) ConfirmedAge(now time.Time) (uint64, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.acceptor.Version(), now.Sub(f.acceptor.ConfirmedAt())
}

// Lists returns the head in force and the requested parts of it.
func (f *Follower) Lists(_ context.Context, digests []string) (Head, [][]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.acceptor.Version() == 0 {
		return Head{}, nil, errors.New("no lists are in force yet")
	}
	parts := make([][]byte, 0, len(digests))
	for _, d := range digests {
		data, ok := f.acceptor.Part(d)
		if !ok {
			return Head{}, nil, errors.Errorf("part %s is not in force here", d)
		}
		parts = append(parts, data)
	}
	return f.acceptor.Head(), parts, nil
}

// ObservePeer takes the version that a peer has in force and the age of its
// confirmation. Newer lists are fetched from the peer.
func (f *Follower) ObservePeer(ctx context.Context, now time.Time, version uint64, age time.Duration, peer Source) {
	f.mu.Lock()
	own := f.acceptor.Version()
	if version == own && age < ConfirmWindow {
		f.acceptor.Confirm(version, now.Add(-age))
	}
	f.mu.Unlock()
	if version <= own {
		return
	}
	if err := f.fetchFrom(ctx, peer); err != nil {
		f.Log.Debug("lists could not be fetched from a peer", zap.Error(err))
		return
	}
	_fromPeers.Inc()
}

func (f *Follower) fetchFrom(ctx context.Context, peer Source) error {
	head, _, err := peer.Lists(ctx, nil)
	if err != nil {
		return err
	}
	f.mu.Lock()
	missing := f.acceptor.Missing(head)
	newer := f.acceptor.Newer(head)
	f.mu.Unlock()
	if !newer {
		return nil
	}
	_, parts, err := peer.Lists(ctx, missing)
	if err != nil {
		return err
	}
	return f.install(head, parts)
}

func (f *Follower) watch(ctx context.Context) error {
	backoff := retry.Backoff{Base: 100 * time.Millisecond, Max: time.Second}
	failures := 0
	for ctx.Err() == nil {
		err := f.watchOnce(ctx)
		if err == nil {
			failures = 0
			continue
		}
		_watchFailures.Inc()
		f.Log.Debug("watch of the lists failed", zap.Error(err))
		if pause(ctx, backoff.Delay(failures, rand.Float64())) != nil {
			return nil
		}
		failures++
	}
	return nil
}

func (f *Follower) watchOnce(ctx context.Context) error {
	sent := time.Now()
	entry, err := f.Store.Watch(ctx, HeadKey, f.stored, WatchWait)
	if err != nil {
		return err
	}
	if entry.Version == f.stored {
		f.confirmUnchanged(sent, time.Now())
		return nil
	}
	if entry.Version == 0 {
		f.stored = 0
		return f.seeOlder(ctx, 0, 0)
	}
	head, err := DecodeHead(entry.Value)
	if err != nil {
		return err
	}
	if err := f.take(ctx, head, sent); err != nil {
		return err
	}
	f.stored = entry.Version
	if own := f.version(); head.Version < own {
		return f.seeOlder(ctx, head.Version, entry.Version)
	}
	f.older = 0
	return nil
}

// confirmUnchanged confirms the lists as of the end of the wait, which is
// when the store looked: at least WatchWait after the watch was sent.
func (f *Follower) confirmUnchanged(sent, returned time.Time) {
	if returned.Sub(sent) < WatchWait || f.stored == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	wait := time.Duration(float64(WatchWait) * _clockRate)
	if f.older == 0 {
		f.acceptor.Confirm(f.acceptor.Version(), sent.Add(wait))
	}
}

func (f *Follower) take(ctx context.Context, head Head, sent time.Time) error {
	f.mu.Lock()
	newer := f.acceptor.Newer(head)
	missing := f.acceptor.Missing(head)
	f.mu.Unlock()
	if newer {
		parts, err := f.fetchParts(ctx, missing)
		if err != nil {
			return err
		}
		if err := f.install(head, parts); err != nil && !errors.Is(err, ErrOlder) {
			return err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.acceptor.Confirm(head.Version, sent)
	return nil
}

func (f *Follower) fetchParts(ctx context.Context, digests []string) ([][]byte, error) {
	parts := make([][]byte, 0, len(digests))
	for _, d := range digests {
		entry, err := f.Store.Get(ctx, PartKey(d))
		if err != nil {
			return nil, errors.Wrap(err, "fetch part")
		}
		if plan.Digest(entry.Value) != d {
			return nil, errors.Errorf("part %s has other content", d)
		}
		parts = append(parts, entry.Value)
	}
	return parts, nil
}

func (f *Follower) install(head Head, parts [][]byte) error {
	f.mu.Lock()
	if err := f.acceptor.Install(head, parts); err != nil {
		f.mu.Unlock()
		return err
	}
	current := Current{Version: head.Version, EditID: head.ID, Index: f.acceptor.Index()}
	f.current.Store(&current)
	changed := append([]func(Current){}, f.changed...)
	f.mu.Unlock()
	_installed.Inc()
	f.Log.Info("lists are in force", zap.Uint64("version", head.Version), zap.String("editor", head.Editor))
	for _, notify := range changed {
		notify(current)
	}
	return nil
}

func (f *Follower) version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.acceptor.Version()
}

// seeOlder handles a store that has older lists than are in force. It may be
// one lagging read; when it lasts, the store was restored from a backup, and
// the lists in force are written back. The swap expects the version read, so
// that it fails if the read lagged.
func (f *Follower) seeOlder(ctx context.Context, version uint64, stored store.Version) error {
	if f.version() == 0 {
		return pause(ctx, 100*time.Millisecond)
	}
	_olderHeads.Inc()
	f.older++
	f.stored = 0 // watch again from the start
	if f.older < _repairAfter {
		return pause(ctx, time.Second)
	}
	f.Log.Warn("store has older lists than are in force; writing them back", zap.Uint64("storeVersion", version))
	return f.repair(ctx, stored)
}

func (f *Follower) repair(ctx context.Context, stored store.Version) error {
	f.mu.Lock()
	head := f.acceptor.Head()
	parts := make(map[string][]byte, len(head.Parts))
	for _, d := range head.Parts {
		if data, ok := f.acceptor.Part(d); ok {
			parts[d] = data
		}
	}
	f.mu.Unlock()
	for digest, data := range parts {
		if _, err := f.Store.Swap(ctx, PartKey(digest), 0, data, ""); err != nil && !errors.Is(err, store.ErrConflict) {
			return errors.Wrap(err, "write part back")
		}
	}
	data, err := head.Encode()
	if err != nil {
		return err
	}
	if _, err := f.Store.Swap(ctx, HeadKey, stored, data, ""); err != nil {
		return errors.Wrap(err, "write head back")
	}
	_repairs.Inc()
	return nil
}
