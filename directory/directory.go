// Package directory holds the instances that accept callers and selects the
// addresses that a caller is given.
//
// Callers get addresses of instances of their own region, so that their requests
// do not cross regions twice. Instances of other regions are selected only if the
// caller's region has none.
//
// # Usage
//
//	d := &directory.Directory{Self: self}
//	d.Put(member)
//	addresses := d.Choose("tunis", nil)
package directory

import (
	"slices"
	"sort"
	"time"
)

const (
	// MaxAddresses is the largest number of addresses that a caller uses.
	MaxAddresses = 64
	// MaxPerRegion is the largest number of instances of a region that callers are
	// given. With fewer instances, each of them knows the load of all workers better
	// and keeps more connections in use; with too few, the others could not carry the
	// load when some fail.
	MaxPerRegion = 5
	// _minCapacityShare is the capacity, as a fraction of the largest in the region,
	// below which an instance is left out once _minPerRegion others are selected.
	_minCapacityShare = 0.5
	_minPerRegion     = 3
)

// Member is an instance that accepts callers.
type Member struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	// Peers is the address for connections of other instances.
	Peers string `json:"peers"`
	// Permits is the address for datagrams about permits.
	Permits string `json:"permits"`
	// Started is the time of its start in Unix milliseconds.
	Started int64 `json:"started"`
	// Registrations counts the registrations since the start, from 1.
	Registrations int64 `json:"registrations"`
	// Capacity ranks the instances of a zone: those with more are selected first.
	Capacity float64 `json:"capacity"`
}

// Directory holds the known instances. It is not safe for concurrent use.
type Directory struct {
	// Self is this instance. Choose may return it while Serving is set.
	Self    Member
	Serving bool

	members map[string]*entry
	peak    int
}

type entry struct {
	Member
	expiresAt time.Time
}

// Put adds or replaces an instance as it registered itself.
func (d *Directory) Put(m Member) {
	if d.members == nil {
		d.members = make(map[string]*entry)
	}
	d.members[m.Name] = &entry{Member: m}
	d.peak = max(d.peak, len(d.members))
}

// Delete applies the deletion of the key of an instance. Unless expiry is zero, the
// deletion is tentative: the instance is removed at expiry, unless Put is called
// for it before.
func (d *Directory) Delete(name string, expiry time.Time) {
	e := d.members[name]
	switch {
	case e == nil:
	case !expiry.IsZero():
		e.expiresAt = expiry
	default:
		delete(d.members, name)
	}
}

// Sweep removes the instances whose tentative deletion expired.
func (d *Directory) Sweep(now time.Time) {
	for name, e := range d.members {
		if !e.expiresAt.IsZero() && now.After(e.expiresAt) {
			delete(d.members, name)
		}
	}
}

// Names returns the sorted names of the known instances, this one included.
func (d *Directory) Names() []string {
	names := make([]string, 0, len(d.members)+1)
	for name := range d.members {
		if name != d.Self.Name {
			names = append(names, name)
		}
	}
	names = append(names, d.Self.Name)
	sort.Strings(names)
	return names
}

// PeakInstances returns the largest number of instances known at once, at least
// 1. A total that is divided by this number does not yield larger shares when
// instances disappear.
func (d *Directory) PeakInstances() int {
	return max(d.peak, len(d.members), 1)
}

// Neighbours returns the instances of the local region, this one included.
func (d *Directory) Neighbours() []Member {
	list := []Member{d.Self}
	for name, e := range d.members {
		if name != d.Self.Name && e.Region == d.Self.Region {
			list = append(list, e.Member)
		}
	}
	return list
}

// Members returns the registered instances, this one included only if it is registered.
func (d *Directory) Members() []Member {
	list := make([]Member, 0, len(d.members)+1)
	for name, e := range d.members {
		if name != d.Self.Name {
			list = append(list, e.Member)
		}
	}
	if d.Registered() {
		list = append(list, d.Self)
	}
	return list
}

