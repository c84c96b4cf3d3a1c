// Package gossip decides which entry instances are alive, from heartbeats and
// the platform's lagging list.
//
// Once per Interval each member sends its view to one other member of its zone:
// the age of the last heartbeat of each member of the zone and of the summary of
// each other zone. Receivers are chosen at doubling distances, so that an update
// reaches all members of a zone in about log2(n) intervals. The members divide
// the other zones among themselves and send each a summary of the local zone. So
// the control traffic of an instance grows with the size of its zone and the
// number of zones, not with the number of instances, and is about the same for
// all instances.
//
// Messages carry ages instead of times, so that clocks need not agree, and
// hashes instead of names; names and addresses come from the platform's list
// and from the full messages that a member sends periodically.
//
// View does no I/O: the caller passes in events and the time, and sends the
// messages that View returns. It is not safe for concurrent use.
//
// # Usage
//
//	v := &gossip.View{Self: self, Services: names}
//	v.UpdateMembers(now, members)   // from the platform's list
//	for _, e := range v.Tick(now) { // every Interval
//		// send e.Message to e.To
//	}
//	v.Receive(now, message)
//	alive := v.Live(now, "tunis-a")
package gossip

import (
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Interval is the time between two messages of a member within its zone.
	Interval = 500 * time.Millisecond
	// SummaryInterval is the time between two summaries of the local zone to
	// another zone. It doubles when there are more than FewZones other zones.
	SummaryInterval = time.Second
	// FewZones is the largest number of other zones for which each message within
	// a zone carries the summaries of all of them.
	FewZones = 8
	// StaleAfter is the age from which the summary of another zone is ignored.
	StaleAfter = 8 * time.Second
	// ForgetAfter is the time without a heartbeat or listing after which a member
	// is removed.
	ForgetAfter = 60 * time.Second

	// _fullEvery is the number of messages of which one carries the name and the
	// addresses of the sender.
	_fullEvery = 8
	// _manyZonesEvery is the number of messages of which one carries the summaries
	// of the other zones when there are more than FewZones of them.
	_manyZonesEvery = 3
	// _suspectedEvery is the number of messages of which one may go to a member
	// that is not known to be live, so that it can rejoin.
	_suspectedEvery = 4
	// _changedListTime is how long a changed member list is part of each message.
	_changedListTime = 4 * time.Second
	// _listsInRotation is the number of unchanged member lists in each message.
	_listsInRotation = 1
)

// ID identifies a member's incarnation, or a zone, in messages. It is a hash.
type ID uint32

// Member is an entry instance.
type Member struct {
	Name        string
	Region      string
	Zone        string
	Address     string
	PeerAddress string
	// Incarnation increases with each start of the instance.
	Incarnation uint64
	// Leaving is set when the instance is shutting down and takes no new callers.
	Leaving bool
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
	// Slots is the number of slots of the workers that take work.
	Slots int
	// Busy is the number of occupied slots.
	Busy int
	// Headroom is the number of slots that other zones may use.
	Headroom int
}

// Load is the load of one service in a message. Its index is that of the service
// in View.Services.
type Load struct {
	Slots    int
	Busy     int
	Headroom int
}

// Heartbeat is the last heartbeat of a member of the sender's zone, as the sender
// knows it.
type Heartbeat struct {
	ID      ID
	Age     time.Duration
	Leaving bool
	Loads   []Load
}

// ZoneSummary is the load of a zone and the hash of its member list.
type ZoneSummary struct {
	ID  ID
	Age time.Duration
	// Digest is the hash of the zone's member list.
	Digest ID
	Loads  []Load
}

// MemberList holds the members of a zone that take work.
type MemberList struct {
	Zone    ID
	Members []ID
}

// Message is the view of a member, or the summary that it sends to another zone.
type Message struct {
	// From is the sender. Only its name, incarnation and Leaving are set unless
	// Full is.
	From Member
	Full bool
	// Zone is the sender's zone.
	Zone ID
	// Services is the hash of the names in View.Services. Loads from a sender with
	// other services are ignored.
	Services    ID
	Heartbeats  []Heartbeat
	Zones       []ZoneSummary
	MemberLists []MemberList
}

// Envelope is a message and its receiver.
type Envelope struct {
	To      Member
	Message Message
}

// ZoneLoad is the load of another zone.
type ZoneLoad struct {
	Zone  string
	Loads []ServiceLoad
	// Age is the time since the load was measured.
	Age time.Duration
}

// View is the view that one entry instance has of all instances.
type View struct {
	// Self is this instance.
	Self Member
	// Services holds the names of all services, in the same order on all instances.
	Services []string
	// Loads returns the load of this instance.
	Loads func(now time.Time) []ServiceLoad

	members map[string]*memberState
	byID    map[ID]*memberState
	// zones holds the other zones.
	zones    map[ID]*zoneState
	services ID
	tick     int
	// summarizedAt is the time of the last summaries to other zones.
	summarizedAt time.Time
	// rotation selects the unchanged member lists of the next message.
	rotation int
}

// memberState is another member and when it was last heard of.
type memberState struct {
	Member
	heartbeatAt time.Time
	// listedAt is when the platform's list or a member list last had the member.
	listedAt time.Time
	loads    []Load
}

