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
	_rolloutStoreDelay = 35 * time.Millisecond
	_rolloutEdits      = 20
	_slowStoreDelayMs  = 1000
	_rolloutTimeout    = 20 * time.Second
	_idleTime          = 10 * time.Second
	_pollingEdits      = 6
	_pollingInterval   = rollout.WatchWait
)

// RolloutResult is the time until accepted edits are active.
type RolloutResult struct {
	Runs []RolloutRun `json:"runs"`
}

// RolloutRun is one strategy in one deployment.
type RolloutRun struct {
	Deployment string `json:"deployment"`
	// Strategy is watch, watchSlowStore, or polling with as many calls as watches
	// make.
	Strategy  string  `json:"way"`
	Instances int     `json:"instances"`
	Edits     int     `json:"edits"`
	P50Ms     float64 `json:"p50Ms"`
	P99Ms     float64 `json:"p99Ms"`
	// Reverts counts instances that returned to an older version after an edit was
	// active.
	Reverts int `json:"reverts"`
	// IdleStoreCalls is the store calls per instance and second without edits.
	IdleStoreCalls float64 `json:"storeCallsPerInstanceSecond"`
}

// Rollout measures the time from an accepted edit until it is active on each
// instance, for both deployments.
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
		Deployment: d, WorkersPerZone: 1, StoreDelay: _rolloutStoreDelay, ListLag: time.Second, Log: zap.NewNop(),
		Adjust: func(s *settings.Settings) { s.LookupTTLMs = 200 },
	}
	o.progress(d.Name + ": starting")
	if err := c.Start(ctx); err != nil {
		return nil, err
	}
	defer c.Abort()
	calls := idleStoreCalls(c)
	watch := RolloutRun{Deployment: d.Name, Strategy: "watch", Instances: len(c.EntryInstances), IdleStoreCalls: calls}
	o.progress(d.Name + ": editing")
	if err := watch.edit(ctx, c, _rolloutEdits); err != nil {
		return nil, err
	}
	o.progress(d.Name + ": editing with the store slow by 1 s")
	slow := RolloutRun{Deployment: d.Name, Strategy: "watchSlowStore", Instances: len(c.EntryInstances), IdleStoreCalls: calls}
	c.Platform.SetBehaviour(standin.Behaviour{Mode: standin.Slow, DelayMs: _slowStoreDelayMs})
	if err := slow.edit(ctx, c, 2); err != nil {
		return nil, err
	}
	c.Platform.SetBehaviour(standin.Behaviour{Mode: standin.OK})
	o.progress(d.Name + ": polling")
	polling := RolloutRun{Deployment: d.Name, Strategy: "polling", Instances: len(c.EntryInstances), IdleStoreCalls: 1 / _pollingInterval.Seconds()}
	err := polling.poll(ctx, c)
	return []RolloutRun{watch, slow, polling}, err
}

func idleStoreCalls(c *loopback.Cluster) float64 {
	time.Sleep(time.Second)
	before, _ := c.Platform.Calls()
	time.Sleep(_idleTime)
	after, _ := c.Platform.Calls()
	return float64(after-before) / _idleTime.Seconds() / float64(len(c.EntryInstances))
}

// edit makes edits one after the other and waits until each is active.
func (r *RolloutRun) edit(ctx context.Context, c *loopback.Cluster, edits int) error {
	l := newLatencies()
	for i := range edits {
		head, err := c.Editor().Apply(ctx, changedLists(c, i))
		if err != nil {
			return err
		}
		waitCtx, cancel := context.WithTimeout(ctx, _rolloutTimeout)
		after, err := c.WaitVersion(waitCtx, head.Version)
		cancel()
		if err != nil {
			return err
		}
		for _, d := range after {
			l.add(d)
		}
		for _, inst := range c.Live() {
			if inst.ListsVersion() < head.Version {
				r.Reverts++
			}
		}
	}
	r.Edits = edits
	r.P50Ms, r.P99Ms = l.percentileMs(_p50), l.percentileMs(_p99)
	return nil
}

func changedLists(c *loopback.Cluster, i int) plan.Lists {
	lists := c.Deployment.Lists
	lists.Plans = append([]plan.Plan(nil), lists.Plans...)
	lists.Plans[0].ShiftSlots = 10 + i
	return lists
}

// poll measures polling: each instance has a poller that reads the head once per
// rollout.WatchWait.
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
				case <-time.After(_pollingInterval):
				}
			}
		})
	}
	for i := range _pollingEdits {
		head, err := c.Editor().Apply(ctx, changedLists(c, 100+i))
		if err != nil {
			return err
		}
		accepted := time.Now()
		seen := make([]bool, r.Instances)
		for remaining := r.Instances; remaining > 0 && time.Since(accepted) < _rolloutTimeout; time.Sleep(time.Millisecond) {
			mu.Lock()
			for j, v := range known {
				if !seen[j] && v >= head.Version {
					seen[j] = true
					remaining--
					l.add(time.Since(accepted))
				}
			}
			mu.Unlock()
		}
	}
	cancel()
	group.Wait()
	r.Edits = _pollingEdits
	r.P50Ms, r.P99Ms = l.percentileMs(_p50), l.percentileMs(_p99)
	return nil
}
