package forward

import (
	"time"

	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/seat"
	"github.com/wigeonlock/wigeonlock/worker"
)

// RecordChange records a change of a worker that State.Workers reports: one that has just
// started may take the objects of one that leaves. It is called while Update runs.
func (s *Service) RecordChange(w *worker.Worker, change string) {
	now := time.Now()
	switch change {
	case "started", "back":
		if !w.Leaving {
			s.placer.WorkerStarted(now, w)
		}
	case "leaving", "gone":
		s.placer.WorkerLeft(now, w)
	}
}

// Successions returns the workers that took the place of another one, at most limit.
func (s *Service) Successions(limit int) []seat.Succession {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.Successions(limit)
}

// AdoptSuccessions applies what another instance of the region decided.
func (s *Service) AdoptSuccessions(successions []seat.Succession) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, succession := range successions {
		s.placer.AdoptSuccession(now, succession)
	}
}

// succeeded logs that a worker took the place of another one, and tells the other instances of
// the region.
func (s *Service) succeeded(succession seat.Succession) {
	_successions.Inc()
	s.Log.Info("worker takes the objects of another one",
		zap.String("worker", succession.Worker), zap.String("seat", succession.Seat), zap.String("group", succession.Group))
	if s.Succeeded != nil {
		s.Succeeded(succession)
	}
}
