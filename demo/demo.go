// Package demo runs a deployment in one process over real loopback sockets,
// with a month-end load and planned and unplanned events, and reports what
// callers and workers observed.
//
// The counts come from the callers and from the records of the workers, not from
// the code under test.
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
	_rolloutTimeout     = 10 * time.Second
	_workerLinger       = 3 * time.Second
	_callersPerCustomer = 40
	_meanPause          = 400 * time.Millisecond
	_capSettleTime      = 12 * time.Second
	_maxBlockHosts      = 200
	_storeDelay         = 2 * time.Millisecond
	_listLag            = 500 * time.Millisecond
	_workersPerZone     = 2
	_lookupTTLMs        = 400
	_drainMs            = 8000
)

// Options are the parameters of a run.
type Options struct {
	Deployment deployment.Deployment
	// Length is the time for which callers send requests.
	Length time.Duration
	// Seed is the seed of the callers' random choices.
	Seed uint64
	Log  *zap.Logger
	// Progress, if set, is called with the name of each event.
	Progress func(event string)
}

// Report holds the counts and latencies of a run, as callers and workers observed them.
type Report struct {
	Deployment             string         `json:"deployment"`
	Requests               int            `json:"requests"`
	Complete               int            `json:"whole"`
	NotRun                 int            `json:"notRun"`
	Unknown                int            `json:"unknown"`
	Failed                 int            `json:"failed"`
	Truncated              int            `json:"truncated"`
	Misdelivered           int            `json:"misdelivered"`
	FalseNotRun            int            `json:"falseNotRun"`
	DuplicatePayments      int            `json:"duplicatePayments"`
	CapBreaches            int            `json:"capBreaches"`
	OverloadedMoves        int            `json:"overloadedMoves"`
	PlannedStopDisconnects int            `json:"cutOffByPlannedStop"`
	MovedRequests          int            `json:"movedRequests"`
	CallerRetries          int            `json:"callerRetries"`
	RolloutMaxMs           int64          `json:"rolloutMaxMs"`
	P50Ms                  float64        `json:"p50Ms"`
	P99Ms                  float64        `json:"p99Ms"`
	Reasons                map[string]int `json:"reasons"`
}

// Passed reports whether no check of the demo failed and more than 99% of the requests
// got a complete answer.
func (r Report) Passed() bool {
	violations := r.Truncated + r.Misdelivered + r.FalseNotRun + r.DuplicatePayments +
		r.CapBreaches + r.OverloadedMoves + r.PlannedStopDisconnects
	const minCompleteShare = 0.99
	return violations == 0 && float64(r.Complete) > minCompleteShare*float64(r.Requests)
}

// run is the state of a run in progress.
type run struct {
	Options
	cluster    *loopback.Cluster
	occupancy  *occupancy
	tally      *tally
	caps       []capChange
	rolloutMax time.Duration
	// peakRegion is the index of the region with the month-end load, or -1.
	peakRegion atomic.Int32
	err        error
}

