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
	// ServiceName is the name under which the follower runs in its kernel.
	ServiceName = "rollout"
	// WatchWait is the time after which the store answers a watch if the key
	// has not changed.
	WatchWait = 2800 * time.Millisecond
	// ConfirmWindow is the age up to which a confirmation of the lists is
	// valid. It is also the longest time until an accepted edit is active: an
	// instance whose confirmation is older admits no shifted work.
	ConfirmWindow = 4900 * time.Millisecond

	// _repairThreshold is the number of consecutive older heads after which the
	// active lists are written back.
	_repairThreshold = 3
	// _minClockRate is the lowest rate of the store's clock that is allowed
	// for, relative to the local clock.
	_minClockRate = 0.95
)

// Source is a peer instance from which lists can be fetched.
type Source interface {
	// Lists returns the active head of the peer and the content of the parts
	// with the given digests.
	Lists(ctx context.Context, digests []string) (Head, [][]byte, error)
}

// Follower keeps the newest lists active on an instance. The exported fields
// are set before Start.
type Follower struct {
	Store store.Store
	Log   *zap.Logger

	mu       sync.Mutex
	acceptor Acceptor
	// storeVersion is the store version of the head from which the next watch
	// starts.
	storeVersion store.Version
	// olderHeads counts consecutive heads in the store older than the active one.
	olderHeads int
	current    atomic.Pointer[Current]
	onChange   []func(Current)
}

// Current holds the active lists, their version and the ID of the edit that
// made them.
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

// Start starts watching the store.
func (f *Follower) Start(_ context.Context, k *kernel.Kernel) error {
	k.Go(ServiceName, f.watch)
	return nil
}

// Stop does nothing: the watch ends when the kernel's context is cancelled.
func (f *Follower) Stop(context.Context) error { return nil }

// Current returns the active lists, or nil if no lists are installed.
func (f *Follower) Current() *Current {
	return f.current.Load()
}

// OnChange registers a function that is called with each version that becomes
// active. It must be called before Start or from another service's Start.
func (f *Follower) OnChange(onChange func(Current)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onChange = append(f.onChange, onChange)
}

// Confirmed reports whether the active lists were confirmed to be the newest
// within the ConfirmWindow before now.
func (f *Follower) Confirmed(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.acceptor.ConfirmedAt()) < ConfirmWindow
}

// ConfirmedAge returns the active version and the age of its confirmation.
func (f *Follower) ConfirmedAge(now time.Time) (uint64, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.acceptor.Version(), now.Sub(f.acceptor.ConfirmedAt())
}

// Lists returns the active head and the content of the requested parts. It
// fails if no lists are installed or the active head does not name a part.
func (f *Follower) Lists(_ context.Context, digests []string) (Head, [][]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.acceptor.Version() == 0 {
		return Head{}, nil, errors.New("no lists are installed yet")
	}
	parts := make([][]byte, 0, len(digests))
	for _, d := range digests {
		data, ok := f.acceptor.Part(d)
		if !ok {
			return Head{}, nil, errors.Errorf("part %s is not in the active lists", d)
		}
		parts = append(parts, data)
	}
	return f.acceptor.Head(), parts, nil
}

// ObservePeer processes the active version of a peer and the age of its
// confirmation. An equal version confirms the local lists; newer lists are
// fetched from the peer.
func (f *Follower) ObservePeer(ctx context.Context, now time.Time, version uint64, age time.Duration, peer Source) {
	f.mu.Lock()
	active := f.acceptor.Version()
	if version == active && age < ConfirmWindow {
		f.acceptor.Confirm(version, now.Add(-age))
	}
	f.mu.Unlock()
	if version <= active {
		return
	}
	if err := f.fetchFromPeer(ctx, peer); err != nil {
		f.Log.Debug("failed to fetch lists from a peer", zap.Error(err))
		return
	}
	_fromPeers.Inc()
}

func (f *Follower) fetchFromPeer(ctx context.Context, peer Source) error {
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
	entry, err := f.Store.Watch(ctx, HeadKey, f.storeVersion, WatchWait)
	if err != nil {
		return err
	}
	if entry.Version == f.storeVersion {
		f.confirmUnchanged(sent, time.Now())
		return nil
	}
	if entry.Version == 0 {
		f.storeVersion = 0
		return f.handleOlderHead(ctx, 0, 0)
	}
	head, err := DecodeHead(entry.Value)
	if err != nil {
		return err
	}
	if err := f.accept(ctx, head, sent); err != nil {
		return err
	}
	f.storeVersion = entry.Version
	if active := f.version(); head.Version < active {
		return f.handleOlderHead(ctx, head.Version, entry.Version)
	}
	f.olderHeads = 0
	return nil
}

// confirmUnchanged confirms the active lists after a watch that timed out
// without a change. The store last checked the key at the end of its wait, which
// is at least WatchWait, by the store's clock, after the watch was sent.
func (f *Follower) confirmUnchanged(sent, returned time.Time) {
	if returned.Sub(sent) < WatchWait || f.storeVersion == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	wait := time.Duration(float64(WatchWait) * _minClockRate)
	if f.olderHeads == 0 {
		f.acceptor.Confirm(f.acceptor.Version(), sent.Add(wait))
	}
}

// accept installs the head of the store if it is newer than the active one, and
// confirms its version as of the time at which the watch was sent.
func (f *Follower) accept(ctx context.Context, head Head, sent time.Time) error {
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
			return nil, errors.Errorf("content of part %s does not match its digest", d)
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
	onChange := append([]func(Current){}, f.onChange...)
	f.mu.Unlock()
	_installed.Inc()
	f.Log.Info("lists are active", zap.Uint64("version", head.Version), zap.String("editor", head.Editor))
	for _, notify := range onChange {
		notify(current)
	}
	return nil
}

func (f *Follower) version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.acceptor.Version()
}

// handleOlderHead handles a head in the store that is older than the active
// one. A single one may be a stale read. If it persists, the store was restored
// from a backup, and the active lists are written back. The swap expects the
// store version that was read, so that it fails if the read was stale.
func (f *Follower) handleOlderHead(ctx context.Context, version uint64, storeVersion store.Version) error {
	if f.version() == 0 {
		return pause(ctx, 100*time.Millisecond)
	}
	_olderHeads.Inc()
	f.olderHeads++
	f.storeVersion = 0 // watch again from the start
	if f.olderHeads < _repairThreshold {
		return pause(ctx, time.Second)
	}
	f.Log.Warn("store holds older lists than the active ones; writing the active lists back", zap.Uint64("storeVersion", version))
	return f.repair(ctx, storeVersion)
}

// repair writes the active lists back to the store: first the parts, then the
// head, which replaces the one with the given store version.
func (f *Follower) repair(ctx context.Context, storeVersion store.Version) error {
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
	if _, err := f.Store.Swap(ctx, HeadKey, storeVersion, data, ""); err != nil {
		return errors.Wrap(err, "write head back")
	}
	_repairs.Inc()
	return nil
}
