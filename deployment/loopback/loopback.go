// Package loopback runs a deployment over loopback sockets in this process:
// stand-ins for the platform and the workers, and real entry instances.
//
// The demo, the measurements and the tests use it.
//
// # Usage
//
//	c := &loopback.Cluster{Deployment: d, WorkersPerZone: 2, Log: log}
//	err := c.Start(ctx)
//	defer c.Stop()
//	address := c.EntryInstances[0].Settings.Callers.Listen
package loopback

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/deployment"
	"github.com/wigeonlock/wigeonlock/discovery"
	discoveryhttp "github.com/wigeonlock/wigeonlock/discovery/http"
	"github.com/wigeonlock/wigeonlock/instance"
	"github.com/wigeonlock/wigeonlock/kernel"
	"github.com/wigeonlock/wigeonlock/rollout"
	"github.com/wigeonlock/wigeonlock/settings"
	"github.com/wigeonlock/wigeonlock/standin"
	storehttp "github.com/wigeonlock/wigeonlock/store/http"
)

const (
	_anyPort      = "127.0.0.1:0"
	_pollInterval = 5 * time.Millisecond
	_readyTimeout = 20 * time.Second
)

// Cluster is a deployment that runs in this process. The exported fields up to and
// including Log must be set before Start.
type Cluster struct {
	Deployment deployment.Deployment
	// WorkersPerZone is the number of workers of each service in each zone.
	WorkersPerZone int
	// StoreDelay is added to each store call.
	StoreDelay time.Duration
	// ListLag is the age of the platform's list of instances.
	ListLag time.Duration
	// Adjust, if set, changes the settings of each instance before its start.
	Adjust func(*settings.Settings)
	// OnArrival, if set, is called for each request that arrives at a worker. It
	// returns the function to call when the request ends.
	OnArrival func(region, service, customer string) (ended func())
	Log       *zap.Logger

	Platform       *standin.Platform
	Workers        []*standin.Worker
	EntryInstances []*EntryInstance

	tasks conc.WaitGroup
}

// EntryInstance is an entry instance of a cluster.
type EntryInstance struct {
	*instance.Instance

	listeners *listeners
	cancel    context.CancelFunc
	done      chan struct{}
	err       error
}

// Start starts the platform, the workers and the entry instances, applies the
// deployment's lists, and waits until all instances are ready and know each other.
// It fails if that takes longer than _readyTimeout.
func (c *Cluster) Start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, _readyTimeout)
	defer cancel()
	c.Platform = &standin.Platform{ListLag: c.ListLag, Delay: c.StoreDelay}
	if err := c.Platform.Listen(_anyPort); err != nil {
		return errors.Wrap(err, "start platform")
	}
	if err := c.startWorkers(); err != nil {
		return err
	}
	if _, err := c.Editor().Apply(ctx, c.Deployment.Lists); err != nil {
		return errors.Wrap(err, "apply lists")
	}
	for _, z := range c.Deployment.Zones() {
		for i := range c.Deployment.Instances[z.Name] {
			if _, err := c.StartInstance(fmt.Sprintf("%s-%d", z.Name, i+1), z); err != nil {
				return err
			}
		}
	}
	return c.WaitReady(ctx)
}

// Editor returns an editor of the lists in the cluster's store.
func (c *Cluster) Editor() *rollout.Editor {
	return &rollout.Editor{Store: storehttp.New(c.Platform.URL()), Name: "loopback"}
}

