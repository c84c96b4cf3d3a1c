// Package policy simulates the routing decisions of many entry instances in
// virtual time, in one short trial for each load or fault scenario.
//
// A trial drives the real decision types (gossip, dispatch.Planner, routing,
// admission.Queue, backend.Pool, quota.Holder, retry.Budget) of ten
// instances with a deployment's zones, latencies and slots. Arrivals and service
// times are drawn from a seeded random generator; no packets are sent. The same
// trial also runs under three simpler policies, and its latency is compared with
// that of one queue in front of all workers.
//
// # Usage
//
//	trials := policy.Run(policy.Options{Seed: 1, Deployments: []deployment.Deployment{d}})
package policy

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/wigeonlock/wigeonlock/deployment"
)

// Policy is a way to choose the zone that runs a request.
type Policy string

const (
	// Wigeonlock is the real decision code.
	Wigeonlock Policy = "wigeonlock"
	// LocalZoneOnly runs each request in the zone that received it.
	LocalZoneOnly Policy = "ownZoneOnly"
	// SpillByReport runs a request in the local zone while that has a free slot, and
	// otherwise forwards it to the zone with the most headroom in the load reports,
	// which may be outdated. The receiver accepts the request if one of its workers or
	// its queue has capacity.
	SpillByReport Policy = "spillByReport"
	// StaticEqual sends an equal share of the requests to each zone.
	StaticEqual Policy = "staticEqual"
)

// Policies lists all policies, the real one first.
var Policies = []Policy{Wigeonlock, LocalZoneOnly, SpillByReport, StaticEqual}

// Trial is the result of one trial under one policy.
type Trial struct {
	Name       string  `json:"name"`
	Deployment string  `json:"deployment"`
	Policy     Policy  `json:"policy"`
	Requests   int     `json:"requests"`
	P50Ms      float64 `json:"p50Ms"`
	P99Ms      float64 `json:"p99Ms"`
	P999Ms     float64 `json:"p999Ms"`
	// BoundP99Ms is the p99 of one queue per service in front of all workers. The
	// queue knows which workers are free.
	BoundP99Ms float64 `json:"boundP99Ms"`
	// GoodputShare is the number of requests answered in time, divided by the
	// number that could have been: the demand that the slots of its region, and
	// the slots elsewhere up to the shift caps, can serve.
	GoodputShare float64 `json:"goodputShare"`
	CapBreaches  int     `json:"capBreaches"`
	// OverloadedMoves counts moved requests that reached a region in which more
	// requests of their service ran than it has slots.
	OverloadedMoves int `json:"overloadedMoves"`
	// LargestOverload is the largest ratio of running requests to slots, per region
	// and service, that a moved request found.
	LargestOverload   float64 `json:"largestOverload"`
	Moves             int     `json:"moves"`
	RetriesPerRequest float64 `json:"retriesPerTry"`
	// DrainMs is the time from the start of a zone's planned drain until its last
	// request ended.
	DrainMs float64 `json:"drainMs"`
	// HeadroomShare is the mean share of free slots in the region with the least.
	HeadroomShare float64 `json:"headroomShare"`
	// AfterLeavingMs is the longest time after a worker began to leave at which it
	// was still sent a request.
	AfterLeavingMs float64         `json:"afterLeavingMs"`
	Refused        []RefusedReason `json:"refused"`
}

// RefusedReason counts the refusals for one reason.
type RefusedReason struct {
	Reason string `json:"reason"`
	Count  int    `json:"count"`
}

// Options select what to run.
type Options struct {
	Seed        uint64
	Deployments []deployment.Deployment
	// Names selects the trials to run; empty means all.
	Names []string
}

