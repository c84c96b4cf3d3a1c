package dispatch

import (
	"context"
	"crypto/rand"
	"strconv"
	"time"

	"github.com/wigeonlock/wigeonlock/payment"
	"github.com/wigeonlock/wigeonlock/plan"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
)

const (
	_releaseTime = time.Second
	_settleTries = 3
	_settlePause = 150 * time.Millisecond
	// _claimShare is the part of the time left that a claim may take.
	_claimShare = 0.5
)

// pay runs a request with an idempotency key at most once: it claims the key
// before anything is sent, and gives the claim back when nothing ran.
func (s *Service) pay(ctx context.Context, r *relay.Request, t *plan.Customer, idempotencyKey string) *relay.Answer {
	key := payment.NewKey(r.Customer, r.Service, idempotencyKey)
	attempt := rand.Text()
	verdict, err := s.claimSettled(ctx, key, attempt)
	switch {
	case err != nil:
		return relay.NotRun(relay.PaymentUnavailable)
	case verdict.Kind == payment.Full:
		return relay.NotRun(relay.PaymentFull)
	case verdict.Kind == payment.Duplicate:
		return recorded(verdict.Claim)
	}
	answer := s.carry(ctx, r, t)
	switch answer.Outcome {
	case retry.NotRun:
		releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), _releaseTime)
		defer cancel()
		s.Payments.Release(releaseCtx, key, attempt)
	case retry.Run:
		s.record(answer, key, attempt)
	case retry.Unknown: // the claim stays: the payment may have run
	}
	return answer
}

// claimSettled claims a key. While another attempt has it and no outcome is
// recorded, that attempt is probably under way or about to be given back: the
// claim is tried a few times more before the caller is told that the outcome
// is unknown.
func (s *Service) claimSettled(ctx context.Context, key payment.Key, attempt string) (payment.Result, error) {
	verdict, err := s.claim(ctx, key, attempt)
	for range _settleTries {
		if err != nil || verdict.Kind != payment.Duplicate || verdict.Claim.State == payment.Finished {
			break
		}
		select {
		case <-ctx.Done():
			return verdict, nil
		case <-time.After(_settlePause):
		}
		verdict, err = s.claim(ctx, key, attempt)
	}
	return verdict, err
}

func (s *Service) claim(ctx context.Context, key payment.Key, attempt string) (payment.Result, error) {
	limit := s.Settings.LongestTimeout()
	if deadline, ok := ctx.Deadline(); ok {
		limit = time.Until(deadline)
	}
	claimCtx, cancel := context.WithTimeout(ctx, time.Duration(float64(limit)*_claimShare))
	defer cancel()
	return s.Payments.Claim(claimCtx, key, attempt)
}

// record keeps the outcome of a payment with its claim, and its answer when
// that is small.
func (s *Service) record(a *relay.Answer, key payment.Key, attempt string) {
	outcome := payment.Outcome{Status: a.Status, ContentType: relay.Get(a.Header, "Content-Type")}
	if data, ok := relay.Bytes(a); ok && len(data) <= payment.MaxAnswerBytes {
		outcome.Answer = data
		outcome.Complete = true
	}
	s.Payments.Finish(key, attempt, outcome)
}

// recorded answers a payment whose key another attempt has claimed.
func recorded(c payment.Claim) *relay.Answer {
	if c.State != payment.Finished || !c.Complete {
		a := relay.Unknown(relay.PaymentDuplicate)
		if c.State == payment.Finished {
			a.Header = []relay.Header{{Name: "Wigeonlock-Recorded-Status", Value: strconv.Itoa(c.Status)}}
		}
		return a
	}
	a := &relay.Answer{
		Outcome: retry.Run, Reason: relay.PaymentReplayed, Status: c.Status,
		Header: []relay.Header{{Name: "Content-Type", Value: c.ContentType}},
	}
	relay.SetBytes(a, c.Answer)
	return a
}
