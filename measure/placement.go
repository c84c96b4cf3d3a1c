package measure

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonlock/wigeonlock/placement"
	"github.com/wigeonlock/wigeonlock/worker"
)

// Parameters of the model: a service whose cold runs take longer than the latency
// objective, in three regions with unevenly spread workers, as on the users'
// platform.
const (
	_placementTime        = 30 * time.Second
	_placementObjects     = 45
	_placementSlots       = 5
	_placementQueue       = 15
	_placementWarmObjects = 37
	_placementInstances   = 3
	_placementWarmTime    = 144 * time.Millisecond
	_placementColdTime    = 480 * time.Millisecond
	_placementRoundTrip   = 70 * time.Millisecond
	_placementObjective   = 400 * time.Millisecond
	_placementDeadline    = 1500 * time.Millisecond
	// _placementRate is the rate of all regions in requests per second, half of the
	// capacity of warm workers.
	_placementRate       = 280.0
	_placementWavePeriod = 36 * time.Second
	// The disturbance of a pattern lasts from _disturbanceStart to _disturbanceEnd.
	_disturbanceStart = 12 * time.Second
	_disturbanceEnd   = 18 * time.Second
)

var _placementWorkers = map[string]int{"a": 2, "b": 6, "c": 8}

// PlacementRow is the result of one load pattern under one placement policy.
type PlacementRow struct {
	Pattern string `json:"pattern"`
	Policy  string `json:"policy"`
	// InTime, Late and Refused are shares of the requests. During is the share in
	// time of those that arrive during the disturbance, After in the six seconds
	// after it.
	InTime  float64 `json:"inTime"`
	Late    float64 `json:"late"`
	Refused float64 `json:"refused"`
	During  float64 `json:"during"`
	After   float64 `json:"after"`
}

// PlacementResult has a row for each pattern and policy.
type PlacementResult struct {
	Rows []PlacementRow `json:"rows"`
}

// pattern is a load pattern and the disturbance of its workers.
type pattern struct {
	name string
	// rate returns the factor by which a region's request rate is multiplied.
	rate func(now time.Duration, region string) float64
	// disturb changes the workers when the disturbance begins, restore when it
	// ends.
	disturb func(w []*modelWorker)
	restore func(w []*modelWorker)
}

// _placementPolicies are the real placement policy and two simpler ones.
var _placementPolicies = []string{"wigeonlock", "rendezvous alone", "two random, less loaded"}

// Placement simulates load patterns on a model of workers that run warm objects
// faster, with the real placement and with simpler policies.
func Placement(ctx context.Context, o Options) (PlacementResult, error) {
	var result PlacementResult
	for _, p := range placementPatterns() {
		for _, policy := range _placementPolicies {
			if err := ctx.Err(); err != nil {
				return result, err
			}
			o.progress(p.name + ", " + policy)
			result.Rows = append(result.Rows, runPlacement(p, policy, o.Seed))
		}
	}
	return result, nil
}

func placementPatterns() []pattern {
	during := func(now time.Duration) bool { return now >= _disturbanceStart && now < _disturbanceEnd }
	even := func(time.Duration, string) float64 { return 1 }
	phase := map[string]float64{"a": 0.1, "b": 0.43, "c": 0.77}
	wave := func(now time.Duration, region string) float64 {
		return 1 + 0.55*math.Sin(2*math.Pi*(now.Seconds()/_placementWavePeriod.Seconds()+phase[region]))
	}
	quarter := func(change func(w *modelWorker)) func(w []*modelWorker) {
		return func(all []*modelWorker) {
			for i, w := range all {
				if i%4 == 1 {
					change(w)
				}
			}
		}
	}
	restoreAll := quarter(func(w *modelWorker) { w.slowdown, w.failureRate, w.shedRate, w.down = 1, 0, 0, false })
	noChange := func([]*modelWorker) {}
	return []pattern{
		{"even", even, noChange, noChange},
		{"waves out of phase", wave, noChange, noChange},
		{"burst 1.7", func(now time.Duration, r string) float64 {
			if during(now) {
				return 1.7 * wave(now, r)
			}
			return wave(now, r)
		}, noChange, noChange},
		{"callers move to one region", func(now time.Duration, r string) float64 {
			if !during(now) {
				return wave(now, r)
			}
			return map[string]float64{"a": 2.4, "b": 0.3, "c": 0.3}[r]
		}, noChange, noChange},
		{"a quarter of the workers gone", wave, quarter(func(w *modelWorker) { w.down = true }), restoreAll},
		{"a quarter five times slower", wave, quarter(func(w *modelWorker) { w.slowdown = 5 }), restoreAll},
		{"a quarter sheds half", wave, quarter(func(w *modelWorker) { w.shedRate = 0.5 }), restoreAll},
		{"a quarter fails half", wave, quarter(func(w *modelWorker) { w.failureRate = 0.5 }), restoreAll},
		{"cold return of a quarter", wave, quarter(func(w *modelWorker) { w.down = true }), quarter(func(w *modelWorker) {
			w.down, w.warm = false, nil
		})},
	}
}

