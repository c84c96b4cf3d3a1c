package policy

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/wigeonlock/wigeonlock/admission"
	"github.com/wigeonlock/wigeonlock/backend"
	"github.com/wigeonlock/wigeonlock/deployment"
	"github.com/wigeonlock/wigeonlock/dispatch"
	"github.com/wigeonlock/wigeonlock/gossip"
	"github.com/wigeonlock/wigeonlock/quota"
	"github.com/wigeonlock/wigeonlock/retry"
	"github.com/wigeonlock/wigeonlock/routing"
)

const (
	_reportLag    = 200 * time.Millisecond
	_probeEvery   = time.Second
	_listLag      = 2 * time.Second
	_storeTrip    = 70 * time.Millisecond
	_confirmTime  = 4900 * time.Millisecond
	_quotaEvery   = 50 * time.Millisecond
	_sampleEvery  = 50 * time.Millisecond
	_lookupTTL    = time.Second
	_coldFactor   = 4
	_coldTime     = 3 * time.Second
	_settleTime   = 35 * time.Second
	_sessionTime  = time.Hour
	_refusalTime  = time.Millisecond
	_attemptShare = 0.6
)

// world is one trial under way.
type world struct {
	scenario   scenario
	policy     Policy
	deployment deployment.Deployment
	zones      []deployment.Zone
	start      time.Time
	now        time.Time
	rng        *rand.Rand
	events     events
	order      uint64

	nodes   []*node
	workers []*worker
	records map[string]*record

	cutZone   string
	noReports bool
	storeOut  bool
	confirmed time.Time

	result result
}

// node is an entry instance.
type node struct {
	index    int
	name     string
	zone     deployment.Zone
	fleet    *gossip.View
	planner  *dispatch.Planner
	queues   map[string]*admission.Queue[*request]
	holders  map[string]*quota.Holder
	busy     map[string]bool
	budget   retry.Budget
	pressure retry.RefusalRate
	dead     bool
	// gone is when callers no longer come, after a planned stop.
	gone time.Time
	open int
}

// worker is a backend server.
type worker struct {
	name       string
	zone       deployment.Zone
	service    string
	slots      int
	work       time.Duration
	busy       int
	dead       bool
	liesIdle   bool
	fastErrors bool
	broken     bool
	leaving    time.Time
	coldUntil  time.Time
}

// record is the store's entry of a plan's cap.
type record struct {
	value   quota.Record
	version uint64
	inUse   int
	limit   int
}

// events is a heap of what happens by time.
type events []event

type event struct {
	at    time.Time
	order uint64
	do    func()
}

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any) {
	item, _ := x.(event)
	*e = append(*e, item)
}

func (e *events) Pop() any {
	old := *e
	item := old[len(old)-1]
	*e = old[:len(old)-1]
	return item
}

func newWorld(d deployment.Deployment, s scenario, p Policy, seed uint64) *world {
	w := &world{
		scenario: s, policy: p, deployment: d, zones: d.Zones(), start: time.Unix(10_000, 0),
		rng: newRand(seed, 1), records: make(map[string]*record),
	}
	w.now = w.start
	w.confirmed = w.start
	w.result.init(d)
	w.addWorkers()
	w.addNodes(seed)
	return w
}

func (w *world) addWorkers() {
	for z, zone := range w.zones {
		for _, svc := range w.deployment.Services {
			for i := range w.deployment.WorkersIn(svc, z) {
				w.workers = append(w.workers, &worker{
					name: fmt.Sprintf("%s-%s-%d", zone.Name, svc.Name, i), zone: zone, service: svc.Name,
					slots: svc.Slots, work: svc.Work,
				})
			}
		}
	}
}

func (w *world) addNodes(seed uint64) {
	var members []gossip.Member
	for _, zone := range w.zones {
		for i := range w.deployment.Instances[zone.Name] {
			name := fmt.Sprintf("%s-%d", zone.Name, i+1)
			n := &node{
				index: len(w.nodes), name: name, zone: zone, busy: make(map[string]bool),
				queues: make(map[string]*admission.Queue[*request]), holders: make(map[string]*quota.Holder),
				budget: retry.Budget{Share: dispatch.RetryShare, Burst: dispatch.RetryBurst},
			}
			w.nodes = append(w.nodes, n)
			members = append(members, gossip.Member{
				Name: name, Region: zone.Region, Zone: zone.Name, Address: name, PeerAddress: name, Incarnation: 1,
			})
		}
	}
	for i, n := range w.nodes {
		w.equip(n, members[i], members, newRand(seed, uint64(100+i)))
	}
}

