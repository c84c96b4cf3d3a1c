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
	// _reportLag is the age at which a worker's load report reaches an instance.
	_reportLag     = 200 * time.Millisecond
	_probeInterval = time.Second
	// _listLag is the age of the platform's list of workers.
	_listLag        = 2 * time.Second
	_storeRoundTrip = 70 * time.Millisecond
	// _confirmMaxAge is the age of the store's last answer up to which requests may
	// be shifted, as rollout.ConfirmWindow.
	_confirmMaxAge  = 4900 * time.Millisecond
	_quotaInterval  = 50 * time.Millisecond
	_sampleInterval = 50 * time.Millisecond
	_lookupTTL      = time.Second
	_coldSlowdown   = 4
	_coldDuration   = 3 * time.Second
	_reclaimDelay   = 35 * time.Second
	_sessionTTL     = time.Hour
	_refusalLatency = time.Millisecond
	// _attemptShare is the share of a request's remaining time after which an attempt
	// to an unreachable instance times out.
	_attemptShare = 0.6
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
	lastSeq    uint64

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

// record is the stored record of a plan's shift cap, and the slots that shifted
// requests of the plan use.
type record struct {
	value   quota.Record
	version uint64
	inUse   int
	limit   int
}

// events is a heap of events, ordered by time and then by sequence number.
type events []event

type event struct {
	at  time.Time
	seq uint64
	do  func()
}

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
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
					slots: svc.Slots, serviceTime: svc.ServiceTime,
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
			inst := &instance{
				index: len(w.instances), name: name, zone: zone, storeCalls: make(map[string]bool),
				queues: make(map[string]*admission.Queue[*request]), holders: make(map[string]*quota.Holder),
				budget: retry.Budget{Share: dispatch.RetryShare, Burst: dispatch.RetryBurst},
			}
			w.instances = append(w.instances, inst)
			members = append(members, gossip.Member{
				Name: name, Region: zone.Region, Zone: zone.Name, Address: name, PeerAddress: name, Incarnation: 1,
			})
		}
	}
	for i, inst := range w.instances {
		w.initDecisions(inst, members[i], members, newRand(seed, uint64(100+i)))
	}
}

// initDecisions creates the gossip view, queues, planner and quota holders of an
// instance.
func (w *world) initDecisions(inst *instance, self gossip.Member, all []gossip.Member, rng *rand.Rand) {
	inst.membership = &gossip.View{Self: self, Loads: func(now time.Time) []gossip.ServiceLoad { return w.loads(inst, now) }}
	for _, svc := range w.deployment.Services {
		inst.membership.Services = append(inst.membership.Services, svc.Name)
		queue := &admission.Queue[*request]{Rand: rng}
		queue.Pool.Service = svc.Name
		queue.Pool.UpdateWorkers(w.now, w.workerList(inst.zone.Name, svc.Name))
		inst.queues[svc.Name] = queue
	}
	inst.membership.UpdateMembers(w.now, all)
	settings := w.deployment.SettingsFor(inst.name, inst.zone)
	inst.planner = &dispatch.Planner{
		Zone: inst.zone.Name, Region: inst.zone.Region, Rand: rng,
		Router: routing.Router{Zone: inst.zone.Name, Region: inst.zone.Region, Routes: dispatch.Routes(settings)},
	}
	session := &quota.Session{ID: inst.name}
	session.Renewed(w.now, _sessionTTL)
	for _, p := range w.deployment.Lists.Plans {
		h := &quota.Holder{
			Name: inst.name, Session: session, ReclaimDelay: _reclaimDelay, Base: quota.Base(p.ShiftSlots, len(w.instances), inst.index),
		}
		h.Configure(1, p.ShiftSlots)
		inst.holders[p.Name] = h
		w.records[p.Name] = &record{limit: p.ShiftSlots}
	}
}

// workerList returns the workers of a service in a zone as the platform lists them.
func (w *world) workerList(zone, service string) []backend.Worker {
	var list []backend.Worker
	for _, wk := range w.workers {
		if wk.zone.Name == zone && wk.service == service && !wk.dead {
			leaving := !wk.leaving.IsZero() && w.now.Sub(wk.leaving) >= _listLag
			list = append(list, backend.Worker{Name: wk.name, Address: wk.name, Slots: wk.slots, Leaving: leaving})
		}
	}
	return list
}

// schedule schedules do to run after delay.
func (w *world) schedule(delay time.Duration, do func()) {
	w.lastSeq++
	heap.Push(&w.events, event{w.now.Add(delay), w.lastSeq, do})
}

// every runs do after offset and then at each interval until the trial ends.
func (w *world) every(offset, interval time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		w.schedule(interval, again)
	}
	w.schedule(offset, again)
}

