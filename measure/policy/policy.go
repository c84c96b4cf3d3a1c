// Package policy measures the decisions of many entry instances together, in
// virtual time: one small trial for each fault.
//
// A trial drives the real decision types (gossip, dispatch.Planner, routing,
// admission.Queue, backend.Pool, quota.Holder, retry.Budget) of ten
// instances with a deployment's zones, latencies and slots. Arrivals, service
// times and lag are drawn from a seed; there are no packets. The same trial
// runs under three simpler policies, and beside a single queue that knows all.
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

// Policy is a way to steer.
type Policy string

const (
	// Wigeonlock is the real decision code.
	Wigeonlock Policy = "wigeonlock"
	// OwnZoneOnly never leaves the zone that a caller came to.
	OwnZoneOnly Policy = "ownZoneOnly"
	// SpillByReport goes where the lagging report shows most room, and the
	// receiver takes what fits its workers or its queue.
	SpillByReport Policy = "spillByReport"
	// StaticEqual sends an equal part to each zone.
	StaticEqual Policy = "staticEqual"
)

// Policies are all policies, the real one first.
var Policies = []Policy{Wigeonlock, OwnZoneOnly, SpillByReport, StaticEqual}

// Trial is the result of one trial under one policy.
type Trial struct {
	Name       string  `json:"name"`
	Deployment string  `json:"deployment"`
	Policy     Policy  `json:"policy"`
	Requests   int     `json:"requests"`
	P50Ms      float64 `json:"p50Ms"`
	P99Ms      float64 `json:"p99Ms"`
	P999Ms     float64 `json:"p999Ms"`
	// BoundP99Ms is that of one queue over all workers that knows all of them.
	BoundP99Ms float64 `json:"boundP99Ms"`
	// GoodputShare relates what was answered in time to what could have been:
	// the demand, as far as the slots of its region, and the slots elsewhere up
	// to the shift caps, can serve it.
	GoodputShare float64 `json:"goodputShare"`
	CapBreaches  int     `json:"capBreaches"`
	// OverloadedMoves counts moved requests that arrived in a region where more
	// was busy than there are slots.
	OverloadedMoves int `json:"overloadedMoves"`
	// LargestOverload is busy over slots, by region and service, over the moves.
	LargestOverload float64 `json:"largestOverload"`
	Moves           int     `json:"moves"`
	RetriesPerTry   float64 `json:"retriesPerTry"`
	// DrainMs is the time from a zone's planned drain until its last request ended.
	DrainMs float64 `json:"drainMs"`
	// HeadroomShare is the mean share of free slots in the region with the least.
	HeadroomShare float64 `json:"headroomShare"`
	// AfterLeavingMs is how long after a worker began to leave it got work.
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
	// Names limits the trials; empty means all.
	Names []string
}

// Run runs all trials under all policies. The result does not depend on how
// many run at the same time.
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

// scenario is one trial: the load and the faults by time.
type scenario struct {
	name string
	// load is the demand of a region in parts of its slots.
	load func(region int, at time.Duration) float64
	// faults change the world at their time.
	faults []fault
	// length is the time measured; zero means _length.
	length time.Duration
}

func (s scenario) lasts() time.Duration {
	if s.length > 0 {
		return s.length
	}
	return _length
}

type fault struct {
	at time.Duration
	do func(w *world)
}

const (
	_warm   = 4 * time.Second
	_length = 10 * time.Second
	_event  = 5 * time.Second
)

func steady(load float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return load }
}

// tenfold is a usual load of 0.25 that grows tenfold in one region.
func tenfold(region int, at time.Duration) float64 {
	const usual, times = 0.25, 10
	if region == 0 && at >= _event {
		return usual * times
	}
	return usual
}

func scenarios() []scenario {
	return []scenario{
		{name: "steady80", load: steady(0.8)},
		{name: "monthEndTenfold", load: tenfold},
		{name: "allRegions90", load: steady(0.9)},
		{name: "regionLost", load: steady(0.5), faults: []fault{{_event, func(w *world) { w.loseRegion(0) }}}},
		{name: "zonePartitioned", load: steady(0.5), faults: []fault{{_event, func(w *world) { w.cutZone = w.zones[0].Name }}}},
		{name: "measurementsStopped", load: steady(0.8), faults: []fault{{_event, func(w *world) { w.noReports = true }}}},
		{name: "workerLyingIdle", load: steady(0.8), faults: []fault{{0, func(w *world) { w.workers[0].liesIdle = true }}}},
		{name: "workerFastErrors", load: steady(0.5), faults: []fault{{_event, func(w *world) { w.workers[0].fastErrors = true }}}},
		{name: "fifthOfWorkersCold", load: steady(0.6), faults: []fault{{_event, (*world).chill}}},
		{name: "workerLeaves", load: steady(0.5), faults: []fault{{_event, func(w *world) { w.leaveWorker(w.workers[0]) }}}},
		{
			name: "zoneDrained", load: steady(0.3), length: 2 * _length,
			faults: []fault{{_event, func(w *world) { w.drainZone(w.zones[0].Name) }}},
		},
		{name: "storeOut", load: steady(0.8), faults: []fault{{_event, func(w *world) { w.storeOut = true }}}},
		{name: "monthEndAndStoreOut", load: tenfold, faults: []fault{{_event, func(w *world) { w.storeOut = true }}}},
		{name: "monthEndAndMeasurementsStopped", load: tenfold, faults: []fault{{_event, func(w *world) { w.noReports = true }}}},
		{name: "totalFailure", load: steady(0.5), faults: []fault{{_event, (*world).breakAll}}},
	}
}

// quantile returns a percentile of times in milliseconds.
func quantile(times []time.Duration, share float64) float64 {
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
