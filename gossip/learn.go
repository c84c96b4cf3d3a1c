package gossip

import (
	"time"
)

// learn takes the names and addresses of a member. A newer incarnation is
// never overruled by an older one, nor leaving by the lagging list.
func (f *View) learn(m Member) *seen {
	s, ok := f.members[m.Name]
	switch {
	case !ok:
		s = &seen{Member: m}
		f.members[m.Name] = s
	case m.Incarnation < s.Incarnation:
		return s
	case m.Incarnation > s.Incarnation:
		delete(f.byID, s.ID())
		*s = seen{Member: m}
	default:
		m.Leaving = m.Leaving || s.Leaving
		s.Member = m
	}
	f.byID[s.ID()] = s
	return s
}

// hear takes the sign of life that a message is for its sender.
func (f *View) hear(now time.Time, m Message) {
	s, known := f.members[m.From.Name]
	switch {
	case m.Full:
		s = f.learn(m.From)
	case !known:
		return
	}
	if m.From.Incarnation != s.Incarnation {
		return // a late message of an earlier start, or one whose names are not known yet
	}
	s.heard = now
	s.Leaving = s.Leaving || m.From.Leaving
}

func (f *View) takeBeat(now time.Time, s *seen, b Heartbeat, services ID) {
	s.Leaving = s.Leaving || b.Leaving
	heard := now.Add(-b.Age)
	if heard.Before(s.heard) {
		return // something newer is known
	}
	s.heard = heard
	if services == f.services {
		s.loads = b.Loads
	}
}

func (f *View) takeZone(now time.Time, b ZoneSummary, services ID) {
	if b.ID == ZoneID(f.Self.Zone) {
		return
	}
	made := now.Add(-b.Age)
	z, ok := f.zones[b.ID]
	if !ok {
		z = &zone{}
		f.zones[b.ID] = z
	}
	if !made.After(z.made) {
		return
	}
	if services != f.services {
		b.Loads = nil
	}
	z.ZoneSummary = b
	z.made = made
	if z.digest == z.Digest {
		f.touch(now, z.roster)
	}
}

// touch keeps members that a fresh report names from being forgotten, also
// while the platform's list cannot be read.
func (f *View) touch(now time.Time, ids []ID) {
	for _, id := range ids {
		if s, ok := f.byID[id]; ok {
			s.listed = now
		}
	}
}

func (f *View) takeRoster(now time.Time, r MemberList) {
	z, ok := f.zones[r.Zone]
	digest := digestOf(r.Members)
	if !ok || z.Digest != digest || z.digest == digest {
		return
	}
	z.roster, z.digest, z.changed = r.Members, digest, now
}

func (f *View) forget(now time.Time) {
	for name, s := range f.members {
		newest := s.heard
		if s.listed.After(newest) {
			newest = s.listed
		}
		if now.Sub(newest) >= ForgetAfter {
			delete(f.members, name)
			delete(f.byID, s.ID())
		}
	}
}
