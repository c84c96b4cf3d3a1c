// Package membership registers an entry instance, exchanges heartbeats with the
// other instances and returns which of them are live. It runs gossip.View on the
// platform's list and the heartbeats.
//
// # Usage
//
//	m := &membership.Service{Settings: s, Directory: d, Peers: peers, Lists: follower}
//	members := m.Live(now, "tunis-a")
//	m.Leave(ctx, k) // remove this instance from lookup answers at once
package membership

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/discovery"
	"github.com/wigeonlock/wigeonlock/gossip"
	"github.com/wigeonlock/wigeonlock/kernel"
	"github.com/wigeonlock/wigeonlock/peer"
	"github.com/wigeonlock/wigeonlock/rollout"
	"github.com/wigeonlock/wigeonlock/routing"
	"github.com/wigeonlock/wigeonlock/settings"
)

const (
	// ServiceName is the name of the service in its kernel.
	ServiceName = "membership"
	// ListInterval is the time between reads of the platform's list.
	ListInterval = time.Second

	// WorkersGrace is the time after which an instance accepts callers although
	// no workers of its zone are listed.
	WorkersGrace = 5 * time.Second

	// _startupInterval is the time between list reads, and between heartbeats,
	// until the instance is ready.
	_startupInterval  = 100 * time.Millisecond
	_countsTTL        = 100 * time.Millisecond
	_registerInterval = 5 * time.Second
	_registerTTL      = 20 * time.Second
)

// Peers provides the client that sends heartbeats.
type Peers interface {
	Client() *peer.Client
}

// Workers receives the workers of the platform's list and provides the load of
// this instance.
type Workers interface {
	UpdateWorkers(now time.Time, records []discovery.Record)
	Loads(now time.Time) []gossip.ServiceLoad
	// Workers returns the number of workers listed in the local zone.
	Workers() int
}

// Service maintains the membership of one entry instance. The exported fields are
// set before Start, Settings before Prepare.
type Service struct {
	Settings  *settings.Settings
	Directory discovery.Directory
	Peers     Peers
	Workers   Workers
	Lists     *rollout.Follower
	Log       *zap.Logger

	ctx     context.Context
	mu      sync.Mutex
	view    gossip.View
	loads   []gossip.ServiceLoad
	counted counts
	started time.Time
	// ready is set once the instance has lists and workers, or WorkersGrace has
	// passed.
	ready bool
	// sending holds the names of the members to which a heartbeat is in flight.
	sending map[string]struct{}
}

var (
	_ kernel.Service = (*Service)(nil)

	_heartbeatsSent   = metrics.NewCounter("wigeonlock_heartbeats_sent_total")
	_heartbeatsFailed = metrics.NewCounter("wigeonlock_heartbeats_failed_total")
	_listFailures     = metrics.NewCounter("wigeonlock_instance_list_failures_total")
)

// Name returns ServiceName.
func (s *Service) Name() string { return ServiceName }

// Prepare sets up the view, so that the methods that read it work before Start.
func (s *Service) Prepare(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sending = make(map[string]struct{})
	s.started = now
	s.view = gossip.View{
		Self: gossip.Member{
			Name: s.Settings.Instance, Region: s.Settings.Region, Zone: s.Settings.Zone,
			Address: s.Settings.Callers.Address(), PeerAddress: s.Settings.Peers.Address(),
			Incarnation: uint64(now.UnixMilli()),
		},
		Loads: func(time.Time) []gossip.ServiceLoad { return s.loads },
	}
	for _, svc := range s.Settings.Services {
		s.view.Services = append(s.view.Services, svc.Name)
	}
}

// Start registers the instance and begins to send heartbeats.
func (s *Service) Start(ctx context.Context, k *kernel.Kernel) error {
	s.readList(ctx)
	s.register(ctx)
	k.Go(ServiceName, func(ctx context.Context) error {
		s.mu.Lock()
		s.ctx = ctx
		s.mu.Unlock()
		s.sendUntilReady(ctx, k)
		return kernel.Every(ctx, gossip.Interval, func(time.Time) { s.sendDue(ctx, k) })
	})
	k.Go(ServiceName, s.pollList)
	k.Go(ServiceName, func(ctx context.Context) error {
		return kernel.Every(ctx, _registerInterval, func(time.Time) { s.register(ctx) })
	})
	return nil
}

// Stop removes the instance from the platform's list.
func (s *Service) Stop(ctx context.Context) error {
	if err := s.Directory.Deregister(ctx, s.Settings.Instance); err != nil {
		s.Log.Debug("instance could not be deregistered", zap.Error(err))
	}
	return nil
}

// pollList reads the platform's list every ListInterval, and more often until the
// instance is ready.
func (s *Service) pollList(ctx context.Context) error {
	for {
		interval := ListInterval
		if s.Ready() != nil {
			interval = _startupInterval
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(interval):
			s.readList(ctx)
		}
	}
}