// Run starts a deployment, sends requests for Length while events happen, stops the
// deployment and returns the report.
func Run(ctx context.Context, o Options) (Report, error) {
	r := &run{Options: o, occupancy: newOccupancy(o.Deployment), tally: newTally()}
	r.cluster = &loopback.Cluster{
		Deployment: o.Deployment, WorkersPerZone: _workersPerZone, StoreDelay: _storeDelay, ListLag: _listLag, Log: o.Log,
		OnArrival: r.occupancy.recordArrival,
		Adjust: func(s *settings.Settings) {
			s.LookupTTLMs = _lookupTTLMs
			s.DrainMs = _drainMs
		},
	}
	for _, z := range o.Deployment.Zones() {
		for _, svc := range o.Deployment.Services {
			r.occupancy.addSlots(z.Region, svc.Name, _workersPerZone*svc.Slots)
		}
	}
	r.peakRegion.Store(-1)
	if o.Progress == nil {
		r.Progress = func(string) {}
	}
	if err := r.prepare(ctx); err != nil {
		return Report{}, err
	}
	r.generateLoad(ctx)
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

// generateLoad runs the callers and the events for Length.
func (r *run) generateLoad(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.Length)
	defer cancel()
	var callers, events conc.WaitGroup
	r.startCallers(ctx, &callers)
	for _, e := range r.events() {
		events.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(time.Duration(e.atShare * float64(r.Length))):
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
	for _, inst := range r.cluster.EntryInstances {
		bootstrap = append(bootstrap, inst.Settings.Callers.Listen)
	}
	seed := r.Seed
	for _, p := range r.Deployment.Lists.Plans {
		for region, c := range p.Customers {
			for i := range _callersPerCustomer {
				seed++
				caller := newCaller(c.Name, sourceIn(c.Blocks[0], i), services, bootstrap, seed, r.tally)
				caller.hotService = func() string {
					if int(r.peakRegion.Load()) == region {
						return r.peakService()
					}
					return ""
				}
				group.Go(func() { caller.run(ctx, func() time.Duration { return r.pause(region) }) })
			}
		}
	}
}

// peakService returns the service that most of the month-end load goes to.
func (r *run) peakService() string {
	return r.Deployment.Services[1].Name
}

// pause returns the mean time between a caller's requests: a tenth of _meanPause in
// the region with the month-end load.
func (r *run) pause(region int) time.Duration {
	const peakFactor = 10
	if int(r.peakRegion.Load()) == region {
		return _meanPause / peakFactor
	}
	return _meanPause
}

// event is an action that is due when the given share of Length has passed.
type event struct {
	atShare float64
	name    string
	do      func(ctx context.Context)
}

func (r *run) events() []event {
	zones := r.Deployment.Zones()
	stopped, killed := r.cluster.InstanceIn(zones[0].Name), r.cluster.InstanceIn(zones[2].Name)
	return []event{
		{0.10, "a worker begins to leave", r.removeWorker},
		{0.15, "the lists are edited: the first plan may shift more", func(ctx context.Context) { r.editShiftCap(ctx, 3, 2) }},
		{0.20, "month-end load in region " + r.Deployment.Regions[0].Name, func(context.Context) { r.peakRegion.Store(0) }},
		{0.40, "the month-end load ends", func(context.Context) { r.peakRegion.Store(-1) }},
		{0.45, "entry instance " + stopped.Settings.Instance + " stops gracefully", func(context.Context) {
			r.tally.recordPlannedStop(stopped.Settings.Callers.Listen, time.Now())
			stopped.BeginShutdown()
		}},
		{0.55, "the store goes down", func(context.Context) {
			r.cluster.Platform.SetBehaviour(standin.Behaviour{Mode: standin.Down})
		}},
		{0.65, "the store is back", func(context.Context) {
			r.cluster.Platform.SetBehaviour(standin.Behaviour{Mode: standin.OK})
		}},
		{0.75, "entry instance " + killed.Settings.Instance + " is killed", func(context.Context) { killed.Kill() }},
		{0.85, "the lists are edited: the first plan may shift less", func(ctx context.Context) { r.editShiftCap(ctx, 1, 2) }},
	}
}

func (r *run) removeWorker(ctx context.Context) {
	w := r.cluster.Workers[0]
	if err := w.Leave(ctx, min(_workerLinger, r.Length/2)); err != nil && r.err == nil {
		r.err = errors.Wrap(err, "shut down worker")
	}
}

// editShiftCap sets the shift cap of the first plan to numerator/denominator of its
// initial value and measures the time until the edit is active on all live instances.
func (r *run) editShiftCap(ctx context.Context, numerator, denominator int) {
	ctx, cancel := context.WithTimeout(ctx, _rolloutTimeout)
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
		median = 50
		tail   = 99
		perMs  = 1000.0
	)
	o := newObserver(r.cluster, r.occupancy, r.caps, rollout.ConfirmWindow+_capSettleTime)
	t := r.tally
	return Report{
		Deployment: r.Deployment.Name, Requests: t.requests,
		Complete: t.outcomes[_complete], NotRun: t.outcomes["notRun"], Unknown: t.outcomes["unknown"],
		Failed:    t.outcomes["failed"],
		Truncated: t.truncated, Misdelivered: t.misdelivered,
		FalseNotRun: o.falseNotRun(t.reported), DuplicatePayments: o.duplicatePayments(), CapBreaches: o.capBreaches(),
		OverloadedMoves: r.occupancy.overloaded, MovedRequests: r.occupancy.moved,
		PlannedStopDisconnects: t.disconnected, CallerRetries: t.retries, RolloutMaxMs: r.rolloutMax.Milliseconds(),
		P50Ms: float64(t.latency.ValueAtPercentile(median)) / perMs, P99Ms: float64(t.latency.ValueAtPercentile(tail)) / perMs,
		Reasons: t.reasons,
	}
}

// sourceIn returns an address in a block such as 127.10.0.0/24.
func sourceIn(block string, i int) string {
	var a, b, c int
	_, _ = fmt.Sscanf(block, "%d.%d.%d.", &a, &b, &c)
	return fmt.Sprintf("%d.%d.%d.%d", a, b, c, 1+i%_maxBlockHosts)
}
