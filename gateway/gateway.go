// Package gateway runs an entry instance on the users' platform: it serves callers,
// forwards their requests to workers, watches the platform's store, and answers
// callers' queries for the addresses of instances.
//
// # Usage
//
//	s := gateway.New(settings, log)
//	err := s.Run(ctx) // until ctx ends; then the instance shuts down gracefully
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
	"github.com/wigeonlock/wigeonlock/movefeed"
	"github.com/wigeonlock/wigeonlock/permit"
	"github.com/wigeonlock/wigeonlock/permitfeed"
	"github.com/wigeonlock/wigeonlock/platform"
	"github.com/wigeonlock/wigeonlock/socket"
	"github.com/wigeonlock/wigeonlock/store"
	"github.com/wigeonlock/wigeonlock/suspect"
	"github.com/wigeonlock/wigeonlock/watch"
	"github.com/wigeonlock/wigeonlock/worker"
)

const (
	// _watchInterval is the pause between two reads of the store. A change of a
	// worker to leaving must take effect within 2.5 seconds.
	_watchInterval = 800 * time.Millisecond
	// _sweepInterval is how often expired state is removed.
	_sweepInterval = 250 * time.Millisecond
	// _maxDirectoryTTL is the longest time for which callers may cache an answer of
	// the directory.
	_maxDirectoryTTL = 2 * time.Second
	// _drainShare is the fraction of the stop timeout during which requests are
	// still accepted, while callers move to other instances. The platform excuses
	// truncated answers only for requests that arrive in the first three of its six
	// seconds.
	_drainShare = 0.4
	// _maxDrainTime is the longest time of the same: later requests are not excused however
	// long the stop may take.
	_maxDrainTime = 2800 * time.Millisecond
	// _stopShare is the fraction of the stop timeout after which the instance no
	// longer waits for pending requests.
	_stopShare = 0.9
	// _bodyShare is the part of the memory that large bodies of answers may take while
	// they are read.
	_bodyShare = 0.25
	// _controlDescriptors is the number of descriptors that are kept for files, the store,
	// other instances and look-ups; of the rest, callers and workers get a share each.
	_controlDescriptors = 300
	_callerShare        = 0.55
	_workerShare        = 0.4
	// Limits on callers until a configuration is received; sizes are in bytes.
	_headerBytes   = 16 << 10
	_bodyBytes     = 64 << 20
	_headerTimeout = 3 * time.Second
	_idleTimeout   = 15 * time.Second
)

// Gateway is an entry instance. It implements platform.Listener.
type Gateway struct {
	Settings *Settings
	Log      *zap.Logger

	client       *platform.Client
	pool         *exchange.Pool
	forward      *forward.Service
	frontend     *frontend.Server
	watcher      *watch.Watcher
	changefeed   *changefeed.Server
	movefeed     *movefeed.Feed
	permitfeed   *permitfeed.Feed
	registration *registration

	mu               sync.Mutex
	directory        directory.Directory
	limits           frontend.Limits
	leaving          bool
	storeUnreachable bool
	// configuredAt is when the active configuration was received, or the start.
	configuredAt time.Time
	startedAt    time.Time
}

