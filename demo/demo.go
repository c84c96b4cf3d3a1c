// Package demo runs a deployment in one process over real loopback sockets,
// with a month-end load and planned and unplanned events, and reports what
// callers and workers saw.
//
// The counts come from the callers and from the workers' own records, not from
// the code that they judge.
//
// # Usage
//
//	report, err := demo.Run(ctx, demo.Options{Deployment: d, Length: 10 * time.Second})
package demo

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/deployment"
	"github.com/wigeonlock/wigeonlock/deployment/loopback"
	"github.com/wigeonlock/wigeonlock/plan"
	"github.com/wigeonlock/wigeonlock/rollout"
	"github.com/wigeonlock/wigeonlock/settings"
	"github.com/wigeonlock/wigeonlock/standin"
)

const (
	_rolloutTime  = 10 * time.Second
	_workerLinger = 3 * time.Second
	_callersEach  = 40
	_usualPause   = 400 * time.Millisecond
	_settleTime   = 12 * time.Second
	_blockHosts   = 200
	_storeDelay   = 2 * time.Millisecond
	_listLag      = 500 * time.Millisecond
	_workersZone  = 2
	_lookupTTLMs  = 400
	_drainMs      = 8000
)

// Options are what a run needs.
type Options struct {
	Deployment deployment.Deployment
	// Length is the time for which callers send requests.
	Length time.Duration
	Seed   uint64
	Log    *zap.Logger
	// Progress, if set, is called with each event.
	Progress func(event string)
}

// Report is what callers and workers saw.
type Report struct {
	Deployment          string         `json:"deployment"`
	Requests            int            `json:"requests"`
	Whole               int            `json:"whole"`
	NotRun              int            `json:"notRun"`
	Unknown             int            `json:"unknown"`
	Failed              int            `json:"failed"`
	Truncated           int            `json:"truncated"`
	Misdelivered        int            `json:"misdelivered"`
	FalseNotRun         int            `json:"falseNotRun"`
	DuplicatePayments   int            `json:"duplicatePayments"`
	CapBreaches         int            `json:"capBreaches"`
	OverloadedMoves     int            `json:"overloadedMoves"`
	CutOffByPlannedStop int            `json:"cutOffByPlannedStop"`
	MovedRequests       int            `json:"movedRequests"`
	CallerRetries       int            `json:"callerRetries"`
	RolloutMaxMs        int64          `json:"rolloutMaxMs"`
	P50Ms               float64        `json:"p50Ms"`
	P99Ms               float64        `json:"p99Ms"`
	Reasons             map[string]int `json:"reasons"`
}

// Passed reports whether every promise that the demo checks was kept.
func (r Report) Passed() bool {
	broken := r.Truncated + r.Misdelivered + r.FalseNotRun + r.DuplicatePayments +
		r.CapBreaches + r.OverloadedMoves + r.CutOffByPlannedStop
	const wholeShare = 0.99
	return broken == 0 && float64(r.Whole) > wholeShare*float64(r.Requests)
}

// run is a run under way.
type run struct {
	Options
	cluster    *loopback.Cluster
	occupancy  *occupancy
	tally      *tally
	caps       []capChange
	rolloutMax time.Duration
	// crowded is the index of the region with the month-end load, or -1.
	crowded atomic.Int32
	err     error
}

// Run runs a deployment and ends by itself.
func Run(ctx context.Context, o Options) (Report, error) {
	r := &run{Options: o, occupancy: newOccupancy(o.Deployment), tally: newTally()}
	r.cluster = &loopback.Cluster{
		Deployment: o.Deployment, WorkersPerZone: _workersZone, StoreDelay: _storeDelay, ListLag: _listLag, Log: o.Log,
		OnArrival: r.occupancy.arrive,
		Adjust: func(s *settings.Settings) {
			s.LookupTTLMs = _lookupTTLMs
			s.DrainMs = _drainMs
		},
	}
	for _, z := range o.Deployment.Zones() {
		for _, svc := range o.Deployment.Services {
			r.occupancy.addSlots(z.Region, svc.Name, _workersZone*svc.Slots)
		}
	}
	r.crowded.Store(-1)
	if o.Progress == nil {
		r.Progress = func(string) {}
	}
	if err := r.prepare(ctx); err != nil {
		return Report{}, err
	}
	r.play(ctx)
	r.Progress("stopping all entry instances")
	if err := r.cluster.Stop(); err != nil {
		return Report{}, err
	}
	if r.err != nil {
		return Report{}, r.err
	}
	return r.report(), nil
}

func (r *run) prepare(ctx context.Context) error {
	r.Progress("starting the platform, the workers and the entry instances")
	r.caps = append(r.caps, capChange{time.Now(), r.Deployment.Lists})
	return r.cluster.Start(ctx)
}

// play sends requests for Length while the events happen.
func (r *run) play(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.Length)
	defer cancel()
	var callers, events conc.WaitGroup
	r.startCallers(ctx, &callers)
	for _, e := range r.events() {
		events.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(time.Duration(e.at * float64(r.Length))):
				r.Progress(e.name)
				e.do(context.WithoutCancel(ctx))
			}
		})
	}
	callers.Wait()
	events.Wait()
}

