package forward

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/exchange"
	"github.com/wigeonlock/wigeonlock/worker"
)

const (
	// _oldRead is the age of the last read of the store from which the entries do not tell
	// whether workers are cold: some polls of a reader.
	_oldRead = 2 * time.Second
	// _heartbeatTime is the time from the end of an outage of the store on in which the workers
	// write their entries again.
	_heartbeatTime = 2 * time.Second
	// _repeatedTime is the time for which an entry that was read again, from a copy of the
	// store, does not tell either: until the worker has written the next one.
	_repeatedTime = 3 * time.Second
	// _probeInterval is the time between two probes of a worker by all instances of a region.
	// One that is _rankDelay further back in the order of the worker probes that much later,
	// if it has not heard of the probe of another.
	_probeInterval = 200 * time.Millisecond
	_rankDelay     = 100 * time.Millisecond
	// _probeTimeout is how long a probe may wait for a slot of the worker.
	_probeTimeout = time.Second
	// _knownTime is the time for which a worker's own word holds. A worker that is not heard
	// again may have become cold, and is full or slow at least.
	_knownTime = 350 * time.Millisecond
	// _maxProbes is the largest number of probes at a time.
	_maxProbes = 64
	// _usedTime is the time for which a worker is probed after its use.
	_usedTime = 2 * time.Second
)

var _coldHeard = metrics.NewCounter("wigeonlock_cold_heard_total")

// probe is what this instance asked a worker.
type probe struct {
	since time.Time
	at    time.Time
	open  bool
}

// ProbeCold asks workers whether they are cold whose entries are old, as the store can't be
// read or was restored from a copy. It doesn't wait for the answers.
func (s *Service) ProbeCold(ctx context.Context, now time.Time) {
	if s.Probe == nil {
		return
	}
	// The watcher delivers what it reads under its lock.
	readAt := s.ReadAt()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Catalog == nil {
		return
	}
	if now.Sub(readAt) >= _oldRead {
		s.oldUntil = now.Add(_heartbeatTime)
	}
	open := 0
	for id, p := range s.probes {
		switch {
		case p.open:
			open++
		case s.state.Workers.Get(id) == nil:
			delete(s.probes, id)
		}
	}
	s.state.Workers.Each(func(w *worker.Worker) {
		s.judgeCold(now, w)
		path := s.state.Catalog.Service(w.Service).HealthPath
		if path == "" || open >= _maxProbes || !s.probeIsDue(now, w) {
			return
		}
		open++
		p := s.probes[w.ID]
		if p == nil {
			p = &probe{since: now}
			s.probes[w.ID] = p
		}
		p.open, p.at = true, now
		go s.probeWorker(ctx, *w, p, path)
	})
}

// storeTells reports whether the store tells if a worker is cold. The caller holds s.mu.
func (s *Service) storeTells(now time.Time, w *worker.Worker) bool {
	return !now.Before(s.oldUntil) && w.ExpiresAt.IsZero() && now.Sub(w.RepeatedAt) >= _repeatedTime
}

// judgeCold records whether a worker may be cold for all that is known. The caller holds s.mu.
func (s *Service) judgeCold(now time.Time, w *worker.Worker) {
	if s.storeTells(now, w) {
		w.ColdUnknown = false
		delete(s.probes, w.ID)
		return
	}
	p := s.probes[w.ID]
	if now.Sub(w.UsedAt) > _usedTime {
		// Its first requests go there while it is asked: with the store away, workers are
		// served from what is known.
		w.ColdUnknown = false
		if p != nil && !p.open {
			delete(s.probes, w.ID)
		}
		return
	}
	w.ColdUnknown = now.Sub(w.HeardAt) >= _knownTime && p != nil && now.Sub(p.since) >= _probeInterval
}

// probeIsDue reports whether to ask a worker now. The caller holds s.mu.
func (s *Service) probeIsDue(now time.Time, w *worker.Worker) bool {
	if s.storeTells(now, w) || now.Sub(w.HeardAt) < _probeInterval || !w.Usable(now) || s.state.Closed[w.Zone] ||
		w.ColdUntil.Sub(now) > _probeInterval || now.Sub(w.UsedAt) > _usedTime {
		return false
	}
	if p := s.probes[w.ID]; p != nil && (p.open || now.Sub(p.at) < _probeInterval) {
		return false
	}
	rank := 0
	if s.ProbeRank != nil {
		rank = s.ProbeRank(w.ID)
	}
	return now.Sub(w.HeardAt) >= _probeInterval+time.Duration(rank)*_rankDelay
}

// probeWorker asks a worker whether it is cold, and tells the neighbours.
func (s *Service) probeWorker(ctx context.Context, w worker.Worker, p *probe, path string) {
	ctx, cancel := context.WithTimeout(ctx, _probeTimeout)
	defer cancel()
	sent := time.Now()
	cold, err := s.Probe(ctx, exchange.Target{ID: w.ID, Address: w.Address}, path)
	news := worker.Cold{Worker: w.ID, Born: w.Born, LeftMs: cold.Milliseconds(), AgeMs: time.Since(sent).Milliseconds()}
	s.mu.Lock()
	p.open = false
	if err != nil {
		s.mu.Unlock()
		return
	}
	s.hearCold(sent, s.Instance, news)
	s.mu.Unlock()
	if s.TellCold != nil {
		s.TellCold(news)
	}
}

// AdoptCold records what a worker told another instance of its cold time.
func (s *Service) AdoptCold(from string, news worker.Cold) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hearCold(time.Now().Add(-time.Duration(news.AgeMs)*time.Millisecond), from, news)
}

// hearCold records the cold time that a worker told an instance. The caller holds s.mu.
func (s *Service) hearCold(at time.Time, from string, news worker.Cold) {
	left := time.Duration(news.LeftMs) * time.Millisecond
	if s.state.Workers.HearCold(at, news.Worker, news.Born, left) {
		_coldHeard.Inc()
		s.Log.Info("worker tells that it is cold", zap.String("worker", news.Worker), zap.String("from", from), zap.Duration("left", left))
	}
}
