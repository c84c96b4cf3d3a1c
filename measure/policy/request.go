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
	// attempt is the current attempt.
	attempt attempt
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
		rate := w.scenario.load(r, max(w.elapsed(), 0)) * slots / svc.ServiceTime.Seconds() / planCount
		w.schedule(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), next)
		instances := w.liveInstances(region)
		q := &request{
			plan: plan, priority: priority, service: svc.Name, arrived: w.now, deadline: w.now.Add(svc.Timeout),
			counted: w.elapsed() >= 0, first: instances[rng.IntN(len(instances))],
			state:       dispatch.RequestState{Service: svc.Name, Plan: plan, Home: region, Shift: shift},
			serviceTime: time.Duration(rng.ExpFloat64() * float64(svc.ServiceTime)),
		}
		if q.counted {
			w.result.requests++
		}
		q.first.budget.RecordFirst()
		q.first.open++
		w.schedule(w.deployment.CallerOneWay, func() { w.dispatch(q) })
	}
	w.schedule(time.Duration(rng.ExpFloat64()*float64(10*time.Millisecond)), next)
}

// slotsOf returns the deployed slots of a service in a region, those of failed
// workers included.
func (w *world) slotsOf(region, service string) int {
	n := 0
	for _, wk := range w.workers {
		if wk.zone.Region == region && wk.service == service {
			n += wk.slots
		}
	}
	return n
}

