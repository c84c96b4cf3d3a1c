package payment

import (
	"context"

	"github.com/go-faster/errors"
)

// ChangeKind is what is done to a claim.
type ChangeKind string

const (
	// ToClaim asks for a key.
	ToClaim ChangeKind = "claim"
	// ToFinish records the outcome of a payment that ran.
	ToFinish ChangeKind = "finish"
	// ToRelease gives back the claim of a payment that did not run.
	ToRelease ChangeKind = "release"
)

// Change is one change to the claim of a key by an attempt. Applying it again
// changes nothing more.
type Change struct {
	Kind    ChangeKind
	Key     Key
	Attempt string
	Outcome Outcome
}

// Owners bring a change to the instance that batches the changes of its shard.
// Who that is matters for the number of writes alone: the store decides.
type Owners interface {
	// Owner returns the instance that batches a shard; here is true for the own one.
	Owner(shard int) (address string, here bool)
	// Change makes a change at another instance.
	Change(ctx context.Context, address string, c Change) (Result, error)
}

// Apply makes a change through the own shards and waits until it is certain.
// When ctx ends first, ErrUnavailable is returned; the change may still be made.
func (s *Service) Apply(ctx context.Context, c Change) (Result, error) {
	verdicts := make(chan Result, 1)
	s.do(s.shard(c.Key), c, func(v Result) { verdicts <- v })
	select {
	case v := <-verdicts:
		return v, nil
	case <-ctx.Done():
		return Result{}, ErrUnavailable
	}
}

// change makes a change through the shard's owner, or through the own shards
// when that fails: the same attempt finds its claim if it was made already.
func (s *Service) change(ctx context.Context, c Change) (Result, error) {
	if s.Owners != nil {
		address, here := s.Owners.Owner(shardOf(c.Key))
		if !here {
			forwarded, cancel := context.WithTimeout(ctx, _forwardLimit)
			v, err := s.Owners.Change(forwarded, address, c)
			cancel()
			if err == nil {
				_forwardedChanges.Inc()
				return v, nil
			}
			if ctx.Err() != nil {
				return Result{}, errors.Wrap(ErrUnavailable, "owner of the shard")
			}
		}
	}
	return s.Apply(ctx, c)
}
