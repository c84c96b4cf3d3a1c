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
	_reportLag      = 200 * time.Millisecond
	_probeInterval  = time.Second
	_listLag        = 2 * time.Second
	_storeRoundTrip = 70 * time.Millisecond
	_confirmMaxAge  = 4900 * time.Millisecond
	_quotaInterval  = 50 * time.Millisecond
	_sampleInterval = 50 * time.Millisecond
	_lookupTTL      = time.Second
	_coldSlowdown   = 4
	_coldDuration   = 3 * time.Second
	_reclaimDelay   = 35 * time.Second
	_sessionTTL     = time.Hour
	_refusalLatency = time.Millisecond
	_attemptShare   = 0.6
)

// world is the state of one running trial.
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

	instances []*instance
	workers   []*worker
	records   map[string]*record

	partitionedZone string
	reportsStopped  bool
	storeDown       bool
	// confirmed is when the store last answered.
	confirmed time.Time

	result result
}

// instance is an entry instance.
type instance struct {
	index       int
	name        string
	zone        deployment.Zone
	membership  *gossip.View
	planner     *dispatch.Planner
	queues      map[string]*admission.Queue[*request]
	holders     map[string]*quota.Holder
	storeCalls  map[string]bool // by plan; set while a store call is pending
	budget      retry.Budget
	refusalRate retry.RefusalRate
	dead        bool
	// callersUntil is when callers stop sending requests to the instance after
	// its planned stop began; zero before.
	callersUntil time.Time
	// open is the number of unfinished requests that callers sent to the instance.
	open int
}

// worker is a backend server.
type worker struct {
	name        string
	zone        deployment.Zone
	service     string
	slots       int
	serviceTime time.Duration
	busy        int
	dead        bool
	reportsIdle bool
	failsFast   bool
	broken      bool
	leaving     time.Time
	coldUntil   time.Time
}

// record is the stored record of a plan's shift cap, and the slots in use.
type record struct {
	value   quota.Record
	version uint64
	inUse   int
	limit   int
}

// events is a heap of events, ordered by time and then by creation.
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
	w.addInstances(seed)
	return w
}

func (w *world) addWorkers() {
	for z, zone := range w.zones {
		for _, svc := range w.deployment.Services {
			for i := range w.deployment.WorkersIn(svc, z) {
				w.workers = append(w.workers, &worker{
					name: fmt.Sprintf("%s-%s-%d", zone.Name, svc.Name, i), zone: zone, service: svc.Name,
					slots: svc.Slots, serviceTime: svc.Work,
				})
			}
		}
	}
}

func (w *world) addInstances(seed uint64) {
	var members []gossip.Member
	for _, zone := range w.zones {
		for i := range w.deployment.Instances[zone.Name] {
			name := fmt.Sprintf("%s-%d", zone.Name, i+1)
			n := &instance{
				index: len(w.instances), name: name, zone: zone, storeCalls: make(map[string]bool),
				queues: make(map[string]*admission.Queue[*request]), holders: make(map[string]*quota.Holder),
				budget: retry.Budget{Share: dispatch.RetryShare, Burst: dispatch.RetryBurst},
			}
			w.instances = append(w.instances, n)
			members = append(members, gossip.Member{
				Name: name, Region: zone.Region, Zone: zone.Name, Address: name, PeerAddress: name, Incarnation: 1,
			})
		}
	}
	for i, n := range w.instances {
		w.initDecisions(n, members[i], members, newRand(seed, uint64(100+i)))
	}
}

// initDecisions creates the decision types of an instance.
func (w *world) initDecisions(n *instance, self gossip.Member, all []gossip.Member, rng *rand.Rand) {
	n.membership = &gossip.View{Self: self, Loads: func(now time.Time) []gossip.ServiceLoad { return w.loads(n, now) }}
	for _, svc := range w.deployment.Services {
		n.membership.Services = append(n.membership.Services, svc.Name)
		st := &admission.Queue[*request]{Rand: rng}
		st.Pool.Service = svc.Name
		st.Pool.UpdateWorkers(w.now, w.workerList(n.zone.Name, svc.Name))
		n.queues[svc.Name] = st
	}
	n.membership.UpdateMembers(w.now, all)
	settings := w.deployment.SettingsFor(n.name, n.zone)
	n.planner = &dispatch.Planner{
		Zone: n.zone.Name, Region: n.zone.Region, Rand: rng,
		Router: routing.Router{Zone: n.zone.Name, Region: n.zone.Region, Routes: dispatch.Routes(settings)},
	}
	session := &quota.Session{ID: n.name}
	session.Renewed(w.now, _sessionTTL)
	for _, p := range w.deployment.Lists.Plans {
		h := &quota.Holder{
			Name: n.name, Session: session, ReclaimDelay: _reclaimDelay, Base: quota.Base(p.ShiftSlots, len(w.instances), n.index),
		}
		h.Configure(1, p.ShiftSlots)
		n.holders[p.Name] = h
		w.records[p.Name] = &record{limit: p.ShiftSlots}
	}
}

