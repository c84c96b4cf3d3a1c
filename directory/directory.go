// Package directory knows the instances that take callers and decides which
// of them a caller is told.
//
// Callers are told the instances of their own region, so that their requests
// do not cross regions twice; those of other regions only when there is none.
//
// # Usage
//
//	d := &directory.Directory{Self: self}
//	d.Put(member)
//	addresses := d.Choose("tunis", nil)
package directory

import (
	"sort"
	"time"
)

// MaxAddresses is the most addresses that a caller uses.
const MaxAddresses = 64

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

// Most returns the most instances that were known at once: what is shared out
// among them must not grow when some fall silent.
func (d *Directory) Most() int {
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
	own := d.in(func(m Member) bool { return m.Region == region })
	if len(own) > 0 {
		return own
	}
	if len(homes) > 0 {
		return d.in(func(m Member) bool { return contains(homes, m.Region) })
	}
	return d.in(func(Member) bool { return true })
}

func (d *Directory) in(keep func(Member) bool) []string {
	var addresses []string
	for name, e := range d.members {
		if name != d.Self.Name && keep(e.Member) {
			addresses = append(addresses, e.Address)
		}
	}
	if d.Serving && keep(d.Self) {
		addresses = append(addresses, d.Self.Address)
	}
	sort.Strings(addresses)
	if len(addresses) > MaxAddresses {
		addresses = addresses[:MaxAddresses]
	}
	return addresses
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}
