package measure

import (
	"context"
	"sync"
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
	storehttp "github.com/wigeonlock/wigeonlock/store/http"
)

const (
	_rolloutDelay  = 35 * time.Millisecond
	_rolloutEdits  = 20
	_rolloutSlow   = 1000
	_rolloutLimit  = 20 * time.Second
	_restTime      = 10 * time.Second
	_pollingEdits  = 6
	_pollingPeriod = rollout.WatchWait
)

// RolloutResult is how fast accepted edits come into force.
type RolloutResult struct {
	Runs []RolloutRun `json:"runs"`
}

// RolloutRun is one deployment, or the naive way.
type RolloutRun struct {
	Deployment string `json:"deployment"`
	// Way is watch, watchSlowStore, or polling with as many calls as watches make.
	Way       string  `json:"way"`
	Instances int     `json:"instances"`
	Edits     int     `json:"edits"`
	P50Ms     float64 `json:"p50Ms"`
	P99Ms     float64 `json:"p99Ms"`
	// Reverts counts versions that came into force after a newer one.
	Reverts int `json:"reverts"`
	// CallsAtRest are the store's calls per instance and second without edits.
	CallsAtRest float64 `json:"storeCallsPerInstanceSecond"`
}

// Rollout measures the time from an accepted edit until it is in force on each
// instance of both deployments.
func Rollout(ctx context.Context, o Options) (RolloutResult, error) {
	var r RolloutResult
	for _, name := range deployment.Names() {
		d, _ := deployment.Find(name)
		runs, err := rolloutRuns(ctx, o, d)
		if err != nil {
			return r, errors.Wrap(err, name)
		}
		r.Runs = append(r.Runs, runs...)
	}
	return r, nil
}

func rolloutRuns(ctx context.Context, o Options, d deployment.Deployment) ([]RolloutRun, error) {
	c := &loopback.Cluster{
		Deployment: d, WorkersPerZone: 1, StoreDelay: _rolloutDelay, ListLag: time.Second, Log: zap.NewNop(),
		Adjust: func(s *settings.Settings) { s.LookupTTLMs = 200 },
	}
	o.progress(d.Name + ": starting")
	if err := c.Start(ctx); err != nil {
		return nil, err
	}
	defer c.Abort()
	calls := callsAtRest(c)
	watch := RolloutRun{Deployment: d.Name, Way: "watch", Instances: len(c.EntryInstances), CallsAtRest: calls}
	o.progress(d.Name + ": editing")
	if err := watch.edit(ctx, c, _rolloutEdits); err != nil {
		return nil, err
	}
	o.progress(d.Name + ": editing with the store slow by 1 s")
	slow := RolloutRun{Deployment: d.Name, Way: "watchSlowStore", Instances: len(c.EntryInstances), CallsAtRest: calls}
	c.Platform.SetBehaviour(standin.Behaviour{Mode: standin.Slow, DelayMs: _rolloutSlow})
	if err := slow.edit(ctx, c, 2); err != nil {
		return nil, err
	}
	c.Platform.SetBehaviour(standin.Behaviour{Mode: standin.OK})
	o.progress(d.Name + ": polling")
	polling := RolloutRun{Deployment: d.Name, Way: "polling", Instances: len(c.EntryInstances), CallsAtRest: 1 / _pollingPeriod.Seconds()}
	err := polling.poll(ctx, c)
	return []RolloutRun{watch, slow, polling}, err
}

func callsAtRest(c *loopback.Cluster) float64 {
	time.Sleep(time.Second)
	before, _ := c.Platform.Calls()
	time.Sleep(_restTime)
	after, _ := c.Platform.Calls()
	return float64(after-before) / _restTime.Seconds() / float64(len(c.EntryInstances))
}

// edit makes edits one after the other and waits for each.
func (r *RolloutRun) edit(ctx context.Context, c *loopback.Cluster, edits int) error {
	l := newLatencies()
	for i := range edits {
		head, err := c.Editor().Apply(ctx, changed(c, i))
		if err != nil {
			return err
		}
		waitCtx, cancel := context.WithTimeout(ctx, _rolloutLimit)
		after, err := c.WaitVersion(waitCtx, head.Version)
		cancel()
		if err != nil {
			return err
		}
		for _, d := range after {
			l.add(d)
		}
		for _, n := range c.Live() {
			if n.ListsVersion() < head.Version {
				r.Reverts++
			}
		}
	}
	r.Edits = edits
	r.P50Ms, r.P99Ms = l.quantile(_half), l.quantile(_ninetyNine)
	return nil
}

func changed(c *loopback.Cluster, i int) plan.Lists {
	lists := c.Deployment.Lists
	lists.Plans = append([]plan.Plan(nil), lists.Plans...)
	lists.Plans[0].ShiftSlots = 10 + i
	return lists
}

// poll measures the naive way: as many pollers as instances, each of which
// reads the head once a watch's wait.
func (r *RolloutRun) poll(ctx context.Context, c *loopback.Cluster) error {
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var (
		mu     sync.Mutex
		known  = make([]uint64, r.Instances)
		group  conc.WaitGroup
		l      = newLatencies()
		reader = storehttp.New(c.Platform.URL())
	)
	for i := range r.Instances {
		group.Go(func() {
			for pollCtx.Err() == nil {
				if head, _, err := rollout.ReadHead(pollCtx, reader); err == nil {
					mu.Lock()
					known[i] = head.Version
					mu.Unlock()
				}
				select {
				case <-pollCtx.Done():
				case <-time.After(_pollingPeriod):
				}
			}
		})
	}
	for i := range _pollingEdits {
		head, err := c.Editor().Apply(ctx, changed(c, 100+i))
		if err != nil {
			return err
		}
		accepted := time.Now()
		seen := make([]bool, r.Instances)
		for open := r.Instances; open > 0 && time.Since(accepted) < _rolloutLimit; time.Sleep(time.Millisecond) {
			mu.Lock()
			for j, v := range known {
				if !seen[j] && v >= head.Version {
					seen[j] = true
					open--
					l.add(time.Since(accepted))
				}
			}
			mu.Unlock()
		}
	}
	cancel()
	group.Wait()
	r.Edits = _pollingEdits
	r.P50Ms, r.P99Ms = l.quantile(_half), l.quantile(_ninetyNine)
	return nil
}
