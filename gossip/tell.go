package gossip

import (
	"math/bits"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// message tells what is known.
func (f *View) message(now time.Time) Message {
	m := Message{Full: f.tick%_fullEvery == 1, Zone: ZoneID(f.Self.Zone), Services: f.services}
	m.From = Member{Name: f.Self.Name, Incarnation: f.Self.Incarnation, Leaving: f.Self.Leaving}
	if m.Full {
		m.From = f.Self
	}
	m.Heartbeats = append(m.Heartbeats, Heartbeat{ID: f.Self.ID(), Leaving: f.Self.Leaving, Loads: f.ownLoads(now)})
	for _, s := range f.sorted() {
		if s.Zone == f.Self.Zone && !f.suspected(now, s) {
			m.Heartbeats = append(m.Heartbeats, Heartbeat{ID: s.ID(), Age: now.Sub(s.heard), Leaving: s.Leaving, Loads: s.loads})
		}
	}
	if len(f.zones) <= FewZones || f.tick%_manyZonesEvery == 0 {
		f.tellZones(now, &m)
	}
	return m
}

// tellZones adds the reports of the other zones, with the rosters that changed
// lately and some of the others in turn.
func (f *View) tellZones(now time.Time, m *Message) {
	ids := make([]ID, 0, len(f.zones))
	for id, z := range f.zones {
		if now.Sub(z.made) < StaleAfter {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	f.turn++
	for i, id := range ids {
		z := f.zones[id]
		beat := z.ZoneSummary
		beat.Age = now.Sub(z.made)
		m.Zones = append(m.Zones, beat)
		inTurn := (i+f.turn)%len(ids) < _rostersInTurn
		if z.digest == z.Digest && (inTurn || now.Sub(z.changed) < _rosterTime) {
			m.MemberLists = append(m.MemberLists, MemberList{Zone: id, Members: z.roster})
		}
	}
}

// next returns the member of the zone to tell next: by doubling distances
// among those that are alive, and now and then a silent one.
func (f *View) next(now time.Time) (*seen, bool) {
	var alive, silent []*seen
	for _, s := range f.sorted() {
		switch {
		case s.Zone != f.Self.Zone || s.PeerAddress == "":
		case f.suspected(now, s):
			silent = append(silent, s)
		default:
			alive = append(alive, s)
		}
	}
	if len(silent) > 0 && (len(alive) == 0 || f.tick%_reviveEvery == 0) {
		return silent[f.tick/_reviveEvery%len(silent)], true
	}
	if len(alive) == 0 {
		return nil, false
	}
	own := sort.Search(len(alive), func(i int) bool { return alive[i].Name > f.Self.Name })
	distance := 1 << (f.tick % rounds(len(alive)+1))
	return alive[(own+distance-1)%len(alive)], true
}

// reports tells other zones of the own one. The members that are alive share
// the zones by their rank.
func (f *View) reports(now time.Time, m Message) []Envelope {
	here := f.Live(now, f.Self.Zone)
	rank := sort.Search(len(here), func(i int) bool { return here[i].Name >= f.Self.Name })
	others := f.otherZones()
	report := Message{From: m.From, Full: m.Full, Zone: m.Zone, Services: m.Services}
	roster := make([]ID, len(here))
	for i, member := range here {
		roster[i] = member.ID()
	}
	report.Zones = []ZoneSummary{{ID: m.Zone, Digest: digestOf(roster), Loads: f.zoneLoads(now)}}
	report.MemberLists = []MemberList{{Zone: m.Zone, Members: roster}}
	var sends []Envelope
	for i, members := range others {
		if len(here) > 0 && i%len(here) != rank%len(here) {
			continue
		}
		sends = append(sends, Envelope{To: f.receiver(now, members), Message: report})
	}
	return sends
}

// otherZones returns the members of each other zone, in the order of the zones.
func (f *View) otherZones() [][]*seen {
	byZone := make(map[string][]*seen)
	var names []string
	for _, s := range f.sorted() {
		if s.Zone == f.Self.Zone || s.Zone == "" || s.PeerAddress == "" {
			continue
		}
		if len(byZone[s.Zone]) == 0 {
			names = append(names, s.Zone)
		}
		byZone[s.Zone] = append(byZone[s.Zone], s)
	}
	sort.Strings(names)
	others := make([][]*seen, len(names))
	for i, name := range names {
		others[i] = byZone[name]
	}
	return others
}

// receiver chooses the member of another zone that is told next, in turn among
// those that its report calls alive; every fourth time among all.
func (f *View) receiver(now time.Time, members []*seen) Member {
	turn := f.tick
	if turn%_reviveEvery != 0 {
		if live := f.liveIn(now, members[0].Zone); len(live) > 0 {
			return live[turn%len(live)]
		}
	}
	return members[turn/_reviveEvery%len(members)].Member
}

func (f *View) reportInterval() time.Duration {
	if len(f.zones) > FewZones {
		return 2 * SummaryInterval
	}
	return SummaryInterval
}

// rounds is the number of intervals in which news reach n members.
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
