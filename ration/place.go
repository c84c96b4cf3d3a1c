package ration

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// _minPlaceRate is the number of requests per second below which a quota is not divided by
	// zones: many small buckets are often empty while others are full.
	_minPlaceRate = 5.0
	// _maxPlaces is the largest number of places of a quota: each needs a permit of _extraBurst.
	_maxPlaces = 8
)

// order holds the instances and what was found out from them.
type order struct {
	// members are the registered instances.
	members []Member
	byName  map[string]Member
	// regionHash identifies the members of the region of this instance.
	regionHash uint64
	// ranked are those that may issue permits: the members and those that are gone for less
	// than a term, without those that resigned. hashes are those of their names, byRegion their
	// indexes.
	ranked   []Member
	hashes   []uint64
	byRegion map[string][]int
	// owners caches the first instance of each place, places the places of each team.
	owners map[accountKey]Member
	places map[string]teamPlaces
}

type teamPlaces struct {
	limit Limit
	zones []string
}

func (o *order) set(members []Member, region string) {
	o.members, o.byName, o.regionHash = members, make(map[string]Member, len(members)), 0
	for _, m := range members {
		o.byName[m.Name] = m
		if m.Region == region {
			o.regionHash ^= xxhash.Sum64String(m.Name)
		}
	}
}

// rank sets the instances that may issue permits.
func (o *order) rank(ranked []Member) {
	o.ranked, o.hashes = ranked, make([]uint64, len(ranked))
	o.byRegion, o.owners = make(map[string][]int), make(map[accountKey]Member)
	for i, m := range ranked {
		o.hashes[i] = xxhash.Sum64String(m.Name)
		o.byRegion[m.Region] = append(o.byRegion[m.Region], i)
	}
}

// mix combines two hashes.
func mix(a, b uint64) uint64 {
	x := (a ^ b) * 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// owner returns the instance that issues the permits of a place, as far as the registrations
// tell: the first of its region in an order of the place, those of its zone before others.
func (b *Book) owner(key accountKey) (Member, bool) {
	o := &b.order
	if m, ok := o.owners[key]; ok {
		return m, m.Name != ""
	}
	base := xxhash.Sum64String(key.team) ^ xxhash.Sum64String(key.place)*3
	var (
		best     Member
		bestNear bool
		bestHash uint64
	)
	for _, i := range o.byRegion[b.regionOf(key.place)] {
		near, hash := o.ranked[i].Zone == key.place, mix(base, o.hashes[i])
		if best.Name == "" || near && !bestNear || near == bestNear && hash < bestHash {
			best, bestNear, bestHash = o.ranked[i], near, hash
		}
	}
	if o.owners != nil {
		o.owners[key] = best
	}
	return best, best.Name != ""
}

// placesOf returns the places of a quota, by the names of their zones. They depend on nothing
// but the quota and the zones, so that all instances find the same.
func (b *Book) placesOf(l Limit) []string {
	if known, ok := b.order.places[l.Team]; ok && known.limit == l {
		return known.zones
	}
	base := xxhash.Sum64String(l.Team)
	sorted := slices.SortedFunc(slices.Values(b.Zones), func(x, y Zone) int {
		return cmp.Compare(mix(base, xxhash.Sum64String(x.Name)), mix(base, xxhash.Sum64String(y.Name)))
	})
	var places []string
	divided := l.PerSecond >= _minPlaceRate*float64(min(len(sorted), _maxPlaces))
	regions := make(map[string]bool)
	for _, z := range sorted {
		if len(places) < _maxPlaces && (divided || !regions[z.Region]) {
			places = append(places, z.Name)
		}
		regions[z.Region] = true
	}
	if b.order.places == nil {
		b.order.places = make(map[string]teamPlaces)
	}
	b.order.places[l.Team] = teamPlaces{l, places}
	return places
}

// preferred returns the places of a quota in the order in which this instance asks them: that
// of its zone, those of its region, and the others in an order of its own.
func (b *Book) preferred(l Limit, zone string) []string {
	base := xxhash.Sum64String(l.Team + "/" + b.Self)
	distance := func(place string) int {
		switch {
		case place == zone:
			return 0
		case b.regionOf(place) == b.Region:
			return 1
		}
		return 2
	}
	return slices.SortedFunc(slices.Values(b.placesOf(l)), func(x, y string) int {
		return cmp.Or(cmp.Compare(distance(x), distance(y)), cmp.Compare(mix(base, xxhash.Sum64String(x)), mix(base, xxhash.Sum64String(y))))
	})
}