// New returns an instance with the given settings. It does not start it.
func New(s *Settings, log *zap.Logger) *Gateway {
	g := &Gateway{Settings: s, Log: log.With(zap.String("instance", s.Instance)), startedAt: time.Now()}
	g.configuredAt = g.startedAt
	g.client = platform.NewClient(s.Store.Address)
	g.client.Restored = g.storeRestored
	g.pool = &exchange.Pool{HeaderNames: platform.WorkerHeaders(), BodyBudget: int64(float64(s.MemoryMb) * _bodyShare * (1 << 20))}
	zones := make(map[string]string, len(s.Zones))
	for _, z := range s.Zones {
		zones[z.Name] = z.Region
	}
	g.movefeed, g.permitfeed = movefeed.New(), permitfeed.New()
	permits := &permit.Book{Self: s.Instance, RegionOf: func(zone string) string { return zones[zone] }, Members: g.issuers, Send: g.permitfeed.Send}
	g.permitfeed.Listen, g.permitfeed.Book, g.permitfeed.Log = s.Permits.Listen, permits, g.Log
	g.permitfeed.Neighbours = func() []string {
		return g.servingNeighbours(func(m directory.Member) string { return m.Permits })
	}
	g.forward = &forward.Service{
		Exchange: g.pool, Instance: s.Instance, Region: s.Region, Zones: zones, Log: g.Log, Moved: g.movefeed.Tell, Left: g.permitfeed.TellLeaving,
		Permits: permits, HasEnded: g.pool.HasEnded, TellSuspects: g.permitfeed.TellSuspects, Suspects: &suspect.Book{Tries: g.tries},
	}
	g.permitfeed.Fleet = g.fleet
	g.permitfeed.Workers = g.forward
	g.movefeed.Listen = s.Peers.Listen
	g.movefeed.Neighbours = func() []string {
		return g.servingNeighbours(func(m directory.Member) string { return m.Peers })
	}
	g.movefeed.Moves, g.movefeed.Log = g.forward, g.Log
	g.forward.Prepare(s.sharedLimits())
	g.pool.OnIdleClose = g.forward.IdleConnClosed
	g.limits = frontend.Limits{
		HeaderBytes: _headerBytes, BodyBytes: _bodyBytes, HeaderTime: _headerTimeout, IdleTime: _idleTimeout,
	}
	g.frontend = &frontend.Server{HeaderNames: platform.CallerHeaders(), Handler: g.forward, Limits: g.currentLimits, Log: g.Log}
	g.limitConnections(socket.DescriptorLimit())
	g.directory.Self = directory.Member{
		Name: s.Instance, Address: s.Callers.Address(), Zone: s.Zone, Region: s.Region,
		Peers: s.Peers.Address(), Permits: s.Permits.Address(), Started: g.startedAt.UnixMilli(), Capacity: s.capacity(),
	}
	g.watcher = &watch.Watcher{
		Feed: g.client, Sink: &platform.Sink{Listener: g}, Interval: _watchInterval, Log: g.Log,
		Instance: s.Instance, Neighbours: g.neighbours, Peers: &changefeed.Client{Instance: s.Instance},
		Start: g.start, Order: &platform.Order{Product: compareRegistrations}, Era: g.client.Era,
	}
	g.changefeed = &changefeed.Server{Source: g.watcher}
	g.registration = &registration{
		registry: g.client, member: g.directory.Self, log: g.Log, confirmed: g.registered, ready: g.Ready,
		instances: g.instances, wakeups: make(chan struct{}, 1),
	}
	permits.Held = g.registration.held
	g.forward.Update(func(st *forward.State) { st.Workers.Changed = g.workerChanged })
	return g
}

// limitConnections divides the descriptors of the process, so that callers cannot take those
// that the instance itself needs. 0 means that their number is not known.
func (g *Gateway) limitConnections(descriptors int) {
	if descriptors == 0 {
		return
	}
	rest := float64(max(descriptors-_controlDescriptors, descriptors/2))
	g.frontend.MaxConns, g.pool.MaxConns = int(rest*_callerShare), int(rest*_workerShare)
}

// Run runs the instance until ctx ends and the graceful shutdown is complete.
func (g *Gateway) Run(ctx context.Context) error {
	k := &kernel.Kernel{
		Services:    []kernel.Service{&runner{gateway: g}},
		StopTimeout: g.Settings.Stop(),
		Ready:       func() { g.Log.Info("instance started", zap.String("callers", g.Settings.Callers.Listen)) },
	}
	return k.Run(ctx)
}

// runner starts and stops the components of a gateway.
type runner struct {
	gateway *Gateway
}

// Name returns the name of the service.
func (r *runner) Name() string { return "site" }

