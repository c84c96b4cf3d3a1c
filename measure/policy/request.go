package policy

import (
	"time"

	"github.com/wigeonlock/wigeonlock/admission"
	"github.com/wigeonlock/wigeonlock/backend"
	"github.com/wigeonlock/wigeonlock/deployment"
	"github.com/wigeonlock/wigeonlock/dispatch"
	"github.com/wigeonlock/wigeonlock/gossip"
	"github.com/wigeonlock/wigeonlock/quota"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
	"github.com/wigeonlock/wigeonlock/routing"
)

// request is one request on its way.
type request struct {
	plan     string
	priority int
	service  string
	arrived  time.Time
	deadline time.Time
	counted  bool
	first    *node
	journey  dispatch.RequestState
	// at is the attempt under way.
	at attempt
	// work is how long the request takes on a warm worker.
	work time.Duration
}

type attempt struct {
	dest  dispatch.Destination
	node  *node
	shift bool
	sent  time.Time
}

// startArrivals draws the arrivals of each region, plan and service.
func (w *world) startArrivals() {
	plans := w.deployment.Lists.Plans
	for r, region := range w.deployment.Regions {
		for _, svc := range w.deployment.Services {
			for _, p := range plans {
				w.arrivals(r, region.Name, svc, p.Name, p.Priority, p.ShiftSlots > 0, float64(len(plans)))
			}
		}
	}
}

func (w *world) arrivals(r int, region string, svc deployment.Service, plan string, priority int, shift bool, parts float64) {
	rng := newRand(w.rng.Uint64(), uint64(r))
	slots := float64(w.slotsOf(region, svc.Name))
	var next func()
	next = func() {
		rate := w.scenario.load(r, max(w.elapsed(), 0)) * slots / svc.Work.Seconds() / parts
		w.at(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), next)
		nodes := w.liveNodes(region)
		q := &request{
			plan: plan, priority: priority, service: svc.Name, arrived: w.now, deadline: w.now.Add(svc.Timeout),
			counted: w.elapsed() >= 0, first: nodes[rng.IntN(len(nodes))],
			journey: dispatch.RequestState{Service: svc.Name, Plan: plan, Home: region, Shift: shift},
			work:    time.Duration(rng.ExpFloat64() * float64(svc.Work)),
		}
		if q.counted {
			w.result.requests++
		}
		q.first.budget.RecordFirst()
		q.first.open++
		w.at(w.deployment.CallerOneWay, func() { w.dispatch(q) })
	}
	w.at(time.Duration(rng.ExpFloat64()*float64(10*time.Millisecond)), next)
}

// slotsOf are the slots of a service in a region as built.
func (w *world) slotsOf(region, service string) int {
	n := 0
	for _, k := range w.workers {
		if k.zone.Region == region && k.service == service {
			n += k.slots
		}
	}
	return n
}

// dispatch makes the next attempt of a request.
func (w *world) dispatch(q *request) {
	n := q.first
	if n.dead {
		w.end(q, nil)
		return
	}
	dest, ok := w.choose(q)
	if !ok || !w.now.Before(q.deadline) {
		w.end(q, q.journey.Result)
		return
	}
	if !w.mayTry(q) {
		w.end(q, q.journey.Result)
		return
	}
	q.at = attempt{dest: dest, node: n, sent: w.now}
	if dest.Local {
		w.admit(q)
		return
	}
	n.planner.Begin(&q.journey, dest)
	q.at.node = w.node(dest.Member.Name)
	if w.cut(n.zone, q.at.node.zone) || q.at.node.dead {
		wait := time.Duration(float64(q.deadline.Sub(w.now)) * _attemptShare)
		w.at(wait, func() { w.attempted(q, relay.Unknown(relay.DeadlinePassed)) })
		return
	}
	w.at(w.trip(n.zone, q.at.node.zone), func() { w.admit(q) })
}

// mayTry applies the budgets to another attempt.
func (w *world) mayTry(q *request) bool {
	switch {
	case q.journey.Sent:
		if !q.first.budget.Acquire() {
			return false
		}
	case q.journey.Refused:
	default:
		return true
	}
	w.result.retries++
	return true
}

