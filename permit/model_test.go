package permit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"
)

const (
	_step = 5 * time.Millisecond
	// _maxWaits is the number of answers of the issuer that a request waits for.
	_maxWaits = 2
	_runTime  = 150 * time.Millisecond
	_zones    = 6
	// _settle is the time after the first naming from which an instance keeps the limit.
	_settle = 500 * time.Millisecond
)

// _epoch is the start of all runs.
var _epoch = time.Unix(1_800_000_000, 0)

// model plays instances that send to one worker in zone 0, in time steps.
type model struct {
	rand      *rand.Rand
	now       time.Time
	nodes     []*node
	mail      mailbox
	worker    Worker
	perSecond float64
	named     bool
	// keepsAll is set if objects stay at the worker whatever its share is.
	keepsAll bool
	// loss is the share of messages that are lost, cut reports whether two zones cannot
	// reach each other.
	loss float64
	cut  func(from, to int) bool
	// silent, if set, is an instance that sends to the worker and exchanges no messages.
	silent *node
	// listed returns whether a node sees another in the store's list.
	listed   func(viewer, other *node) bool
	arrivals []arrival
	answers  []answer
}

// node is an instance.
type node struct {
	model *model
	index int
	zone  int
	name  string
	self  Instance
	book  *Book
	// demand is the number of requests per second that it would send to the worker.
	demand float64
	down   bool
	// toldAt is when the first answer named the limit, or zero.
	toldAt  time.Time
	pending []*pendingRequest
	turned  int
	waited  int
}

type pendingRequest struct {
	done  <-chan struct{}
	since time.Time
	waits int
}

// arrival is a request that reaches the worker. told is set if its instance had heard of the
// limit _settle before.
type arrival struct {
	at   time.Time
	told bool
}

type answer struct {
	at, sentAt time.Time
	to         *node
}