// Registrations returns the registered instances as the store has them.
func (d *Directory) Registrations() []Member {
	list := make([]Member, 0, len(d.members))
	for _, e := range d.members {
		list = append(list, e.Member)
	}
	return list
}

// Registered reports whether the store has the key of this incarnation of the
// instance.
func (d *Directory) Registered() bool {
	e := d.members[d.Self.Name]
	return e != nil && e.expiresAt.IsZero() && e.Started == d.Self.Started
}

// Choose returns the addresses for a caller of a region. If the region has no
// instance, it returns addresses of the regions in homes, or of all regions if homes
// is empty.
func (d *Directory) Choose(region string, homes []string) []string {
	if local := d.selected(region); len(local) > 0 {
		return local
	}
	var addresses []string
	for _, r := range d.regions() {
		if len(homes) == 0 || slices.Contains(homes, r) {
			addresses = append(addresses, d.selected(r)...)
		}
	}
	return addresses[:min(len(addresses), MaxAddresses)]
}

// regions returns the sorted regions that have instances.
func (d *Directory) regions() []string {
	var regions []string
	for _, m := range d.serving() {
		if !slices.Contains(regions, m.Region) {
			regions = append(regions, m.Region)
		}
	}
	sort.Strings(regions)
	return regions
}

// serving returns the instances that accept callers.
func (d *Directory) serving() []Member {
	list := make([]Member, 0, len(d.members)+1)
	for name, e := range d.members {
		if name != d.Self.Name {
			list = append(list, e.Member)
		}
	}
	if d.Serving {
		list = append(list, d.Self)
	}
	return list
}

// ServingNeighbours returns the instances of the local region that callers are given, without
// this one.
func (d *Directory) ServingNeighbours() []Member {
	return slices.DeleteFunc(d.selectMembers(d.Self.Region), func(m Member) bool { return m.Name == d.Self.Name })
}

// ServingEverywhere returns the instances of all regions that callers are given, as far as
// the registrations tell.
func (d *Directory) ServingEverywhere() []Member {
	var list []Member
	for _, region := range d.regions() {
		list = append(list, d.selectMembers(region)...)
	}
	return list
}

// Serves reports whether callers of the local region are sent to this instance, as far as
// the registrations tell.
func (d *Directory) Serves() bool {
	return slices.ContainsFunc(d.selectMembers(d.Self.Region), func(m Member) bool { return m.Name == d.Self.Name })
}

// selected returns the sorted addresses of a region that callers are given.
func (d *Directory) selected(region string) []string {
	var addresses []string
	for _, m := range d.selectMembers(region) {
		addresses = append(addresses, m.Address)
	}
	sort.Strings(addresses)
	return addresses
}

// selectMembers returns the instances of a region that callers are given. They are
// selected from each zone in turn, those with the largest capacity first.
func (d *Directory) selectMembers(region string) []Member {
	zones := make(map[string][]Member)
	var zoneNames []string
	for _, m := range d.serving() {
		if m.Region != region {
			continue
		}
		if zones[m.Zone] == nil {
			zoneNames = append(zoneNames, m.Zone)
		}
		zones[m.Zone] = append(zones[m.Zone], m)
	}
	sort.Strings(zoneNames)
	for _, list := range zones {
		sort.Slice(list, func(i, j int) bool {
			if list[i].Capacity != list[j].Capacity {
				return list[i].Capacity > list[j].Capacity
			}
			return list[i].Name < list[j].Name
		})
	}
	best := 0.0
	for _, list := range zones {
		best = max(best, list[0].Capacity)
	}
	var selected []Member
	for turn := 0; len(selected) < MaxPerRegion; turn++ {
		before := len(selected)
		for _, zone := range zoneNames {
			if turn >= len(zones[zone]) || len(selected) >= MaxPerRegion {
				continue
			}
			m := zones[zone][turn]
			if m.Capacity >= best*_minCapacityShare || len(selected) < _minPerRegion {
				selected = append(selected, m)
			}
		}
		if len(selected) == before {
			break
		}
	}
	return selected
}
