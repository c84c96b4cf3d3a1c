package dispatch

import (
	"time"

	"github.com/wigeonlock/wigeonlock/fleet"
	"github.com/wigeonlock/wigeonlock/plan"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
	"github.com/wigeonlock/wigeonlock/steer"
)

// destination is where an attempt goes: the own zone or an instance of another.
type destination struct {
	here   bool
	member fleet.Member
	zone   string
}

// journey is what is known of a request from its attempts so far.
type journey struct {
	request *relay.Request
	tenant  *plan.Tenant
	// result is what the caller is told if no further attempt runs the request.
	result *relay.Answer
	// last is the answer to the last attempt.
	last *relay.Answer
	// sent tells that a worker was sent the request.
	sent bool
	// hereClosed tells that the own zone refused without trying a worker.
	hereClosed bool
	// zones are the other zones tried.
	zones []string
}

// note keeps the answer to an attempt that did not run the request. Once a
// worker may have run it, "not run" is no longer true; of two refusals the
// first is kept, whose reason is the cause.
func (j *journey) note(d destination, a *relay.Answer) {
	j.last = a
	if j.result == nil || a.Outcome != retry.NotRun {
		j.result = a
	}
	j.sent = j.sent || a.Outcome != retry.NotRun || a.Worker != "" || a.Reason == relay.WorkerRefused
	switch {
	case !d.here:
		j.zones = append(j.zones, d.zone)
	case a.Worker != "":
		j.request.Tried = append(j.request.Tried, a.Worker)
	default:
		j.hereClosed = true
	}
}

// first reports whether nothing was tried yet.
func (j *journey) first() bool {
	return j.last == nil
}

// over reports whether no destination may do better than the last one.
func (j *journey) over() bool {
	if j.first() {
		return false
	}
	switch j.last.Reason {
	case relay.NoAllowance, relay.CallerLeft, relay.DeadlinePassed, relay.BadRequest:
		return true
	default:
		return false
	}
}

func (j *journey) triedZone(zone string) bool {
	for _, z := range j.zones {
		if z == zone {
			return true
		}
	}
	return false
}

// choose returns the next destination. A request whose home is another region
// goes there first, where it occupies no slot of the shift cap. Otherwise the
// own zone comes first if it has a slot, or if waiting for one is shorter than
// the way to another zone.
func (s *Service) choose(j *journey) (destination, bool) {
	if j.over() {
		return destination{}, false
	}
	now := time.Now()
	free, wait, workers := s.Here.Room(now, j.request.Service)
	here := destination{here: true, zone: s.Settings.Zone}
	open := workers && !j.hereClosed
	atHome := j.tenant.HomeRegion == s.Settings.Region
	if open && free > 0 && (atHome || !j.first()) {
		return here, true // the usual case needs no look at other zones
	}

	s.mu.Lock()
	defer s.mu.Unlock()
	routes := s.routes(now, j)
	home := !atHome && len(routes) > 0 && routes[0].Region == j.tenant.HomeRegion
	trip, elsewhere := s.steer.Nearest(routes)
	switch {
	case home && j.first():
	case open && (free > 0 || wait < trip):
		return here, true
	}
	if elsewhere {
		for _, route := range routes {
			if m, ok := s.pickMember(now, route.Zone); ok {
				return destination{member: m, zone: route.Zone}, true
			}
		}
	}
	return here, open || j.first()
}

// routes returns the ways to the other zones that were not tried, best first.
func (s *Service) routes(now time.Time, j *journey) []steer.Route {
	all := s.steer.Choose(now, s.rng,
		steer.Request{Service: j.request.Service, Home: j.tenant.HomeRegion, Shift: j.tenant.Plan.ShiftSlots > 0},
		func(zone, service string) steer.View { return s.Fleet.View(now, zone, service) })
	untried := all[:0]
	for _, r := range all {
		if !j.triedZone(r.Zone) {
			untried = append(untried, r)
		}
	}
	return untried
}