// Run runs the selected trials under all policies. The results do not depend on
// how many trials run concurrently.
func Run(o Options) []Trial {
	type job struct {
		s scenario
		d deployment.Deployment
		p Policy
	}
	var jobs []job
	for _, d := range o.Deployments {
		for _, s := range scenarios() {
			if !selected(o.Names, s.name) {
				continue
			}
			for _, p := range Policies {
				jobs = append(jobs, job{s, d, p})
			}
		}
	}
	trials := make([]Trial, len(jobs))
	workers := pool.New().WithMaxGoroutines(8)
	for i, j := range jobs {
		workers.Go(func() {
			w := newWorld(j.d, j.s, j.p, o.Seed)
			trials[i] = w.run()
		})
	}
	workers.Wait()
	return trials
}

func selected(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return len(names) == 0
}

// scenario is the load and the faults of a trial.
type scenario struct {
	name string
	// load returns the demand of a region as a fraction of its slots.
	load func(region int, at time.Duration) float64
	// faults are injected at their times after the warm-up; one at time zero also
	// lasts through the warm-up.
	faults []fault
	// length is the duration after the warm-up; zero means _measuredTime.
	length time.Duration
}

func (s scenario) measuredTime() time.Duration {
	if s.length > 0 {
		return s.length
	}
	return _measuredTime
}

type fault struct {
	at time.Duration
	do func(w *world)
}

const (
	_warmUp       = 4 * time.Second
	_measuredTime = 10 * time.Second
	_faultTime    = 5 * time.Second
)

func steady(load float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return load }
}

// tenfold returns a load of 0.25, which grows tenfold in the first region at
// _faultTime.
func tenfold(region int, at time.Duration) float64 {
	const usual, times = 0.25, 10
	if region == 0 && at >= _faultTime {
		return usual * times
	}
	return usual
}

func scenarios() []scenario {
	return []scenario{
		{name: "steady80", load: steady(0.8)},
		{name: "monthEndTenfold", load: tenfold},
		{name: "allRegions90", load: steady(0.9)},
		{name: "regionLost", load: steady(0.5), faults: []fault{{_faultTime, func(w *world) { w.loseRegion(0) }}}},
		{name: "zonePartitioned", load: steady(0.5), faults: []fault{{_faultTime, func(w *world) { w.partitionedZone = w.zones[0].Name }}}},
		{name: "measurementsStopped", load: steady(0.8), faults: []fault{{_faultTime, func(w *world) { w.reportsStopped = true }}}},
		{name: "workerLyingIdle", load: steady(0.8), faults: []fault{{0, func(w *world) { w.workers[0].reportsIdle = true }}}},
		{name: "workerFastErrors", load: steady(0.5), faults: []fault{{_faultTime, func(w *world) { w.workers[0].failsFast = true }}}},
		{name: "fifthOfWorkersCold", load: steady(0.6), faults: []fault{{_faultTime, (*world).makeCold}}},
		{name: "workerLeaves", load: steady(0.5), faults: []fault{{_faultTime, func(w *world) { w.drainWorker(w.workers[0]) }}}},
		{
			name: "zoneDrained", load: steady(0.3), length: 2 * _measuredTime,
			faults: []fault{{_faultTime, func(w *world) { w.drainZone(w.zones[0].Name) }}},
		},
		{name: "storeOut", load: steady(0.8), faults: []fault{{_faultTime, func(w *world) { w.storeDown = true }}}},
		{name: "monthEndAndStoreOut", load: tenfold, faults: []fault{{_faultTime, func(w *world) { w.storeDown = true }}}},
		{name: "monthEndAndMeasurementsStopped", load: tenfold, faults: []fault{{_faultTime, func(w *world) { w.reportsStopped = true }}}},
		{name: "totalFailure", load: steady(0.5), faults: []fault{{_faultTime, (*world).breakAll}}},
	}
}

// quantileMs returns a quantile of times in milliseconds; share is from 0 to 1.
func quantileMs(times []time.Duration, share float64) float64 {
	if len(times) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), times...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	i := min(int(share*float64(len(sorted))), len(sorted)-1)
	return float64(sorted[i].Microseconds()) / 1000
}

func newRand(seed uint64, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, stream))
}
