package policy

import (
	"container/heap"
	"time"

	"github.com/wigeonlock/wigeonlock/deployment"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
)

// result collects the measurements of a trial.
type result struct {
	requests        int
	good            int
	times           []time.Duration
	refused         map[string]int
	retries         int
	moves           int
	overloadedMoves int
	largestOverload float64
	capBreaches     int
	drain           time.Duration
	afterLeaving    time.Duration
	headroom        map[string]float64
	samples         map[string]int
}

func (r *result) init(deployment.Deployment) {
	r.refused = make(map[string]int)
	r.headroom = make(map[string]float64)
	r.samples = make(map[string]int)
}

func (r *result) addHeadroom(region string, share float64) {
	r.headroom[region] += share
	r.samples[region]++
}

func (r *result) end(q *request, a *relay.Answer, took time.Duration) {
	switch {
	case a == nil:
		r.refused["instanceDied"]++
	case a.Outcome != retry.Run:
		r.refused[string(a.Reason)]++
	case a.Status >= 500:
		r.refused["serverError"]++
	case took > q.deadline.Sub(q.arrived):
		r.refused["late"]++
	default:
		r.good++
		r.times = append(r.times, took)
	}
}

// trial returns the result in its printed form.
func (w *world) trial() Trial {
	r := &w.result
	t := Trial{
		Name: w.scenario.name, Deployment: w.deployment.Name, Policy: w.policy, Requests: r.requests,
		P50Ms: quantileMs(r.times, 0.5), P99Ms: quantileMs(r.times, 0.99), P999Ms: quantileMs(r.times, 0.999),
		BoundP99Ms: w.singleQueueP99Ms(), CapBreaches: r.capBreaches, OverloadedMoves: r.overloadedMoves, LargestOverload: r.largestOverload,
		Moves: r.moves, DrainMs: float64(r.drain.Microseconds()) / 1000, HeadroomShare: 1,
		AfterLeavingMs: float64(r.afterLeaving.Microseconds()) / 1000, Refused: sortedReasons(r.refused),
	}
	t.RetriesPerRequest = float64(r.retries) / float64(max(r.requests, 1))
	t.GoodputShare = float64(r.good) / w.achievableRequests()
	for region, sum := range r.headroom {
		t.HeadroomShare = min(t.HeadroomShare, sum/float64(r.samples[region]))
	}
	return t
}

// achievableRequests returns the number of requests that could be answered: for
// each service, the demand that the slots of each region can serve, plus the excess
// that free slots of other regions can serve, up to the shift caps of all plans.
func (w *world) achievableRequests() float64 {
	const step = 100 * time.Millisecond
	sum := 0.0
	for at := time.Duration(0); at < w.scenario.measuredTime(); at += step {
		sum += w.achievableRate(at) * step.Seconds()
	}
	return sum
}

func (w *world) achievableRate(at time.Duration) float64 {
	caps, served, shifted := 0, 0.0, 0.0
	for _, p := range w.deployment.Lists.Plans {
		caps += p.ShiftSlots
	}
	for _, svc := range w.deployment.Services {
		excess, free := 0.0, 0.0
		for r, region := range w.deployment.Regions {
			deployed := float64(w.slotsOf(region.Name, svc.Name))
			demand := w.scenario.load(r, at) * deployed
			usable := deployed
			if w.scenario.name == "regionLost" && r == 0 && at >= _faultTime {
				usable = 0
			}
			if w.scenario.name == "totalFailure" && at >= _faultTime {
				usable = 0
			}
			served += min(demand, usable) / svc.ServiceTime.Seconds()
			excess += max(demand-usable, 0)
			free += max(usable-demand, 0)
		}
		shifted += min(excess, free)
	}
	const serviceSeconds = 0.02 // all services of the sample deployments take 20 ms
	return served + min(shifted, float64(caps))/serviceSeconds
}

// singleQueueP99Ms returns the p99 of one queue per service in front of all
// workers. The queue knows which workers are free, and callers send to it directly.
func (w *world) singleQueueP99Ms() float64 {
	rng := newRand(7, 7)
	var times []time.Duration
	for _, svc := range w.deployment.Services {
		slots := 0
		load := 0.0
		for r, region := range w.deployment.Regions {
			n := w.slotsOf(region.Name, svc.Name)
			slots += n
			load += w.scenario.load(r, _faultTime) * float64(n)
		}
		times = append(times, singleQueue(rng.ExpFloat64, slots, load, svc.ServiceTime, svc.Timeout, w.deployment.CallerOneWay)...)
	}
	return quantileMs(times, 0.99)
}

// freeTimes is a heap of the times at which slots become free.
type freeTimes []time.Duration

func (f freeTimes) Len() int           { return len(f) }
func (f freeTimes) Less(i, j int) bool { return f[i] < f[j] }
func (f freeTimes) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *freeTimes) Push(x any) {
	d, _ := x.(time.Duration)
	*f = append(*f, d)
}

func (f *freeTimes) Pop() any {
	old := *f
	d := old[len(old)-1]
	*f = old[:len(old)-1]
	return d
}

// singleQueue simulates one queue in front of a number of slots and returns the
// response times of the requests that it does not refuse.
func singleQueue(exp func() float64, slots int, load float64, serviceTime, timeout, oneWay time.Duration) []time.Duration {
	const requests = 20_000
	next := make(freeTimes, slots)
	heap.Init(&next)
	now := time.Duration(0)
	times := make([]time.Duration, 0, requests)
	for range requests {
		now += time.Duration(exp() * float64(serviceTime) / load)
		begin := max(now, next[0])
		took := begin - now + time.Duration(exp()*float64(serviceTime)) + 2*oneWay
		if took > timeout {
			continue // refused
		}
		next[0] = now + took - 2*oneWay
		heap.Fix(&next, 0)
		times = append(times, took)
	}
	return times
}