// equip gives a node its decision types.
func (w *world) equip(n *node, self gossip.Member, all []gossip.Member, rng *rand.Rand) {
	n.fleet = &gossip.View{Self: self, Loads: func(now time.Time) []gossip.ServiceLoad { return w.loads(n, now) }}
	for _, svc := range w.deployment.Services {
		n.fleet.Services = append(n.fleet.Services, svc.Name)
		st := &admission.Queue[*request]{Rand: rng}
		st.Pool.Service = svc.Name
		st.Pool.UpdateWorkers(w.now, w.listed(n.zone.Name, svc.Name))
		n.queues[svc.Name] = st
	}
	n.fleet.UpdateMembers(w.now, all)
	settings := w.deployment.SettingsFor(n.name, n.zone)
	n.planner = &dispatch.Planner{
		Zone: n.zone.Name, Region: n.zone.Region, Rand: rng,
		Router: routing.Router{Zone: n.zone.Name, Region: n.zone.Region, Routes: dispatch.Routes(settings)},
	}
	session := &quota.Session{ID: n.name}
	session.Renewed(w.now, _sessionTime)
	for _, p := range w.deployment.Lists.Plans {
		h := &quota.Holder{
			Name: n.name, Session: session, ReclaimDelay: _settleTime, Base: quota.Base(p.ShiftSlots, len(w.nodes), n.index),
		}
		h.Configure(1, p.ShiftSlots)
		n.holders[p.Name] = h
		w.records[p.Name] = &record{limit: p.ShiftSlots}
	}
}

// listed are the workers as the platform's list has them.
func (w *world) listed(zone, service string) []backend.Worker {
	var list []backend.Worker
	for _, k := range w.workers {
		if k.zone.Name == zone && k.service == service && !k.dead {
			leaving := !k.leaving.IsZero() && w.now.Sub(k.leaving) >= _listLag
			list = append(list, backend.Worker{Name: k.name, Address: k.name, Slots: k.slots, Leaving: leaving})
		}
	}
	return list
}

func (w *world) at(delay time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{w.now.Add(delay), w.order, do})
}

// every repeats something until the end.
func (w *world) every(offset, interval time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		w.at(interval, again)
	}
	w.at(offset, again)
}

// run plays the trial.
func (w *world) run() Trial {
	end := w.start.Add(_warm + w.scenario.lasts())
	for _, f := range w.scenario.faults {
		w.at(_warm+f.at-w.warmLess(f.at), func() { f.do(w) })
	}
	for i, n := range w.nodes {
		offset := time.Duration(i) * 37 * time.Millisecond
		w.every(offset, gossip.Interval, func() { w.beat(n) })
		w.every(offset, _quotaEvery, func() { w.stepQuota(n) })
		w.every(offset, _probeEvery, func() { w.probe(n) })
		w.every(offset, time.Second, func() { w.list(n) })
		w.every(offset, 10*time.Millisecond, func() { w.serve(n) })
	}
	w.every(0, time.Second, func() {
		if !w.storeOut {
			w.confirmed = w.now
		}
	})
	w.every(_warm, _sampleEvery, w.sample)
	w.startArrivals()
	for len(w.events) > 0 {
		e, _ := heap.Pop(&w.events).(event)
		if e.at.After(end) {
			break
		}
		w.now = e.at
		e.do()
	}
	return w.trial()
}

// warmLess lets faults at time zero happen before the warm-up.
func (w *world) warmLess(at time.Duration) time.Duration {
	if at == 0 {
		return _warm
	}
	return 0
}

// elapsed is the time since the end of the warm-up.
func (w *world) elapsed() time.Duration {
	return w.now.Sub(w.start) - _warm
}

// trip is the latency in one direction between two zones.
func (w *world) trip(a, b deployment.Zone) time.Duration {
	if a.Name == b.Name {
		return w.deployment.CallerOneWay
	}
	if a.Region == b.Region {
		return w.deployment.ZoneOneWay
	}
	const between = 35 * time.Millisecond
	return between
}

// cut reports whether a partition separates two zones.
func (w *world) cut(a, b deployment.Zone) bool {
	return (a.Name == w.cutZone) != (b.Name == w.cutZone)
}

// beat sends the messages of a node that are due.
func (w *world) beat(n *node) {
	if n.dead {
		return
	}
	for _, s := range n.fleet.Tick(w.now) {
		to := w.node(s.To.Name)
		w.at(w.trip(n.zone, to.zone), func() {
			if !to.dead && !w.cut(n.zone, to.zone) {
				to.fleet.Receive(w.now, s.Message)
			}
		})
	}
}

