package forward

import (
	"context"
	"time"

	"github.com/wigeonlock/wigeonlock/exchange"
	"github.com/wigeonlock/wigeonlock/placement"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/worker"
)

// chooseWorker chooses a worker and counts the request as in flight to it, after the permit
// for the worker arrived, if it needs one. If there is no worker, chooseWorker returns the
// reason.
func (s *Service) chooseWorker(ctx context.Context, rs *requestState) (exchange.Target, relay.Reason) {
	for again := false; ; again = true {
		target, reason, permitted := s.tryWorkers(rs, again)
		if permitted == nil {
			return target, reason
		}
		awaitPermit(ctx, permitted)
	}
}

// tryWorkers chooses a worker and counts the request as in flight to it. The target is a
// copy: the worker's entry changes under the lock while the request is running. If a permit
// is pending, tryWorkers returns the channel that is closed when it is not any more.
func (s *Service) tryWorkers(rs *requestState, again bool) (exchange.Target, relay.Reason, <-chan struct{}) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var permitted <-chan struct{}
	request := placement.Request{
		Service:         rs.service,
		Object:          rs.object(),
		Sticky:          rs.sticky(),
		Again:           again,
		Returning:       rs.returning,
		Large:           rs.route.Kind.Large(),
		MayServe:        rs.mayServe,
		Bound:           rs.isBound(),
		Closed:          func(zone string) bool { return s.state.Closed[zone] },
		RegionInstances: max(s.state.Neighbours, 1),
		Instances:       max(s.state.Neighbours, 1) * s.regions,
		Tried:           rs.tried,
		Permit: func(w *worker.Worker, cold bool) (p placement.Permission) {
			p, permitted = s.permit(now, rs, w, cold)
			return p
		},
		ShareOf: shareOf(s.Permits.Shares(now)),
	}
	c := s.placer.Choose(now, request, s.state.Workers.ByService(rs.service))
	if c.Reason == placement.AwaitsPermit {
		return exchange.Target{}, "", permitted
	}
	rs.choice = c
	if c.Worker == nil {
		return exchange.Target{}, reasonOf(c.Reason, len(rs.holds) > 0), nil
	}
	rs.updateAge = now.Sub(c.Worker.LastUpdate)
	if len(rs.tried) == 0 {
		s.budget(rs.service).RecordFirst(now)
	}
	s.placer.Begin(now, request, c.Worker)
	return exchange.Target{
		ID: c.Worker.ID, Address: c.Worker.Address, MaxIdle: s.maxIdle(c.Worker), Withdrawn: func() bool { return s.isWithdrawn(c.Worker) },
	}, "", nil
}

// isWithdrawn reports whether a worker left or asked for a pause since it was chosen.
func (s *Service) isWithdrawn(w *worker.Worker) bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return !w.Usable(now) || s.placer.Resting(now, w)
}

// object identifies what the request concerns. Objects of different routes are
// different ones even if their keys are equal: a worker that ran one for a route runs
// it cold for another.
func (rs *requestState) object() string {
	if !rs.sticky() {
		return rs.request.ID
	}
	return rs.route.Name + "/" + rs.request.Object
}

// sticky reports whether requests for the same object run faster on the same worker.
func (rs *requestState) sticky() bool {
	return rs.route.Sticky && rs.request.Object != ""
}

// reasonOf returns the reason that callers get when no worker was chosen. heldBack is set if
// there was no permit for a worker.
func reasonOf(r placement.Reason, heldBack bool) relay.Reason {
	switch {
	case r == placement.NoWorkers:
		return relay.NoWorkers
	case r == placement.Resting:
		return relay.WorkersResting
	case heldBack:
		return relay.WorkerLimit
	}
	return relay.NoCapacity
}
