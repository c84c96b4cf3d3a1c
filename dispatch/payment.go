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
	_releaseTimeout     = time.Second
	_claimRetries       = 3
	_claimRetryInterval = 150 * time.Millisecond
	// _claimTimeShare is the share of the time left that a claim may take.
	_claimTimeShare = 0.5
)

// doPayment runs a request with an idempotency key at most once: it claims the
// key before anything is sent, and releases the claim if nothing ran.
func (s *Service) doPayment(ctx context.Context, r *relay.Request, customer *plan.Customer, idempotencyKey string) *relay.Answer {
	key := payment.NewKey(r.Customer, r.Service, idempotencyKey)
	attempt := rand.Text()
	result, err := s.claimWithRetries(ctx, key, attempt)
	switch {
	case err != nil:
		return relay.NotRun(relay.PaymentUnavailable)
	case result.Kind == payment.Full:
		return relay.NotRun(relay.PaymentFull)
	case result.Kind == payment.Duplicate:
		return duplicateAnswer(result.Claim)
	}
	answer := s.doWithRetries(ctx, r, customer)
	switch answer.Outcome {
	case retry.NotRun:
		releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), _releaseTimeout)
		defer cancel()
		s.Payments.Release(releaseCtx, key, attempt)
	case retry.Run:
		s.recordOutcome(answer, key, attempt)
	case retry.Unknown: // the claim stays: the payment may have run
	}
	return answer
}

// claimWithRetries claims a key. While another attempt holds it without an
// outcome, that attempt is probably running or about to release it. The claim is
// therefore retried a few times before it is reported as a duplicate, whose
// outcome is unknown to the caller.
func (s *Service) claimWithRetries(ctx context.Context, key payment.Key, attempt string) (payment.Result, error) {
	result, err := s.claim(ctx, key, attempt)
	for range _claimRetries {
		if err != nil || result.Kind != payment.Duplicate || result.Claim.State == payment.Finished {
			break
		}
		select {
		case <-ctx.Done():
			return result, nil
		case <-time.After(_claimRetryInterval):
		}
		result, err = s.claim(ctx, key, attempt)
	}
	return result, err
}

func (s *Service) claim(ctx context.Context, key payment.Key, attempt string) (payment.Result, error) {
	limit := s.Settings.LongestTimeout()
	if deadline, ok := ctx.Deadline(); ok {
		limit = time.Until(deadline)
	}
	claimCtx, cancel := context.WithTimeout(ctx, time.Duration(float64(limit)*_claimTimeShare))
	defer cancel()
	return s.Payments.Claim(claimCtx, key, attempt)
}

// recordOutcome stores the outcome of a payment with its claim, and its answer
// if it has at most payment.MaxAnswerBytes.
func (s *Service) recordOutcome(a *relay.Answer, key payment.Key, attempt string) {
	outcome := payment.Outcome{Status: a.Status, ContentType: relay.Get(a.Header, "Content-Type")}
	if data, ok := relay.Bytes(a); ok && len(data) <= payment.MaxAnswerBytes {
		outcome.Answer = data
		outcome.Complete = true
	}
	s.Payments.Finish(key, attempt, outcome)
}

// duplicateAnswer returns the answer to a payment whose key another attempt has
// claimed: the stored answer if there is one.
func duplicateAnswer(c payment.Claim) *relay.Answer {
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