// Ready returns nil if the instance accepts callers, else an error with the reason.
func (s *Service) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.view.Self.Leaving:
		return errors.New("instance is leaving")
	case s.Lists.Current() == nil:
		return errors.New("no lists are active yet")
	case !s.ready:
		return errors.New("no workers of the local zone are listed yet")
	default:
		return nil
	}
}

// becomeReady registers the instance once it has workers or WorkersGrace has
// passed, and reports whether it is ready. The caller has checked that there are
// lists.
func (s *Service) becomeReady(ctx context.Context, now time.Time) bool {
	s.mu.Lock()
	wasReady := s.ready
	s.ready = s.ready || s.Workers.Workers() > 0 || now.Sub(s.started) >= WorkersGrace
	isReady := s.ready
	s.mu.Unlock()
	if isReady && !wasReady {
		s.register(ctx)
	}
	return isReady
}

// Leave removes the instance from lookup answers: it reports to the platform's
// list and to its peers that it is leaving.
func (s *Service) Leave(ctx context.Context, k *kernel.Kernel) {
	s.mu.Lock()
	s.view.Self.Leaving = true
	s.mu.Unlock()
	s.sendDue(ctx, k)
	s.register(ctx)
}

// Receive merges a heartbeat of a peer. An equal version of its lists confirms the
// local ones; newer lists are fetched from the peer.
func (s *Service) Receive(_ context.Context, h peer.Heartbeat) {
	now := time.Now()
	s.mu.Lock()
	s.view.Receive(now, h.Message)
	ctx := s.ctx
	s.mu.Unlock()
	if address := s.addressOf(h.From); ctx != nil && address != "" {
		s.Lists.ObservePeer(ctx, now, h.ListsVersion, h.ConfirmAge, s.Peers.Client().Source(address))
	}
}

// addressOf returns the peer address of a sender, which most heartbeats omit, or
// an empty string if it is not known.
func (s *Service) addressOf(from gossip.Member) string {
	if from.PeerAddress != "" {
		return from.PeerAddress
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.PeerAddress(from.Name)
}

// PropagationTime returns the time within which all instances learn that this one is
// leaving.
func (s *Service) PropagationTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.PropagationTime()
}

// Live returns the members of a zone that take work, sorted by name.
func (s *Service) Live(now time.Time, zone string) []gossip.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Live(now, zone)
}

// LastKnown returns the members of a zone that are not leaving, also suspected
// ones.
func (s *Service) LastKnown(zone string) []gossip.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.LastKnown(zone)
}

// Suspect marks a member as suspected because it could not be reached.
func (s *Service) Suspect(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Suspect(name)
}

// counts caches the numbers of live instances, which each request needs, for
// _countsTTL.
type counts struct {
	at      time.Time
	local   int
	region  position
	overall position
}

// position is the rank of this instance by name among a number of members.
type position struct {
	rank    int
	members int
}

// LocalInstances returns the number of live instances of the local zone, at least
// one.
func (s *Service) LocalInstances(now time.Time) int {
	return s.count(now).local
}

// Rank returns the rank by name of this instance among the live instances of the
// local region, from 0, and their number.
func (s *Service) Rank(now time.Time) (rank, members int) {
	p := s.count(now).region
	return p.rank, p.members
}

// RankOfAll returns the rank by name of this instance among the live instances of
// all regions, from 0, and their number.
func (s *Service) RankOfAll(now time.Time) (rank, members int) {
	p := s.count(now).overall
	return p.rank, p.members
}

func (s *Service) count(now time.Time) counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	if age := now.Sub(s.counted.at); age >= 0 && age < _countsTTL {
		return s.counted
	}
	c := counts{at: now}
	for _, r := range s.Settings.Regions {
		for _, zone := range r.Zones {
			live := s.view.Live(now, zone)
			if zone == s.Settings.Zone {
				c.local = len(live)
			}
			if r.Name == s.Settings.Region {
				c.region.add(live, s.Settings.Instance)
			}
			c.overall.add(live, s.Settings.Instance)
		}
	}
	c.local = max(c.local, 1)
	c.region.members = max(c.region.members, c.region.rank+1)
	c.overall.members = max(c.overall.members, c.overall.rank+1)
	s.counted = c
	return c
}

func (p *position) add(live []gossip.Member, self string) {
	for _, m := range live {
		if m.Name < self {
			p.rank++
		}
		p.members++
	}
}

// Busy returns the number of slots of a service that the other instances of the
// local zone occupy.
func (s *Service) Busy(now time.Time, service string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Busy(now, service)
}

