package gossip

import (
	"math/bits"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// message returns the message within the zone.
func (v *View) message(now time.Time) Message {
	m := Message{Full: v.tick%_fullEvery == 1, Zone: ZoneID(v.Self.Zone), Services: v.services}
	m.From = Member{Name: v.Self.Name, Incarnation: v.Self.Incarnation, Leaving: v.Self.Leaving}
	if m.Full {
		m.From = v.Self
	}
	m.Heartbeats = append(m.Heartbeats, Heartbeat{ID: v.Self.ID(), Leaving: v.Self.Leaving, Loads: v.ownLoads(now)})
	for _, s := range v.sortedMembers() {
		if s.Zone == v.Self.Zone && !v.suspected(now, s) {
			m.Heartbeats = append(m.Heartbeats, Heartbeat{ID: s.ID(), Age: now.Sub(s.heartbeatAt), Leaving: s.Leaving, Loads: s.loads})
		}
	}
	if len(v.zones) <= FewZones || v.tick%_manyZonesEvery == 0 {
		v.addZones(now, &m)
	}
	return m
}

// addZones adds the summaries of the other zones, the member lists that changed
// within _changedListTime, and _listsInRotation of the others.
func (v *View) addZones(now time.Time, m *Message) {
	ids := make([]ID, 0, len(v.zones))
	for id, z := range v.zones {
		if now.Sub(z.createdAt) < StaleAfter {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	v.rotation++
	for i, id := range ids {
		z := v.zones[id]
		summary := z.ZoneSummary
		summary.Age = now.Sub(z.createdAt)
		m.Zones = append(m.Zones, summary)
		inRotation := (i+v.rotation)%len(ids) < _listsInRotation
		if z.membersDigest == z.Digest && (inRotation || now.Sub(z.membersAt) < _changedListTime) {
			m.MemberLists = append(m.MemberLists, MemberList{Zone: id, Members: z.members})
		}
	}
}

// nextReceiver returns the member of the local zone that gets the next message:
// one at doubling distances among the live ones, or every _suspectedEvery messages
// a suspected one.
func (v *View) nextReceiver(now time.Time) (*memberState, bool) {
	var alive, suspects []*memberState
	for _, s := range v.sortedMembers() {
		switch {
		case s.Zone != v.Self.Zone || s.PeerAddress == "":
		case v.suspected(now, s):
			suspects = append(suspects, s)
		default:
			alive = append(alive, s)
		}
	}
	if len(suspects) > 0 && (len(alive) == 0 || v.tick%_suspectedEvery == 0) {
		return suspects[v.tick/_suspectedEvery%len(suspects)], true
	}
	if len(alive) == 0 {
		return nil, false
	}
	successor := sort.Search(len(alive), func(i int) bool { return alive[i].Name > v.Self.Name })
	distance := 1 << (v.tick % rounds(len(alive)+1))
	return alive[(successor+distance-1)%len(alive)], true
}

// summaries returns the summaries of the local zone to the other zones. The live
// members of the local zone divide the other zones among themselves by rank.
func (v *View) summaries(now time.Time, m Message) []Envelope {
	local := v.Live(now, v.Self.Zone)
	rank := sort.Search(len(local), func(i int) bool { return local[i].Name >= v.Self.Name })
	others := v.otherZones()
	summary := Message{From: m.From, Full: m.Full, Zone: m.Zone, Services: m.Services}
	ids := make([]ID, len(local))
	for i, member := range local {
		ids[i] = member.ID()
	}
	summary.Zones = []ZoneSummary{{ID: m.Zone, Digest: digestOf(ids), Loads: v.zoneLoads(now)}}
	summary.MemberLists = []MemberList{{Zone: m.Zone, Members: ids}}
	var envelopes []Envelope
	for i, members := range others {
		if len(local) > 0 && i%len(local) != rank%len(local) {
			continue
		}
		envelopes = append(envelopes, Envelope{To: v.receiver(now, members), Message: summary})
	}
	return envelopes
}

// otherZones returns the members of each other zone, sorted by zone and name.
func (v *View) otherZones() [][]*memberState {
	byZone := make(map[string][]*memberState)
	var names []string
	for _, s := range v.sortedMembers() {
		if s.Zone == v.Self.Zone || s.Zone == "" || s.PeerAddress == "" {
			continue
		}
		if len(byZone[s.Zone]) == 0 {
			names = append(names, s.Zone)
		}
		byZone[s.Zone] = append(byZone[s.Zone], s)
	}
	sort.Strings(names)
	others := make([][]*memberState, len(names))
	for i, name := range names {
		others[i] = byZone[name]
	}
	return others
}

// receiver returns the member of another zone that gets the next summary, in
// rotation among the live ones, and every _suspectedEvery ticks among all.
func (v *View) receiver(now time.Time, members []*memberState) Member {
	turn := v.tick
	if turn%_suspectedEvery != 0 {
		if live := v.liveIn(now, members[0].Zone); len(live) > 0 {
			return live[turn%len(live)]
		}
	}
	return members[turn/_suspectedEvery%len(members)].Member
}

func (v *View) summaryInterval() time.Duration {
	if len(v.zones) > FewZones {
		return 2 * SummaryInterval
	}
	return SummaryInterval
}

// rounds returns the number of intervals in which an update reaches n members.
func rounds(n int) int {
	return max(bits.Len(uint(n-1)), 1)
}

func digestOf(ids []ID) ID {
	hash := xxhash.New()
	for _, id := range ids {
		_, _ = hash.Write([]byte{byte(id), byte(id >> 8), byte(id >> 16), byte(id >> 24)})
	}
	return ID(hash.Sum64())
}
