package payment

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/wigeonlock/wigeonlock/kernel"
	"github.com/wigeonlock/wigeonlock/store"
)

const (
	// ServiceName is the name under which the service runs in its kernel.
	ServiceName = "payment"
	// Shards is the number of store keys over which claims are distributed.
	Shards = 16
	// WriteInterval is the shortest time between two writes of a shard, so that
	// all shards together write at most 200 times a second.
	WriteInterval = 80 * time.Millisecond

	_keyPrefix = "payments/"
	// _eraInterval is how often the era of the store is checked.
	_eraInterval       = 100 * time.Millisecond
	_retryPause        = 50 * time.Millisecond
	_forwardTimeout    = 500 * time.Millisecond
	_backgroundTimeout = 30 * time.Second
)

var (
	_writes           = metrics.NewCounter("wigeonlock_payment_writes_total")
	_forwardedChanges = metrics.NewCounter("wigeonlock_payment_changes_forwarded_total")
)

// ErrUnavailable is returned when the store did not confirm a change in time.
// After it the payment must not be sent.
var ErrUnavailable = errors.New("payment claims are unavailable")

// Service claims payments in the store. The exported fields are set before Start.
type Service struct {
	Store store.Store
	// Owners forwards changes to the owners of shards. If it is nil, all changes
	// are applied locally.
	Owners Owners

	shards [Shards]*shardRunner
	kernel *kernel.Kernel
	// background is the number of running background changes.
	background atomic.Int64
}

// shardRunner runs the store operations of one shard. Its loop runs only while
// changes are pending.
type shardRunner struct {
	key string

	mu      sync.Mutex
	shard   Shard
	running bool
	written time.Time
}

var _ kernel.Service = (*Service)(nil)

// Name returns ServiceName.
func (s *Service) Name() string { return ServiceName }

// Start creates the shards. Their loops start with the first change.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	s.kernel = k
	for i := range s.shards {
		s.shards[i] = &shardRunner{key: _keyPrefix + strconv.Itoa(i)}
	}
	s.enterEra(time.Now())
	k.Go(ServiceName, func(ctx context.Context) error { return kernel.Every(ctx, _eraInterval, s.enterEra) })
	return nil
}

// enterEra tells the shards the era of the store, and writes again what they know if it was
// restored.
func (s *Service) enterEra(now time.Time) {
	era := store.EraOf(s.Store)
	for _, r := range s.shards {
		r.mu.Lock()
		r.shard.EnterEra(now, era)
		r.mu.Unlock()
		s.run(r)
	}
}

// Stop waits until all pending changes are stored or ctx ends.
func (s *Service) Stop(ctx context.Context) error {
	tick := time.NewTicker(_retryPause)
	defer tick.Stop()
	for s.waiting() > 0 {
		select {
		case <-ctx.Done():
			return nil // the claims remain and prevent a second run, but have no outcome
		case <-tick.C:
		}
	}
	return nil
}

// Claim claims a key for an attempt. If ctx ends before the claim is confirmed,
// the claim is released in the background and the error wraps ErrUnavailable;
// the payment must not be sent.
func (s *Service) Claim(ctx context.Context, key Key, attempt string) (Result, error) {
	result, err := s.change(ctx, Change{Kind: ToClaim, Key: key, Attempt: attempt})
	if err != nil {
		s.changeInBackground(Change{Kind: ToRelease, Key: key, Attempt: attempt})
	}
	return result, err
}

// Finish records the outcome of a payment that ran. It returns at once and
// stores the outcome in the background.
func (s *Service) Finish(key Key, attempt string, o Outcome) {
	s.changeInBackground(Change{Kind: ToFinish, Key: key, Attempt: attempt, Outcome: o})
}

// Release removes the claim of a payment that did not run, so that the caller
// may retry it. It waits until the store has confirmed this or ctx ends, and
// then continues in the background.
func (s *Service) Release(ctx context.Context, key Key, attempt string) {
	release := Change{Kind: ToRelease, Key: key, Attempt: attempt}
	if _, err := s.change(ctx, release); err != nil {
		s.changeInBackground(release)
	}
}

// changeInBackground applies a change without waiting for it.
func (s *Service) changeInBackground(c Change) {
	s.background.Add(1)
	s.kernel.Go(ServiceName, func(ctx context.Context) error {
		defer s.background.Add(-1)
		ctx, cancel := context.WithTimeout(ctx, _backgroundTimeout)
		defer cancel()
		_, _ = s.change(ctx, c) // a claim that cannot be changed remains and prevents a second run
		return nil
	})
}

func (s *Service) shard(key Key) *shardRunner {
	return s.shards[shardOf(key)]
}

func shardOf(key Key) int {
	return int(xxhash.Sum64String(string(key)) % Shards)
}

func (s *Service) waiting() int {
	sum := int(s.background.Load())
	for _, r := range s.shards {
		r.mu.Lock()
		sum += r.shard.Waiting()
		r.mu.Unlock()
	}
	return sum
}

// enqueue adds a change to a shard and starts the loop of the shard if it is not
// running.
func (s *Service) enqueue(r *shardRunner, c Change, done func(Result)) {
	r.mu.Lock()
	r.shard.Add(c, done)
	r.mu.Unlock()
	s.run(r)
}

// run starts the loop of a shard if it has something to do and is not running.
func (s *Service) run(r *shardRunner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running || !r.shard.Busy() {
		return
	}
	r.running = true
	s.kernel.Go(ServiceName, func(ctx context.Context) error { return s.runShard(ctx, r) })
}

// runShard runs the steps of a shard until it is idle. It retries failed store
// operations after _retryPause.
func (s *Service) runShard(ctx context.Context, r *shardRunner) error {
	for {
		r.waitForWriteInterval(ctx)
		r.mu.Lock()
		step, err := r.shard.Next(time.Now())
		if err != nil || step.Kind == Idle {
			r.running = false
			r.mu.Unlock()
			return err
		}
		r.mu.Unlock()
		if s.step(ctx, r, step) {
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(_retryPause):
		}
	}
}

// waitForWriteInterval waits until WriteInterval has passed since the last
// write. Changes that arrive meanwhile are batched.
func (r *shardRunner) waitForWriteInterval(ctx context.Context) {
	r.mu.Lock()
	wait := WriteInterval - time.Since(r.written)
	r.mu.Unlock()
	if wait <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// step performs one store operation and reports whether the store replied.
func (s *Service) step(ctx context.Context, r *shardRunner, step Step) bool {
	if step.Kind == Read {
		entry, err := s.Store.Get(ctx, r.key)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return false
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.shard.ReadDone(entry.Value, uint64(entry.Version)) == nil
	}
	_writes.Inc()
	version, err := s.Store.Swap(ctx, r.key, store.Version(step.Expected), step.Value, "")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.written = time.Now()
	r.shard.SwapDone(step.Value, uint64(version), err == nil)
	return err == nil || errors.Is(err, store.ErrConflict)
}
