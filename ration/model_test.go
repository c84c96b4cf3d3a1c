package ration

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	_step       = 5 * time.Millisecond
	_zoneCount  = 6
	_leaseTime  = 4500 * time.Millisecond
	_renewEvery = 1500 * time.Millisecond
	_readEvery  = 800 * time.Millisecond
	_tickEvery  = 250 * time.Millisecond
	// _window, _overrun and _slack are the rule: the requests of a team that run within any
	// window are at most those that its quota allows, times _overrun, plus _slack.
	_window  = 5 * time.Second
	_overrun = 1.1
	_slack   = 20
)

var _epoch = time.Unix(1_800_000_000, 0)

// model plays instances, a store and the callers of teams in time steps.
type model struct {
	rand  *rand.Rand
	now   time.Time
	nodes []*node
	mail  mailbox
	keys  map[string]*key
	// listed are the registered instances at listedAt.
	listed   []Member
	listedAt time.Time
	// down is set while the store answers no one; paused while no lease lapses.
	down, paused bool
	loss         float64
	cut          func(from, to *node) bool
	limits       []Limit
	// demand is the number of requests per second of each team.
	demand map[string]float64
	// ran, denied and unanswered are the requests of each team; asked counts the questions of
	// each instance for each team.
	ran        map[string][]time.Time
	denied     map[string][]time.Time
	unanswered map[string]int
	asked      map[string][]time.Time
	// grantedIn and refusedIn are the sums of the times until the verdict, refusedMost the longest.
	grantedIn, refusedIn, refusedMost time.Duration
}

type key struct {
	member Member
	lapses time.Time
}

// node is an instance.
type node struct {
	model   *model
	index   int
	zone    int
	member  Member
	book    *Book
	callers bool
	dead    bool
	frozen  bool
	// offline is set while the store does not answer this instance. lag is the time for which
	// its clock stood still.
	offline bool
	lag     time.Duration
	phase   time.Duration
	view    View
	renewed time.Time
	pending []*pendingRequest
}

type pendingRequest struct {
	limit Limit
	done  <-chan struct{}
	since time.Time
	until time.Time
	waits int
}

type letter struct {
	at      time.Time
	from    *node
	to      *node
	message Message
}

type mailbox []letter

func (m mailbox) Len() int           { return len(m) }
func (m mailbox) Less(i, j int) bool { return m[i].at.Before(m[j].at) }
func (m mailbox) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *mailbox) Push(x any)        { *m = append(*m, x.(letter)) }
func (m *mailbox) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return last
}

// newModel returns n instances in six zones of three regions that all start now. The first
// three of each zone have callers.
func newModel(seed uint64, n int, limits ...Limit) *model {
	m := &model{
		rand: rand.New(rand.NewPCG(seed, 7)), now: _epoch, keys: make(map[string]*key), cut: func(*node, *node) bool { return false },
		limits: limits, demand: make(map[string]float64), ran: make(map[string][]time.Time), denied: make(map[string][]time.Time),
		unanswered: make(map[string]int), asked: make(map[string][]time.Time),
	}
	for i := range n {
		m.nodes = append(m.nodes, &node{model: m, index: i, zone: i % _zoneCount, callers: i < 3*_zoneCount})
	}
	for _, n := range m.nodes {
		n.start()
	}
	return m
}

func modelZones() []Zone {
	zones := make([]Zone, _zoneCount)
	for i := range zones {
		zones[i] = Zone{Name: fmt.Sprint("z", i), Region: fmt.Sprint("r", i/2)}
	}
	return zones
}

// start starts the instance anew.
func (n *node) start() {
	m := n.model
	n.dead, n.frozen, n.pending, n.renewed = false, false, nil, time.Time{}
	zone := modelZones()[n.zone]
	n.member = Member{
		Name: fmt.Sprint("edge-", n.index), Zone: zone.Name, Region: zone.Region, Address: fmt.Sprint(n.index), Started: m.now.UnixMilli(),
	}
	n.view = View{Started: n.member.Started}
	n.phase = time.Duration(m.rand.Int64N(int64(_readEvery/_step))) * _step
	n.book = &Book{
		Self: n.member.Name, Zone: zone.Name, Region: zone.Region, Zones: modelZones(),
		Send: func(address string, message Message) { m.post(n, address, message) },
	}
	n.book.Configure(n.now(), m.limits)
}

func (n *node) now() time.Time { return n.model.now.Add(-n.lag) }

func (m *model) post(from *node, address string, message Message) {
	if message.Ask != nil {
		who := from.member.Name + "/" + message.Ask.Team
		m.asked[who] = append(m.asked[who], m.now)
	}
	var index int
	_, _ = fmt.Sscan(address, &index)
	to := m.nodes[index]
	if m.rand.Float64() < m.loss || m.cut(from, to) {
		return
	}
	heap.Push(&m.mail, letter{m.now.Add(delay(from.zone, to.zone)), from, to, message})
}

func delay(from, to int) time.Duration {
	switch {
	case from == to:
		return time.Millisecond
	case from/2 == to/2:
		return 3 * time.Millisecond
	default:
		return 35 * time.Millisecond
	}
}

// play advances the model by d.
func (m *model) play(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(_step) {
		m.deliver()
		for name, k := range m.keys {
			if !m.down && !m.paused && m.now.After(k.lapses) {
				delete(m.keys, name)
			}
		}
		for _, n := range m.nodes {
			if !n.dead && !n.frozen {
				n.step()
			}
		}
	}
}