// Start opens the listeners and starts watching the store. Nothing runs yet if a listener
// cannot be opened: the process then ends with the error.
func (r *runner) Start(_ context.Context, k *kernel.Kernel) error {
	g := r.gateway
	listeners, err := listen(
		g.Settings.Callers.Listen, g.Settings.Peers.Listen, g.Settings.Readiness.Listen, g.Settings.Directory.Listen,
	)
	if err != nil {
		return err
	}
	k.Go("news", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, g.changefeed.Close)
		defer stop()
		return g.changefeed.Serve(listeners[1])
	})
	k.Go("moves", g.movefeed.Run)
	k.Go("permits", g.permitfeed.Run)
	k.Go("front", func(context.Context) error { return g.frontend.Serve(listeners[0]) })
	k.Go("follow", g.watcher.Run)
	k.Go("presence", g.registration.run)
	k.Go("sweep", func(ctx context.Context) error { return kernel.Every(ctx, _sweepInterval, g.sweep) })
	serve(k, listeners[2], g.readiness())
	serve(k, listeners[3], g.resolver())
	if address := g.Settings.Admin.Listen; address != "" {
		// The port of the metrics is fixed, while the other ports are assigned, so
		// another process may be using it. The instance then runs without metrics.
		admin, err := listen(address)
		if err != nil {
			g.Log.Warn("metrics are not served", zap.Error(err))
			return nil
		}
		serve(k, admin[0], g.admin())
	}
	return nil
}

// listen listens on all addresses, or on none if one of them fails.
func listen(addresses ...string) ([]net.Listener, error) {
	listeners := make([]net.Listener, 0, len(addresses))
	for _, address := range addresses {
		l, err := net.Listen("tcp", address)
		if err != nil {
			for _, opened := range listeners {
				_ = opened.Close()
			}
			return nil, errors.Wrapf(err, "listen on %s", address)
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

// serve serves HTTP on a listener until the kernel stops.
func serve(k *kernel.Kernel, l net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: _headerTimeout, IdleTimeout: _idleTimeout}
	k.Go("http", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
}

// Stop shuts the instance down gracefully: it ends the registration and makes
// callers move to other instances, still serves requests for _drainShare of the
// stop timeout, and then waits for pending requests.
func (r *runner) Stop(ctx context.Context) error {
	g := r.gateway
	started := time.Now()
	g.Log.Info("instance shuts down")
	g.mu.Lock()
	g.leaving = true
	g.directory.Serving = false
	g.mu.Unlock()
	total := g.Settings.Stop().Seconds()
	end := started.Add(seconds(total * _stopShare))
	g.forward.Update(func(st *forward.State) { st.StopsAt = end })
	g.frontend.DisableKeepAlive()
	g.registration.end(ctx)
	wait(ctx, started.Add(min(seconds(total*_drainShare), _maxDrainTime)))
	endCtx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	g.frontend.Shutdown(endCtx)
	g.Log.Info("instance stopped", zap.Duration("took", time.Since(started)))
	return nil
}

func wait(ctx context.Context, deadline time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(deadline)):
	}
}

// Ready returns the reason why the instance does not serve callers, or nil.
func (g *Gateway) Ready() error {
	g.mu.Lock()
	leaving := g.leaving
	g.mu.Unlock()
	if leaving {
		return errLeaving
	}
	return g.forward.Ready()
}

var errLeaving = errors.New("instance is shutting down")

func (g *Gateway) currentLimits() frontend.Limits {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limits
}

// instances returns the number of known instances.
func (g *Gateway) instances() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.directory.Names())
}

func (g *Gateway) registered() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.directory.Registered()
}

func (g *Gateway) sweep(now time.Time) {
	g.forward.Sweep(now)
	g.pool.Sweep(now)
	ready := g.Ready() == nil
	g.mu.Lock()
	defer g.mu.Unlock()
	g.directory.Sweep(now)
	if ready && !g.directory.Serving {
		g.registration.wake()
	}
	g.directory.Serving = ready
}

// Catalog activates a configuration if its version is higher than the active one.
func (g *Gateway) Catalog(_ time.Time, c *catalog.Catalog) {
	newer := false
	g.forward.Update(func(st *forward.State) {
		if st.Catalog == nil || c.Version > st.Catalog.Version {
			st.Catalog, newer = c, true
		}
	})
	if !newer {
		return
	}
	g.mu.Lock()
	g.limits, g.configuredAt = frontend.Limits(c.Limits), time.Now()
	g.mu.Unlock()
	g.Log.Info("configuration activated", zap.Uint64("version", uint64(c.Version)), zap.Int("routes", c.Routes()))
}

// ZoneClosed closes a zone for new requests or opens it again. The workers of a zone
// that opens are cold.
func (g *Gateway) ZoneClosed(now time.Time, zone string, closed bool) {
	g.forward.Update(func(st *forward.State) {
		if st.Closed[zone] && !closed {
			st.Workers.MarkCold(now, zone, func(service string) time.Duration {
				if st.Catalog == nil {
					return 0
				}
				return st.Catalog.Service(service).ColdTime
			})
		}
		st.Closed[zone] = closed
	})
	g.Log.Info("zone", zap.String("zone", zone), zap.Bool("closed", closed))
}

