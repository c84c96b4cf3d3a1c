package gossip

import (
	"time"
)

// ZoneLoad returns the newest load of another zone, or false if it is not known or
// stale.
func (v *View) ZoneLoad(now time.Time, zoneName string) (ZoneLoad, bool) {
	z, ok := v.zones[ZoneID(zoneName)]
	if !ok || now.Sub(z.createdAt) >= StaleAfter {
		return ZoneLoad{}, false
	}
	load := ZoneLoad{Zone: zoneName, Age: now.Sub(z.createdAt)}
	for i, l := range z.Loads {
		if i < len(v.Services) {
			load.Loads = append(load.Loads, ServiceLoad{v.Services[i], l.Slots, l.Busy, l.Headroom})
		}
	}
	return load, true
}

// Busy returns the number of slots of a service that the other live members of the
// local zone occupy.
func (v *View) Busy(now time.Time, service string) int {
	busy := 0
	for _, s := range v.members {
		if s.Zone != v.Self.Zone || v.suspected(now, s) {
			continue
		}
		for i, l := range s.loads {
			if i < len(v.Services) && v.Services[i] == service {
				busy += l.Busy
			}
		}
	}
	return busy
}

func (v *View) ownLoads(now time.Time) []Load {
	loads := make([]Load, len(v.Services))
	if v.Loads == nil {
		return loads
	}
	for _, l := range v.Loads(now) {
		for i, name := range v.Services {
			if name == l.Service {
				loads[i] = Load{l.Slots, l.Busy, l.Headroom}
			}
		}
	}
	return loads
}

// zoneLoads returns the load of the local zone. All members have the same Slots;
// Busy and Headroom are summed over the members.
func (v *View) zoneLoads(now time.Time) []Load {
	total := v.ownLoads(now)
	for _, s := range v.members {
		if s.Zone != v.Self.Zone || v.suspected(now, s) {
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