type letter struct {
	at      time.Time
	from    int
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

// newModel returns n instances in six zones of three regions, of which the first senders
// in each zone send demand requests per second in total.
func newModel(seed uint64, n, senders int, demand, perSecond float64) *model {
	m := &model{
		rand: rand.New(rand.NewPCG(seed, 1)), now: _epoch, worker: Worker{ID: fmt.Sprint("i-", seed), Born: 1, Zone: "0"}, perSecond: perSecond,
		cut: func(int, int) bool { return false }, listed: func(*node, *node) bool { return true },
	}
	for i := range n {
		node := &node{model: m, index: i, zone: i % _zones, name: fmt.Sprint("edge-", i)}
		zone := fmt.Sprint(node.zone)
		node.self = Instance{Name: node.name, Zone: zone, Region: regionOfZone(zone), Address: fmt.Sprint(i)}
		if i < senders {
			node.demand = demand / float64(senders)
		}
		m.nodes = append(m.nodes, node)
	}
	for _, node := range m.nodes {
		node.start()
	}
	return m
}

func regionOfZone(zone string) string {
	return fmt.Sprint("r", int(zone[0]-'0')/2)
}

// start starts the instance, which knows nothing.
func (n *node) start() {
	n.down, n.pending = false, nil
	n.book = &Book{
		Self: n.name, RegionOf: regionOfZone,
		Members: func() []Instance {
			list := make([]Instance, 0, len(n.model.nodes))
			for _, other := range n.model.nodes {
				if n.model.listed(n, other) {
					list = append(list, other.self)
				}
			}
			return list
		},
		Send: func(address string, m Message) { n.model.post(n, address, m) },
	}
}

// post sends a message, which takes the time between zones or regions.
func (m *model) post(from *node, address string, message Message) {
	index, err := strconv.Atoi(address)
	if err != nil {
		panic(err)
	}
	to := m.nodes[index]
	if m.rand.Float64() < m.loss || m.cut(from.zone, to.zone) || from == m.silent || to == m.silent {
		return
	}
	heap.Push(&m.mail, letter{m.now.Add(m.delay(from.zone, to.zone)), from.index, to, message})
}

func (m *model) delay(from, to int) time.Duration {
	switch {
	case from == to:
		return time.Millisecond
	case from/2 == to/2:
		return 4 * time.Millisecond
	default:
		return 35 * time.Millisecond
	}
}

// play advances the model by d.
func (m *model) play(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(_step) {
		for len(m.mail) > 0 && !m.mail[0].at.After(m.now) {
			l := heap.Pop(&m.mail).(letter)
			if l.to.down {
				continue
			}
			for _, reply := range l.to.book.Receive(m.now, l.message) {
				m.post(l.to, fmt.Sprint(l.from), reply)
			}
		}
		m.answer()
		for _, n := range m.nodes {
			if !n.down {
				n.step()
			}
		}
	}
}

// answer delivers the answers of the worker that are due.
func (m *model) answer() {
	kept := m.answers[:0]
	for _, a := range m.answers {
		switch {
		case a.at.After(m.now):
			kept = append(kept, a)
		case a.to.down:
		case m.named:
			if a.to.toldAt.IsZero() {
				a.to.toldAt = m.now
			}
			a.to.book.Named(m.now, m.worker, m.perSecond)
		default:
			a.to.book.Unnamed(m.now, m.worker, a.sentAt)
		}
	}
	m.answers = kept
}

// share returns the part of its objects that the worker keeps by the view of the instance.
func (n *node) share() float64 {
	if share, limited := n.book.Shares(n.model.now)[n.model.worker.ID]; limited && !n.model.keepsAll {
		return share
	}
	return 1
}

// step has the instance get new requests and go on with those that wait.
func (n *node) step() {
	m := n.model
	if n.demand > 0 && !m.cut(n.zone, 0) {
		if m.rand.Float64() < n.demand*_step.Seconds() && m.rand.Float64() < n.share() {
			n.try(&pendingRequest{})
		}
	}
	pending := n.pending
	n.pending = nil
	for _, r := range pending {
		select {
		case <-r.done:
			n.try(r)
		default:
			if m.now.Sub(r.since) >= _askTimeout {
				n.try(r)
			} else {
				n.pending = append(n.pending, r)
			}
		}
	}
	if m.now.UnixMilli()%250 == 0 {
		n.book.Sweep(m.now, func(Worker) bool { return false })
	}
}

func (n *node) try(r *pendingRequest) {
	m := n.model
	verdict, done := n.book.Take(m.now, m.worker, r.waits == 0)
	switch {
	case verdict == Granted:
		way := m.delay(n.zone, 0)
		told := !n.toldAt.IsZero() && m.now.Add(way).Sub(n.toldAt) >= _settle
		m.arrivals = append(m.arrivals, arrival{m.now.Add(way), told})
		m.answers = append(m.answers, answer{m.now.Add(2*way + _runTime), m.now, n})
	case verdict == Pending && r.waits < _maxWaits:
		n.waited++
		n.pending = append(n.pending, &pendingRequest{done, m.now, r.waits + 1})
	default:
		n.turned++
	}
}

// most returns the largest number of arrivals within 4 s that began after a time.
func (m *model) most(from time.Time) int {
	return m.mostOf(func(a arrival) bool { return !a.at.Before(from) })
}

// mostTold returns the same for the arrivals from instances that had heard of the limit.
func (m *model) mostTold() int {
	return m.mostOf(func(a arrival) bool { return a.told })
}

func (m *model) mostOf(counts func(arrival) bool) int {
	var times []time.Time
	for _, a := range m.arrivals {
		if counts(a) {
			times = append(times, a.at)
		}
	}
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= 4*time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// allowed returns the number of requests that the worker takes within 4 s.
func (m *model) allowed() float64 {
	return 1.5*4*m.perSecond + 5
}

// perSecondSince returns the mean rate of arrivals since a time.
func (m *model) perSecondSince(from time.Time) float64 {
	n := 0
	for _, a := range m.arrivals {
		if !a.at.Before(from) && a.at.Before(m.now) {
			n++
		}
	}
	return float64(n) / m.now.Sub(from).Seconds()
}
