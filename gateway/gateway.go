// Package gateway is an entry instance on the users' platform: it takes callers,
// forwards their requests to any worker, follows the platform's store, and
// tells callers which instances there are.
//
// # Usage
//
// s := gateway.New(settings, log)
// err := s.Run(ctx) // until ctx ends; then the instance leaves gracefully
package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/catalog"
	"github.com/wigeonlock/wigeonlock/changefeed"
	"github.com/wigeonlock/wigeonlock/directory"
	"github.com/wigeonlock/wigeonlock/exchange"
	"github.com/wigeonlock/wigeonlock/forward"
	"github.com/wigeonlock/wigeonlock/frontend"
	"github.com/wigeonlock/wigeonlock/kernel"
	"github.com/wigeonlock/wigeonlock/platform"
	"github.com/wigeonlock/wigeonlock/store"
	"github.com/wigeonlock/wigeonlock/watch"
	"github.com/wigeonlock/wigeonlock/worker"
)

const (
	// _followInterval is the pause between two readings of the store. News of a
	// leaving worker has to be in force within two and a half seconds.
	_followInterval = 800 * time.Millisecond
	// _sweepInterval is how often what is over is forgotten.
	_sweepInterval = 250 * time.Millisecond
	// _maxTTL bounds the time that callers keep an answer of the directory.
	_maxTTL = 2 * time.Second
	// _leaveShare is the part of the time to stop in which requests are still
	// taken, while callers learn to go elsewhere. The platform excuses a cut
	// only for requests of the first three of its six seconds.
	_leaveShare = 0.4
	// _endShare is the part of the time to stop after which the process ends.
	_endShare = 0.9
	// Bounds on callers until the operator's are known.
	_headerBytes = 16 << 10
	_bodyBytes   = 64 << 20
	_headerTime  = 3 * time.Second
	_idleTime    = 15 * time.Second
)

// Gateway is an entry instance on the users' platform.
type Gateway struct {
	Settings *Settings
	Log      *zap.Logger

	client   *platform.Client
	pool     *exchange.Pool
	forward  *forward.Service
	front    *frontend.Server
	watcher  *watch.Watcher
	news     *changefeed.Server
	presence *presence

	mu        sync.Mutex
	directory directory.Directory
	limits    frontend.Limits
	leaving   bool
	storeLost bool
	// configuredAt is when the configuration in force came, the start before.
	configuredAt time.Time
	startedAt    time.Time
}

// New puts an instance together.
func New(s *Settings, log *zap.Logger) *Gateway {
	i := &Gateway{Settings: s, Log: log.With(zap.String("instance", s.Instance)), startedAt: time.Now()}
	i.configuredAt = i.startedAt
	i.client = platform.NewClient(s.Store.Address)
	i.pool = &exchange.Pool{HeaderNames: platform.WorkerHeaders()}
	zones := make(map[string]string, len(s.Zones))
	for _, z := range s.Zones {
		zones[z.Name] = z.Region
	}
	i.forward = &forward.Service{
		Exchange: i.pool, Instance: s.Instance, Region: s.Region, Zones: zones, Log: i.Log,
	}
	i.forward.Prepare(s.bounds())
	i.pool.OnIdleClose = i.forward.IdleConnClosed
	i.limits = frontend.Limits{
		HeaderBytes: _headerBytes, BodyBytes: _bodyBytes, HeaderTime: _headerTime, IdleTime: _idleTime,
	}
	i.front = &frontend.Server{HeaderNames: platform.CallerHeaders(), Handler: i.forward, Limits: i.currentLimits}
	i.directory.Self = directory.Member{
		Name: s.Instance, Address: s.Callers.Address(), Zone: s.Zone, Region: s.Region,
		Peers: s.Peers.Address(), Started: i.startedAt.UnixMilli(), Capacity: s.capacity(),
	}
	i.watcher = &watch.Watcher{
		Feed: i.client, Sink: &platform.Sink{Listener: i}, Interval: _followInterval, Log: i.Log,
		Instance: s.Instance, Neighbours: i.neighbours, Peers: &changefeed.Client{Instance: s.Instance},
	}
	i.news = &changefeed.Server{Source: i.watcher}
	i.presence = &presence{
		registry: i.client, member: i.directory.Self, log: i.Log, standing: i.registered, ready: i.Ready,
		woken: make(chan struct{}, 1),
	}
	i.forward.Update(func(k *forward.State) { k.Workers.Changed = i.workerChanged })
	return i
}