// View returns the capacity that another zone advertises for a service. Known is
// false if its summary is missing or stale.
func (s *Service) View(now time.Time, zone, service string) routing.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	load, ok := s.view.ZoneLoad(now, zone)
	if !ok {
		return routing.View{}
	}
	for _, l := range load.Loads {
		if l.Service == service {
			return routing.View{
				Headroom: l.Headroom, Slots: l.Slots, Age: load.Age, Stale: gossip.StaleAfter, Known: true,
			}
		}
	}
	return routing.View{}
}

// sendDue sends the heartbeats that are due. An instance without lists sends none;
// it requests the lists from its peers.
func (s *Service) sendDue(ctx context.Context, k *kernel.Kernel) {
	now := time.Now()
	if s.Lists.Current() == nil {
		s.pullLists(ctx, now)
		return
	}
	if !s.becomeReady(ctx, now) {
		return
	}
	loads := s.Workers.Loads(now)
	version, age := s.Lists.ConfirmedAge(now)
	s.mu.Lock()
	s.loads = loads
	envelopes := s.view.Tick(now)
	s.mu.Unlock()
	for _, e := range envelopes {
		h := peer.Heartbeat{Message: e.Message, ListsVersion: version, ConfirmAge: age}
		k.Go(ServiceName, func(context.Context) error {
			s.send(ctx, e.To, h)
			return nil
		})
	}
}

// sendUntilReady calls sendDue every _startupInterval until the instance is ready.
func (s *Service) sendUntilReady(ctx context.Context, k *kernel.Kernel) {
	for s.Ready() != nil {
		s.sendDue(ctx, k)
		select {
		case <-ctx.Done():
			return
		case <-time.After(_startupInterval):
		}
	}
}

// pullLists fetches the lists from a listed peer, those of the local zone first.
func (s *Service) pullLists(ctx context.Context, now time.Time) {
	s.mu.Lock()
	members := s.view.LastKnown(s.Settings.Zone)
	for _, region := range s.Settings.Regions {
		for _, zone := range region.Zones {
			if zone != s.Settings.Zone {
				members = append(members, s.view.LastKnown(zone)...)
			}
		}
	}
	s.mu.Unlock()
	for _, m := range members {
		if s.Lists.Current() != nil {
			return
		}
		// Version 1 is newer than no lists; an age of ConfirmWindow confirms nothing.
		s.Lists.ObservePeer(ctx, now, 1, rollout.ConfirmWindow, s.Peers.Client().Source(m.PeerAddress))
	}
}

// send sends one heartbeat. It skips a member to which another heartbeat is still
// in flight, so that calls to a member that does not answer do not pile up; a
// heartbeat of a leaving instance is always sent.
func (s *Service) send(ctx context.Context, to gossip.Member, h peer.Heartbeat) {
	s.mu.Lock()
	_, inFlight := s.sending[to.Name]
	s.sending[to.Name] = struct{}{}
	s.mu.Unlock()
	if inFlight && !h.From.Leaving {
		return
	}
	_heartbeatsSent.Inc()
	err := s.Peers.Client().Exchange(ctx, to.PeerAddress, h)
	s.mu.Lock()
	delete(s.sending, to.Name)
	s.mu.Unlock()
	if err != nil {
		_heartbeatsFailed.Inc()
		s.Log.Debug("heartbeat failed", zap.String("to", to.Name), zap.Error(err))
	}
}

// readList reads the platform's list.
func (s *Service) readList(ctx context.Context) {
	records, err := s.Directory.List(ctx)
	if err != nil {
		_listFailures.Inc()
		s.Log.Debug("instance list could not be read", zap.Error(err))
		return // the previous list stays in use
	}
	now := time.Now()
	var members []gossip.Member
	for _, rec := range records {
		if rec.Kind == discovery.Entry {
			members = append(members, gossip.Member{
				Name: rec.Name, Region: rec.Region, Zone: rec.Zone,
				Address: rec.Address, PeerAddress: rec.PeerAddress, Incarnation: rec.Incarnation, Leaving: rec.State == discovery.Leaving,
			})
		}
	}
	s.mu.Lock()
	s.view.UpdateMembers(now, members)
	s.mu.Unlock()
	s.Workers.UpdateWorkers(now, records)
}

func (s *Service) register(ctx context.Context) {
	s.mu.Lock()
	self, ready := s.view.Self, s.ready
	s.mu.Unlock()
	if !ready {
		return // callers must not be directed to this instance yet
	}
	state := discovery.Live
	if self.Leaving {
		state = discovery.Leaving
	}
	err := s.Directory.Register(ctx, discovery.Record{
		Name: self.Name, Kind: discovery.Entry, State: state, Region: self.Region, Zone: self.Zone,
		Address: self.Address, PeerAddress: self.PeerAddress, Incarnation: self.Incarnation,
	}, _registerTTL)
	if err != nil && !errors.Is(err, context.Canceled) {
		s.Log.Warn("instance could not be registered", zap.Error(err))
	}
}
