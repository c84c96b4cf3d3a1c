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
	// ServiceName is the name of the service in its kernel.
	ServiceName = "payment"
	// Shards is the number of store keys that claims are spread over.
	Shards = 16
	// WriteInterval is the shortest time between two writes of a shard, so that
	// all shards together write at most 200 times a second.
	WriteInterval = 80 * time.Millisecond

	_keyPrefix    = "payments/"
	_retryPause   = 50 * time.Millisecond
	_forwardLimit = 500 * time.Millisecond
	_finishLimit  = 30 * time.Second
)

var (
	_writes           = metrics.NewCounter("wigeonlock_payment_writes_total")
	_forwardedChanges = metrics.NewCounter("wigeonlock_payment_changes_forwarded_total")
)

// ErrUnavailable is returned when a claim could not be made certain in time.
// Nothing was sent.
var ErrUnavailable = errors.New("payment claims are unavailable")

// Service claims payments in the store. The exported fields are set before Start.
type Service struct {
	Store store.Store
	// Owners finds the instance that batches a shard; nil means the own one.
	Owners Owners

	shards [Shards]*worker
	kernel *kernel.Kernel
	// background counts the changes that nobody waits for.
	background atomic.Int64
}

// worker drives one shard; its loop runs only while there is something to do.
type worker struct {
	key string

	mu      sync.Mutex
	shard   Shard
	running bool
	written time.Time
}

var _ kernel.Service = (*Service)(nil)

// Name returns ServiceName.
func (s *Service) Name() string { return ServiceName }

// Start prepares the shards.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	s.kernel = k
	for i := range s.shards {
		s.shards[i] = &worker{key: _keyPrefix + strconv.Itoa(i)}
	}
	return nil
}

// Stop waits until the outcomes of payments are recorded, bounded by ctx.
func (s *Service) Stop(ctx context.Context) error {
	tick := time.NewTicker(_retryPause)
	defer tick.Stop()
	for s.waiting() > 0 {
		select {
		case <-ctx.Done():
			return nil // the claims stay: no second run, but the outcome is unknown
		case <-tick.C:
		}
	}
	return nil
}

// Claim asks for a key on behalf of an attempt. When ctx ends first, the claim
// is given back and ErrUnavailable returned; the payment must not be sent.
func (s *Service) Claim(ctx context.Context, key Key, attempt string) (Result, error) {
	v, err := s.change(ctx, Change{Kind: ToClaim, Key: key, Attempt: attempt})
	if err != nil {
		s.later(Change{Kind: ToRelease, Key: key, Attempt: attempt})
	}
	return v, err
}

// Finish records the outcome of a payment that ran. It does not wait.
func (s *Service) Finish(key Key, attempt string, o Outcome) {
	s.later(Change{Kind: ToFinish, Key: key, Attempt: attempt, Outcome: o})
}

// Release gives back the claim of a payment that did not run, so that the
// caller may send it again. It waits until that is certain or ctx ends.
func (s *Service) Release(ctx context.Context, key Key, attempt string) {
	release := Change{Kind: ToRelease, Key: key, Attempt: attempt}
	if _, err := s.change(ctx, release); err != nil {
		s.later(release)
	}
}

// later makes a change in the background.
func (s *Service) later(c Change) {
	s.background.Add(1)
	s.kernel.Go(ServiceName, func(ctx context.Context) error {
		defer s.background.Add(-1)
		ctx, cancel := context.WithTimeout(ctx, _finishLimit)
		defer cancel()
		_, _ = s.change(ctx, c) // a claim that cannot be changed stays: no second run
		return nil
	})
}

func (s *Service) shard(key Key) *worker {
	return s.shards[shardOf(key)]
}

func shardOf(key Key) int {
	return int(xxhash.Sum64String(string(key)) % Shards)
}

func (s *Service) waiting() int {
	sum := int(s.background.Load())
	for _, w := range s.shards {
		w.mu.Lock()
		sum += w.shard.Waiting()
		w.mu.Unlock()
	}
	return sum
}

// do adds a change to a shard and makes sure that its loop runs.
func (s *Service) do(w *worker, c Change, done func(Result)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shard.Add(c, done)
	if w.running {
		return
	}
	w.running = true
	s.kernel.Go(ServiceName, func(ctx context.Context) error { return s.drive(ctx, w) })
}

// drive runs the steps of a shard until it is idle.
func (s *Service) drive(ctx context.Context, w *worker) error {
	for {
		w.rest(ctx)
		w.mu.Lock()
		step, err := w.shard.Next(time.Now())
		if err != nil || step.Kind == Idle {
			w.running = false
			w.mu.Unlock()
			return err
		}
		w.mu.Unlock()
		if s.step(ctx, w, step) {
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(_retryPause):
		}
	}
}

// rest waits until the shard may be written again, while changes gather.
func (w *worker) rest(ctx context.Context) {
	w.mu.Lock()
	wait := WriteInterval - time.Since(w.written)
	w.mu.Unlock()
	if wait <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// step makes one call to the store and reports whether the store answered.
func (s *Service) step(ctx context.Context, w *worker, step Step) bool {
	if step.Kind == Read {
		entry, err := s.Store.Get(ctx, w.key)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return false
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.shard.ReadDone(entry.Value, uint64(entry.Version)) == nil
	}
	_writes.Inc()
	version, err := s.Store.Swap(ctx, w.key, store.Version(step.Expected), step.Value, "")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.written = time.Now()
	w.shard.SwapDone(step.Value, uint64(version), err == nil)
	return err == nil || errors.Is(err, store.ErrConflict)
}