// Run runs the instance until ctx ends and it has left gracefully.
func (i *Gateway) Run(ctx context.Context) error {
	k := &kernel.Kernel{
		Services:    []kernel.Service{&runner{gateway: i}},
		StopTimeout: i.Settings.Stop(),
		Ready:       func() { i.Log.Info("instance started", zap.String("callers", i.Settings.Callers.Listen)) },
	}
	return k.Run(ctx)
}

// runner starts and stops the parts of a gateway.
type runner struct {
	gateway *Gateway
}

// Name returns the name of the service.
func (r *runner) Name() string { return "site" }

// Start listens and starts to follow the store.
func (r *runner) Start(_ context.Context, k *kernel.Kernel) error {
	i := r.gateway
	callers, err := net.Listen("tcp", i.Settings.Callers.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	peers, err := net.Listen("tcp", i.Settings.Peers.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for neighbours")
	}
	k.Go("news", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, i.news.Close)
		defer stop()
		return i.news.Serve(peers)
	})
	k.Go("front", func(context.Context) error { return i.front.Serve(callers) })
	k.Go("follow", i.watcher.Run)
	k.Go("presence", i.presence.run)
	k.Go("sweep", func(ctx context.Context) error { return kernel.Every(ctx, _sweepInterval, i.sweep) })
	servers := []struct {
		address string
		handler http.Handler
	}{
		{i.Settings.Readiness.Listen, i.readiness()},
		{i.Settings.Directory.Listen, i.resolver()},
	}
	for _, s := range servers {
		if err := serve(k, s.address, s.handler); err != nil {
			return err
		}
	}
	if address := i.Settings.Admin.Listen; address != "" {
		// Its port is fixed while the others change: another may have it.
		if err := serve(k, address, i.admin()); err != nil {
			i.Log.Warn("metrics are not served", zap.Error(err))
		}
	}
	return nil
}

// serve serves HTTP on an address until the kernel stops.
func serve(k *kernel.Kernel, address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: _headerTime, IdleTimeout: _idleTime}
	k.Go("http", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// Stop leaves gracefully: callers are told to go elsewhere, requests that
// still come are served for a while, and what was taken is answered.
func (r *runner) Stop(ctx context.Context) error {
	i := r.gateway
	started := time.Now()
	i.Log.Info("instance leaves")
	i.mu.Lock()
	i.leaving = true
	i.directory.Serving = false
	i.mu.Unlock()
	i.front.DisableKeepAlive()
	i.presence.leave(ctx)
	total := i.Settings.Stop().Seconds()
	wait(ctx, started.Add(seconds(total*_leaveShare)))
	endCtx, cancel := context.WithDeadline(ctx, started.Add(seconds(total*_endShare)))
	defer cancel()
	i.front.Shutdown(endCtx)
	i.Log.Info("instance stopped", zap.Duration("took", time.Since(started)))
	return nil
}

func wait(ctx context.Context, until time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(until)):
	}
}

// Ready tells why the instance takes no callers, or nil.
func (i *Gateway) Ready() error {
	i.mu.Lock()
	leaving := i.leaving
	i.mu.Unlock()
	if leaving {
		return errLeaving
	}
	return i.forward.Ready()
}

var errLeaving = errors.New("the instance is leaving")

func (i *Gateway) currentLimits() frontend.Limits {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.limits
}

// neighbours returns the instances that may read the store for each other.
func (i *Gateway) neighbours() []watch.Neighbour {
	i.mu.Lock()
	defer i.mu.Unlock()
	members := i.directory.Neighbours()
	list := make([]watch.Neighbour, 0, len(members))
	for _, m := range members {
		list = append(list, watch.Neighbour{Name: m.Name, Address: m.Peers})
	}
	return list
}

func (i *Gateway) registered() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.directory.Registered()
}

func (i *Gateway) sweep(now time.Time) {
	i.forward.Sweep(now)
	i.pool.Sweep(now)
	ready := i.Ready() == nil
	i.mu.Lock()
	defer i.mu.Unlock()
	i.directory.Sweep(now)
	if ready && !i.directory.Serving {
		i.presence.wake()
	}
	i.directory.Serving = ready
}

