// Package routing decides in which availability zone a request runs.
//
// The own zone comes first, then the other zones of the region, then other
// regions by latency. Another zone is chosen by the headroom that it
// advertises, trusted less as it ages, and at most up to a window that grows
// in bounded steps and is halved when the zone refuses. The receiving zone
// alone decides what it admits.
//
// Router does no I/O and is not safe for concurrent use.
//
// # Usage
//
//	s := &routing.Router{Zone: "tunis-a", Region: "tunis", Routes: routes}
//	for _, dest := range s.Choose(rng, request, view) {
//		s.Begin(dest, service)
//		// forward
//		s.End(now, dest, service, routing.Accepted)
//	}
package routing

import (
	"math/rand/v2"
	"sort"
	"time"
)

const (
	// WindowStart is the first window towards a zone, in requests in flight.
	WindowStart = 4
	// GrowInterval is the shortest time between two steps up of a window.
	GrowInterval = 50 * time.Millisecond
	// GrowShare is the largest part by which a window grows in a step.
	GrowShare = 0.5
	// ShrinkInterval is the shortest time between two steps down of a window:
	// refusals of one round trip count once.
	ShrinkInterval = 100 * time.Millisecond
	// ShrinkShare is the part of a window that is left after a refusal.
	ShrinkShare = 0.7
	// MaxZones is the number of zones tried for one request.
	MaxZones = 3

	_forgiveAfter = time.Second
	// _homeRoom is the least number of requests that may be on their way from
	// another region to a zone of their home region that has not refused.
	_homeRoom    = 4
	_leastWindow = 2
	// _fullShare is the part of a window in use from which it grows.
	_fullShare = 0.5
)

// Route is the way to another zone.
type Route struct {
	Zone   string
	Region string
	// OneWay is the latency in one direction.
	OneWay time.Duration
}

// View is what is known of a service in another zone.
type View struct {
	// Headroom is what the zone advertises, in slots.
	Headroom int
	// Slots are those of the zone's workers.
	Slots int
	// Age is the age of the advertisement.
	Age time.Duration
	// Stale is the age at which it counts for nothing.
	Stale time.Duration
	// Known is false when the zone advertised nothing recently.
	Known bool
}

// Request is what the choice depends on.
type Request struct {
	Service string
	// Home is the home region of the customer.
	Home string
	// SlotTime is the mean time that a request occupies a slot.
	SlotTime time.Duration
	// Shift tells whether the plan may run outside the home region at all.
	Shift bool
}

// Result is how the attempt in another zone ended.
type Result string

const (
	// Accepted means that the zone took the request.
	Accepted Result = "accepted"
	// Refused means that the zone had no room.
	Refused Result = "refused"
	// CapReached means that the plan's shift cap refused the request: it says
	// nothing of the zone's room.
	CapReached Result = "capReached"
	// Failed means that the zone could not be reached or did not answer.
	Failed Result = "failed"
)

// Router chooses zones for one entry instance.
type Router struct {
	// Zone and Region are the own ones.
	Zone   string
	Region string
	// Routes are the ways to all other zones.
	Routes []Route

	windows map[target]*window
}

type target struct {
	zone    string
	service string
}

type window struct {
	limit    float64
	inFlight int
	grown    time.Time
	shrunk   time.Time
	refused  bool
}

// Choose returns the other zones to try, best first.
func (s *Router) Choose(rng *rand.Rand, r Request, view func(zone, service string) View) []Route {
	type option struct {
		route Route
		group int
		room  float64
	}
	var options []option
	for _, route := range s.Routes {
		if route.Region != r.Home && !r.Shift {
			continue
		}
		room := s.room(route, r, view(route.Zone, r.Service))
		if room < 1 {
			continue
		}
		options = append(options, option{route, s.group(route, r.Home), room})
	}
	// Within a group of zones that cost alike, a random draw weighted by room
	// keeps many sources from jumping on the same zone.
	for i := range options {
		options[i].room *= rng.Float64()
	}
	sort.SliceStable(options, func(i, j int) bool {
		a, b := options[i], options[j]
		if a.group != b.group {
			return a.group < b.group
		}
		if a.route.OneWay != b.route.OneWay {
			return a.route.OneWay < b.route.OneWay
		}
		return a.room > b.room
	})
	chosen := make([]Route, 0, MaxZones)
	for _, o := range options[:min(len(options), MaxZones)] {
		chosen = append(chosen, o.route)
	}
	return chosen
}

// Nearest returns the shortest round trip to a zone that may have room.
func (s *Router) Nearest(routes []Route) (time.Duration, bool) {
	if len(routes) == 0 {
		return 0, false
	}
	return 2 * routes[0].OneWay, true
}

// Begin counts a request in flight towards a zone.
func (s *Router) Begin(zone, service string) {
	w := s.window(zone, service)
	w.inFlight++
}

// End ends a request towards a zone and moves its window.
func (s *Router) End(now time.Time, zone, service string, result Result) {
	w := s.window(zone, service)
	full := float64(w.inFlight) >= w.limit*_fullShare
	w.inFlight--
	switch result {
	case Accepted:
		if now.Sub(w.grown) >= _forgiveAfter {
			w.refused = false
		}
		if full && now.Sub(w.grown) >= GrowInterval {
			w.limit += max(1, w.limit*GrowShare)
			w.grown = now
		}
	case CapReached:
	case Refused, Failed:
		w.refused = true
		if now.Sub(w.shrunk) >= ShrinkInterval {
			w.limit = max(_leastWindow, min(w.limit, float64(w.inFlight+1))*ShrinkShare)
			w.shrunk = now
		}
		w.grown = now
	}
}

// group orders zones: the home region first, then the own region, then others.
func (s *Router) group(r Route, home string) int {
	switch r.Region {
	case home:
		return 0
	case s.Region:
		return 1
	default:
		return 2
	}
}

// room is how many more requests the zone is trusted to take from here. Work
// that goes to its home region is no shift: the window bounds it only after a
// refusal.
func (s *Router) room(r Route, req Request, v View) float64 {
	w := s.window(r.Zone, req.Service)
	home := r.Region == req.Home && !w.refused
	homeward := home && r.Region != s.Region
	if !v.Known || v.Age >= v.Stale {
		return 0
	}
	trust := 1 - float64(v.Age)/float64(v.Stale)
	advertised := float64(v.Headroom) * trust
	if homeward && v.Slots > 0 {
		// A zone lets work that comes home wait, where it has no room for more
		// that is moved.
		advertised = max(advertised, _homeRoom)
	}
	if advertised < 1 {
		return 0
	}
	// A request is on its way for longer than it occupies a slot: so many more
	// may be under way than there are slots.
	if req.SlotTime > 0 {
		advertised *= 1 + 2*float64(r.OneWay)/float64(req.SlotTime)
	}
	if home {
		return advertised - float64(w.inFlight)
	}
	return min(advertised, w.limit) - float64(w.inFlight)
}

func (s *Router) window(zone, service string) *window {
	if s.windows == nil {
		s.windows = make(map[target]*window)
	}
	key := target{zone, service}
	w, ok := s.windows[key]
	if !ok {
		w = &window{limit: WindowStart}
		s.windows[key] = w
	}
	return w
}
