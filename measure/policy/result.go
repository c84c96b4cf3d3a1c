package policy

import (
	"container/heap"
	"time"

	"github.com/wigeonlock/wigeonlock/deployment"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
)

// result collects what a trial shows.
type result struct {
	requests     int
	good         int
	times        []time.Duration
	refused      map[string]int
	retries      int
	moves        int
	overloaded   int
	overload     float64
	capBreaches  int
	drain        time.Duration
	afterLeaving time.Duration
	headroom     map[string]float64
	samples      map[string]int
}

func (r *result) init(deployment.Deployment) {
	r.refused = make(map[string]int)
	r.headroom = make(map[string]float64)
	r.samples = make(map[string]int)
}

func (r *result) noteHeadroom(region string, share float64) {
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

// trial is the result in its printed form.
func (w *world) trial() Trial {
	r := &w.result
	t := Trial{
		Name: w.scenario.name, Deployment: w.deployment.Name, Policy: w.policy, Requests: r.requests,
		P50Ms: quantile(r.times, 0.5), P99Ms: quantile(r.times, 0.99), P999Ms: quantile(r.times, 0.999),
		BoundP99Ms: w.bound(), CapBreaches: r.capBreaches, OverloadedMoves: r.overloaded, LargestOverload: r.overload,
		Moves: r.moves, DrainMs: float64(r.drain.Microseconds()) / 1000, HeadroomShare: 1,
		AfterLeavingMs: float64(r.afterLeaving.Microseconds()) / 1000, Refused: sortedReasons(r.refused),
	}
	t.RetriesPerTry = float64(r.retries) / float64(max(r.requests, 1))
	t.GoodputShare = float64(r.good) / w.ideal()
	for region, sum := range r.headroom {
		t.HeadroomShare = min(t.HeadroomShare, sum/float64(r.samples[region]))
	}
	return t
}

// ideal is the number of requests that could be answered: for each service,
// the demand of each region as far as its slots serve it, and the rest as far
// as other regions have slots free, up to the shift caps of all plans.
func (w *world) ideal() float64 {
	const step = 100 * time.Millisecond
	sum := 0.0
	for at := time.Duration(0); at < w.scenario.lasts(); at += step {
		sum += w.idealRate(at) * step.Seconds()
	}
	return sum
}

func (w *world) idealRate(at time.Duration) float64 {
	caps, served, shifted := 0, 0.0, 0.0
	for _, p := range w.deployment.Lists.Plans {
		caps += p.ShiftSlots
	}
	for _, svc := range w.deployment.Services {
		excess, free := 0.0, 0.0
		for r, region := range w.deployment.Regions {
			built := float64(w.slotsOf(region.Name, svc.Name))
			demand := w.scenario.load(r, at) * built
			usable := built
			if w.scenario.name == "regionLost" && r == 0 && at >= _event {
				usable = 0
			}
			if w.scenario.name == "totalFailure" && at >= _event {
				usable = 0
			}
			served += min(demand, usable) / svc.Work.Seconds()
			excess += max(demand-usable, 0)
			free += max(usable-demand, 0)
		}
		shifted += min(excess, free)
	}
	const work = 0.02 // all services of the sample deployments take 20 ms
	return served + min(shifted, float64(caps))/work
}

// bound is the p99 of one queue for each service over all workers, which knows
// which of them are free and is reached by callers directly.
func (w *world) bound() float64 {
	rng := newRand(7, 7)
	var times []time.Duration
	for _, svc := range w.deployment.Services {
		slots := 0
		load := 0.0
		for r, region := range w.deployment.Regions {
			n := w.slotsOf(region.Name, svc.Name)
			slots += n
			load += w.scenario.load(r, _event) * float64(n)
		}
		times = append(times, singleQueue(rng.ExpFloat64, slots, load, svc.Work, svc.Timeout, w.deployment.CallerOneWay)...)
	}
	return quantile(times, 0.99)
}

// free is a heap of the times at which slots get free.
type free []time.Duration

func (f free) Len() int           { return len(f) }
func (f free) Less(i, j int) bool { return f[i] < f[j] }
func (f free) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *free) Push(x any) {
	d, _ := x.(time.Duration)
	*f = append(*f, d)
}

func (f *free) Pop() any {
	old := *f
	d := old[len(old)-1]
	*f = old[:len(old)-1]
	return d
}

func singleQueue(exp func() float64, slots int, load float64, work, timeout, oneWay time.Duration) []time.Duration {
	const requests = 20_000
	next := make(free, slots)
	heap.Init(&next)
	now := time.Duration(0)
	times := make([]time.Duration, 0, requests)
	for range requests {
		now += time.Duration(exp() * float64(work) / load)
		begin := max(now, next[0])
		took := begin - now + time.Duration(exp()*float64(work)) + 2*oneWay
		if took > timeout {
			continue // refused
		}
		next[0] = now + took - 2*oneWay
		heap.Fix(&next, 0)
		times = append(times, took)
	}
	return times
}