// Catalog takes a version of routes and services. Only a higher one counts.
func (i *Gateway) Catalog(_ time.Time, c *catalog.Catalog) {
	newer := false
	i.forward.Update(func(k *forward.State) {
		if k.Catalog == nil || c.Version > k.Catalog.Version {
			k.Catalog, newer = c, true
		}
	})
	if !newer {
		return
	}
	i.mu.Lock()
	i.limits, i.configuredAt = frontend.Limits(c.Limits), time.Now()
	i.mu.Unlock()
	i.Log.Info("configuration in force", zap.Uint64("version", uint64(c.Version)), zap.Int("routes", c.Routes()))
}

// ZoneClosed tells that a zone is to get nothing new, or may again.
func (i *Gateway) ZoneClosed(now time.Time, zone string, closed bool) {
	i.forward.Update(func(k *forward.State) {
		if k.Closed[zone] && !closed {
			k.Workers.MarkCold(now, zone, func(service string) time.Duration {
				if k.Catalog == nil {
					return 0
				}
				return k.Catalog.Service(service).ColdTime
			})
		}
		k.Closed[zone] = closed
	})
	i.Log.Info("zone", zap.String("zone", zone), zap.Bool("closed", closed))
}

// Worker takes what a worker says of itself.
func (i *Gateway) Worker(now time.Time, e worker.Entry, revision store.Revision) (news bool) {
	i.forward.Update(func(k *forward.State) { news = k.Workers.Put(now, e, revision) })
	return news
}

// WorkerRemoved tells that a worker's entry is gone.
func (i *Gateway) WorkerRemoved(_ time.Time, id string, revision store.Revision, lapse time.Time) {
	i.forward.Update(func(k *forward.State) { k.Workers.MarkMissing(id, revision, lapse) })
}

func (i *Gateway) workerChanged(w *worker.Worker, what string) {
	i.Log.Info("worker "+what, zap.String("worker", w.ID), zap.String("service", w.Service),
		zap.String("address", w.Address), zap.String("zone", w.Zone), zap.Uint64("revision", uint64(w.Revision)))
	if what == "gone" {
		i.pool.Drop(w.Address)
	}
}

// ProductKey takes a key of the product's own: the registration of an instance.
func (i *Gateway) ProductKey(_ time.Time, key string, value []byte, lapse time.Time) {
	name, ok := instanceOf(key)
	if !ok {
		return
	}
	i.mu.Lock()
	if value == nil {
		i.directory.Delete(name, lapse)
	} else if m, err := decodeMember(value); err == nil && m.Name == name {
		i.directory.Put(m)
	}
	names, most := i.directory.Names(), i.directory.PeakInstances()
	sharers := min(len(i.directory.Neighbours()), directory.MaxPerRegion)
	i.mu.Unlock()
	i.forward.Update(func(k *forward.State) {
		k.Instances, k.PeakInstances, k.Neighbours = names, max(k.PeakInstances, most), sharers
	})
	i.Log.Info("instance known", zap.String("name", name), zap.Bool("gone", value == nil), zap.Int("instances", len(names)),
		zap.Int("shareRetriesBy", most), zap.Int("shareRegionBy", sharers))
	i.presence.wake()
}

// Undecodable takes what cannot be read.
func (i *Gateway) Undecodable(key string, err error) {
	_bad.Inc()
	i.Log.Warn("entry of the store cannot be read", zap.String("key", key), zap.String("error", err.Error()))
}

// StoreRead tells that the store was read.
func (i *Gateway) StoreRead(_ time.Time, revision store.Revision) {
	i.mu.Lock()
	was := i.storeLost
	i.storeLost = false
	i.mu.Unlock()
	if was {
		i.Log.Info("store is back", zap.Uint64("revision", uint64(revision)))
		i.presence.wake()
	}
}

// StoreLost tells that the store could not be read.
func (i *Gateway) StoreLost(_ time.Time, err error) {
	i.mu.Lock()
	was := i.storeLost
	i.storeLost = true
	i.mu.Unlock()
	if !was {
		i.Log.Warn("store cannot be read", zap.String("error", err.Error()))
	}
}

var _bad = metrics.NewCounter("wigeonlock_unreadable_entries_total")