// choose applies the policy.
func (w *world) choose(q *request) (dispatch.Destination, bool) {
	n := q.first
	st := n.queues[q.service]
	here := dispatch.Destination{Local: true, Zone: n.zone.Name}
	switch w.policy {
	case OwnZoneOnly:
		return here, q.journey.Last == nil
	case SpillByReport:
		if st.Capacity(w.now).Free > 0 || q.journey.Last != nil {
			return here, q.journey.Last == nil
		}
		return w.mostRoom(q, here), true
	case StaticEqual:
		if q.journey.Last != nil {
			return here, false
		}
		zone := w.zones[n.planner.Rand.IntN(len(w.zones))]
		return w.inZone(n, zone.Name, here), true
	default:
		return n.planner.Choose(w.now, &q.journey, dispatch.ClusterState{
			Capacity: st.Capacity(w.now),
			View:     func(zone, service string) routing.View { return w.view(n, zone, service) },
			Live:     func(zone string) []gossip.Member { return n.fleet.Live(w.now, zone) },
		})
	}
}

func (w *world) mostRoom(q *request, here dispatch.Destination) dispatch.Destination {
	best, room := here, 0
	for _, z := range w.zones {
		if z.Name == q.first.zone.Name {
			continue
		}
		if v := w.view(q.first, z.Name, q.service); v.Headroom > room {
			best, room = w.inZone(q.first, z.Name, here), v.Headroom
		}
	}
	return best
}

func (w *world) inZone(n *node, zone string, here dispatch.Destination) dispatch.Destination {
	live := n.fleet.Live(w.now, zone)
	if zone == n.zone.Name || len(live) == 0 {
		return here
	}
	return dispatch.Destination{Member: live[n.planner.Rand.IntN(len(live))], Zone: zone}
}

func (w *world) view(n *node, zone, service string) routing.View {
	report, ok := n.fleet.ZoneLoad(w.now, zone)
	if !ok {
		return routing.View{}
	}
	for _, l := range report.Loads {
		if l.Service == service {
			return routing.View{Headroom: l.Headroom, Slots: l.Slots, Age: report.Age, Stale: gossip.StaleAfter, Known: true}
		}
	}
	return routing.View{}
}

// admit asks the attempt's node for a worker.
func (w *world) admit(q *request) {
	n := q.at.node
	if n.dead {
		w.answer(q, relay.NotRun(relay.PeerUnreachable))
		return
	}
	q.at.shift = n.zone.Region != q.journey.Home
	if q.at.shift && w.policy == Wigeonlock {
		confirmed := w.now.Sub(w.confirmed) < _confirmTime
		if reason := n.holders[q.plan].Admit(w.now, confirmed); reason != quota.Admitted {
			w.answer(q, relay.NotRun(relay.Reason(reason)))
			return
		}
	}
	st := n.queues[q.service]
	st.Pool.Instances = max(len(n.fleet.Live(w.now, n.zone.Name)), 1)
	verdict, lost := st.Acquire(w.now, admission.Arrival[*request]{
		Value: q, Moved: (n != q.first || q.at.shift) && w.policy == Wigeonlock, Tried: q.journey.Tried, Priority: q.priority,
		Deadline: q.deadline, BusyElsewhere: n.fleet.Busy(w.now, q.service),
	})
	w.deliver(lost)
	switch {
	case verdict.Granted:
		w.send(q, verdict.Worker.Name)
	case verdict.Queued:
		w.at(q.deadline.Sub(w.now), func() {
			if st.Cancel(q) {
				w.refuse(q, relay.TooLate)
			}
		})
	default:
		w.refuse(q, verdict.Refusal)
	}
}

func (w *world) deliver(grants []admission.Grant[*request]) {
	for _, g := range grants {
		if g.Dropped {
			w.refuse(g.Value, relay.QueueFull)
			continue
		}
		w.send(g.Value, g.Worker.Name)
	}
}

// refuse ends an attempt that got no worker.
func (w *world) refuse(q *request, reason relay.Reason) {
	w.release(q)
	w.answer(q, relay.NotRun(reason))
}

func (w *world) release(q *request) {
	if q.at.shift && w.policy == Wigeonlock {
		q.at.node.holders[q.plan].Release()
	}
}

