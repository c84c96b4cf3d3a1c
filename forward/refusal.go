package forward

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/exchange"
	"github.com/wigeonlock/wigeonlock/frontend"
	"github.com/wigeonlock/wigeonlock/placement"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
)

const (
	// _retryAfterShare is the fraction of the remaining time that a refused caller
	// is told to wait in Retry-After, at most _maxRetryAfter.
	_retryAfterShare = 0.25
	_maxRetryAfter   = 500 * time.Millisecond
)

// giveUp ends a request that no worker answered. denied is why it is not retried.
func (s *Service) giveUp(rs *requestState, reason relay.Reason, denied noRetryReason) *relay.Answer {
	if len(rs.tried) > 0 {
		rs.noRetry = denied
		countNoRetry(denied)
	}
	if rs.failure != nil {
		return rs.failure
	}
	if !rs.unknown && reason == relay.WorkersResting {
		return refuseUntil(reason, rs.choice.RestsUntil)
	}
	if !rs.unknown {
		return s.refuse(rs.request, reason, rs.deadline)
	}
	countRefusal(rs.last.Answer.Reason)
	status := http.StatusBadGateway
	if rs.last.Fault == exchange.TimedOut || reason == relay.DeadlinePassed {
		status = http.StatusGatewayTimeout
	}
	return mayHaveRun(status, rs.last.Answer.Reason)
}

// unprovenRefusal returns the answer that replaces one of a worker whose status promises that the
// request has not run, while nothing in it states that. The request may have run.
func (s *Service) unprovenRefusal(rs *requestState, a *relay.Answer) *relay.Answer {
	countRefusal(relay.UnprovenRefusal)
	s.Log.Info("status of a worker promises what its answer does not state", zap.String("request", rs.request.ID),
		zap.String("route", rs.route.Name), zap.String("worker", rs.tried[len(rs.tried)-1]), zap.Int("status", a.Status))
	a.Close()
	return mayHaveRun(http.StatusBadGateway, relay.UnprovenRefusal)
}

// mayHaveRun returns an answer of the instance itself to a request that may have run.
func mayHaveRun(status int, reason relay.Reason) *relay.Answer {
	a := frontend.Refusal(status, reason, "the request may have run")
	a.Outcome = retry.Unknown
	return a
}

// refuseAtOnce returns a refusal for a request that did not run and that another instance
// takes at once.
func (s *Service) refuseAtOnce(r *relay.Request, reason relay.Reason) *relay.Answer {
	return s.refuse(r, reason, time.Now())
}

// refuse returns a refusal for a request that did not run, with a Retry-After
// that is jittered so that refused callers do not return all at once.
func (s *Service) refuse(r *relay.Request, reason relay.Reason, deadline time.Time) *relay.Answer {
	left := r.TimeLeft
	if !deadline.IsZero() {
		left = time.Until(deadline)
	}
	pause := min(time.Duration(float64(left)*_retryAfterShare), _maxRetryAfter)
	return refusal(reason, jittered(pause))
}

// jittered returns between half of a pause and all of it, so that refused callers do not return
// all at once.
func jittered(pause time.Duration) time.Duration {
	return time.Duration(float64(pause) * (0.5 + rand.Float64()/2))
}

// refuseUntil returns a refusal for a request that did not run and that can be served from a
// time on. The callers return over the time in which the workers resume.
func refuseUntil(reason relay.Reason, until time.Time) *relay.Answer {
	return refusal(reason, time.Until(until)+rand.N(placement.ResumeTime))
}

// refusal returns a refusal for a request that did not run, whose caller may return after a
// pause.
func refusal(reason relay.Reason, pause time.Duration) *relay.Answer {
	countRefusal(reason)
	a := frontend.Refusal(http.StatusServiceUnavailable, reason, "the request did not run")
	a.Header = append(a.Header, relay.Header{
		Name: relay.HeaderRetryAfter, Value: strconv.FormatFloat(max(pause, 0).Seconds(), 'f', 3, 64),
	})
	return a
}