func (r *run) startCallers(ctx context.Context, group *conc.WaitGroup) {
	services := make([]string, len(r.Deployment.Services))
	for i, svc := range r.Deployment.Services {
		services[i] = svc.Name
	}
	var bootstrap []string
	for _, n := range r.cluster.EntryInstances {
		bootstrap = append(bootstrap, n.Settings.Callers.Listen)
	}
	seed := r.Seed
	for _, p := range r.Deployment.Lists.Plans {
		for region, c := range p.Customers {
			for i := range _callersEach {
				seed++
				caller := newCaller(c.Name, sourceIn(c.Blocks[0], i), services, bootstrap, seed, r.tally)
				caller.favourite = func() string {
					if int(r.crowded.Load()) == region {
						return r.crowdedService()
					}
					return ""
				}
				group.Go(func() { caller.run(ctx, func() time.Duration { return r.pause(region) }) })
			}
		}
	}
}

// crowdedService is the service that most of the month-end load asks for.
func (r *run) crowdedService() string {
	return r.Deployment.Services[1].Name
}

// pause is the mean time between a caller's requests: a tenth in the region
// with the month-end load.
func (r *run) pause(region int) time.Duration {
	const monthEnd = 10
	if int(r.crowded.Load()) == region {
		return _usualPause / monthEnd
	}
	return _usualPause
}

// event is something that happens at a share of the length.
type event struct {
	at   float64
	name string
	do   func(ctx context.Context)
}

func (r *run) events() []event {
	zones := r.Deployment.Zones()
	stopped, killed := r.cluster.InstanceIn(zones[0].Name), r.cluster.InstanceIn(zones[2].Name)
	return []event{
		{0.10, "a worker begins to leave", r.leaveWorker},
		{0.15, "the lists are edited: the first plan may shift more", func(ctx context.Context) { r.edit(ctx, 3, 2) }},
		{0.20, "month-end load in region " + r.Deployment.Regions[0].Name, func(context.Context) { r.crowded.Store(0) }},
		{0.40, "the month-end load ends", func(context.Context) { r.crowded.Store(-1) }},
		{0.45, "entry instance " + stopped.Settings.Instance + " stops gracefully", func(context.Context) {
			r.tally.plan(stopped.Settings.Callers.Listen, time.Now())
			stopped.BeginShutdown()
		}},
		{0.55, "the store goes down", func(context.Context) {
			r.cluster.Platform.SetBehaviour(standin.Behaviour{Mode: standin.Down})
		}},
		{0.65, "the store is back", func(context.Context) {
			r.cluster.Platform.SetBehaviour(standin.Behaviour{Mode: standin.OK})
		}},
		{0.75, "entry instance " + killed.Settings.Instance + " is killed", func(context.Context) { killed.Kill() }},
		{0.85, "the lists are edited: the first plan may shift less", func(ctx context.Context) { r.edit(ctx, 1, 2) }},
	}
}

func (r *run) leaveWorker(ctx context.Context) {
	w := r.cluster.Workers[0]
	if err := w.Leave(ctx, min(_workerLinger, r.Length/2)); err != nil && r.err == nil {
		r.err = errors.Wrap(err, "worker left")
	}
}

// edit sets the shift cap of the first plan to a part of its first one, and
// measures the time until all live instances have it in force.
func (r *run) edit(ctx context.Context, numerator, denominator int) {
	ctx, cancel := context.WithTimeout(ctx, _rolloutTime)
	defer cancel()
	lists := plan.Lists{Plans: append([]plan.Plan(nil), r.Deployment.Lists.Plans...)}
	lists.Allowances = r.Deployment.Lists.Allowances
	lists.Plans[0].ShiftSlots = lists.Plans[0].ShiftSlots * numerator / denominator
	head, err := r.cluster.Editor().Apply(ctx, lists)
	if err != nil {
		r.err = errors.Wrap(err, "edit lists")
		return
	}
	accepted := time.Now()
	r.caps = append(r.caps, capChange{accepted, lists})
	after, err := r.cluster.WaitVersion(ctx, head.Version)
	if err != nil {
		r.err = err
		return
	}
	for _, d := range after {
		r.rolloutMax = max(r.rolloutMax, d)
	}
}

func (r *run) report() Report {
	const (
		half    = 50
		highest = 99
		perMs   = 1000.0
	)
	o := newObserver(r.cluster, r.occupancy, r.caps, rollout.ConfirmWindow+_settleTime)
	t := r.tally
	return Report{
		Deployment: r.Deployment.Name, Requests: t.requests,
		Whole: t.outcomes[_whole], NotRun: t.outcomes["notRun"], Unknown: t.outcomes["unknown"],
		Failed:    t.outcomes["failed"],
		Truncated: t.truncated, Misdelivered: t.misdelivered,
		FalseNotRun: o.falseNotRun(t.told), DuplicatePayments: o.duplicatePayments(), CapBreaches: o.capBreaches(),
		OverloadedMoves: r.occupancy.overloaded, MovedRequests: r.occupancy.moved,
		CutOffByPlannedStop: t.cutOff, CallerRetries: t.retries, RolloutMaxMs: r.rolloutMax.Milliseconds(),
		P50Ms: float64(t.latency.ValueAtPercentile(half)) / perMs, P99Ms: float64(t.latency.ValueAtPercentile(highest)) / perMs,
		Reasons: t.reasons,
	}
}

// sourceIn returns an address in a block such as 127.10.0.0/24.
func sourceIn(block string, i int) string {
	var a, b, c int
	_, _ = fmt.Sscanf(block, "%d.%d.%d.", &a, &b, &c)
	return fmt.Sprintf("%d.%d.%d.%d", a, b, c, 1+i%_blockHosts)
}
