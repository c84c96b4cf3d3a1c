// Package fleet decides which entry instances are alive, from heartbeats and
// the platform's lagging list.
//
// Each member tells one other member of its zone, at each Interval, what it
// knows of all: the age of the last sign of life of each member and of the
// report of each other zone. The member told is chosen by doubling distances,
// so that news reach all members of a zone in about log2(n) intervals. The
// members share the task of telling the other zones. So a node's control
// traffic grows with the members of its zone and the number of zones, not with
// the number of nodes, and no node has more of it than others.
//
// Messages carry ages instead of times, so that clocks need not agree, and
// hashes instead of names; names and addresses come from the platform's list
// and from the full messages that a member sends now and then.
//
// Fleet does no I/O: events and the time come in, messages to send come out.
// It is not safe for concurrent use.
//
// # Usage
//
//	f := &fleet.Fleet{Self: self, Services: names}
//	f.Listed(now, members)                 // from the platform's list
//	for _, send := range f.Tick(now) {     // every Interval
//		// send.Message to send.To
//	}
//	f.Receive(now, message)
//	alive := f.Live(now, "tunis-a")
package fleet

import (
	"math/bits"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Interval is the time between messages of a member within its zone.
	Interval = 500 * time.Millisecond
	// ReportInterval is the time between reports to another zone, while there
	// are at most FewZones; beyond, it is twice as long.
	ReportInterval = time.Second
	// FewZones is the number of zones up to which each message tells of all.
	FewZones = 8
	// StaleAfter is the age from which the report of another zone counts for nothing.
	StaleAfter = 8 * time.Second
	// ForgetAfter is the silence after which a member is removed.
	ForgetAfter = 60 * time.Second

	// _fullEvery is the number of messages of which one carries names and addresses.
	_fullEvery = 8
	// _manyZonesEvery is the number of messages of which one tells of the other
	// zones, when there are more than FewZones.
	_manyZonesEvery = 3
	// _reviveEvery is the number of intervals after which a silent member is tried.
	_reviveEvery = 4
	// _rosterTime is the time for which a changed roster is told in each message.
	_rosterTime = 4 * time.Second
	// _rostersInTurn is the number of unchanged rosters told in each message.
	_rostersInTurn = 1
)

// ID names a member's incarnation, or a zone, in messages.
type ID uint32

// Member is an entry instance.
type Member struct {
	Name        string
	Region      string
	Zone        string
	Address     string
	PeerAddress string
	// Incarnation grows with each start of the instance.
	Incarnation uint64
	Leaving     bool
}

// ID returns the hash of the member's name and incarnation.
func (m Member) ID() ID {
	return ID(xxhash.Sum64String(m.Name + "/" + strconv.FormatUint(m.Incarnation, 10)))
}

// ZoneID returns the hash of a zone's name.
func ZoneID(zone string) ID {
	return ID(xxhash.Sum64String(zone))
}

// ServiceLoad is the load of a service in a zone, in slots.
type ServiceLoad struct {
	Service string
	// Slots are the slots of workers that take work.
	Slots int
	// Busy are the slots occupied.
	Busy int
	// Headroom is what other zones may use.
	Headroom int
}

// Load is the load of one service in a message; services go by their order.
type Load struct {
	Slots    int
	Busy     int
	Headroom int
}

// Beat is the last sign of life of a member of the sender's zone.
type Beat struct {
	ID      ID
	Age     time.Duration
	Leaving bool
	Loads   []Load
}

// ZoneBeat is the last report of a zone.
type ZoneBeat struct {
	ID  ID
	Age time.Duration
	// Digest is the hash of the zone's roster.
	Digest ID
	Loads  []Load
}

// Roster names the members of a zone that take work.
type Roster struct {
	Zone    ID
	Members []ID
}

// Message tells what a member knows.
type Message struct {
	// From has at least name and incarnation; all of it if Full.
	From Member
	Full bool
	// Zone is the sender's zone.
	Zone ID
	// Services is the hash of the services' names in their order.
	Services ID
	Beats    []Beat
	Zones    []ZoneBeat
	Rosters  []Roster
}

// Send is a message and its receiver.
type Send struct {
	To      Member
	Message Message
}

// Report is what is known of another zone.
type Report struct {
	Zone  string
	Loads []ServiceLoad
	// Age is the time since the report was made.
	Age time.Duration
}

// Fleet is the view that one entry instance has of all of them.
type Fleet struct {
	// Self is the instance itself.
	Self Member
	// Services are the names of all services, in the same order everywhere.
	Services []string
	// Loads returns the instance's own load.
	Loads func(now time.Time) []ServiceLoad

	members  map[string]*seen
	byID     map[ID]*seen
	zones    map[ID]*zone
	services ID
	tick     int
	reported time.Time
	turn     int
}

// seen is a member that was listed or heard of.
type seen struct {
	Member
	heard  time.Time
	listed time.Time
	loads  []Load
}

// zone is the newest report of a zone.
type zone struct {
	ZoneBeat
	made time.Time
	// roster is the one last told, whose digest may be an earlier one.
	roster  []ID
	digest  ID
	changed time.Time
}