// modelWorker is a worker of the model.
type modelWorker struct {
	entry *worker.Worker
	// freeAt is, for each slot, when the last of its requests ends.
	freeAt []time.Time
	// warm lists the objects kept warm, the least recently used first.
	warm        []string
	slowdown    float64
	shedRate    float64
	failureRate float64
	down        bool
}

// handle runs or refuses a request. It returns when the request ends and its
// outcome.
func (w *modelWorker) handle(now time.Time, object string, r *rand.Rand) (done time.Time, outcome placement.Outcome) {
	switch {
	case w.down:
		return now, placement.Unreachable
	case r.Float64() < w.shedRate || w.busy(now) >= _placementSlots+_placementQueue:
		return now, placement.Shed
	}
	slot := 0
	for i := range w.freeAt {
		if w.freeAt[i].Before(w.freeAt[slot]) {
			slot = i
		}
	}
	took := _placementColdTime
	if at := slices.Index(w.warm, object); at >= 0 {
		took = _placementWarmTime
		w.warm = slices.Delete(w.warm, at, at+1)
	}
	w.warm = append(w.warm, object)
	if len(w.warm) > _placementWarmObjects {
		w.warm = w.warm[1:]
	}
	start := now
	if w.freeAt[slot].After(now) {
		start = w.freeAt[slot]
	}
	w.freeAt[slot] = start.Add(time.Duration(float64(took) * w.slowdown))
	if r.Float64() < w.failureRate {
		return w.freeAt[slot], placement.Errored
	}
	return w.freeAt[slot], placement.Answered
}

// busy returns the number of running and waiting requests. It estimates the
// requests of a slot from the time until the slot is free.
func (w *modelWorker) busy(now time.Time) int {
	n := 0
	for _, at := range w.freeAt {
		for remaining := at.Sub(now); remaining > 0; remaining -= time.Duration(float64(_placementWarmTime) * w.slowdown) {
			n++
		}
	}
	return n
}

// modelRequest is a request that has been sent to a worker.
type modelRequest struct {
	at      time.Time
	done    time.Time
	request placement.Request
	choice  placement.Choice
	outcome placement.Outcome
	placer  *placement.Placer
	worker  *modelWorker
}

// placementRun is the simulation of one pattern under one policy.
type placementRun struct {
	policy  string
	rand    *rand.Rand
	workers []*modelWorker
	entries []*worker.Worker
	placers map[string][]*placement.Placer
	open    []modelRequest
	// counts holds, by second of arrival, the requests: all, in time, late, refused.
	counts [int(_placementTime / time.Second)][4]float64
}