func (c *Cluster) startWorkers() error {
	directory := &discoveryhttp.Directory{URL: c.Platform.URL()}
	for _, z := range c.Deployment.Zones() {
		for _, svc := range c.Deployment.Services {
			for i := range c.WorkersPerZone {
				if err := c.startWorker(directory, z, svc, i); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (c *Cluster) startWorker(d discovery.Directory, z deployment.Zone, svc deployment.Service, i int) error {
	w := &standin.Worker{
		Name:   fmt.Sprintf("%s-%s-%d", z.Name, svc.Name, i+1),
		Region: z.Region, Zone: z.Name, Service: svc.Name, Slots: svc.Slots, ServiceTime: svc.ServiceTime,
		Directory: d,
	}
	if c.OnArrival != nil {
		w.OnArrival = func(customer string) func() { return c.OnArrival(z.Region, svc.Name, customer) }
	}
	if err := w.Listen(_anyPort); err != nil {
		return errors.Wrapf(err, "start worker %q", w.Name)
	}
	c.Workers = append(c.Workers, w)
	return nil
}

// StartInstance starts one more entry instance and does not wait until it is ready.
func (c *Cluster) StartInstance(name string, z deployment.Zone) (*EntryInstance, error) {
	s := c.Deployment.SettingsFor(name, z)
	s.Platform.URL = c.Platform.URL()
	if c.Adjust != nil {
		c.Adjust(s)
	}
	l := newListeners()
	for _, address := range []*settings.Listener{&s.Callers, &s.Peers, &s.Admin} {
		if err := l.reserve(address); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	inst := &EntryInstance{
		Instance:  instance.New(s, instance.Options{Log: c.Log, Listen: l.listen, Seed: uint64(len(c.EntryInstances))}),
		listeners: l, cancel: cancel, done: make(chan struct{}),
	}
	c.EntryInstances = append(c.EntryInstances, inst)
	c.tasks.Go(func() {
		defer close(inst.done)
		inst.err = inst.Run(ctx)
	})
	return inst, nil
}

// WaitReady waits until all running instances are ready and know each other.
func (c *Cluster) WaitReady(ctx context.Context) error {
	live := c.Live()
	for _, inst := range live {
		for inst.Ready() != nil || !inst.KnowsLive(len(live)) {
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "instance %q is not ready", inst.Settings.Instance)
			case <-inst.done:
				return errors.Wrapf(inst.err, "instance %q ended", inst.Settings.Instance)
			case <-time.After(_pollInterval):
			}
		}
	}
	return nil
}

// WaitVersion waits until the given version of the lists, or a later one, is active on
// all running instances. It returns the time that each instance took, by its name.
func (c *Cluster) WaitVersion(ctx context.Context, version uint64) (map[string]time.Duration, error) {
	started := time.Now()
	after := make(map[string]time.Duration)
	for {
		pending := 0
		for _, inst := range c.Live() {
			if _, done := after[inst.Settings.Instance]; done {
				continue
			}
			if inst.ListsVersion() >= version {
				after[inst.Settings.Instance] = time.Since(started)
				continue
			}
			pending++
		}
		if pending == 0 {
			return after, nil
		}
		select {
		case <-ctx.Done():
			return after, errors.Wrapf(ctx.Err(), "version %d of the lists is not active on %d instances", version, pending)
		case <-time.After(_pollInterval / 5):
		}
	}
}

// Live returns the instances that are still running.
func (c *Cluster) Live() []*EntryInstance {
	var live []*EntryInstance
	for _, inst := range c.EntryInstances {
		select {
		case <-inst.done:
		default:
			live = append(live, inst)
		}
	}
	return live
}

// InstanceIn returns the first instance of a zone, or nil.
func (c *Cluster) InstanceIn(zone string) *EntryInstance {
	for _, inst := range c.EntryInstances {
		if inst.Settings.Zone == zone {
			return inst
		}
	}
	return nil
}

// WorkersOf returns the workers of a service in a zone.
func (c *Cluster) WorkersOf(zone, service string) []*standin.Worker {
	var list []*standin.Worker
	for _, w := range c.Workers {
		if w.Zone == zone && w.Service == service {
			list = append(list, w)
		}
	}
	return list
}

// Stop shuts the instances down gracefully, then stops the workers and the platform.
// It returns the error of the first instance that failed.
func (c *Cluster) Stop() error {
	for _, inst := range c.EntryInstances {
		inst.cancel()
	}
	c.tasks.Wait()
	for _, w := range c.Workers {
		_ = w.Close()
	}
	_ = c.Platform.Close()
	for _, inst := range c.EntryInstances {
		if inst.err != nil && !errors.Is(inst.err, kernel.ErrAborted) {
			return errors.Wrapf(inst.err, "instance %q", inst.Settings.Instance)
		}
	}
	return nil
}

// Abort stops everything at once, the instances as a crash would.
func (c *Cluster) Abort() {
	for _, inst := range c.EntryInstances {
		inst.Kill()
	}
	c.tasks.Wait()
	for _, w := range c.Workers {
		_ = w.Close()
	}
	_ = c.Platform.Close()
}

// BeginShutdown starts a graceful shutdown of the instance and does not wait for it.
func (e *EntryInstance) BeginShutdown() {
	e.cancel()
}

// Done returns a channel that is closed once the instance has ended.
func (e *EntryInstance) Done() <-chan struct{} {
	return e.done
}

// Err returns the error of an instance whose Done channel is closed.
func (e *EntryInstance) Err() error {
	return e.err
}

// Kill ends the instance as a crash would: its connections are reset at once.
func (e *EntryInstance) Kill() {
	e.Abort()
	e.listeners.closeAll()
}
