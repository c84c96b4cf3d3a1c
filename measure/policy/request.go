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

// request is a request of a caller and its current attempt.
type request struct {
	plan     string
	priority int
	service  string
	arrived  time.Time
	deadline time.Time
	// counted is set if the request arrived after the warm-up.
	counted bool
	// first is the instance that received the request from its caller.
	first *instance
	state dispatch.RequestState
	// at is the current attempt.
	at attempt
	// serviceTime is how long the request runs on a warm worker.
	serviceTime time.Duration
}

type attempt struct {
	dest     dispatch.Destination
	instance *instance
	shift    bool
	sent     time.Time
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

func (w *world) arrivals(r int, region string, svc deployment.Service, plan string, priority int, shift bool, planCount float64) {
	rng := newRand(w.rng.Uint64(), uint64(r))
	slots := float64(w.slotsOf(region, svc.Name))
	var next func()
	next = func() {
		rate := w.scenario.load(r, max(w.elapsed(), 0)) * slots / svc.Work.Seconds() / planCount
		w.at(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), next)
		instances := w.liveInstances(region)
		q := &request{
			plan: plan, priority: priority, service: svc.Name, arrived: w.now, deadline: w.now.Add(svc.Timeout),
			counted: w.elapsed() >= 0, first: instances[rng.IntN(len(instances))],
			state:       dispatch.RequestState{Service: svc.Name, Plan: plan, Home: region, Shift: shift},
			serviceTime: time.Duration(rng.ExpFloat64() * float64(svc.Work)),
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

// slotsOf returns the deployed slots of a service in a region, those of failed
// workers included.
func (w *world) slotsOf(region, service string) int {
	n := 0
	for _, k := range w.workers {
		if k.zone.Region == region && k.service == service {
			n += k.slots
		}
	}
	return n
}

// dispatch starts the next attempt of a request, or ends it if there is none.
func (w *world) dispatch(q *request) {
	n := q.first
	if n.dead {
		w.end(q, nil)
		return
	}
	dest, ok := w.choose(q)
	if !ok || !w.now.Before(q.deadline) {
		w.end(q, q.state.Result)
		return
	}
	if !w.mayAttempt(q) {
		w.end(q, q.state.Result)
		return
	}
	q.at = attempt{dest: dest, instance: n, sent: w.now}
	if dest.Local {
		w.admit(q)
		return
	}
	n.planner.Begin(&q.state, dest)
	q.at.instance = w.instance(dest.Member.Name)
	if w.partitioned(n.zone, q.at.instance.zone) || q.at.instance.dead {
		wait := time.Duration(float64(q.deadline.Sub(w.now)) * _attemptShare)
		w.at(wait, func() { w.attemptDone(q, relay.Unknown(relay.DeadlinePassed)) })
		return
	}
	w.at(w.oneWayLatency(n.zone, q.at.instance.zone), func() { w.admit(q) })
}

// mayAttempt reports whether the retry budget allows another attempt, and counts
// it if a worker received an earlier one.
func (w *world) mayAttempt(q *request) bool {
	switch {
	case q.state.Sent:
		if !q.first.budget.Acquire() {
			return false
		}
	case q.state.Refused:
	default:
		return true
	}
	w.result.retries++
	return true
}

// choose returns the destination of the next attempt under the trial's policy.
func (w *world) choose(q *request) (dispatch.Destination, bool) {
	n := q.first
	st := n.queues[q.service]
	local := dispatch.Destination{Local: true, Zone: n.zone.Name}
	switch w.policy {
	case LocalZoneOnly:
		return local, q.state.Last == nil
	case SpillByReport:
		if st.Capacity(w.now).Free > 0 || q.state.Last != nil {
			return local, q.state.Last == nil
		}
		return w.mostHeadroom(q, local), true
	case StaticEqual:
		if q.state.Last != nil {
			return local, false
		}
		zone := w.zones[n.planner.Rand.IntN(len(w.zones))]
		return w.destinationIn(n, zone.Name, local), true
	default:
		return n.planner.Choose(w.now, &q.state, dispatch.ClusterState{
			Capacity: st.Capacity(w.now),
			View:     func(zone, service string) routing.View { return w.view(n, zone, service) },
			Live:     func(zone string) []gossip.Member { return n.membership.Live(w.now, zone) },
		})
	}
}

func (w *world) mostHeadroom(q *request, local dispatch.Destination) dispatch.Destination {
	best, headroom := local, 0
	for _, z := range w.zones {
		if z.Name == q.first.zone.Name {
			continue
		}
		if v := w.view(q.first, z.Name, q.service); v.Headroom > headroom {
			best, headroom = w.destinationIn(q.first, z.Name, local), v.Headroom
		}
	}
	return best
}

func (w *world) destinationIn(n *instance, zone string, local dispatch.Destination) dispatch.Destination {
	live := n.membership.Live(w.now, zone)
	if zone == n.zone.Name || len(live) == 0 {
		return local
	}
	return dispatch.Destination{Member: live[n.planner.Rand.IntN(len(live))], Zone: zone}
}

func (w *world) view(n *instance, zone, service string) routing.View {
	report, ok := n.membership.ZoneLoad(w.now, zone)
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

// admit requests a worker from the attempt's instance.
func (w *world) admit(q *request) {
	n := q.at.instance
	if n.dead {
		w.answer(q, relay.NotRun(relay.PeerUnreachable))
		return
	}
	q.at.shift = n.zone.Region != q.state.Home
	if q.at.shift && w.policy == Wigeonlock {
		confirmed := w.now.Sub(w.confirmed) < _confirmMaxAge
		if reason := n.holders[q.plan].Admit(w.now, confirmed); reason != quota.Admitted {
			w.answer(q, relay.NotRun(relay.Reason(reason)))
			return
		}
	}
	st := n.queues[q.service]
	st.Pool.Instances = max(len(n.membership.Live(w.now, n.zone.Name)), 1)
	decision, dropped := st.Acquire(w.now, admission.Arrival[*request]{
		Value: q, Moved: (n != q.first || q.at.shift) && w.policy == Wigeonlock, Tried: q.state.Tried, Priority: q.priority,
		Deadline: q.deadline, BusyElsewhere: n.membership.Busy(w.now, q.service),
	})
	w.deliver(dropped)
	switch {
	case decision.Granted:
		w.send(q, decision.Worker.Name)
	case decision.Queued:
		w.at(q.deadline.Sub(w.now), func() {
			if st.Cancel(q) {
				w.refuse(q, relay.TooLate)
			}
		})
	default:
		w.refuse(q, decision.Refusal)
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

// refuse ends an attempt that was not sent to a worker.
func (w *world) refuse(q *request, reason relay.Reason) {
	w.release(q)
	w.answer(q, relay.NotRun(reason))
}

func (w *world) release(q *request) {
	if q.at.shift && w.policy == Wigeonlock {
		q.at.instance.holders[q.plan].Release()
	}
}

// send sends a request to a worker, which refuses it or runs it.
func (w *world) send(q *request, name string) {
	k := w.worker(name)
	w.recordMove(q, k)
	if !k.leaving.IsZero() {
		w.result.afterLeaving = max(w.result.afterLeaving, w.now.Sub(k.leaving))
	}
	switch {
	case k.dead || k.broken:
		w.at(_refusalLatency, func() { w.workerDone(q, k, backend.Broken, relay.Unknown(relay.WorkerBroken)) })
	case !k.leaving.IsZero() || k.busy >= k.slots:
		w.at(_refusalLatency, func() { w.workerDone(q, k, backend.Refused, relay.NotRun(relay.WorkerRefused)) })
	case k.failsFast:
		w.at(_refusalLatency, func() { w.workerDone(q, k, backend.Errored, &relay.Answer{Outcome: retry.Run, Status: 500}) })
	default:
		w.runOn(q, k)
	}
}

func (w *world) runOn(q *request, k *worker) {
	took := q.serviceTime
	if w.now.Before(k.coldUntil) {
		took *= _coldSlowdown
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
			w.workerDone(q, k, backend.Broken, relay.Unknown(relay.WorkerBroken))
			return
		}
		w.workerDone(q, k, backend.Answered, &relay.Answer{Outcome: retry.Run, Status: 200})
	})
}

// recordMove counts a request that runs outside the zone that received it or
// outside its home region, and records the load of the worker's region.
func (w *world) recordMove(q *request, k *worker) {
	if q.at.instance == q.first && !q.at.shift {
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
	w.result.largestOverload = max(w.result.largestOverload, use)
	if busy > slots {
		w.result.overloadedMoves++
	}
}

// workerDone ends an attempt at its worker.
func (w *world) workerDone(q *request, k *worker, result backend.Result, a *relay.Answer) {
	n := q.at.instance
	a.Worker = k.name
	st := n.queues[q.service]
	if result == backend.Refused && !k.leaving.IsZero() {
		st.Pool.MarkDraining(k.name)
	}
	w.release(q)
	w.deliver(st.Done(w.now, k.name, result, w.now.Sub(q.at.sent)))
	w.answer(q, a)
}

// answer returns the answer of an attempt to the first instance.
func (w *world) answer(q *request, a *relay.Answer) {
	if q.at.dest.Local {
		w.attemptDone(q, a)
		return
	}
	a.Worker = "" // the first instance does not know the workers of other zones
	w.at(w.oneWayLatency(q.at.instance.zone, q.first.zone), func() { w.attemptDone(q, a) })
}

// attemptDone handles the answer of an attempt at the first instance.
func (w *world) attemptDone(q *request, a *relay.Answer) {
	if !q.at.dest.Local {
		q.first.planner.End(w.now, &q.state, q.at.dest, a)
	}
	if a.Outcome == retry.Run {
		if q.at.dest.Local {
			q.first.refusalRate.Record(false)
		}
		w.end(q, a)
		return
	}
	q.state.Record(q.at.dest, a)
	if q.at.dest.Local && a.Reason == relay.WorkerRefused {
		q.first.refusalRate.Record(true)
		if !q.first.refusalRate.Allow() {
			q.state.ExcludeLocal()
		}
	}
	w.dispatch(q)
}

// end returns the answer to the caller; a nil answer means that the first
// instance died.
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