// dispatch starts the next attempt of a request, or ends the request if it may not
// be attempted again.
func (w *world) dispatch(q *request) {
	inst := q.first
	if inst.dead {
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
	q.attempt = attempt{dest: dest, instance: inst, sent: w.now}
	if dest.Local {
		w.admit(q)
		return
	}
	inst.planner.Begin(&q.state, dest)
	q.attempt.instance = w.instance(dest.Member.Name)
	if w.partitioned(inst.zone, q.attempt.instance.zone) || q.attempt.instance.dead {
		wait := time.Duration(float64(q.deadline.Sub(w.now)) * _attemptShare)
		w.schedule(wait, func() { w.attemptDone(q, relay.Unknown(relay.DeadlinePassed)) })
		return
	}
	w.schedule(w.oneWayLatency(inst.zone, q.attempt.instance.zone), func() { w.admit(q) })
}

// mayAttempt reports whether the retry budget allows the next attempt. It counts
// the attempt as a retry if a worker received an earlier attempt.
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
	inst := q.first
	queue := inst.queues[q.service]
	local := dispatch.Destination{Local: true, Zone: inst.zone.Name}
	switch w.policy {
	case LocalZoneOnly:
		return local, q.state.Last == nil
	case SpillByReport:
		if queue.Capacity(w.now).Free > 0 || q.state.Last != nil {
			return local, q.state.Last == nil
		}
		return w.mostHeadroom(q, local), true
	case StaticEqual:
		if q.state.Last != nil {
			return local, false
		}
		zone := w.zones[inst.planner.Rand.IntN(len(w.zones))]
		return w.destinationIn(inst, zone.Name, local), true
	default:
		return inst.planner.Choose(w.now, &q.state, dispatch.ClusterState{
			Capacity: queue.Capacity(w.now),
			View:     func(zone, service string) routing.View { return w.view(inst, zone, service) },
			Live:     func(zone string) []gossip.Member { return inst.membership.Live(w.now, zone) },
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

func (w *world) destinationIn(inst *instance, zone string, local dispatch.Destination) dispatch.Destination {
	live := inst.membership.Live(w.now, zone)
	if zone == inst.zone.Name || len(live) == 0 {
		return local
	}
	return dispatch.Destination{Member: live[inst.planner.Rand.IntN(len(live))], Zone: zone}
}

func (w *world) view(inst *instance, zone, service string) routing.View {
	report, ok := inst.membership.ZoneLoad(w.now, zone)
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

// admit requests a worker slot from the instance of the current attempt.
func (w *world) admit(q *request) {
	inst := q.attempt.instance
	if inst.dead {
		w.answer(q, relay.NotRun(relay.PeerUnreachable))
		return
	}
	q.attempt.shift = inst.zone.Region != q.state.Home
	if q.attempt.shift && w.policy == Wigeonlock {
		confirmed := w.now.Sub(w.confirmed) < _confirmMaxAge
		if reason := inst.holders[q.plan].Admit(w.now, confirmed); reason != quota.Admitted {
			w.answer(q, relay.NotRun(relay.Reason(reason)))
			return
		}
	}
	queue := inst.queues[q.service]
	queue.Pool.Instances = max(len(inst.membership.Live(w.now, inst.zone.Name)), 1)
	decision, dropped := queue.Acquire(w.now, admission.Arrival[*request]{
		Value: q, Moved: (inst != q.first || q.attempt.shift) && w.policy == Wigeonlock, Tried: q.state.Tried, Priority: q.priority,
		Deadline: q.deadline, BusyElsewhere: inst.membership.Busy(w.now, q.service),
	})
	w.deliver(dropped)
	switch {
	case decision.Granted:
		w.send(q, decision.Worker.Name)
	case decision.Queued:
		w.schedule(q.deadline.Sub(w.now), func() {
			if queue.Cancel(q) {
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
	if q.attempt.shift && w.policy == Wigeonlock {
		q.attempt.instance.holders[q.plan].Release()
	}
}

// send sends a request to a worker, which refuses it or runs it.
func (w *world) send(q *request, name string) {
	wk := w.worker(name)
	w.recordMove(q, wk)
	if !wk.leaving.IsZero() {
		w.result.afterLeaving = max(w.result.afterLeaving, w.now.Sub(wk.leaving))
	}
	switch {
	case wk.dead || wk.broken:
		w.schedule(_refusalLatency, func() { w.workerDone(q, wk, backend.Broken, relay.Unknown(relay.WorkerBroken)) })
	case !wk.leaving.IsZero() || wk.busy >= wk.slots:
		w.schedule(_refusalLatency, func() { w.workerDone(q, wk, backend.Refused, relay.NotRun(relay.WorkerRefused)) })
	case wk.failsFast:
		w.schedule(_refusalLatency, func() { w.workerDone(q, wk, backend.Errored, &relay.Answer{Outcome: retry.Run, Status: 500}) })
	default:
		w.runOn(q, wk)
	}
}

func (w *world) runOn(q *request, wk *worker) {
	took := q.serviceTime
	if w.now.Before(wk.coldUntil) {
		took *= _coldSlowdown
	}
	wk.busy++
	if q.attempt.shift {
		rec := w.records[q.plan]
		rec.inUse++
		if rec.inUse > rec.limit {
			w.result.capBreaches++
		}
	}
	w.schedule(took, func() {
		wk.busy--
		if q.attempt.shift {
			w.records[q.plan].inUse--
		}
		if wk.dead {
			w.workerDone(q, wk, backend.Broken, relay.Unknown(relay.WorkerBroken))
			return
		}
		w.workerDone(q, wk, backend.Answered, &relay.Answer{Outcome: retry.Run, Status: 200})
	})
}

// recordMove counts a request that runs outside the zone that received it or
// outside its home region, and records the load of the worker's region.
func (w *world) recordMove(q *request, wk *worker) {
	if q.attempt.instance == q.first && !q.attempt.shift {
		return
	}
	busy, slots := 1, 0
	for _, other := range w.workers {
		if other.zone.Region == wk.zone.Region && other.service == wk.service && !other.dead {
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

// workerDone frees the slot of an attempt that its worker answered or refused, and
// returns the answer.
func (w *world) workerDone(q *request, wk *worker, result backend.Result, a *relay.Answer) {
	inst := q.attempt.instance
	a.Worker = wk.name
	queue := inst.queues[q.service]
	if result == backend.Refused && !wk.leaving.IsZero() {
		queue.Pool.MarkDraining(wk.name)
	}
	w.release(q)
	w.deliver(queue.Done(w.now, wk.name, result, w.now.Sub(q.attempt.sent)))
	w.answer(q, a)
}

// answer returns the answer of an attempt to the first instance.
func (w *world) answer(q *request, a *relay.Answer) {
	if q.attempt.dest.Local {
		w.attemptDone(q, a)
		return
	}
	a.Worker = "" // the first instance does not know the workers of other zones
	w.schedule(w.oneWayLatency(q.attempt.instance.zone, q.first.zone), func() { w.attemptDone(q, a) })
}

// attemptDone handles the answer of an attempt at the first instance.
func (w *world) attemptDone(q *request, a *relay.Answer) {
	if !q.attempt.dest.Local {
		q.first.planner.End(w.now, &q.state, q.attempt.dest, a)
	}
	if a.Outcome == retry.Run {
		if q.attempt.dest.Local {
			q.first.refusalRate.Record(false)
		}
		w.end(q, a)
		return
	}
	q.state.Record(q.attempt.dest, a)
	if q.attempt.dest.Local && a.Reason == relay.WorkerRefused {
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
	for _, wk := range w.workers {
		if wk.name == name {
			return wk
		}
	}
	return nil
}