// workerList returns the workers of a service in a zone as the platform lists them.
func (w *world) workerList(zone, service string) []backend.Worker {
	var list []backend.Worker
	for _, k := range w.workers {
		if k.zone.Name == zone && k.service == service && !k.dead {
			leaving := !k.leaving.IsZero() && w.now.Sub(k.leaving) >= _listLag
			list = append(list, backend.Worker{Name: k.name, Address: k.name, Slots: k.slots, Leaving: leaving})
		}
	}
	return list
}

// at schedules do to run after delay.
func (w *world) at(delay time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{w.now.Add(delay), w.order, do})
}

// every runs do after offset and then at each interval until the trial ends.
func (w *world) every(offset, interval time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		w.at(interval, again)
	}
	w.at(offset, again)
}

// run runs the trial to its end and returns its result.
func (w *world) run() Trial {
	end := w.start.Add(_warmUp + w.scenario.measuredTime())
	for _, f := range w.scenario.faults {
		w.at(_warmUp+f.at-w.warmUpSkip(f.at), func() { f.do(w) })
	}
	for i, n := range w.instances {
		offset := time.Duration(i) * 37 * time.Millisecond
		w.every(offset, gossip.Interval, func() { w.sendHeartbeats(n) })
		w.every(offset, _quotaInterval, func() { w.stepQuota(n) })
		w.every(offset, _probeInterval, func() { w.probe(n) })
		w.every(offset, time.Second, func() { w.updateWorkers(n) })
		w.every(offset, 10*time.Millisecond, func() { w.serveQueues(n) })
	}
	w.every(0, time.Second, func() {
		if !w.storeDown {
			w.confirmed = w.now
		}
	})
	w.every(_warmUp, _sampleInterval, w.sample)
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

// warmUpSkip returns the time to subtract from the delay of a fault, so that a
// fault at time zero begins before the warm-up.
func (w *world) warmUpSkip(at time.Duration) time.Duration {
	if at == 0 {
		return _warmUp
	}
	return 0
}

// elapsed returns the time since the end of the warm-up.
func (w *world) elapsed() time.Duration {
	return w.now.Sub(w.start) - _warmUp
}

// oneWayLatency returns the latency in one direction between two zones.
func (w *world) oneWayLatency(a, b deployment.Zone) time.Duration {
	if a.Name == b.Name {
		return w.deployment.CallerOneWay
	}
	if a.Region == b.Region {
		return w.deployment.ZoneOneWay
	}
	const betweenRegions = 35 * time.Millisecond
	return betweenRegions
}

// partitioned reports whether the partition separates two zones.
func (w *world) partitioned(a, b deployment.Zone) bool {
	return (a.Name == w.partitionedZone) != (b.Name == w.partitionedZone)
}

// sendHeartbeats sends the gossip messages of an instance that are due.
func (w *world) sendHeartbeats(n *instance) {
	if n.dead {
		return
	}
	for _, s := range n.membership.Tick(w.now) {
		to := w.instance(s.To.Name)
		w.at(w.oneWayLatency(n.zone, to.zone), func() {
			if !to.dead && !w.partitioned(n.zone, to.zone) {
				to.membership.Receive(w.now, s.Message)
			}
		})
	}
}

func (w *world) instance(name string) *instance {
	for _, n := range w.instances {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (w *world) loads(n *instance, now time.Time) []gossip.ServiceLoad {
	loads := make([]gossip.ServiceLoad, 0, len(n.queues))
	for _, svc := range w.deployment.Services {
		st := n.queues[svc.Name]
		st.Pool.Instances = max(len(n.membership.Live(now, n.zone.Name)), 1)
		slots, inFlight := st.Pool.Load(now)
		loads = append(loads, gossip.ServiceLoad{
			Service: svc.Name, Slots: slots, Busy: inFlight, Headroom: st.Headroom(now, n.membership.Busy(now, svc.Name)),
		})
	}
	return loads
}

// probe records the load reports of the zone's workers, each _reportLag after it
// was taken.
func (w *world) probe(n *instance) {
	if n.dead || w.reportsStopped {
		return
	}
	for _, k := range w.workers {
		if k.zone.Name != n.zone.Name || k.dead {
			continue
		}
		busy := k.busy
		if k.reportsIdle {
			busy = 0
		}
		leaving := !k.leaving.IsZero()
		w.at(_reportLag, func() { n.queues[k.service].Pool.RecordLoad(w.now, k.name, busy, leaving) })
	}
}

func (w *world) updateWorkers(n *instance) {
	for _, svc := range w.deployment.Services {
		n.queues[svc.Name].Pool.UpdateWorkers(w.now, w.workerList(n.zone.Name, svc.Name))
	}
}

func (w *world) serveQueues(n *instance) {
	for _, svc := range w.deployment.Services {
		w.deliver(n.queues[svc.Name].Serve(w.now))
	}
}

// stepQuota starts the store calls that the holders of an instance need.
func (w *world) stepQuota(n *instance) {
	if n.dead {
		return
	}
	for _, p := range w.deployment.Lists.Plans {
		h, rec := n.holders[p.Name], w.records[p.Name]
		if n.storeCalls[p.Name] {
			continue
		}
		step := h.Next(w.now)
		if step.Kind == quota.Idle || step.Kind == quota.Probe {
			continue
		}
		n.storeCalls[p.Name] = true
		w.at(_storeRoundTrip, func() {
			n.storeCalls[p.Name] = false
			w.finishQuotaStep(h, rec, step)
		})
	}
}

func (w *world) finishQuotaStep(h *quota.Holder, rec *record, step quota.Step) {
	switch {
	case step.Kind == quota.Read:
		h.ReadDone(rec.value, rec.version, !w.storeDown)
	case w.storeDown || step.Expected != rec.version:
		h.SwapDone(0, false)
	default:
		rec.version++
		rec.value = step.Record
		h.SwapDone(rec.version, true)
	}
}

// sample records the share of free slots in each region.
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
		w.result.addHeadroom(region, float64(n-busy[region])/float64(n))
	}
}

func (w *world) loseRegion(region int) {
	name := w.deployment.Regions[region].Name
	for _, n := range w.instances {
		n.dead = n.dead || n.zone.Region == name
	}
	for _, k := range w.workers {
		k.dead = k.dead || k.zone.Region == name
	}
}

func (w *world) makeCold() {
	for i, k := range w.workers {
		if i%5 == 0 {
			k.coldUntil = w.now.Add(_coldDuration)
		}
	}
}

func (w *world) breakAll() {
	for _, k := range w.workers {
		k.broken = true
	}
}

func (w *world) drainWorker(k *worker) {
	k.leaving = w.now
}

// drainZone begins a planned stop of a zone's instances, one per second, and
// records when the last of their requests has ended.
func (w *world) drainZone(zone string) {
	began := w.now
	var instances []*instance
	for _, n := range w.instances {
		if n.zone.Name == zone {
			instances = append(instances, n)
		}
	}
	for i, n := range instances {
		w.at(time.Duration(i)*time.Second, func() {
			n.membership.Self.Leaving = true
			n.callersUntil = w.now.Add(_lookupTTL + n.membership.PropagationTime())
			for _, h := range n.holders {
				h.Leave()
			}
		})
	}
	var check func()
	check = func() {
		for _, n := range instances {
			if n.callersUntil.IsZero() || n.open > 0 || w.now.Before(n.callersUntil) {
				w.at(time.Millisecond, check)
				return
			}
		}
		w.result.drain = w.now.Sub(began)
	}
	w.at(time.Millisecond, check)
}

// liveInstances returns the instances that callers of a region send requests to:
// those of the region, or of all regions if it has none.
func (w *world) liveInstances(region string) []*instance {
	var home, all []*instance
	for _, n := range w.instances {
		if n.dead || (!n.callersUntil.IsZero() && !w.now.Before(n.callersUntil)) {
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