func (w *world) node(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (w *world) loads(n *node, now time.Time) []gossip.ServiceLoad {
	loads := make([]gossip.ServiceLoad, 0, len(n.queues))
	for _, svc := range w.deployment.Services {
		st := n.queues[svc.Name]
		st.Pool.Instances = max(len(n.fleet.Live(now, n.zone.Name)), 1)
		slots, inFlight := st.Pool.Load(now)
		loads = append(loads, gossip.ServiceLoad{
			Service: svc.Name, Slots: slots, Busy: inFlight, Headroom: st.Headroom(now, n.fleet.Busy(now, svc.Name)),
		})
	}
	return loads
}

// probe takes the load reports of the zone's workers, as they were a while ago.
func (w *world) probe(n *node) {
	if n.dead || w.noReports {
		return
	}
	for _, k := range w.workers {
		if k.zone.Name != n.zone.Name || k.dead {
			continue
		}
		busy := k.busy
		if k.liesIdle {
			busy = 0
		}
		leaving := !k.leaving.IsZero()
		w.at(_reportLag, func() { n.queues[k.service].Pool.RecordLoad(w.now, k.name, busy, leaving) })
	}
}

func (w *world) list(n *node) {
	for _, svc := range w.deployment.Services {
		n.queues[svc.Name].Pool.UpdateWorkers(w.now, w.listed(n.zone.Name, svc.Name))
	}
}

func (w *world) serve(n *node) {
	for _, svc := range w.deployment.Services {
		w.deliver(n.queues[svc.Name].Serve(w.now))
	}
}

// stepQuota makes the store calls of a node's holders.
func (w *world) stepQuota(n *node) {
	if n.dead {
		return
	}
	for _, p := range w.deployment.Lists.Plans {
		h, rec := n.holders[p.Name], w.records[p.Name]
		if n.busy[p.Name] {
			continue
		}
		step := h.Next(w.now)
		if step.Kind == quota.Idle || step.Kind == quota.Probe {
			continue
		}
		n.busy[p.Name] = true
		w.at(_storeTrip, func() {
			n.busy[p.Name] = false
			w.answerQuota(h, rec, step)
		})
	}
}

func (w *world) answerQuota(h *quota.Holder, rec *record, step quota.Step) {
	switch {
	case step.Kind == quota.Read:
		h.ReadDone(rec.value, rec.version, !w.storeOut)
	case w.storeOut || step.Expected != rec.version:
		h.SwapDone(0, false)
	default:
		rec.version++
		rec.value = step.Record
		h.SwapDone(rec.version, true)
	}
}

// sample notes the free slots of each region.
func (w *world) sample() {
	slots, busy := make(map[string]int), make(map[string]int)
	for _, k := range w.workers {
		if k.dead {
			continue
		}
		slots[k.zone.Region] += k.slots
		busy[k.zone.Region] += k.busy
	}
	for region, n := range slots {
		w.result.noteHeadroom(region, float64(n-busy[region])/float64(n))
	}
}

func (w *world) loseRegion(region int) {
	name := w.deployment.Regions[region].Name
	for _, n := range w.nodes {
		n.dead = n.dead || n.zone.Region == name
	}
	for _, k := range w.workers {
		k.dead = k.dead || k.zone.Region == name
	}
}

func (w *world) chill() {
	for i, k := range w.workers {
		if i%5 == 0 {
			k.coldUntil = w.now.Add(_coldTime)
		}
	}
}

func (w *world) breakAll() {
	for _, k := range w.workers {
		k.broken = true
	}
}

func (w *world) leaveWorker(k *worker) {
	k.leaving = w.now
}

// drainZone stops the instances of a zone one after the other.
func (w *world) drainZone(zone string) {
	began := w.now
	var nodes []*node
	for _, n := range w.nodes {
		if n.zone.Name == zone {
			nodes = append(nodes, n)
		}
	}
	for i, n := range nodes {
		w.at(time.Duration(i)*time.Second, func() {
			n.fleet.Self.Leaving = true
			n.gone = w.now.Add(_lookupTTL + n.fleet.PropagationTime())
			for _, h := range n.holders {
				h.Leave()
			}
		})
	}
	var watch func()
	watch = func() {
		for _, n := range nodes {
			if n.gone.IsZero() || n.open > 0 || w.now.Before(n.gone) {
				w.at(time.Millisecond, watch)
				return
			}
		}
		w.result.drain = w.now.Sub(began)
	}
	w.at(time.Millisecond, watch)
}

// liveNodes are the instances that callers of a region come to.
func (w *world) liveNodes(region string) []*node {
	var home, all []*node
	for _, n := range w.nodes {
		if n.dead || (!n.gone.IsZero() && !w.now.Before(n.gone)) {
			continue
		}
		all = append(all, n)
		if n.zone.Region == region {
			home = append(home, n)
		}
	}
	if len(home) > 0 {
		return home
	}
	return all
}

func sortedReasons(counts map[string]int) []RefusedReason {
	list := make([]RefusedReason, 0, len(counts))
	for reason, n := range counts {
		list = append(list, RefusedReason{reason, n})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Reason < list[j].Reason })
	return list
}