func runPlacement(p pattern, policy string, seed uint64) PlacementRow {
	run := &placementRun{policy: policy, rand: rand.New(rand.NewPCG(seed, 1)), placers: make(map[string][]*placement.Placer)}
	for region, n := range _placementWorkers {
		for i := range n {
			entry := &worker.Worker{Entry: worker.Entry{
				ID: region + strconv.Itoa(i), Service: "s", Zone: region, Slots: _placementSlots,
			}}
			run.entries = append(run.entries, entry)
		}
		for range _placementInstances {
			run.placers[region] = append(run.placers[region], &placement.Placer{
				Region: region, RegionOf: func(zone string) string { return zone },
			})
		}
	}
	slices.SortFunc(run.entries, func(a, b *worker.Worker) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range run.entries {
		run.workers = append(run.workers, &modelWorker{entry: e, freeAt: make([]time.Time, _placementSlots), slowdown: 1})
	}
	run.simulate(p)
	return run.row(p.name)
}

// simulate runs the pattern in steps of a millisecond.
func (run *placementRun) simulate(p pattern) {
	const step = time.Millisecond
	start := time.Unix(1000, 0)
	for now := time.Duration(0); now < _placementTime; now += step {
		switch now {
		case _disturbanceStart:
			p.disturb(run.workers)
		case _disturbanceEnd:
			p.restore(run.workers)
		}
		at := start.Add(now)
		run.reportEnded(at)
		for _, region := range []string{"a", "b", "c"} {
			expected := _placementRate / 3 * p.rate(now, region) * step.Seconds()
			for ; run.rand.Float64() < expected; expected-- {
				run.arrive(at, now, region)
			}
		}
	}
}

// reportEnded reports the requests that have ended to their placers.
func (run *placementRun) reportEnded(now time.Time) {
	run.open = slices.DeleteFunc(run.open, func(r modelRequest) bool {
		if r.done.After(now) {
			return false
		}
		busy := r.worker.busy(now)
		r.placer.End(now, r.choice.Worker, placement.Report{
			Outcome: r.outcome, HasLoad: r.outcome != placement.Unreachable, Running: min(busy, _placementSlots),
			Waiting: max(busy-_placementSlots, 0), Took: r.done.Sub(r.at), Load: r.choice.Load, Warm: r.choice.Warm,
		})
		return true
	})
}

// arrive sends a request to a worker and counts its outcome. If the worker
// refuses it or fails, the request is retried once on another worker.
func (run *placementRun) arrive(at time.Time, now time.Duration, region string) {
	second := int(now / time.Second)
	run.counts[second][0]++
	placer := run.placers[region][run.rand.IntN(_placementInstances)]
	request := placement.Request{
		Service: "s", Object: strconv.Itoa(run.rand.IntN(_placementObjects)), Sticky: true,
		RegionInstances: _placementInstances, Instances: _placementInstances * len(_placementWorkers),
		MayServe: func(string) bool { return true }, Closed: func(string) bool { return false },
		Permit: func(*worker.Worker, bool) placement.Permission { return placement.Granted },
	}
	sent := at
	for range 2 {
		choice := run.choose(sent, placer, request)
		if choice.Worker == nil {
			break
		}
		w := run.workers[slices.Index(run.entries, choice.Worker)]
		placer.Begin(sent, request, choice.Worker)
		roundTrip := time.Duration(0)
		if choice.Worker.Zone != region {
			roundTrip = _placementRoundTrip
		}
		done, outcome := w.handle(sent.Add(roundTrip/2), request.Object, run.rand)
		done = done.Add(roundTrip / 2)
		run.open = append(run.open, modelRequest{sent, done, request, choice, outcome, placer, w})
		if outcome == placement.Answered {
			switch took := done.Sub(at); {
			case took <= _placementObjective:
				run.counts[second][1]++
			case took <= _placementDeadline:
				run.counts[second][2]++
			}
			return
		}
		request.Tried = append(request.Tried, choice.Worker.ID)
		sent = done
	}
	run.counts[second][3]++
}

// choose returns the worker that the policy selects.
func (run *placementRun) choose(now time.Time, p *placement.Placer, r placement.Request) placement.Choice {
	if run.policy == "wigeonlock" {
		return p.Choose(now, r, run.entries)
	}
	candidates := slices.DeleteFunc(slices.Clone(run.workers), func(w *modelWorker) bool { return slices.Contains(r.Tried, w.entry.ID) })
	if run.policy == "rendezvous alone" {
		return placement.Choice{Worker: slices.MaxFunc(candidates, func(a, b *modelWorker) int {
			return cmp.Compare(xxhash.Sum64String(r.Object+a.entry.ID), xxhash.Sum64String(r.Object+b.entry.ID))
		}).entry}
	}
	best, second := candidates[run.rand.IntN(len(candidates))], candidates[run.rand.IntN(len(candidates))]
	if second.busy(now) < best.busy(now) {
		best = second
	}
	return placement.Choice{Worker: best.entry}
}

func (run *placementRun) row(name string) PlacementRow {
	sum := func(from, to time.Duration) (counts [4]float64) {
		for _, second := range run.counts[from/time.Second : to/time.Second] {
			for i, n := range second {
				counts[i] += n
			}
		}
		return counts
	}
	all := sum(0, _placementTime)
	during, after := sum(_disturbanceStart, _disturbanceEnd), sum(_disturbanceEnd, _disturbanceEnd+_disturbanceEnd-_disturbanceStart)
	return PlacementRow{
		Pattern: name, Policy: run.policy, InTime: all[1] / all[0], Late: all[2] / all[0], Refused: all[3] / all[0],
		During: during[1] / during[0], After: after[1] / after[0],
	}
}