// Worker records the entry of a worker and reports whether the entry is more than a
// heartbeat.
func (g *Gateway) Worker(now time.Time, e worker.Entry, revision store.Revision) (changed bool) {
	g.forward.Update(func(st *forward.State) { changed = st.Workers.Put(now, e, revision) })
	return changed
}

// WorkerRemoved records that a worker's entry was removed. A tentative removal takes
// effect at tentativeUntil, unless the entry reappears.
func (g *Gateway) WorkerRemoved(_ time.Time, id string, revision store.Revision, tentativeUntil time.Time) {
	g.forward.Update(func(st *forward.State) { st.Workers.MarkMissing(id, revision, tentativeUntil) })
}

func (g *Gateway) workerChanged(w *worker.Worker, change string) {
	g.Log.Info("worker "+change, zap.String("worker", w.ID), zap.String("service", w.Service),
		zap.String("address", w.Address), zap.String("zone", w.Zone), zap.Stringer("revision", w.Revision))
	if change == "gone" {
		g.pool.CloseIdle(w.Address)
	}
}

// ProductKey records a change of the registration of an instance. A nil value is a
// removal; until tentativeUntil, if that is not zero, the key may reappear.
func (g *Gateway) ProductKey(_ time.Time, key string, value []byte, tentativeUntil time.Time) {
	name, ok := instanceOf(key)
	if !ok {
		return
	}
	g.mu.Lock()
	if value == nil {
		g.directory.Delete(name, tentativeUntil)
	} else if m, err := decodeMember(value); err == nil && m.Name == name {
		g.directory.Put(m)
	}
	names, peak := g.directory.Names(), g.directory.PeakInstances()
	neighbours := min(len(g.directory.Neighbours()), directory.MaxPerRegion)
	lost := name == g.directory.Self.Name && !g.directory.Registered()
	g.mu.Unlock()
	g.forward.Update(func(st *forward.State) {
		st.Instances, st.PeakInstances, st.Neighbours = names, max(st.PeakInstances, peak), neighbours
	})
	g.Log.Info("instance known", zap.String("name", name), zap.Bool("gone", value == nil), zap.Int("instances", len(names)),
		zap.Int("shareRetriesBy", peak), zap.Int("shareRegionBy", neighbours))
	if lost {
		g.registration.wake()
	}
}

// Undecodable counts and logs a key whose value cannot be decoded.
func (g *Gateway) Undecodable(key string, err error) {
	_undecodable.Inc()
	g.Log.Warn("store entry cannot be decoded", zap.String("key", key), zap.String("error", err.Error()))
}

// StoreRead records that the store was read, and logs the end of an outage.
func (g *Gateway) StoreRead(_ time.Time, revision store.Revision) {
	g.mu.Lock()
	wasUnreachable := g.storeUnreachable
	g.storeUnreachable = false
	g.mu.Unlock()
	if wasUnreachable {
		g.Log.Info("store is available again", zap.Stringer("revision", revision))
		g.registration.wake()
	}
}

// storeRestored logs and counts that the store was restored, as soon as any of its answers
// shows it.
func (g *Gateway) storeRestored(from, to store.Era) {
	_restores.Inc()
	_era.Set(float64(to))
	g.registration.wake() // its lease ended with the era
	g.Log.Warn("store was restored from a copy", zap.Uint32("era", uint32(to)), zap.Uint32("previousEra", uint32(from)))
}

// ReadFailed records that the store could not be read, and logs the start of an
// outage.
func (g *Gateway) ReadFailed(_ time.Time, err error) {
	g.mu.Lock()
	wasUnreachable := g.storeUnreachable
	g.storeUnreachable = true
	g.mu.Unlock()
	if !wasUnreachable {
		g.Log.Warn("store cannot be read", zap.String("error", err.Error()))
	}
}

var (
	_undecodable = metrics.NewCounter("wigeonlock_unreadable_entries_total")
	_restores    = metrics.NewCounter("wigeonlock_store_restores_total")
	_era         = metrics.NewGauge("wigeonlock_store_era", nil)
)