// zoneState is the newest summary of another zone and its member list.
type zoneState struct {
	ZoneSummary
	createdAt time.Time
	// members is the last received member list. It is that of the summary if
	// membersDigest equals Digest, else an older one.
	members       []ID
	membersDigest ID
	// membersAt is when members was received.
	membersAt time.Time
}

// UpdateMembers merges the entry instances of the platform's list.
func (v *View) UpdateMembers(now time.Time, members []Member) {
	v.init()
	for _, m := range members {
		if m.Name == v.Self.Name {
			continue
		}
		v.addMember(m).listedAt = now
	}
}

// Receive merges a message.
func (v *View) Receive(now time.Time, m Message) {
	v.init()
	if m.From.Name == v.Self.Name {
		return
	}
	v.recordSender(now, m)
	for _, h := range m.Heartbeats {
		if s, ok := v.byID[h.ID]; ok && m.Zone == ZoneID(v.Self.Zone) && s.Zone == v.Self.Zone {
			v.mergeHeartbeat(now, s, h, m.Services)
		}
	}
	for _, z := range m.Zones {
		v.mergeSummary(now, z, m.Services)
	}
	for _, list := range m.MemberLists {
		v.mergeMemberList(now, list)
	}
}

// Suspect marks a member as suspected until a heartbeat of it arrives, because a
// call to it failed.
func (v *View) Suspect(name string) {
	if s, ok := v.members[name]; ok {
		s.heartbeatAt = time.Time{}
	}
}

// Tick returns the messages to send now. The caller calls it at each Interval.
func (v *View) Tick(now time.Time) []Envelope {
	v.init()
	v.removeSilent(now)
	v.tick++
	message := v.message(now)
	var envelopes []Envelope
	if to, ok := v.nextReceiver(now); ok {
		envelopes = append(envelopes, Envelope{To: to.Member, Message: message})
	}
	if now.Sub(v.summarizedAt) >= v.summaryInterval() {
		v.summarizedAt = now
		envelopes = append(envelopes, v.summaries(now, message)...)
	}
	return envelopes
}

// Live returns the members of a zone that take work, sorted by name. Those of the
// local zone include this instance unless it is leaving.
func (v *View) Live(now time.Time, zoneName string) []Member {
	var live []Member
	if zoneName == v.Self.Zone {
		live = v.liveLocal(now)
	} else {
		live = v.liveIn(now, zoneName)
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Name < live[j].Name })
	return live
}

// LastKnown returns the members of a zone that are not leaving, also suspected
// ones, sorted by name. It provides answers for a zone that is cut off.
func (v *View) LastKnown(zoneName string) []Member {
	var known []Member
	for _, s := range v.members {
		if s.Zone == zoneName && !s.Leaving {
			known = append(known, s.Member)
		}
	}
	sort.Slice(known, func(i, j int) bool { return known[i].Name < known[j].Name })
	return known
}

// PeerAddress returns the peer address of a member, or an empty string if it is
// not known.
func (v *View) PeerAddress(name string) string {
	if s, ok := v.members[name]; ok {
		return s.PeerAddress
	}
	return ""
}

// SuspectAfter returns the time without a heartbeat after which a member of the
// local zone is suspected and left out of lookup answers: twice the time in which
// an update reaches the whole zone, plus two intervals for lost messages.
func (v *View) SuspectAfter() time.Duration {
	return Interval * time.Duration(2+2*rounds(v.zoneSize()))
}

// PropagationTime returns the time within which all instances learn that one is
// leaving: through its zone, to another zone and through that one, and as much
// again for lost messages.
func (v *View) PropagationTime() time.Duration {
	inZone := Interval * time.Duration(1+rounds(v.zoneSize()))
	return 2 * (2*inZone + v.summaryInterval())
}

func (v *View) init() {
	if v.members != nil {
		return
	}
	v.members = make(map[string]*memberState)
	v.byID = make(map[ID]*memberState)
	v.zones = make(map[ID]*zoneState)
	hash := xxhash.New()
	for _, name := range v.Services {
		_, _ = hash.WriteString(name + "\n")
	}
	v.services = ID(hash.Sum64())
}

func (v *View) suspected(now time.Time, s *memberState) bool {
	return now.Sub(s.heartbeatAt) >= v.SuspectAfter()
}

func (v *View) zoneSize() int {
	n := 1
	for _, s := range v.members {
		if s.Zone == v.Self.Zone {
			n++
		}
	}
	return n
}

func (v *View) liveLocal(now time.Time) []Member {
	var live []Member
	if !v.Self.Leaving {
		live = append(live, v.Self)
	}
	for _, s := range v.members {
		if s.Zone == v.Self.Zone && !s.Leaving && !v.suspected(now, s) {
			live = append(live, s.Member)
		}
	}
	return live
}

// liveIn returns the members of another zone by its member list, or none if its
// summary is stale. Until the member list of the summary arrives it returns the
// last known members.
func (v *View) liveIn(now time.Time, zoneName string) []Member {
	z, ok := v.zones[ZoneID(zoneName)]
	if !ok || now.Sub(z.createdAt) >= StaleAfter {
		return nil
	}
	if z.membersDigest != z.Digest {
		return v.LastKnown(zoneName)
	}
	var live []Member
	for _, id := range z.members {
		if s, known := v.byID[id]; known && !s.Leaving {
			live = append(live, s.Member)
		}
	}
	return live
}

func (v *View) sortedMembers() []*memberState {
	list := make([]*memberState, 0, len(v.members))
	for _, s := range v.members {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}
