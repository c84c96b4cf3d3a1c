package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/wigeonlock/wigeonlock/admission"
	"github.com/wigeonlock/wigeonlock/gossip"
	"github.com/wigeonlock/wigeonlock/quota"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
	"github.com/wigeonlock/wigeonlock/routing"
)

// Planner decides where the attempts of requests go. It does no I/O and is not
// safe for concurrent use.
type Planner struct {
	// Zone and Region are the own ones.
	Zone   string
	Region string
	Router routing.Router
	Rand   *rand.Rand

	// capped are the times until which a plan is not sent to an instance.
	capped map[planMember]time.Time
}

// CapBackoff is the time for which a plan whose shift cap refused at an
// instance is not sent there.
const CapBackoff = 100 * time.Millisecond

// _homeTries is the number of zones of the home region that a request is sent to
// before it takes a slot of the shift cap.
const _homeTries = 2

type planMember struct {
	plan   string
	member string
}

// Destination is where an attempt goes: the own zone or an instance of another.
type Destination struct {
	Local  bool
	Member gossip.Member
	Zone   string
}

// ClusterState are what a choice depends on at the time.
type ClusterState struct {
	// Room is that of the own zone.
	Room admission.Room
	// View tells what another zone advertises.
	View func(zone, service string) routing.View
	// Live returns the members of a zone that take work.
	Live func(zone string) []gossip.Member
}

// RequestState is what is known of a request from its attempts so far.
type RequestState struct {
	Service string
	Plan    string
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
	// Refused tells that a worker refused the last attempt.
	Refused bool
	// Tried names the workers of the own zone that were tried.
	Tried []string

	// hereClosed tells that the own zone refused without trying a worker.
	hereClosed bool
	// zones are the other zones tried.
	zones []string
}

// Record keeps the answer to an attempt that did not run the request. Once a
// worker may have run it, "not run" is no longer true; of two refusals the
// first is kept, whose reason is the cause.
func (j *RequestState) Record(d Destination, a *relay.Answer) {
	j.Last = a
	if j.Result == nil || a.Outcome != retry.NotRun {
		j.Result = a
	}
	j.Refused = a.Reason == relay.WorkerRefused
	j.Sent = j.Sent || a.Outcome != retry.NotRun || (a.Worker != "" && !j.Refused && a.Reason != relay.WorkerUnreachable)
	switch {
	case !d.Local:
		j.zones = append(j.zones, d.Zone)
	case a.Worker != "":
		j.Tried = append(j.Tried, a.Worker)
	default:
		j.hereClosed = true
	}
}

// ExcludeLocal leaves the own zone out of further attempts.
func (j *RequestState) ExcludeLocal() {
	j.hereClosed = true
}

// first reports whether nothing was tried yet.
func (j *RequestState) first() bool {
	return j.Last == nil
}

// over reports whether no destination may do better than the last one.
func (j *RequestState) over() bool {
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

func (j *RequestState) triedZone(zone string) bool {
	for _, z := range j.zones {
		if z == zone {
			return true
		}
	}
	return false
}

// steerResult tells what an answer from another zone says of the zone.
func steerResult(a *relay.Answer) routing.Result {
	switch {
	case a.Outcome == retry.Run:
		return routing.Accepted
	case a.Outcome != retry.NotRun || a.Reason == relay.PeerUnreachable:
		return routing.Failed
	}
	switch quota.Reason(a.Reason) {
	case quota.NoShare, quota.Adjusting, quota.NoSession, quota.Unconfirmed:
		return routing.CapReached
	default:
		return routing.Refused
	}
}

// Begin records that a request is sent to another zone.
func (p *Planner) Begin(j *RequestState, d Destination) {
	p.Router.Begin(d.Zone, j.Service)
}

// End records what another zone answered.
func (p *Planner) End(now time.Time, j *RequestState, d Destination, a *relay.Answer) {
	result := steerResult(a)
	p.Router.End(now, d.Zone, j.Service, result)
	if result != routing.CapReached {
		return
	}
	if p.capped == nil {
		p.capped = make(map[planMember]time.Time)
	}
	p.capped[planMember{j.Plan, d.Member.Name}] = now.Add(CapBackoff)
}

// Choose returns the next destination. A request whose home is another region
// goes there first, to up to two of its zones, where it occupies no slot of the
// shift cap. Otherwise the
// own zone comes first if it has a slot, or if waiting for one is shorter than
// the way to another zone.
func (p *Planner) Choose(now time.Time, j *RequestState, s ClusterState) (Destination, bool) {
	if j.over() {
		return Destination{}, false
	}
	here := Destination{Local: true, Zone: p.Zone}
	open := s.Room.Workers && !j.hereClosed
	atHome := j.Home == p.Region
	if open && s.Room.Free > 0 && (atHome || len(j.zones) >= _homeTries) {
		return here, true // the usual case needs no look at other zones
	}
	routes := p.routes(j, s)
	home := !atHome && len(routes) > 0 && routes[0].Region == j.Home
	trip, elsewhere := p.Router.Nearest(routes)
	switch {
	case home && len(j.zones) < _homeTries:
	case open && (s.Room.Free > 0 || s.Room.Wait < trip):
		return here, true
	}
	if elsewhere {
		for _, route := range routes {
			if m, ok := p.pickMember(now, j.Plan, s.Live(route.Zone)); ok {
				return Destination{Member: m, Zone: route.Zone}, true
			}
		}
	}
	return here, open || j.first()
}

// routes returns the ways to the other zones that were not tried, best first.
func (p *Planner) routes(j *RequestState, s ClusterState) []routing.Route {
	all := p.Router.Choose(p.Rand, routing.Request{
		Service: j.Service, Home: j.Home, Work: s.Room.Work, Shift: j.Shift,
	}, s.View)
	untried := all[:0]
	for _, r := range all {
		if !j.triedZone(r.Zone) {
			untried = append(untried, r)
		}
	}
	return untried
}

// pickMember draws one of the members at which the plan's cap did not refuse
// lately.
func (p *Planner) pickMember(now time.Time, plan string, members []gossip.Member) (gossip.Member, bool) {
	open := make([]gossip.Member, 0, len(members))
	for _, m := range members {
		if !now.Before(p.capped[planMember{plan, m.Name}]) {
			open = append(open, m)
		}
	}
	if len(open) == 0 {
		return gossip.Member{}, false
	}
	return open[p.Rand.IntN(len(open))], true
}
