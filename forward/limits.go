package forward

import (
	"context"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/exchange"
	"github.com/wigeonlock/wigeonlock/permit"
	"github.com/wigeonlock/wigeonlock/placement"
	"github.com/wigeonlock/wigeonlock/retry"
	"github.com/wigeonlock/wigeonlock/worker"
)

const (
	// _permitTimeout is how long a request waits for the answer of an issuer, and
	// _maxPermitWaits for how many.
	_permitTimeout  = 250 * time.Millisecond
	_maxPermitWaits = 2
	// _goneTime is the time for which the limit of a worker without an entry is kept: the
	// entry of one that runs comes back with its next heartbeat, if the store lost it or
	// another writer spoiled it.
	_goneTime = 10 * time.Second
)

var (
	_limitsNamed  = metrics.NewCounter("wigeonlock_worker_limits_named_total")
	_limitsLifted = metrics.NewCounter("wigeonlock_worker_limits_lifted_total")
	_limitedSends = metrics.NewCounter("wigeonlock_limited_sends_total")
)

// hasEnded reports whether an incarnation of a worker with a limit has ended. The caller holds
// s.mu.
func (s *Service) hasEnded(now time.Time, limited permit.Worker) bool {
	if w := s.state.Workers.Get(limited.ID); w != nil {
		delete(s.goneAt, limited.ID)
		return w.Born > limited.Born
	}
	at, gone := s.goneAt[limited.ID]
	if !gone {
		s.goneAt[limited.ID] = now
		return false
	}
	if now.Sub(at) < _goneTime {
		return false
	}
	delete(s.goneAt, limited.ID)
	return true
}

func limitedWorker(w *worker.Worker) permit.Worker {
	return permit.Worker{ID: w.ID, Born: w.Born, Zone: w.Zone}
}

// shareOf returns the function that returns the part of its objects that a worker keeps, or
// nil if all workers keep all.
func shareOf(shares map[string]float64) func(w *worker.Worker) float64 {
	if len(shares) == 0 {
		return nil
	}
	return func(w *worker.Worker) float64 {
		if share, limited := shares[w.ID]; limited {
			return share
		}
		return 1
	}
}

// permit requests a permit to send a request to a worker. If it is pending, permit returns
// the channel that is closed when it is not any more. The caller holds s.mu.
func (s *Service) permit(now time.Time, rs *requestState, w *worker.Worker, cold bool) (placement.Permission, <-chan struct{}) {
	if rs.isHeldBackFrom(w) || cold && !s.coldReady(now, w) {
		return placement.Denied, nil
	}
	verdict, pending := s.Permits.Take(now, limitedWorker(w), rs.permitWaits == 0)
	switch {
	case verdict == permit.Pending && rs.permitWaits < _maxPermitWaits:
		rs.permitWaits++
		return placement.Pending, pending
	case verdict != permit.Granted:
		hold := s.Permits.Hold(now, limitedWorker(w))
		rs.holds = append(rs.holds, hold)
		countHold(hold.Denial)
		return placement.Denied, nil
	}
	if cold && !s.permitCold(now, w) {
		s.Permits.Return(now, limitedWorker(w))
		return placement.Denied, nil
	}
	return placement.Granted, nil
}

func (rs *requestState) isHeldBackFrom(w *worker.Worker) bool {
	return slices.ContainsFunc(rs.holds, func(h permit.Hold) bool { return h.Worker == w.ID })
}

func countHold(denial permit.Denial) {
	metrics.GetOrCreateCounter(`wigeonlock_held_back_total{reason="` + string(denial) + `"}`).Inc()
}

// awaitPermit waits until an issuer answered, for _permitTimeout at most.
func awaitPermit(ctx context.Context, permitted <-chan struct{}) {
	timer := time.NewTimer(_permitTimeout)
	defer timer.Stop()
	select {
	case <-permitted:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// coldReady reports whether permitCold would permit a request.
func (s *Service) coldReady(now time.Time, w *worker.Worker) bool {
	return s.pacer.Ready(now, w.ID, s.coldRate(w), s.state.Instances)
}

// permitCold reports whether a request may be sent to a cold worker, and counts it against
// the worker's rate.
func (s *Service) permitCold(now time.Time, w *worker.Worker) bool {
	return s.pacer.Allow(now, w.ID, s.coldRate(w), s.state.Instances)
}

// coldRate returns the number of requests per second that a cold worker takes from all
// instances together.
func (s *Service) coldRate(w *worker.Worker) float64 {
	if s.state.Catalog == nil {
		return 0
	}
	return s.state.Catalog.Service(w.Service).ColdRate*s.state.SharedLimits.ColdOverrun + s.state.SharedLimits.ColdSlack
}

// recordLimit records the limit that the worker's answer named, or that it named none.
func (s *Service) recordLimit(rs *requestState, r exchange.Result) {
	w := limitedWorker(rs.choice.Worker)
	now := time.Now()
	switch {
	case r.Limit != nil:
		_limitedSends.Inc()
		s.Permits.Named(now, w, *r.Limit)
	case r.Answer.Outcome == retry.Run:
		s.Permits.Unnamed(now, w, r.SentAt)
	}
}

// limitChanged logs a change of the limit of a worker. source is "answer", "issuer" or the
// instance that brought the news.
func (s *Service) limitChanged(w permit.Worker, l permit.Limit, source string) {
	fields := []zap.Field{
		zap.String("worker", w.ID), zap.Int64("born", w.Born), zap.String("zone", w.Zone), zap.String("source", source),
		zap.Duration("newsAgeMs", time.Since(l.At)),
	}
	if l.Named {
		_limitsNamed.Inc()
		s.Log.Info("worker names a limit", append(fields, zap.Float64("perSecond", l.PerSecond))...)
		return
	}
	_limitsLifted.Inc()
	s.Log.Info("worker names no limit any more", fields...)
}

// instanceSilent logs that an instance does not answer questions for permits, or does again.
func (s *Service) instanceSilent(name string, silent bool) {
	s.Log.Info("issuer of permits", zap.String("name", name), zap.Bool("silent", silent))
}
