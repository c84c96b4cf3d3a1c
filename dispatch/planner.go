package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/wigeonlock/wigeonlock/fleet"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
	"github.com/wigeonlock/wigeonlock/steer"
)

// Planner decides where the attempts of requests go. It does no I/O and is not
// safe for concurrent use.
type Planner struct {
	// Zone and Region are the own ones.
	Zone   string
	Region string
	Steer  steer.Steer
	Rand   *rand.Rand
}

// Destination is where an attempt goes: the own zone or an instance of another.
type Destination struct {
	Here   bool
	Member fleet.Member
	Zone   string
}

// Surroundings are what a choice depends on at the time.
type Surroundings struct {
	// Free are the free slots of the own zone; Wait is the time to wait for one
	// otherwise; Workers tells whether the zone has workers.
	Free    int
	Wait    time.Duration
	Workers bool
	// View tells what another zone advertises.
	View func(zone, service string) steer.View
	// Live returns the members of a zone that take work.
	Live func(zone string) []fleet.Member
}

// Journey is what is known of a request from its attempts so far.
type Journey struct {
	Service string
	// Home is the customer's home region.
	Home string
	// Shift tells whether the plan may run outside the home region.
	Shift bool
	// Result is what the caller is told if no further attempt runs the request.
	Result *relay.Answer
	// Last is the answer to the last attempt.
	Last *relay.Answer
	// Sent tells that a worker was sent the request.
	Sent bool
	// Tried names the workers of the own zone that were tried.
	Tried []string

	// hereClosed tells that the own zone refused without trying a worker.
	hereClosed bool
	// zones are the other zones tried.
	zones []string
}

// Note keeps the answer to an attempt that did not run the request. Once a
// worker may have run it, "not run" is no longer true; of two refusals the
// first is kept, whose reason is the cause.
func (j *Journey) Note(d Destination, a *relay.Answer) {
	j.Last = a
	if j.Result == nil || a.Outcome != retry.NotRun {
		j.Result = a
	}
	j.Sent = j.Sent || a.Outcome != retry.NotRun || a.Worker != "" || a.Reason == relay.WorkerRefused
	switch {
	case !d.Here:
		j.zones = append(j.zones, d.Zone)
	case a.Worker != "":
		j.Tried = append(j.Tried, a.Worker)
	default:
		j.hereClosed = true
	}
}

// first reports whether nothing was tried yet.
func (j *Journey) first() bool {
	return j.Last == nil
}

// over reports whether no destination may do better than the last one.
func (j *Journey) over() bool {
	if j.first() {
		return false
	}
	switch j.Last.Reason {
	case relay.NoAllowance, relay.CallerLeft, relay.DeadlinePassed, relay.BadRequest:
		return true
	default:
		return false
	}
}

func (j *Journey) triedZone(zone string) bool {
	for _, z := range j.zones {
		if z == zone {
			return true
		}
	}
	return false
}

// Choose returns the next destination. A request whose home is another region
// goes there first, where it occupies no slot of the shift cap. Otherwise the
// own zone comes first if it has a slot, or if waiting for one is shorter than
// the way to another zone.
func (p *Planner) Choose(now time.Time, j *Journey, s Surroundings) (Destination, bool) {
	if j.over() {
		return Destination{}, false
	}
	here := Destination{Here: true, Zone: p.Zone}
	open := s.Workers && !j.hereClosed
	atHome := j.Home == p.Region
	if open && s.Free > 0 && (atHome || !j.first()) {
		return here, true // the usual case needs no look at other zones
	}
	routes := p.routes(now, j, s)
	home := !atHome && len(routes) > 0 && routes[0].Region == j.Home
	trip, elsewhere := p.Steer.Nearest(routes)
	switch {
	case home && j.first():
	case open && (s.Free > 0 || s.Wait < trip):
		return here, true
	}
	if elsewhere {
		for _, route := range routes {
			if m, ok := p.pickMember(s, route.Zone); ok {
				return Destination{Member: m, Zone: route.Zone}, true
			}
		}
	}
	return here, open || j.first()
}

// routes returns the ways to the other zones that were not tried, best first.
func (p *Planner) routes(now time.Time, j *Journey, s Surroundings) []steer.Route {
	all := p.Steer.Choose(now, p.Rand, steer.Request{Service: j.Service, Home: j.Home, Shift: j.Shift}, s.View)
	untried := all[:0]
	for _, r := range all {
		if !j.triedZone(r.Zone) {
			untried = append(untried, r)
		}
	}
	return untried
}

func (p *Planner) pickMember(s Surroundings, zone string) (fleet.Member, bool) {
	members := s.Live(zone)
	if len(members) == 0 {
		return fleet.Member{}, false
	}
	return members[p.Rand.IntN(len(members))], true
}
