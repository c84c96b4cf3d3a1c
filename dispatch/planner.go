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

// Planner chooses the destination of each attempt. It does no I/O and is not
// safe for concurrent use.
type Planner struct {
	// Zone and Region are the local ones.
	Zone   string
	Region string
	Router routing.Router
	Rand   *rand.Rand

	// capped holds the times until which a plan is not sent to an instance.
	capped map[planMember]time.Time
}

// CapBackoff is the time for which requests of a plan are not sent to an
// instance that refused one because of the plan's shift cap.
const CapBackoff = 100 * time.Millisecond

// _maxHomeAttempts is the number of zones of the home region that a request is
// sent to before it may take a slot of the shift cap.
const _maxHomeAttempts = 2

type planMember struct {
	plan   string
	member string
}

// Destination is where an attempt goes: the local zone or an instance of another.
type Destination struct {
	Local  bool
	Member gossip.Member
	Zone   string
}

// ClusterState is the known state of the zones when a destination is chosen.
type ClusterState struct {
	// Capacity is the capacity of the local zone.
	Capacity admission.Capacity
	// View returns the load that another zone advertises for a service.
	View func(zone, service string) routing.View
	// Live returns the members of a zone that accept requests.
	Live func(zone string) []gossip.Member
}

// RequestState holds a request's routing attributes and the results of its
// attempts so far.
type RequestState struct {
	Service string
	Plan    string
	// Home is the customer's home region.
	Home string
	// Shift is set if the plan may run outside the home region.
	Shift bool
	// Result is the answer to the caller if no further attempt runs the request.
	Result *relay.Answer
	// Last is the answer to the last attempt.
	Last *relay.Answer
	// Sent is set once the request was sent to a worker that did not refuse it.
	Sent bool
	// Refused is set if a worker refused the last attempt.
	Refused bool
	// Tried names the workers of the local zone that were tried.
	Tried []string

	// localExcluded is set once the local zone refused without trying a worker,
	// or by ExcludeLocal.
	localExcluded bool
	// zones names the other zones that were tried.
	zones []string
}

// Record adds the answer to an attempt that did not run the request. Once a
// worker may have run it, Result is no longer "not run"; of several refusals
// Result is the first, whose reason is the cause.
func (st *RequestState) Record(d Destination, a *relay.Answer) {
	st.Last = a
	if st.Result == nil || a.Outcome != retry.NotRun {
		st.Result = a
	}
	st.Refused = a.Reason == relay.WorkerRefused
	st.Sent = st.Sent || a.Outcome != retry.NotRun || (a.Worker != "" && !st.Refused && a.Reason != relay.WorkerUnreachable)
	switch {
	case !d.Local:
		st.zones = append(st.zones, d.Zone)
	case a.Worker != "":
		st.Tried = append(st.Tried, a.Worker)
	default:
		st.localExcluded = true
	}
}

// ExcludeLocal excludes the local zone from further attempts.
func (st *RequestState) ExcludeLocal() {
	st.localExcluded = true
}

// first reports whether no attempt was made yet.
func (st *RequestState) first() bool {
	return st.Last == nil
}

// final reports whether no other destination can return a better answer than the
// last one.
func (st *RequestState) final() bool {
	if st.first() {
		return false
	}
	switch st.Last.Reason {
	case relay.NoAllowance, relay.CallerDisconnected, relay.DeadlinePassed, relay.BadRequest:
		return true
	default:
		return false
	}
}

func (st *RequestState) triedZone(zone string) bool {
	for _, z := range st.zones {
		if z == zone {
			return true
		}
	}
	return false
}

// routingResult returns how the router counts an answer from another zone.
func routingResult(a *relay.Answer) routing.Result {
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

// Begin records that a request is being sent to another zone. End must follow.
func (p *Planner) Begin(st *RequestState, d Destination) {
	p.Router.Begin(d.Zone, st.Service)
}

// End records the answer of another zone.
func (p *Planner) End(now time.Time, st *RequestState, d Destination, a *relay.Answer) {
	result := routingResult(a)
	p.Router.End(now, d.Zone, st.Service, result)
	if result != routing.CapReached {
		return
	}
	if p.capped == nil {
		p.capped = make(map[planMember]time.Time)
	}
	p.capped[planMember{st.Plan, d.Member.Name}] = now.Add(CapBackoff)
}

// Choose returns the destination of the next attempt, or false if there is none.
// A request whose home is another region goes there first, to up to
// _maxHomeAttempts of its zones, where it takes no slot of the shift cap.
// Otherwise the local zone comes first if it has a free slot, or if the wait for
// one is shorter than the round trip to the best other zone.
func (p *Planner) Choose(now time.Time, st *RequestState, s ClusterState) (Destination, bool) {
	if st.final() {
		return Destination{}, false
	}
	local := Destination{Local: true, Zone: p.Zone}
	open := s.Capacity.Workers && !st.localExcluded
	atHome := st.Home == p.Region
	if open && s.Capacity.Free > 0 && (atHome || len(st.zones) >= _maxHomeAttempts) {
		return local, true // the common case, without computing routes
	}
	routes := p.routes(st, s)
	home := !atHome && len(routes) > 0 && routes[0].Region == st.Home
	roundTrip, found := p.Router.Nearest(routes)
	switch {
	case home && len(st.zones) < _maxHomeAttempts:
	case open && (s.Capacity.Free > 0 || s.Capacity.Wait < roundTrip):
		return local, true
	}
	if found {
		for _, route := range routes {
			if m, ok := p.pickMember(now, st.Plan, s.Live(route.Zone)); ok {
				return Destination{Member: m, Zone: route.Zone}, true
			}
		}
	}
	return local, open || st.first()
}

// routes returns the routes to the zones that were not tried yet, best first.
func (p *Planner) routes(st *RequestState, s ClusterState) []routing.Route {
	all := p.Router.Choose(p.Rand, routing.Request{
		Service: st.Service, Home: st.Home, SlotTime: s.Capacity.SlotTime, Shift: st.Shift,
	}, s.View)
	untried := all[:0]
	for _, r := range all {
		if !st.triedZone(r.Zone) {
			untried = append(untried, r)
		}
	}
	return untried
}

// pickMember returns a random member among those that did not refuse the plan
// because of its shift cap within CapBackoff.
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