// send sends a request to a worker, which refuses it or runs it.
func (w *world) send(q *request, name string) {
	k := w.worker(name)
	w.judgeMove(q, k)
	if !k.leaving.IsZero() {
		w.result.afterLeaving = max(w.result.afterLeaving, w.now.Sub(k.leaving))
	}
	switch {
	case k.dead || k.broken:
		w.at(_refusalTime, func() { w.worked(q, k, backend.Broken, relay.Unknown(relay.WorkerBroken)) })
	case !k.leaving.IsZero() || k.busy >= k.slots:
		w.at(_refusalTime, func() { w.worked(q, k, backend.Refused, relay.NotRun(relay.WorkerRefused)) })
	case k.fastErrors:
		w.at(_refusalTime, func() { w.worked(q, k, backend.Errored, &relay.Answer{Outcome: retry.Run, Status: 500}) })
	default:
		w.runOn(q, k)
	}
}

func (w *world) runOn(q *request, k *worker) {
	took := q.work
	if w.now.Before(k.coldUntil) {
		took *= _coldFactor
	}
	k.busy++
	if q.at.shift {
		rec := w.records[q.plan]
		rec.inUse++
		if rec.inUse > rec.limit {
			w.result.capBreaches++
		}
	}
	w.at(took, func() {
		k.busy--
		if q.at.shift {
			w.records[q.plan].inUse--
		}
		if k.dead {
			w.worked(q, k, backend.Broken, relay.Unknown(relay.WorkerBroken))
			return
		}
		w.worked(q, k, backend.Answered, &relay.Answer{Outcome: retry.Run, Status: 200})
	})
}

// judgeMove notes a move and what it finds in its region.
func (w *world) judgeMove(q *request, k *worker) {
	if q.at.node == q.first && !q.at.shift {
		return
	}
	busy, slots := 1, 0
	for _, other := range w.workers {
		if other.zone.Region == k.zone.Region && other.service == k.service && !other.dead {
			busy += other.busy
			slots += other.slots
		}
	}
	w.result.moves++
	use := float64(busy) / float64(max(slots, 1))
	w.result.overload = max(w.result.overload, use)
	if busy > slots {
		w.result.overloaded++
	}
}

// worked ends a request at its worker.
func (w *world) worked(q *request, k *worker, result backend.Result, a *relay.Answer) {
	n := q.at.node
	a.Worker = k.name
	st := n.queues[q.service]
	if result == backend.Refused && !k.leaving.IsZero() {
		st.Pool.MarkDraining(k.name)
	}
	w.release(q)
	w.deliver(st.Done(w.now, k.name, result, w.now.Sub(q.at.sent)))
	w.answer(q, a)
}

// answer brings the answer of an attempt back to the first node.
func (w *world) answer(q *request, a *relay.Answer) {
	if q.at.dest.Local {
		w.attempted(q, a)
		return
	}
	a.Worker = "" // the first node does not know the workers of other zones
	w.at(w.trip(q.at.node.zone, q.first.zone), func() { w.attempted(q, a) })
}

// attempted takes the answer of an attempt.
func (w *world) attempted(q *request, a *relay.Answer) {
	if !q.at.dest.Local {
		q.first.planner.End(w.now, &q.journey, q.at.dest, a)
	}
	if a.Outcome == retry.Run {
		if q.at.dest.Local {
			q.first.pressure.Record(false)
		}
		w.end(q, a)
		return
	}
	q.journey.Record(q.at.dest, a)
	if q.at.dest.Local && a.Reason == relay.WorkerRefused {
		q.first.pressure.Record(true)
		if !q.first.pressure.Allow() {
			q.journey.ExcludeLocal()
		}
	}
	w.dispatch(q)
}

// end tells the caller.
func (w *world) end(q *request, a *relay.Answer) {
	q.first.open--
	if !q.counted {
		return
	}
	took := w.now.Add(w.deployment.CallerOneWay).Sub(q.arrived)
	w.result.end(q, a, took)
}

func (w *world) worker(name string) *worker {
	for _, k := range w.workers {
		if k.name == name {
			return k
		}
	}
	return nil
}
