package forward

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/worker"
)

// stopsBefore reports whether the instance may end before the caller has the answer to a request:
// cut then, its caller could not tell whether it ran, or would lose what it has of a large
// answer. A request that must not run twice may take until its deadline, others as long as
// answers of their route took lately.
func (s *Service) stopsBefore(rs *requestState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.StopsAt.IsZero() {
		return false
	}
	seen := s.answers[rs.route.Name]
	if !rs.route.Kind.Repeatable() || seen == nil && rs.route.Kind.Large() {
		return rs.deadline.After(s.state.StopsAt)
	}
	if seen == nil {
		return false
	}
	took := time.Duration(seen.seconds.atMost(_slowDeviations) * float64(time.Second))
	if left := rs.request.TimeLeft; left > 0 {
		took = min(took, left)
	}
	return rs.request.Received.Add(took).After(s.state.StopsAt)
}

// recordLeaving records that the worker of the last attempt said that it leaves. The caller
// holds s.mu.
func (s *Service) recordLeaving(rs *requestState) {
	w := rs.choice.Worker
	if !s.state.Workers.SaysLeaving(time.Now(), w.ID, w.Born) {
		return
	}
	s.leavingHeard("answer", w.ID, w.Born, 0, zap.String("request", rs.request.ID), zap.String("fault", string(rs.last.Fault)))
	if s.Left != nil && w.Born != 0 {
		s.Left(worker.Leaving{Worker: w.ID, Born: w.Born})
	}
}

// AdoptLeaving records what another instance was told by a worker.
func (s *Service) AdoptLeaving(from string, l worker.Leaving) {
	age := time.Duration(l.AgeMs) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Workers.SaysLeaving(time.Now().Add(-age), l.Worker, l.Born) {
		s.leavingHeard(from, l.Worker, l.Born, age)
	}
}

// leavingHeard logs and counts that a worker said that it leaves. source is "answer" or the
// instance that told it.
func (s *Service) leavingHeard(source, id string, born int64, age time.Duration, more ...zap.Field) {
	label := source
	if source != "answer" {
		label = "instance"
	}
	metrics.GetOrCreateCounter(`wigeonlock_workers_said_leaving_total{source="` + label + `"}`).Inc()
	s.Log.Info("worker says that it leaves", append([]zap.Field{
		zap.String("worker", id), zap.Int64("born", born), zap.String("source", source), zap.Duration("newsAgeMs", age),
	}, more...)...)
}

// SaidLeaving returns the workers that are known to have said that they leave, at most limit.
func (s *Service) SaidLeaving(limit int) []worker.Leaving {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Workers.SaidLeaving(time.Now(), limit)
}
