// Package fleet decides which entry instances are alive, from heartbeats and
// the platform's lagging list.
//
// Members of a zone exchange heartbeats. One member of each zone, its
// reporter, sends a report of the zone to the reporters of the other zones,
// and passes the reports that it receives on within its zone. So a node's
// control traffic grows with the members of its zone and the number of zones,
// not with the number of nodes.
//
// Fleet does no I/O: events and the time come in, messages to send come out.
// It is not safe for concurrent use.
//
// # Usage
//
//	f := &fleet.Fleet{Self: self}
//	f.Listed(now, members)                 // from the platform's list
//	for _, send := range f.Tick(now) {     // every Interval
//		// send.Message to send.To
//	}
//	f.Receive(now, message)
//	alive := f.Live(now, "tunis-a")
package fleet

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Interval is the time between heartbeats.
	Interval = 500 * time.Millisecond
	// ReportInterval is the time between reports of a zone.
	ReportInterval = time.Second
	// SuspectAfter is the silence after which a member of the own zone is
	// left out of look-up answers. Three heartbeats may be lost.
	SuspectAfter = 2 * time.Second
	// StaleAfter is the age from which the report of another zone counts for nothing.
	StaleAfter = 6 * time.Second
	// SpreadTime is the time until all instances know that one is leaving, while
	// messages arrive: a heartbeat, a report, a heartbeat in the other zone, and
	// as much again for one that is lost.
	SpreadTime = 2 * (ReportInterval + 2*Interval)
	// ForgetAfter is the silence after which a member is removed.
	ForgetAfter = 60 * time.Second
)

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

// Report is what one zone tells the others.
type Report struct {
	Zone    string
	Region  string
	Members []Member
	Loads   []ServiceLoad
	// Age is the time since the report was made.
	Age time.Duration
}

// Message is a heartbeat. It carries the sender and reports that are new to
// the receiver.
type Message struct {
	From    Member
	Loads   []ServiceLoad
	Reports []Report
}

// Send is a message and its receiver.
type Send struct {
	To      Member
	Message Message
}

// Fleet is the view that one entry instance has of all of them.
type Fleet struct {
	// Self is the instance itself.
	Self Member
	// Loads returns the load of the own zone for its report.
	Loads func(now time.Time) []ServiceLoad

	members  map[string]*seen
	zones    map[string]*zone
	reported time.Time
}

// seen is a member of the own zone or one that the platform lists.
type seen struct {
	Member
	heard  time.Time
	listed time.Time
	loads  []ServiceLoad
}

// zone is the newest report of another zone.
type zone struct {
	Report
	made time.Time
	// passed is the time of the report last passed on within the own zone.
	passed time.Time
}

// Listed takes the entry instances of the platform's list.
func (f *Fleet) Listed(now time.Time, members []Member) {
	f.init()
	for _, m := range members {
		if m.Name == f.Self.Name {
			continue
		}
		s := f.member(m.Name)
		s.listed = now
		// The list lags: it never overrules a newer incarnation.
		if m.Incarnation > s.Incarnation || s.PeerAddress == "" {
			s.Member = m
		}
	}
}

// Receive takes a heartbeat.
func (f *Fleet) Receive(now time.Time, m Message) {
	f.init()
	if m.From.Name == f.Self.Name {
		return
	}
	s := f.member(m.From.Name)
	if m.From.Incarnation < s.Incarnation {
		return // a late message of an earlier start
	}
	left := s.Leaving && m.From.Incarnation == s.Incarnation
	s.Member = m.From
	s.Leaving = s.Leaving || left
	s.heard = now
	s.loads = m.Loads
	for _, r := range m.Reports {
		f.takeReport(now, r)
	}
}

// Failed records that a member refused a connection: it is suspected until it
// is heard again.
func (f *Fleet) Failed(name string) {
	if s, ok := f.members[name]; ok {
		s.heard = time.Time{}
	}
}

// Tick returns the messages due now.
func (f *Fleet) Tick(now time.Time) []Send {
	f.init()
	f.forget(now)
	reporter := f.reporter(now)
	var sends []Send
	sends = append(sends, f.heartbeats(now, reporter)...)
	if reporter && now.Sub(f.reported) >= ReportInterval {
		f.reported = now
		sends = append(sends, f.reports(now)...)
	}
	return sends
}