// run runs the trial to its end and returns its result.
func (w *world) run() Trial {
	end := w.start.Add(_warmUp + w.scenario.measuredTime())
	for _, f := range w.scenario.faults {
		w.schedule(_warmUp+f.at-w.warmUpSkip(f.at), func() { f.do(w) })
	}
	for i, inst := range w.instances {
		offset := time.Duration(i) * 37 * time.Millisecond
		w.every(offset, gossip.Interval, func() { w.sendHeartbeats(inst) })
		w.every(offset, _quotaInterval, func() { w.stepQuota(inst) })
		w.every(offset, _probeInterval, func() { w.probe(inst) })
		w.every(offset, time.Second, func() { w.updateWorkers(inst) })
		w.every(offset, 10*time.Millisecond, func() { w.serveQueues(inst) })
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
func (w *world) sendHeartbeats(inst *instance) {
	if inst.dead {
		return
	}
	for _, s := range inst.membership.Tick(w.now) {
		to := w.instance(s.To.Name)
		w.schedule(w.oneWayLatency(inst.zone, to.zone), func() {
			if !to.dead && !w.partitioned(inst.zone, to.zone) {
				to.membership.Receive(w.now, s.Message)
			}
		})
	}
}

func (w *world) instance(name string) *instance {
	for _, inst := range w.instances {
		if inst.name == name {
			return inst
		}
	}
	return nil
}

func (w *world) loads(inst *instance, now time.Time) []gossip.ServiceLoad {
	loads := make([]gossip.ServiceLoad, 0, len(inst.queues))
	for _, svc := range w.deployment.Services {
		queue := inst.queues[svc.Name]
		queue.Pool.Instances = max(len(inst.membership.Live(now, inst.zone.Name)), 1)
		slots, inFlight := queue.Pool.Load(now)
		loads = append(loads, gossip.ServiceLoad{
			Service: svc.Name, Slots: slots, Busy: inFlight, Headroom: queue.Headroom(now, inst.membership.Busy(now, svc.Name)),
		})
	}
	return loads
}

// probe records the load reports of the zone's workers, each _reportLag after it
// was taken.
func (w *world) probe(inst *instance) {
	if inst.dead || w.reportsStopped {
		return
	}
	for _, wk := range w.workers {
		if wk.zone.Name != inst.zone.Name || wk.dead {
			continue
		}
		busy := wk.busy
		if wk.reportsIdle {
			busy = 0
		}
		leaving := !wk.leaving.IsZero()
		w.schedule(_reportLag, func() { inst.queues[wk.service].Pool.RecordLoad(w.now, wk.name, busy, leaving) })
	}
}

func (w *world) updateWorkers(inst *instance) {
	for _, svc := range w.deployment.Services {
		inst.queues[svc.Name].Pool.UpdateWorkers(w.now, w.workerList(inst.zone.Name, svc.Name))
	}
}

func (w *world) serveQueues(inst *instance) {
	for _, svc := range w.deployment.Services {
		w.deliver(inst.queues[svc.Name].Serve(w.now))
	}
}

// stepQuota starts the store calls that the holders of an instance need.
func (w *world) stepQuota(inst *instance) {
	if inst.dead {
		return
	}
	for _, p := range w.deployment.Lists.Plans {
		h, rec := inst.holders[p.Name], w.records[p.Name]
		if inst.storeCalls[p.Name] {
			continue
		}
		step := h.Next(w.now)
		if step.Kind == quota.Idle || step.Kind == quota.Probe {
			continue
		}
		inst.storeCalls[p.Name] = true
		w.schedule(_storeRoundTrip, func() {
			inst.storeCalls[p.Name] = false
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
	for _, wk := range w.workers {
		if wk.dead {
			continue
		}
		slots[wk.zone.Region] += wk.slots
		busy[wk.zone.Region] += wk.busy
	}
	for region, n := range slots {
		w.result.addHeadroom(region, float64(n-busy[region])/float64(n))
	}
}

func (w *world) loseRegion(region int) {
	name := w.deployment.Regions[region].Name
	for _, inst := range w.instances {
		inst.dead = inst.dead || inst.zone.Region == name
	}
	for _, wk := range w.workers {
		wk.dead = wk.dead || wk.zone.Region == name
	}
}

func (w *world) makeCold() {
	for i, wk := range w.workers {
		if i%5 == 0 {
			wk.coldUntil = w.now.Add(_coldDuration)
		}
	}
}

func (w *world) breakAll() {
	for _, wk := range w.workers {
		wk.broken = true
	}
}

func (w *world) drainWorker(wk *worker) {
	wk.leaving = w.now
}

// drainZone begins a planned stop of a zone's instances, one per second, and
// records how long it takes until the last of their requests has ended.
func (w *world) drainZone(zone string) {
	began := w.now
	var instances []*instance
	for _, inst := range w.instances {
		if inst.zone.Name == zone {
			instances = append(instances, inst)
		}
	}
	for i, inst := range instances {
		w.schedule(time.Duration(i)*time.Second, func() {
			inst.membership.Self.Leaving = true
			inst.callersUntil = w.now.Add(_lookupTTL + inst.membership.PropagationTime())
			for _, h := range inst.holders {
				h.Leave()
			}
		})
	}
	var check func()
	check = func() {
		for _, inst := range instances {
			if inst.callersUntil.IsZero() || inst.open > 0 || w.now.Before(inst.callersUntil) {
				w.schedule(time.Millisecond, check)
				return
			}
		}
		w.result.drain = w.now.Sub(began)
	}
	w.schedule(time.Millisecond, check)
}

// liveInstances returns the instances that callers of a region send requests to:
// those of the region, or of all regions if it has none.
func (w *world) liveInstances(region string) []*instance {
	var home, all []*instance
	for _, inst := range w.instances {
		if inst.dead || (!inst.callersUntil.IsZero() && !w.now.Before(inst.callersUntil)) {
			continue
		}
		all = append(all, inst)
		if inst.zone.Region == region {
			home = append(home, inst)
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
