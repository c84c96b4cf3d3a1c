package gossip

import (
	"time"
)

// ZoneLoad returns the newest report of another zone and its age.
func (f *View) ZoneLoad(now time.Time, zoneName string) (ZoneLoad, bool) {
	z, ok := f.zones[ZoneID(zoneName)]
	if !ok || now.Sub(z.made) >= StaleAfter {
		return ZoneLoad{}, false
	}
	r := ZoneLoad{Zone: zoneName, Age: now.Sub(z.made)}
	for i, l := range z.Loads {
		if i < len(f.Services) {
			r.Loads = append(r.Loads, ServiceLoad{f.Services[i], l.Slots, l.Busy, l.Headroom})
		}
	}
	return r, true
}

// Busy returns the slots that other live members of the zone occupy in a service.
func (f *View) Busy(now time.Time, service string) int {
	busy := 0
	for _, s := range f.members {
		if s.Zone != f.Self.Zone || f.suspected(now, s) {
			continue
		}
		for i, l := range s.loads {
			if i < len(f.Services) && f.Services[i] == service {
				busy += l.Busy
			}
		}
	}
	return busy
}

func (f *View) ownLoads(now time.Time) []Load {
	loads := make([]Load, len(f.Services))
	if f.Loads == nil {
		return loads
	}
	for _, l := range f.Loads(now) {
		for i, name := range f.Services {
			if name == l.Service {
				loads[i] = Load{l.Slots, l.Busy, l.Headroom}
			}
		}
	}
	return loads
}

// zoneLoads is the own view of the zone's load. Slots are the same for all
// members; busy and headroom are sums over them.
func (f *View) zoneLoads(now time.Time) []Load {
	total := f.ownLoads(now)
	for _, s := range f.members {
		if s.Zone != f.Self.Zone || f.suspected(now, s) {
			continue
		}
		for i := range total {
			if i < len(s.loads) {
				total[i].Busy += s.loads[i].Busy
				total[i].Headroom += s.loads[i].Headroom
			}
		}
	}
	return total
}