// Live returns the members of a zone that take work, sorted by name. The own
// instance is among those of its zone unless it is leaving.
func (f *Fleet) Live(now time.Time, zoneName string) []Member {
	var live []Member
	if zoneName == f.Self.Zone {
		live = f.liveHere(now)
	} else if z, ok := f.zones[zoneName]; ok && now.Sub(z.made) < StaleAfter {
		for _, m := range z.Members {
			if !m.Leaving {
				live = append(live, m)
			}
		}
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
	z, ok := f.zones[zoneName]
	if !ok || now.Sub(z.made) >= StaleAfter {
		return Report{}, false
	}
	r := z.Report
	r.Age = now.Sub(z.made)
	return r, true
}

// Heard reports whether a heartbeat of the member came within SuspectAfter.
func (f *Fleet) Heard(now time.Time, name string) bool {
	s, ok := f.members[name]
	return ok && now.Sub(s.heard) < SuspectAfter
}

func (f *Fleet) init() {
	if f.members == nil {
		f.members = make(map[string]*seen)
		f.zones = make(map[string]*zone)
	}
}

func (f *Fleet) member(name string) *seen {
	s, ok := f.members[name]
	if !ok {
		s = &seen{Member: Member{Name: name}}
		f.members[name] = s
	}
	return s
}

func (f *Fleet) liveHere(now time.Time) []Member {
	var live []Member
	if !f.Self.Leaving {
		live = append(live, f.Self)
	}
	for _, s := range f.members {
		if s.Zone == f.Self.Zone && !s.Leaving && now.Sub(s.heard) < SuspectAfter {
			live = append(live, s.Member)
		}
	}
	return live
}

// reporter reports whether the own instance speaks for its zone: the one with
// the lowest hash of name and zone among the live members.
func (f *Fleet) reporter(now time.Time) bool {
	own := rank(f.Self)
	for _, m := range f.liveHere(now) {
		if m.Name != f.Self.Name && rank(m) < own {
			return false
		}
	}
	return true
}

func (f *Fleet) heartbeats(now time.Time, reporter bool) []Send {
	message := Message{From: f.Self, Loads: f.ownLoads(now)}
	if reporter {
		message.Reports = f.fresh(now)
	}
	var sends []Send
	for _, s := range f.sorted() {
		if s.Zone == f.Self.Zone && s.PeerAddress != "" {
			sends = append(sends, Send{To: s.Member, Message: message})
		}
	}
	return sends
}

// reports sends the report of the own zone to one member of each other zone.
func (f *Fleet) reports(now time.Time) []Send {
	message := Message{From: f.Self, Reports: []Report{{
		Zone: f.Self.Zone, Region: f.Self.Region, Members: f.liveHere(now), Loads: f.zoneLoads(now),
	}}}
	best := make(map[string]*seen)
	for _, s := range f.sorted() {
		if s.Zone == f.Self.Zone || s.PeerAddress == "" {
			continue
		}
		if other, ok := best[s.Zone]; !ok || f.prefer(now, s, other) {
			best[s.Zone] = s
		}
	}
	var sends []Send
	for _, s := range f.sorted() {
		if best[s.Zone] == s {
			sends = append(sends, Send{To: s.Member, Message: message})
		}
	}
	return sends
}

// prefer orders possible receivers of a report: first those that the zone's
// own report calls live, then those that did not fail, then by rank. The
// second-best gets every fourth report, so that one dead receiver does not
// cut a zone off.
func (f *Fleet) prefer(now time.Time, a, b *seen) bool {
	liveA, liveB := f.reportedLive(now, a), f.reportedLive(now, b)
	if liveA != liveB {
		return liveA
	}
	swap := now.UnixMilli()/ReportInterval.Milliseconds()%4 == 3
	return (rank(a.Member) < rank(b.Member)) != swap
}

func (f *Fleet) reportedLive(now time.Time, s *seen) bool {
	for _, m := range f.Live(now, s.Zone) {
		if m.Name == s.Name {
			return true
		}
	}
	return false
}

// fresh returns the reports that the zone has not been passed yet.
func (f *Fleet) fresh(now time.Time) []Report {
	var fresh []Report
	names := make([]string, 0, len(f.zones))
	for name := range f.zones {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		z := f.zones[name]
		if !z.made.After(z.passed) || now.Sub(z.made) >= StaleAfter {
			continue
		}
		z.passed = z.made
		r := z.Report
		r.Age = now.Sub(z.made)
		fresh = append(fresh, r)
	}
	return fresh
}

func (f *Fleet) takeReport(now time.Time, r Report) {
	if r.Zone == f.Self.Zone {
		return
	}
	made := now.Add(-r.Age)
	z, ok := f.zones[r.Zone]
	if !ok {
		z = &zone{}
		f.zones[r.Zone] = z
	}
	if !made.After(z.made) {
		return
	}
	z.Report = r
	z.made = made
	for _, m := range r.Members {
		s := f.member(m.Name)
		if m.Incarnation < s.Incarnation {
			continue
		}
		m.Leaving = m.Leaving || (s.Leaving && m.Incarnation == s.Incarnation)
		s.Member = m
		s.listed = now
	}
}

func (f *Fleet) ownLoads(now time.Time) []ServiceLoad {
	if f.Loads == nil {
		return nil
	}
	return f.Loads(now)
}

// zoneLoads is the own view of the zone's load. Slots are the same for all
// members; busy and headroom are sums over them.
func (f *Fleet) zoneLoads(now time.Time) []ServiceLoad {
	total := append([]ServiceLoad(nil), f.ownLoads(now)...)
	for i := range total {
		for _, s := range f.sorted() {
			if s.Zone != f.Self.Zone || now.Sub(s.heard) >= SuspectAfter {
				continue
			}
			for _, l := range s.loads {
				if l.Service == total[i].Service {
					total[i].Busy += l.Busy
					total[i].Headroom += l.Headroom
				}
			}
		}
	}
	return total
}

// Busy returns the slots that other live members of the zone occupy in a service.
func (f *Fleet) Busy(now time.Time, service string) int {
	busy := 0
	for _, s := range f.members {
		if s.Zone != f.Self.Zone || now.Sub(s.heard) >= SuspectAfter {
			continue
		}
		for _, l := range s.loads {
			if l.Service == service {
				busy += l.Busy
			}
		}
	}
	return busy
}

func (f *Fleet) forget(now time.Time) {
	for name, s := range f.members {
		newest := s.heard
		if s.listed.After(newest) {
			newest = s.listed
		}
		if now.Sub(newest) >= ForgetAfter {
			delete(f.members, name)
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

func rank(m Member) uint64 {
	return xxhash.Sum64String(m.Zone + "/" + m.Name)
}
