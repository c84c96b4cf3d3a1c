package forward

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/worker"
)

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
