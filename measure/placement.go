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

// Figures of the model: a service whose cold runs take longer than the
// objective, in three regions with workers spread unevenly, as on the users'
// platform.
const (
	_placingLength    = 30 * time.Second
	_placingObjects   = 45
	_placingSlots     = 5
	_placingQueue     = 15
	_placingKeeps     = 37
	_placingInstances = 3
	_placingWarm      = 144 * time.Millisecond
	_placingCold      = 480 * time.Millisecond
	_placingTrip      = 70 * time.Millisecond
	_placingObjective = 400 * time.Millisecond
	_placingDeadline  = 1500 * time.Millisecond
	// _placingRate is the rate of all regions, half of what warm workers bear.
	_placingRate = 280.0
	_placingWave = 36 * time.Second
	// The disturbance of a pattern lasts from _placingFrom to _placingTo.
	_placingFrom = 12 * time.Second
	_placingTo   = 18 * time.Second
)

var _placingWorkers = map[string]int{"a": 2, "b": 6, "c": 8}

// PlacementRow is one load pattern under one way to place requests.
type PlacementRow struct {
	Pattern string `json:"pattern"`
	Policy  string `json:"policy"`
	// InTime, Late and Refused are shares of the requests; During is the share
	// in time while the disturbance lasts, After in the six seconds behind it.
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

// pattern is a load pattern that placing has to answer.
type pattern struct {
	name string
	// rate is the factor on a region's requests.
	rate func(now time.Duration, region string) float64
	// disturb changes workers when the disturbance begins, and restore when it
	// ends.
	disturb func(w []*placedWorker)
	restore func(w []*placedWorker)
}

// placingPolicies are ours and simpler ones.
var _placingPolicies = []string{"wigeonlock", "rendezvous alone", "two random, less loaded"}

// Placement plays load patterns against a model of workers that run warm objects
// faster, with our placing and with simpler ones.
func Placement(ctx context.Context, o Options) (PlacementResult, error) {
	var result PlacementResult
	for _, p := range placingPatterns() {
		for _, policy := range _placingPolicies {
			if err := ctx.Err(); err != nil {
				return result, err
			}
			o.progress(p.name + ", " + policy)
			result.Rows = append(result.Rows, playPlacing(p, policy, o.Seed))
		}
	}
	return result, nil
}

func placingPatterns() []pattern {
	during := func(now time.Duration) bool { return now >= _placingFrom && now < _placingTo }
	even := func(time.Duration, string) float64 { return 1 }
	phase := map[string]float64{"a": 0.1, "b": 0.43, "c": 0.77}
	wave := func(now time.Duration, region string) float64 {
		return 1 + 0.55*math.Sin(2*math.Pi*(now.Seconds()/_placingWave.Seconds()+phase[region]))
	}
	quarter := func(change func(w *placedWorker)) func(w []*placedWorker) {
		return func(all []*placedWorker) {
			for i, w := range all {
				if i%4 == 1 {
					change(w)
				}
			}
		}
	}
	well := quarter(func(w *placedWorker) { w.slow, w.fails, w.sheds, w.gone = 1, 0, 0, false })
	none := func([]*placedWorker) {}
	return []pattern{
		{"even", even, none, none},
		{"waves out of phase", wave, none, none},
		{"burst 1.7", func(now time.Duration, r string) float64 {
			if during(now) {
				return 1.7 * wave(now, r)
			}
			return wave(now, r)
		}, none, none},
		{"callers move to one region", func(now time.Duration, r string) float64 {
			if !during(now) {
				return wave(now, r)
			}
			return map[string]float64{"a": 2.4, "b": 0.3, "c": 0.3}[r]
		}, none, none},
		{"a quarter of the workers gone", wave, quarter(func(w *placedWorker) { w.gone = true }), well},
		{"a quarter five times slower", wave, quarter(func(w *placedWorker) { w.slow = 5 }), well},
		{"a quarter sheds half", wave, quarter(func(w *placedWorker) { w.sheds = 0.5 }), well},
		{"a quarter fails half", wave, quarter(func(w *placedWorker) { w.fails = 0.5 }), well},
		{"cold return of a quarter", wave, quarter(func(w *placedWorker) { w.gone = true }), quarter(func(w *placedWorker) {
			w.gone, w.recent = false, nil
		})},
	}
}

// placedWorker is a worker of the model.
type placedWorker struct {
	entry *worker.Worker
	// free is when each slot has run what it has.
	free []time.Time
	// recent are the objects it keeps warm, the last used at the end.
	recent []string
	slow   float64
	sheds  float64
	fails  float64
	gone   bool
}

// take runs a request and returns when it is done, or how it was refused.
func (w *placedWorker) take(now time.Time, object string, r *rand.Rand) (done time.Time, outcome placement.Outcome) {
	switch {
	case w.gone:
		return now, placement.Unreachable
	case r.Float64() < w.sheds || w.busy(now) >= _placingSlots+_placingQueue:
		return now, placement.Shed
	}
	slot := 0
	for i := range w.free {
		if w.free[i].Before(w.free[slot]) {
			slot = i
		}
	}
	took := _placingCold
	if at := slices.Index(w.recent, object); at >= 0 {
		took = _placingWarm
		w.recent = slices.Delete(w.recent, at, at+1)
	}
	w.recent = append(w.recent, object)
	if len(w.recent) > _placingKeeps {
		w.recent = w.recent[1:]
	}
	start := now
	if w.free[slot].After(now) {
		start = w.free[slot]
	}
	w.free[slot] = start.Add(time.Duration(float64(took) * w.slow))
	if r.Float64() < w.fails {
		return w.free[slot], placement.Errored
	}
	return w.free[slot], placement.Answered
}

// busy is what runs and waits. A run queued behind another counts by the time
// that its slot is taken.
func (w *placedWorker) busy(now time.Time) int {
	n := 0
	for _, at := range w.free {
		for left := at.Sub(now); left > 0; left -= time.Duration(float64(_placingWarm) * w.slow) {
			n++
		}
	}
	return n
}

// placedRequest is a request that is under way.
type placedRequest struct {
	at      time.Time
	done    time.Time
	request placement.Request
	choice  placement.Choice
	outcome placement.Outcome
	placer  *placement.Placer
	worker  *placedWorker
}

// placingRun is one pattern under one policy.
type placingRun struct {
	policy  string
	rand    *rand.Rand
	workers []*placedWorker
	entries []*worker.Worker
	placers map[string][]*placement.Placer
	open    []placedRequest
	// counts by the second of arrival: all, in time, late, refused.
	counts [int(_placingLength / time.Second)][4]float64
}

func playPlacing(p pattern, policy string, seed uint64) PlacementRow {
	run := &placingRun{policy: policy, rand: rand.New(rand.NewPCG(seed, 1)), placers: make(map[string][]*placement.Placer)}
	for region, n := range _placingWorkers {
		for i := range n {
			entry := &worker.Worker{Entry: worker.Entry{
				ID: region + strconv.Itoa(i), Service: "s", Zone: region, Slots: _placingSlots,
			}}
			run.entries = append(run.entries, entry)
		}
		for range _placingInstances {
			run.placers[region] = append(run.placers[region], &placement.Placer{
				Region: region, RegionOf: func(zone string) string { return zone },
			})
		}
	}
	slices.SortFunc(run.entries, func(a, b *worker.Worker) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range run.entries {
		run.workers = append(run.workers, &placedWorker{entry: e, free: make([]time.Time, _placingSlots), slow: 1})
	}
	run.play(p)
	return run.row(p.name)
}

// play lets requests arrive in steps of a millisecond.
func (run *placingRun) play(p pattern) {
	const step = time.Millisecond
	start := time.Unix(1000, 0)
	for now := time.Duration(0); now < _placingLength; now += step {
		switch now {
		case _placingFrom:
			p.disturb(run.workers)
		case _placingTo:
			p.restore(run.workers)
		}
		at := start.Add(now)
		run.finish(at)
		for _, region := range []string{"a", "b", "c"} {
			expected := _placingRate / 3 * p.rate(now, region) * step.Seconds()
			for ; run.rand.Float64() < expected; expected-- {
				run.arrive(at, now, region)
			}
		}
	}
}

// finish hands what has ended to the placers.
func (run *placingRun) finish(now time.Time) {
	run.open = slices.DeleteFunc(run.open, func(r placedRequest) bool {
		if r.done.After(now) {
			return false
		}
		busy := r.worker.busy(now)
		r.placer.End(now, r.choice.Worker, placement.Report{
			Outcome: r.outcome, HasLoad: r.outcome != placement.Unreachable, Running: min(busy, _placingSlots),
			Waiting: max(busy-_placingSlots, 0), Took: r.done.Sub(r.at), Load: r.choice.Load, Warm: r.choice.Warm,
		})
		return true
	})
}

// arrive places a request and counts what becomes of it. A worker that turned
// it away or failed is passed over once.
func (run *placingRun) arrive(at time.Time, now time.Duration, region string) {
	second := int(now / time.Second)
	run.counts[second][0]++
	placer := run.placers[region][run.rand.IntN(_placingInstances)]
	request := placement.Request{
		Service: "s", Object: strconv.Itoa(run.rand.IntN(_placingObjects)), RegionInstances: _placingInstances,
		MayServe: func(string) bool { return true }, Closed: func(string) bool { return false },
		PermitCold: func(*worker.Worker) bool { return true },
	}
	sent := at
	for range 2 {
		choice := run.choose(sent, placer, request)
		if choice.Worker == nil {
			break
		}
		w := run.workers[slices.Index(run.entries, choice.Worker)]
		placer.Begin(sent, request, choice.Worker)
		trip := time.Duration(0)
		if choice.Worker.Zone != region {
			trip = _placingTrip
		}
		done, outcome := w.take(sent.Add(trip/2), request.Object, run.rand)
		done = done.Add(trip / 2)
		run.open = append(run.open, placedRequest{sent, done, request, choice, outcome, placer, w})
		if outcome == placement.Answered {
			switch took := done.Sub(at); {
			case took <= _placingObjective:
				run.counts[second][1]++
			case took <= _placingDeadline:
				run.counts[second][2]++
			}
			return
		}
		request.Tried = append(request.Tried, choice.Worker.ID)
		sent = done
	}
	run.counts[second][3]++
}

// choose applies the policy.
func (run *placingRun) choose(now time.Time, p *placement.Placer, r placement.Request) placement.Choice {
	if run.policy == "wigeonlock" {
		return p.Choose(now, r, run.entries)
	}
	left := slices.DeleteFunc(slices.Clone(run.workers), func(w *placedWorker) bool { return slices.Contains(r.Tried, w.entry.ID) })
	if run.policy == "rendezvous alone" {
		return placement.Choice{Worker: slices.MaxFunc(left, func(a, b *placedWorker) int {
			return cmp.Compare(xxhash.Sum64String(r.Object+a.entry.ID), xxhash.Sum64String(r.Object+b.entry.ID))
		}).entry}
	}
	one, other := left[run.rand.IntN(len(left))], left[run.rand.IntN(len(left))]
	if other.busy(now) < one.busy(now) {
		one = other
	}
	return placement.Choice{Worker: one.entry}
}

func (run *placingRun) row(name string) PlacementRow {
	sum := func(from, to time.Duration) (counts [4]float64) {
		for _, second := range run.counts[from/time.Second : to/time.Second] {
			for i, n := range second {
				counts[i] += n
			}
		}
		return counts
	}
	all := sum(0, _placingLength)
	during, after := sum(_placingFrom, _placingTo), sum(_placingTo, _placingTo+_placingTo-_placingFrom)
	return PlacementRow{
		Pattern: name, Policy: run.policy, InTime: all[1] / all[0], Late: all[2] / all[0], Refused: all[3] / all[0],
		During: during[1] / during[0], After: after[1] / after[0],
	}
}
