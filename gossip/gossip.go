// Package gossip decides which entry instances are alive, from heartbeats and
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
// View does no I/O: events and the time come in, messages to send come out.
// It is not safe for concurrent use.
//
// # Usage
//
//	f := &gossip.View{Self: self, Services: names}
//	f.Listed(now, members)                 // from the platform's list
//	for _, send := range f.Tick(now) {     // every Interval
//		// send.Message to send.To
//	}
//	f.Receive(now, message)
//	alive := f.Live(now, "tunis-a")
package gossip

import (
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Interval is the time between messages of a member within its zone.
	Interval = 500 * time.Millisecond
	// SummaryInterval is the time between reports to another zone, while there
	// are at most FewZones; beyond, it is twice as long.
	SummaryInterval = time.Second
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

// Heartbeat is the last sign of life of a member of the sender's zone.
type Heartbeat struct {
	ID      ID
	Age     time.Duration
	Leaving bool
	Loads   []Load
}

// ZoneSummary is the last report of a zone.
type ZoneSummary struct {
	ID  ID
	Age time.Duration
	// Digest is the hash of the zone's roster.
	Digest ID
	Loads  []Load
}

// MemberList names the members of a zone that take work.
type MemberList struct {
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
	Heartbeats    []Heartbeat
	Zones    []ZoneSummary
	MemberLists  []MemberList
}

// Envelope is a message and its receiver.
type Envelope struct {
	To      Member
	Message Message
}

// ZoneLoad is what is known of another zone.
type ZoneLoad struct {
	Zone  string
	Loads []ServiceLoad
	// Age is the time since the report was made.
	Age time.Duration
}

// View is the view that one entry instance has of all of them.
type View struct {
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
	ZoneSummary
	made time.Time
	// roster is the one last told, whose digest may be an earlier one.
	roster  []ID
	digest  ID
	changed time.Time
}

// MergeList takes the entry instances of the platform's list.
func (f *View) MergeList(now time.Time, members []Member) {
	f.init()
	for _, m := range members {
		if m.Name == f.Self.Name {
			continue
		}
		f.learn(m).listed = now
	}
}

// Receive takes a message.
func (f *View) Receive(now time.Time, m Message) {
	f.init()
	if m.From.Name == f.Self.Name {
		return
	}
	f.hear(now, m)
	for _, b := range m.Heartbeats {
		if s, ok := f.byID[b.ID]; ok && m.Zone == ZoneID(f.Self.Zone) && s.Zone == f.Self.Zone {
			f.takeBeat(now, s, b, m.Services)
		}
	}
	for _, z := range m.Zones {
		f.takeZone(now, z, m.Services)
	}
	for _, r := range m.MemberLists {
		f.takeRoster(now, r)
	}
}

// Suspect records that a member refused a connection: it is suspected until a
// newer sign of life of it is heard.
func (f *View) Suspect(name string) {
	if s, ok := f.members[name]; ok {
		s.heard = time.Time{}
	}
}

// Tick returns the messages due now.
func (f *View) Tick(now time.Time) []Envelope {
	f.init()
	f.forget(now)
	f.tick++
	message := f.message(now)
	var sends []Envelope
	if to, ok := f.next(now); ok {
		sends = append(sends, Envelope{To: to.Member, Message: message})
	}
	if now.Sub(f.reported) >= f.reportInterval() {
		f.reported = now
		sends = append(sends, f.reports(now, message)...)
	}
	return sends
}

// Live returns the members of a zone that take work, sorted by name. The own
// instance is among those of its zone unless it is leaving.
func (f *View) Live(now time.Time, zoneName string) []Member {
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
func (f *View) LastKnown(zoneName string) []Member {
	var known []Member
	for _, s := range f.members {
		if s.Zone == zoneName && !s.Leaving {
			known = append(known, s.Member)
		}
	}
	sort.Slice(known, func(i, j int) bool { return known[i].Name < known[j].Name })
	return known
}

// PeerAddress returns the peer address of a member, or an empty string.
func (f *View) PeerAddress(name string) string {
	if s, ok := f.members[name]; ok {
		return s.PeerAddress
	}
	return ""
}

// SuspectAfter is the silence after which a member of the own zone is left out
// of look-up answers: twice the time that news take in the zone, and more for
// lost messages.
func (f *View) SuspectAfter() time.Duration {
	return Interval * time.Duration(2+2*rounds(f.zoneSize()))
}

// PropagationTime is the time until all instances know that one is leaving, while
// messages arrive: through its zone, to another zone and through that, and as
// much again for messages that are lost.
func (f *View) PropagationTime() time.Duration {
	inZone := Interval * time.Duration(1+rounds(f.zoneSize()))
	return 2 * (2*inZone + f.reportInterval())
}

func (f *View) init() {
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

func (f *View) suspected(now time.Time, s *seen) bool {
	return now.Sub(s.heard) >= f.SuspectAfter()
}

func (f *View) zoneSize() int {
	n := 1
	for _, s := range f.members {
		if s.Zone == f.Self.Zone {
			n++
		}
	}
	return n
}

func (f *View) liveHere(now time.Time) []Member {
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
func (f *View) liveIn(now time.Time, zoneName string) []Member {
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

func (f *View) sorted() []*seen {
	list := make([]*seen, 0, len(f.members))
	for _, s := range f.members {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}