// Listed takes the entry instances of the platform's list.
func (f *Fleet) Listed(now time.Time, members []Member) {
	f.init()
	for _, m := range members {
		if m.Name == f.Self.Name {
			continue
		}
		f.learn(m).listed = now
	}
}

// Receive takes a message.
func (f *Fleet) Receive(now time.Time, m Message) {
	f.init()
	if m.From.Name == f.Self.Name {
		return
	}
	f.hear(now, m)
	for _, b := range m.Beats {
		if s, ok := f.byID[b.ID]; ok && m.Zone == ZoneID(f.Self.Zone) && s.Zone == f.Self.Zone {
			f.takeBeat(now, s, b, m.Services)
		}
	}
	for _, z := range m.Zones {
		f.takeZone(now, z, m.Services)
	}
	for _, r := range m.Rosters {
		f.takeRoster(now, r)
	}
}

// Failed records that a member refused a connection: it is suspected until a
// newer sign of life of it is heard.
func (f *Fleet) Failed(name string) {
	if s, ok := f.members[name]; ok {
		s.heard = time.Time{}
	}
}

// Tick returns the messages due now.
func (f *Fleet) Tick(now time.Time) []Send {
	f.init()
	f.forget(now)
	f.tick++
	message := f.message(now)
	var sends []Send
	if to, ok := f.next(now); ok {
		sends = append(sends, Send{To: to.Member, Message: message})
	}
	if now.Sub(f.reported) >= f.reportInterval() {
		f.reported = now
		sends = append(sends, f.reports(now, message)...)
	}
	return sends
}

// Live returns the members of a zone that take work, sorted by name. The own
// instance is among those of its zone unless it is leaving.
func (f *Fleet) Live(now time.Time, zoneName string) []Member {
	var live []Member
	if zoneName == f.Self.Zone {
		live = f.liveHere(now)
	} else {
		live = f.liveIn(now, zoneName)
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Name < live[j].Name })
	return live
}

// LastKnown returns the members of a zone whether or not they are heard of,
// leaving out those known to leave. It serves answers for a zone that is cut off.
func (f *Fleet) LastKnown(zoneName string) []Member {
	var known []Member
	for _, s := range f.members {
		if s.Zone == zoneName && !s.Leaving {
			known = append(known, s.Member)
		}
	}
	sort.Slice(known, func(i, j int) bool { return known[i].Name < known[j].Name })
	return known
}

// Zone returns the newest report of another zone and its age.
func (f *Fleet) Zone(now time.Time, zoneName string) (Report, bool) {
	z, ok := f.zones[ZoneID(zoneName)]
	if !ok || now.Sub(z.made) >= StaleAfter {
		return Report{}, false
	}
	r := Report{Zone: zoneName, Age: now.Sub(z.made)}
	for i, l := range z.Loads {
		if i < len(f.Services) {
			r.Loads = append(r.Loads, ServiceLoad{f.Services[i], l.Slots, l.Busy, l.Headroom})
		}
	}
	return r, true
}

// PeerAddress returns the peer address of a member, or an empty string.
func (f *Fleet) PeerAddress(name string) string {
	if s, ok := f.members[name]; ok {
		return s.PeerAddress
	}
	return ""
}

