// Package directory knows the instances that take callers and decides which
// of them a caller is told.
//
// Callers are told some instances of their own region, so that their requests
// do not cross regions twice; those of other regions only when there is none.
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
	// MaxAddresses is the most addresses that a caller uses.
	MaxAddresses = 64
	// MaxNamed is the number of instances of a region that callers are told.
	// Each sees the load of all workers better the fewer there are, and keeps
	// more connections in use; fewer would not bear the loss of some.
	MaxNamed = 5
	// _leastCapacity is the capacity, as a part of the best one's in the region,
	// below which an instance is not named while enough others are.
	_leastCapacity = 0.5
	// _enoughNamed is that number.
	_enoughNamed = 3
)

// Member is an instance that takes callers.
type Member struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	// Peers is where neighbours connect.
	Peers string `json:"peers"`
	// Started is the Unix millisecond of its start.
	Started int64 `json:"started"`
	// Capacity ranks the instances of a zone: those that bear more are named
	// first.
	Capacity float64 `json:"capacity"`
}

// Directory holds the instances known. It is not safe for concurrent use.
type Directory struct {
	// Self is this instance; it counts as known while Serving.
	Self    Member
	Serving bool

	members map[string]*entry
	most    int
}

type entry struct {
	Member
	lapsesAt time.Time
}

// Put takes an instance as it registered itself.
func (d *Directory) Put(m Member) {
	if d.members == nil {
		d.members = make(map[string]*entry)
	}
	d.members[m.Name] = &entry{Member: m}
	d.most = max(d.most, len(d.members))
}

// Delete takes that the key of an instance is gone. It may return until lapse,
// unless that is zero.
func (d *Directory) Delete(name string, lapse time.Time) {
	e := d.members[name]
	switch {
	case e == nil:
	case !lapse.IsZero():
		e.lapsesAt = lapse
	default:
		delete(d.members, name)
	}
}

// Sweep forgets instances that did not return.
func (d *Directory) Sweep(now time.Time) {
	for name, e := range d.members {
		if !e.lapsesAt.IsZero() && now.After(e.lapsesAt) {
			delete(d.members, name)
		}
	}
}

// Names returns the instances known, this one included.
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

// PeakInstances returns the most instances that were known at once: what is shared out
// among them must not grow when some fall silent.
func (d *Directory) PeakInstances() int {
	return max(d.most, len(d.members), 1)
}

// Neighbours returns the instances of the own region, this one included.
func (d *Directory) Neighbours() []Member {
	list := []Member{d.Self}
	for name, e := range d.members {
		if name != d.Self.Name && e.Region == d.Self.Region {
			list = append(list, e.Member)
		}
	}
	return list
}

// Registered reports whether the key of this instance stands.
func (d *Directory) Registered() bool {
	e := d.members[d.Self.Name]
	return e != nil && e.lapsesAt.IsZero() && e.Started == d.Self.Started
}

// Choose returns the addresses for a caller of a region. homes, if any, are the
// regions that may be sent to besides the caller's.
func (d *Directory) Choose(region string, homes []string) []string {
	if own := d.named(region); len(own) > 0 {
		return own
	}
	var addresses []string
	for _, r := range d.regions() {
		if len(homes) == 0 || slices.Contains(homes, r) {
			addresses = append(addresses, d.named(r)...)
		}
	}
	return addresses[:min(len(addresses), MaxAddresses)]
}

// regions returns the regions with instances, in order.
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

// serving returns the instances that take callers.
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

// named returns the addresses of a region that callers are told: from each of
// its zones in turn, the most capable first.
func (d *Directory) named(region string) []string {
	zones := make(map[string][]Member)
	var names []string
	for _, m := range d.serving() {
		if m.Region != region {
			continue
		}
		if zones[m.Zone] == nil {
			names = append(names, m.Zone)
		}
		zones[m.Zone] = append(zones[m.Zone], m)
	}
	sort.Strings(names)
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
	var addresses []string
	for turn := 0; len(addresses) < MaxNamed; turn++ {
		before := len(addresses)
		for _, zone := range names {
			if turn >= len(zones[zone]) || len(addresses) >= MaxNamed {
				continue
			}
			m := zones[zone][turn]
			if m.Capacity >= best*_leastCapacity || len(addresses) < _enoughNamed {
				addresses = append(addresses, m.Address)
			}
		}
		if len(addresses) == before {
			break
		}
	}
	sort.Strings(addresses)
	return addresses
}