// deliver delivers the messages that are due. Those to a frozen instance wait for it.
func (m *model) deliver() {
	var kept []letter
	for len(m.mail) > 0 && !m.mail[0].at.After(m.now) {
		l := heap.Pop(&m.mail).(letter)
		switch {
		case l.to.dead:
		case l.to.frozen:
			kept = append(kept, l)
		default:
			if answer := l.to.book.Receive(l.to.now(), l.from.member.Name, l.message); answer != nil {
				m.post(l.to, l.from.member.Address, *answer)
			}
		}
	}
	for _, l := range kept {
		heap.Push(&m.mail, l)
	}
}

// due reports whether something that happens every interval happens now.
func (n *node) due(interval time.Duration) bool {
	return (n.model.now.Sub(_epoch)+n.phase)%interval == 0
}

func (n *node) step() {
	m := n.model
	if !m.down && !n.offline {
		n.talkToStore()
	}
	if n.due(_tickEvery) {
		v := n.view
		v.RenewedAt = n.renewed
		n.book.Tick(n.now(), v)
	}
	if n.callers {
		for _, l := range m.limits {
			senders := min(3*_zoneCount, len(m.nodes))
			for p := m.demand[l.Team] / float64(senders) * _step.Seconds(); p > 0; p-- {
				if m.rand.Float64() < p {
					n.try(&pendingRequest{limit: l, since: m.now})
				}
			}
		}
	}
	pending := n.pending
	n.pending = nil
	for _, r := range pending {
		select {
		case <-r.done:
			n.try(r)
		default:
			if m.now.Before(r.until) {
				n.pending = append(n.pending, r)
			} else {
				n.try(r)
			}
		}
	}
}

// talkToStore renews the registration or registers, and reads the registrations.
func (n *node) talkToStore() {
	m := n.model
	if n.due(_renewEvery) || n.view.Registration == 0 {
		k := m.keys[n.member.Name]
		if k == nil || k.member.Started != n.member.Started {
			n.view.Registration++
			n.member.Registration = n.view.Registration
			k = &key{member: n.member}
			m.keys[n.member.Name] = k
		}
		k.lapses, n.renewed = m.now.Add(_leaseTime), n.now()
	}
	if n.due(_readEvery) {
		n.view.ReadAt, n.view.Members = n.now(), m.members()
	}
}

// members returns the registered instances.
func (m *model) members() []Member {
	if m.listed != nil && m.listedAt.Equal(m.now) {
		return m.listed
	}
	m.listed, m.listedAt = make([]Member, 0, len(m.keys)), m.now
	for _, n := range m.nodes {
		if k := m.keys[n.member.Name]; k != nil {
			m.listed = append(m.listed, k.member)
		}
	}
	return m.listed
}

func (n *node) try(r *pendingRequest) {
	m := n.model
	t := n.book.Take(n.now(), r.limit, r.waits)
	switch t.Verdict {
	case Granted:
		m.ran[r.limit.Team] = append(m.ran[r.limit.Team], m.now)
		m.grantedIn += m.now.Sub(r.since)
	case Pending:
		n.pending = append(n.pending, &pendingRequest{r.limit, t.Answered, r.since, m.now.Add(t.Wait), r.waits + 1})
	default:
		m.denied[r.limit.Team] = append(m.denied[r.limit.Team], m.now)
		m.refusedIn += m.now.Sub(r.since)
		m.refusedMost = max(m.refusedMost, m.now.Sub(r.since))
		if t.Denial != UsedUp {
			m.unanswered[r.limit.Team]++
		}
	}
}

// configure gives all instances new quotas.
func (m *model) configure(limits ...Limit) {
	m.limits = limits
	for _, n := range m.nodes {
		n.book.Configure(n.now(), limits)
	}
}

// issuer returns the instance that issues the permits of a place of a team.
func (m *model) issuer(t *testing.T, l Limit, zone int) *node {
	t.Helper()
	for _, n := range m.nodes {
		n.book.mu.Lock()
		_, issues := n.book.accounts[accountKey{l.Team, fmt.Sprint("z", zone)}]
		issues = issues && n.book.office.held(n.now())
		n.book.mu.Unlock()
		if issues && !n.dead && !n.frozen {
			return n
		}
	}
	require.Fail(t, "no issuer", "zone %d", zone)
	return nil
}

// check requires that no window has more requests of a team than the rule allows.
func (m *model) check(t *testing.T, l Limit, from time.Time) {
	t.Helper()
	times := m.ran[l.Team]
	allowed := (l.PerSecond*_window.Seconds()+l.Burst)*_overrun + _slack
	first, most := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= _window || times[first].Before(from) && first < i {
			first++
		}
		most = max(most, i-first+1)
	}
	require.LessOrEqual(t, float64(most), allowed, "requests of %s within %s", l.Team, _window)
}

// used returns the mean number of requests of a team that ran per second since a time.
func (m *model) used(team string, from time.Time) float64 {
	return float64(countSince(m.ran[team], from)) / m.now.Sub(from).Seconds()
}

// served returns the share of the requests of a team since a time that ran.
func (m *model) served(team string, from time.Time) float64 {
	ran, denied := countSince(m.ran[team], from), countSince(m.denied[team], from)
	return float64(ran) / float64(max(ran+denied, 1))
}

func countSince(times []time.Time, from time.Time) int {
	return len(times) - sort.Search(len(times), func(i int) bool { return !times[i].Before(from) })
}