// Busy returns the slots that other live members of the zone occupy in a service.
func (f *Fleet) Busy(now time.Time, service string) int {
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

// SuspectAfter is the silence after which a member of the own zone is left out
// of look-up answers: twice the time that news take in the zone, and more for
// lost messages.
func (f *Fleet) SuspectAfter() time.Duration {
	return Interval * time.Duration(2+2*rounds(f.zoneSize()))
}

// Spread is the time until all instances know that one is leaving, while
// messages arrive: through its zone, to another zone and through that, and as
// much again for messages that are lost.
func (f *Fleet) Spread() time.Duration {
	inZone := Interval * time.Duration(1+rounds(f.zoneSize()))
	return 2 * (2*inZone + f.reportInterval())
}

func (f *Fleet) init() {
	if f.members != nil {
		return
	}
	f.members = make(map[string]*seen)
	f.byID = make(map[ID]*seen)
	f.zones = make(map[ID]*zone)
	hash := xxhash.New()
	for _, name := range f.Services {
		_, _ = hash.WriteString(name + "\n")
	}
	f.services = ID(hash.Sum64())
}

// learn takes the names and addresses of a member. A newer incarnation is
// never overruled by an older one, nor leaving by the lagging list.
func (f *Fleet) learn(m Member) *seen {
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
func (f *Fleet) hear(now time.Time, m Message) {
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

func (f *Fleet) takeBeat(now time.Time, s *seen, b Beat, services ID) {
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

func (f *Fleet) takeZone(now time.Time, b ZoneBeat, services ID) {
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
	z.ZoneBeat = b
	z.made = made
	if z.digest == z.Digest {
		f.touch(now, z.roster)
	}
}

// touch keeps members that a fresh report names from being forgotten, also
// while the platform's list cannot be read.
func (f *Fleet) touch(now time.Time, ids []ID) {
	for _, id := range ids {
		if s, ok := f.byID[id]; ok {
			s.listed = now
		}
	}
}

func (f *Fleet) takeRoster(now time.Time, r Roster) {
	z, ok := f.zones[r.Zone]
	digest := digestOf(r.Members)
	if !ok || z.Digest != digest || z.digest == digest {
		return
	}
	z.roster, z.digest, z.changed = r.Members, digest, now
}

func (f *Fleet) suspected(now time.Time, s *seen) bool {
	return now.Sub(s.heard) >= f.SuspectAfter()
}

func (f *Fleet) zoneSize() int {
	n := 1
	for _, s := range f.members {
		if s.Zone == f.Self.Zone {
			n++
		}
	}
	return n
}

func (f *Fleet) liveHere(now time.Time) []Member {
	var live []Member
	if !f.Self.Leaving {
		live = append(live, f.Self)
	}
	for _, s := range f.members {
		if s.Zone == f.Self.Zone && !s.Leaving && !f.suspected(now, s) {
			live = append(live, s.Member)
		}
	}
	return live
}

// liveIn returns the members of another zone that its fresh report names.
// While the names behind the report are not known, the listed members serve.
func (f *Fleet) liveIn(now time.Time, zoneName string) []Member {
	z, ok := f.zones[ZoneID(zoneName)]
	if !ok || now.Sub(z.made) >= StaleAfter {
		return nil
	}
	if z.digest != z.Digest {
		return f.LastKnown(zoneName)
	}
	var live []Member
	for _, id := range z.roster {
		if s, known := f.byID[id]; known && !s.Leaving {
			live = append(live, s.Member)
		}
	}
	return live
}

// message tells what is known.
func (f *Fleet) message(now time.Time) Message {
	m := Message{Full: f.tick%_fullEvery == 1, Zone: ZoneID(f.Self.Zone), Services: f.services}
	m.From = Member{Name: f.Self.Name, Incarnation: f.Self.Incarnation, Leaving: f.Self.Leaving}
	if m.Full {
		m.From = f.Self
	}
	m.Beats = append(m.Beats, Beat{ID: f.Self.ID(), Leaving: f.Self.Leaving, Loads: f.ownLoads(now)})
	for _, s := range f.sorted() {
		if s.Zone == f.Self.Zone && !f.suspected(now, s) {
			m.Beats = append(m.Beats, Beat{ID: s.ID(), Age: now.Sub(s.heard), Leaving: s.Leaving, Loads: s.loads})
		}
	}
	if len(f.zones) <= FewZones || f.tick%_manyZonesEvery == 0 {
		f.tellZones(now, &m)
	}
	return m
}

// tellZones adds the reports of the other zones, with the rosters that changed
// lately and some of the others in turn.
func (f *Fleet) tellZones(now time.Time, m *Message) {
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
		beat := z.ZoneBeat
		beat.Age = now.Sub(z.made)
		m.Zones = append(m.Zones, beat)
		inTurn := (i+f.turn)%len(ids) < _rostersInTurn
		if z.digest == z.Digest && (inTurn || now.Sub(z.changed) < _rosterTime) {
			m.Rosters = append(m.Rosters, Roster{Zone: id, Members: z.roster})
		}
	}
}

// next returns the member of the zone to tell next: by doubling distances
// among those that are alive, and now and then a silent one.
func (f *Fleet) next(now time.Time) (*seen, bool) {
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
func (f *Fleet) reports(now time.Time, m Message) []Send {
	here := f.Live(now, f.Self.Zone)
	rank := sort.Search(len(here), func(i int) bool { return here[i].Name >= f.Self.Name })
	others := f.otherZones()
	report := Message{From: m.From, Full: m.Full, Zone: m.Zone, Services: m.Services}
	roster := make([]ID, len(here))
	for i, member := range here {
		roster[i] = member.ID()
	}
	report.Zones = []ZoneBeat{{ID: m.Zone, Digest: digestOf(roster), Loads: f.zoneLoads(now)}}
	report.Rosters = []Roster{{Zone: m.Zone, Members: roster}}
	var sends []Send
	for i, members := range others {
		if len(here) > 0 && i%len(here) != rank%len(here) {
			continue
		}
		sends = append(sends, Send{To: f.receiver(now, members), Message: report})
	}
	return sends
}

// otherZones returns the members of each other zone, in the order of the zones.
func (f *Fleet) otherZones() [][]*seen {
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
func (f *Fleet) receiver(now time.Time, members []*seen) Member {
	turn := f.tick
	if turn%_reviveEvery != 0 {
		if live := f.liveIn(now, members[0].Zone); len(live) > 0 {
			return live[turn%len(live)]
		}
	}
	return members[turn/_reviveEvery%len(members)].Member
}

func (f *Fleet) reportInterval() time.Duration {
	if len(f.zones) > FewZones {
		return 2 * ReportInterval
	}
	return ReportInterval
}

func (f *Fleet) ownLoads(now time.Time) []Load {
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
func (f *Fleet) zoneLoads(now time.Time) []Load {
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

func (f *Fleet) forget(now time.Time) {
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

func (f *Fleet) sorted() []*seen {
	list := make([]*seen, 0, len(f.members))
	for _, s := range f.members {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
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
