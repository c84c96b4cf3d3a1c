package forward

import (
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/exchange"
	"github.com/wigeonlock/wigeonlock/retry"
)

// namedLimits holds the limit, in requests per second, of each worker whose last answer
// to this instance named one.
type namedLimits map[string]float64

func (l namedLimits) forget(removed func(id string) bool) {
	for id := range l {
		if removed(id) {
			delete(l, id)
		}
	}
}

var (
	_limitsNamed  = metrics.NewCounter("wigeonlock_worker_limits_named_total")
	_limitsLifted = metrics.NewCounter("wigeonlock_worker_limits_lifted_total")
	_limitedSends = metrics.NewCounter("wigeonlock_limited_sends_total")
)

// recordLimit records the limit that the worker's answer named, and logs a change of it.
// The caller holds s.mu.
func (s *Service) recordLimit(rs *requestState, r exchange.Result) {
	w := rs.choice.Worker
	known, limited := s.limits[w.ID]
	if limited && r.Sent {
		_limitedSends.Inc()
	}
	switch {
	case r.Limit != nil && (!limited || known != *r.Limit):
		if s.limits == nil {
			s.limits = make(namedLimits)
		}
		s.limits[w.ID] = *r.Limit
		_limitsNamed.Inc()
		s.Log.Info("worker names a limit", zap.String("worker", w.ID), zap.String("service", w.Service),
			zap.Float64("perSecond", *r.Limit), zap.String("request", rs.request.ID))
	case r.Limit == nil && limited && r.Answer.Outcome == retry.Run:
		delete(s.limits, w.ID)
		_limitsLifted.Inc()
		s.Log.Info("worker names no limit any more", zap.String("worker", w.ID), zap.String("service", w.Service),
			zap.String("request", rs.request.ID))
	}
}
