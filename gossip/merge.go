package gossip

import (
	"time"
)

// addMember adds a member or updates its addresses. A newer incarnation is never
// replaced by an older one, and a leaving member stays leaving although the
// lagging list still has it as live.
func (v *View) addMember(m Member) *memberState {
	s, ok := v.members[m.Name]
	switch {
	case !ok:
		s = &memberState{Member: m}
		v.members[m.Name] = s
	case m.Incarnation < s.Incarnation:
		return s
	case m.Incarnation > s.Incarnation:
		delete(v.byID, s.ID())
		*s = memberState{Member: m}
	default:
		m.Leaving = m.Leaving || s.Leaving
		s.Member = m
	}
	v.byID[s.ID()] = s
	return s
}

// recordSender records a message as a heartbeat of its sender.
func (v *View) recordSender(now time.Time, m Message) {
	s, known := v.members[m.From.Name]
	switch {
	case m.Full:
		s = v.addMember(m.From)
	case !known:
		return
	}
	if m.From.Incarnation != s.Incarnation {
		return // late message of an earlier incarnation, or of one not added yet
	}
	s.heartbeatAt = now
	s.Leaving = s.Leaving || m.From.Leaving
}

func (v *View) mergeHeartbeat(now time.Time, s *memberState, h Heartbeat, services ID) {
	s.Leaving = s.Leaving || h.Leaving
	heartbeatAt := now.Add(-h.Age)
	if heartbeatAt.Before(s.heartbeatAt) {
		return // a newer heartbeat is known
	}
	s.heartbeatAt = heartbeatAt
	if services == v.services {
		s.loads = h.Loads
	}
}

func (v *View) mergeSummary(now time.Time, summary ZoneSummary, services ID) {
	if summary.ID == ZoneID(v.Self.Zone) {
		return
	}
	createdAt := now.Add(-summary.Age)
	z, ok := v.zones[summary.ID]
	if !ok {
		z = &zoneState{}
		v.zones[summary.ID] = z
	}
	if !createdAt.After(z.createdAt) {
		return
	}
	if services != v.services {
		summary.Loads = nil
	}
	z.ZoneSummary = summary
	z.createdAt = createdAt
	if z.membersDigest == z.Digest {
		v.markListed(now, z.members)
	}
}

// markListed keeps the members of a fresh zone summary from being removed while the
// platform's list cannot be read.
func (v *View) markListed(now time.Time, ids []ID) {
	for _, id := range ids {
		if s, ok := v.byID[id]; ok {
			s.listedAt = now
		}
	}
}

func (v *View) mergeMemberList(now time.Time, list MemberList) {
	z, ok := v.zones[list.Zone]
	digest := digestOf(list.Members)
	if !ok || z.Digest != digest || z.membersDigest == digest {
		return
	}
	z.members, z.membersDigest, z.membersAt = list.Members, digest, now
}

// removeSilent removes the members that have been neither heard of nor listed for
// ForgetAfter.
func (v *View) removeSilent(now time.Time) {
	for name, s := range v.members {
		newest := s.heartbeatAt
		if s.listedAt.After(newest) {
			newest = s.listedAt
		}
		if now.Sub(newest) >= ForgetAfter {
			delete(v.members, name)
			delete(v.byID, s.ID())
		}
	}
}
