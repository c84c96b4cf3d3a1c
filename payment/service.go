package payment

import (
	"context"
	"strconv"
	"sync"
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
	Shards = 64

	_keyPrefix  = "payments/"
	_retryPause = 50 * time.Millisecond
)

// ErrUnavailable is returned when a claim could not be made certain in time.
// Nothing was sent.
var ErrUnavailable = errors.New("payment claims are unavailable")

// Service claims payments in the store. The exported fields are set before Start.
type Service struct {
	Store store.Store

	shards [Shards]*worker
	kernel *kernel.Kernel
	writes *metrics.Counter
}

// worker drives one shard; its loop runs only while there is something to do.
type worker struct {
	key string

	mu      sync.Mutex
	shard   Shard
	running bool
}

var _ kernel.Service = (*Service)(nil)

// Name returns ServiceName.
func (s *Service) Name() string { return ServiceName }

// Start prepares the shards.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	s.kernel = k
	s.writes = metrics.GetOrCreateCounter("wigeonlock_payment_writes_total")
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
func (s *Service) Claim(ctx context.Context, key Key, attempt string) (Verdict, error) {
	verdicts := make(chan Verdict, 1)
	w := s.shard(key)
	s.do(w, func(shard *Shard) { shard.Claim(key, attempt, func(v Verdict) { verdicts <- v }) })
	select {
	case v := <-verdicts:
		return v, nil
	case <-ctx.Done():
		s.do(w, func(shard *Shard) { shard.Release(key, attempt, nil) })
		return Verdict{}, ErrUnavailable
	}
}

// Finish records the outcome of a payment that ran. It does not wait.
func (s *Service) Finish(key Key, attempt string, o Outcome) {
	s.do(s.shard(key), func(shard *Shard) { shard.Finish(key, attempt, o, nil) })
}

// Release gives back the claim of a payment that did not run, so that the
// caller may send it again. It waits until that is certain or ctx ends.
func (s *Service) Release(ctx context.Context, key Key, attempt string) {
	done := make(chan struct{})
	s.do(s.shard(key), func(shard *Shard) { shard.Release(key, attempt, func(Verdict) { close(done) }) })
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (s *Service) shard(key Key) *worker {
	return s.shards[xxhash.Sum64String(string(key))%Shards]
}

func (s *Service) waiting() int {
	sum := 0
	for _, w := range s.shards {
		w.mu.Lock()
		sum += w.shard.Waiting()
		w.mu.Unlock()
	}
	return sum
}

// do changes a shard and makes sure that its loop runs.
func (s *Service) do(w *worker, change func(*Shard)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.shard)
	if w.running {
		return
	}
	w.running = true
	s.kernel.Go(ServiceName, func(ctx context.Context) error { return s.drive(ctx, w) })
}

// drive runs the steps of a shard until it is idle.
func (s *Service) drive(ctx context.Context, w *worker) error {
	for {
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
	s.writes.Inc()
	version, err := s.Store.Swap(ctx, w.key, store.Version(step.Expected), step.Value, "")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shard.SwapDone(step.Value, uint64(version), err == nil)
	return err == nil || errors.Is(err, store.ErrConflict)
}
