package payment

import (
	"context"

	"github.com/go-faster/errors"
)

// ChangeKind is the kind of a change to a claim.
type ChangeKind string

const (
	// ToClaim claims a key.
	ToClaim ChangeKind = "claim"
	// ToFinish records the outcome of a payment that ran.
	ToFinish ChangeKind = "finish"
	// ToRelease removes the claim of a payment that did not run.
	ToRelease ChangeKind = "release"
)

// Change is one change to the claim of a key by an attempt. Changes are
// idempotent.
type Change struct {
	Kind    ChangeKind
	Key     Key
	Attempt string
	Outcome Outcome
}

// Owners forwards changes to the instance that batches the changes of a shard.
// The choice of the instance affects only the number of writes: correctness
// relies on compare-and-swap in the store.
type Owners interface {
	// Owner returns the peer address of the instance that batches a shard; local
	// is true if that is this instance.
	Owner(shard int) (address string, local bool)
	// Change applies a change on the instance with the given address.
	Change(ctx context.Context, address string, c Change) (Result, error)
}

// Apply applies a change through the local shards and waits until the store has
// confirmed it. It returns ErrUnavailable if ctx ends first; the change may
// still be applied later.
func (s *Service) Apply(ctx context.Context, c Change) (Result, error) {
	results := make(chan Result, 1)
	s.enqueue(s.shard(c.Key), c, func(res Result) { results <- res })
	select {
	case res := <-results:
		return res, nil
	case <-ctx.Done():
		return Result{}, ErrUnavailable
	}
}

// change applies a change through the owner of the shard, or through the local
// shards if that fails. If the owner has applied it nevertheless, the attempt
// finds its own claim.
func (s *Service) change(ctx context.Context, c Change) (Result, error) {
	if s.Owners != nil {
		address, local := s.Owners.Owner(shardOf(c.Key))
		if !local {
			forwarded, cancel := context.WithTimeout(ctx, _forwardTimeout)
			res, err := s.Owners.Change(forwarded, address, c)
			cancel()
			if err == nil {
				_forwardedChanges.Inc()
				return res, nil
			}
			if ctx.Err() != nil {
				return Result{}, errors.Wrap(ErrUnavailable, "owner of the shard")
			}
		}
	}
	return s.Apply(ctx, c)
}
