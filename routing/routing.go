// Package routing selects the availability zones to which a request is forwarded.
//
// The local zone comes first, then the other zones of the region, then other
// regions by latency. Another zone is chosen by the headroom that it advertises,
// which counts for less as the advertisement ages. The requests in flight to a zone
// are limited by a window that grows in limited steps and shrinks when the zone
// refuses. Only the receiving zone decides what it admits.
//
// Router does no I/O and is not safe for concurrent use.
//
// # Usage
//
//	r := &routing.Router{Zone: "tunis-a", Region: "tunis", Routes: routes}
//	for _, route := range r.Choose(rng, request, view) {
//		r.Begin(route.Zone, service)
//		// forward
//		r.End(now, route.Zone, service, routing.Accepted)
//	}
package routing

import (
	"math/rand/v2"
	"sort"
	"time"
)

const (
	// WindowStart is the initial window of a zone, in requests in flight.
	WindowStart = 4
	// GrowInterval is the shortest time between two increases of a window.
	GrowInterval = 50 * time.Millisecond
	// GrowShare is the largest fraction by which one step increases a window.
	GrowShare = 0.5
	// ShrinkInterval is the shortest time between two decreases of a window, so that
	// the refusals of one round trip count once.
	ShrinkInterval = 100 * time.Millisecond
	// ShrinkShare is the fraction of a window that remains after a refusal.
	ShrinkShare = 0.7
	// MaxZones is the largest number of zones to which one request is sent.
	MaxZones = 3

	// _refusalMemory is the time without a refusal after which an accepted request
	// clears the refused state of a zone.
	_refusalMemory = time.Second
	// _minHomeCapacity is the smallest number of requests that may be in flight from
	// another region to a zone of their home region that has not refused.
	_minHomeCapacity = 4
	_minWindow       = 2
	// _growFromShare is the used fraction of a window from which the window grows.
	_growFromShare = 0.5
)

// Route is the network path to another zone.
type Route struct {
	// Zone is the zone on the other side.
	Zone   string
	Region string
	// OneWay is the latency in one direction.
	OneWay time.Duration
}

// View is the known state of a service in another zone.
type View struct {
	// Headroom is the number of slots that the zone advertises for requests from
	// other zones.
	Headroom int
	// Slots is the number of slots of the zone's workers.
	Slots int
	// Age is the age of the advertisement.
	Age time.Duration
	// Stale is the age from which the advertisement is ignored.
	Stale time.Duration
	// Known is set if the zone advertised its headroom recently.
	Known bool
}

// Request holds the properties of a request that decide its zone.
type Request struct {
	Service string
	// Home is the home region of the customer.
	Home string
	// SlotTime is the mean time for which a request occupies a slot.
	SlotTime time.Duration
	// Shift is set if the plan permits shifts out of the home region.
	Shift bool
}

// Result is the outcome of an attempt in another zone.
type Result string

const (
	// Accepted means that the zone admitted the request.
	Accepted Result = "accepted"
	// Refused means that the zone had no capacity.
	Refused Result = "refused"
	// CapReached means that the plan's shift cap refused the request, which shows
	// nothing about the zone's capacity.
	CapReached Result = "capReached"
	// Failed means that the zone could not be reached or did not answer.
	Failed Result = "failed"
)

// Router selects zones for one entry instance.
type Router struct {
	// Zone and Region are those of this instance.
	Zone   string
	Region string
	// Routes are the network paths to all other zones.
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

// Choose returns at most MaxZones other zones for a request, best first.
func (r *Router) Choose(rng *rand.Rand, req Request, view func(zone, service string) View) []Route {
	type option struct {
		route    Route
		group    int
		capacity float64
	}
	var options []option
	for _, route := range r.Routes {
		if route.Region != req.Home && !req.Shift {
			continue
		}
		capacity := r.capacity(route, req, view(route.Zone, req.Service))
		if capacity < 1 {
			continue
		}
		options = append(options, option{route, r.group(route, req.Home), capacity})
	}
	// Zones of a group with equal latency are ordered by a random draw weighted by
	// capacity, so that many sources do not choose the same zone at once.
	for i := range options {
		options[i].capacity *= rng.Float64()
	}
	sort.SliceStable(options, func(i, j int) bool {
		a, b := options[i], options[j]
		if a.group != b.group {
			return a.group < b.group
		}
		if a.route.OneWay != b.route.OneWay {
			return a.route.OneWay < b.route.OneWay
		}
		return a.capacity > b.capacity
	})
	chosen := make([]Route, 0, MaxZones)
	for _, o := range options[:min(len(options), MaxZones)] {
		chosen = append(chosen, o.route)
	}
	return chosen
}

// Nearest returns the round-trip time to the first of the routes that Choose
// returned, or false if there is none.
func (r *Router) Nearest(routes []Route) (time.Duration, bool) {
	if len(routes) == 0 {
		return 0, false
	}
	return 2 * routes[0].OneWay, true
}

// Begin records a request in flight to a zone. Each Begin needs one End.
func (r *Router) Begin(zone, service string) {
	w := r.window(zone, service)
	w.inFlight++
}

// End records the end of a request to a zone and adjusts the window of the zone.
func (r *Router) End(now time.Time, zone, service string, result Result) {
	w := r.window(zone, service)
	full := float64(w.inFlight) >= w.limit*_growFromShare
	w.inFlight--
	switch result {
	case Accepted:
		if now.Sub(w.grown) >= _refusalMemory {
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
			w.limit = max(_minWindow, min(w.limit, float64(w.inFlight+1))*ShrinkShare)
			w.shrunk = now
		}
		w.grown = now
	}
}

// group returns the rank of a zone: 0 in the home region, 1 in the local region,
// 2 elsewhere.
func (r *Router) group(route Route, home string) int {
	switch route.Region {
	case home:
		return 0
	case r.Region:
		return 1
	default:
		return 2
	}
}

// capacity returns how many more requests may be sent to a zone. A request that is
// sent to its home region is not a shift, so the window limits it only after a
// refusal.
func (r *Router) capacity(route Route, req Request, v View) float64 {
	w := r.window(route.Zone, req.Service)
	home := route.Region == req.Home && !w.refused
	returning := home && route.Region != r.Region
	if !v.Known || v.Age >= v.Stale {
		return 0
	}
	freshness := 1 - float64(v.Age)/float64(v.Stale)
	advertised := float64(v.Headroom) * freshness
	if returning && v.Slots > 0 {
		// A zone queues requests that return to their home region, even if it has no
		// headroom for moved requests.
		advertised = max(advertised, _minHomeCapacity)
	}
	if advertised < 1 {
		return 0
	}
	// A request is in flight for longer than it occupies a slot, so more requests
	// than slots may be in flight.
	if req.SlotTime > 0 {
		advertised *= 1 + 2*float64(route.OneWay)/float64(req.SlotTime)
	}
	if home {
		return advertised - float64(w.inFlight)
	}
	return min(advertised, w.limit) - float64(w.inFlight)
}

func (r *Router) window(zone, service string) *window {
	if r.windows == nil {
		r.windows = make(map[target]*window)
	}
	key := target{zone, service}
	w, ok := r.windows[key]
	if !ok {
		w = &window{limit: WindowStart}
		r.windows[key] = w
	}
	return w
}
