// Package membership keeps an entry instance known to the others and knows
// who they are: it runs gossip.View over the platform's list and heartbeats.
//
// # Usage
//
//	m := &membership.Service{Settings: s, Directory: d, Peers: peers, Lists: follower}
//	members := m.Live(now, "tunis-a")
//	m.Leave() // leave look-up answers at once
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
	// ListInterval is the time between looks at the platform's list.
	ListInterval = time.Second

	// WorkersGrace is the time after which an instance takes callers although
	// its zone has no workers in the list.
	WorkersGrace = 5 * time.Second

	_firstLooks       = 100 * time.Millisecond
	_countsTime       = 100 * time.Millisecond
	_registerInterval = 5 * time.Second
	_registerTTL      = 20 * time.Second
)

// Peers sends heartbeats.
type Peers interface {
	Client() *peer.Client
}

// Workers takes the workers of the platform's list and gives the own load.
type Workers interface {
	Listed(now time.Time, records []discovery.Record)
	Loads(now time.Time) []gossip.ServiceLoad
	// Workers returns the number of workers listed in the own zone.
	Workers() int
}

// Service keeps the membership of one entry instance. The exported fields are
// set before Start.
type Service struct {
	Settings  *settings.Settings
	Directory discovery.Directory
	Peers     Peers
	Workers   Workers
	Lists     *rollout.Follower
	Log       *zap.Logger

	ctx     context.Context
	mu      sync.Mutex
	fleet   gossip.View
	loads   []gossip.ServiceLoad
	counted counts
	started time.Time
	// ready tells that the instance takes callers.
	ready bool
	// sending are the members to which a heartbeat is under way.
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

// Prepare sets up the view, so that it can be asked before Start.
func (s *Service) Prepare(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sending = make(map[string]struct{})
	s.started = now
	s.fleet = gossip.View{
		Self: gossip.Member{
			Name: s.Settings.Instance, Region: s.Settings.Region, Zone: s.Settings.Zone,
			Address: s.Settings.Callers.Address(), PeerAddress: s.Settings.Peers.Address(),
			Incarnation: uint64(now.UnixMilli()),
		},
		Loads: func(time.Time) []gossip.ServiceLoad { return s.loads },
	}
	for _, svc := range s.Settings.Services {
		s.fleet.Services = append(s.fleet.Services, svc.Name)
	}
}

// Start registers the instance and begins to send heartbeats.
func (s *Service) Start(ctx context.Context, k *kernel.Kernel) error {
	s.look(ctx)
	s.register(ctx)
	k.Go(ServiceName, func(ctx context.Context) error {
		s.mu.Lock()
		s.ctx = ctx
		s.mu.Unlock()
		s.untilReady(ctx, k)
		return kernel.Every(ctx, gossip.Interval, func(time.Time) { s.beat(ctx, k) })
	})
	k.Go(ServiceName, s.lookAround)
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

// lookAround reads the platform's list, more often until the instance is ready.
func (s *Service) lookAround(ctx context.Context) error {
	for {
		interval := ListInterval
		if s.Ready() != nil {
			interval = _firstLooks
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(interval):
			s.look(ctx)
		}
	}
}

// Ready tells why the instance takes no callers, or nil.
func (s *Service) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.fleet.Self.Leaving:
		return errors.New("instance is leaving")
	case s.Lists.Current() == nil:
		return errors.New("no lists are in force yet")
	case !s.ready:
		return errors.New("no workers of the own zone are listed yet")
	default:
		return nil
	}
}

// becomeReady lets callers and peers know of the instance once it has lists
// and workers.
func (s *Service) becomeReady(ctx context.Context, now time.Time) bool {
	s.mu.Lock()
	was := s.ready
	s.ready = s.ready || s.Workers.Workers() > 0 || now.Sub(s.started) >= WorkersGrace
	is := s.ready
	s.mu.Unlock()
	if is && !was {
		s.register(ctx)
	}
	return is
}

// Leave makes the instance leave look-up answers: it tells the list and its
// peers that it is leaving.
func (s *Service) Leave(ctx context.Context, k *kernel.Kernel) {
	s.mu.Lock()
	s.fleet.Self.Leaving = true
	s.mu.Unlock()
	s.beat(ctx, k)
	s.register(ctx)
}

// Receive takes a heartbeat of a peer.
func (s *Service) Receive(_ context.Context, h peer.Heartbeat) {
	now := time.Now()
	s.mu.Lock()
	s.fleet.Receive(now, h.Message)
	ctx := s.ctx
	s.mu.Unlock()
	if address := s.addressOf(h.From); ctx != nil && address != "" {
		s.Lists.Heard(ctx, now, h.ListsVersion, h.ConfirmAge, s.Peers.Client().Source(address))
	}
}

// addressOf returns the peer address of a sender, which most messages leave out.
func (s *Service) addressOf(from gossip.Member) string {
	if from.PeerAddress != "" {
		return from.PeerAddress
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.PeerAddress(from.Name)
}

// PropagationTime is the time until all instances know that this one is leaving.
func (s *Service) PropagationTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.PropagationTime()
}

// Live returns the members of a zone that take work.
func (s *Service) Live(now time.Time, zone string) []gossip.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Live(now, zone)
}

// LastKnown returns the members of a zone whether or not they are heard of.
func (s *Service) LastKnown(zone string) []gossip.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.LastKnown(zone)
}

// Suspect records that a member could not be reached.
func (s *Service) Suspect(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.Suspect(name)
}

// counts are the numbers of live instances that each request asks for. They
// are counted anew after _countsTime.
type counts struct {
	at      time.Time
	here    int
	region  position
	overall position
}

// position is the own rank among a number of members.
type position struct {
	rank    int
	members int
}

// LocalInstances returns the number of live instances of the own zone, at least one.
func (s *Service) LocalInstances(now time.Time) int {
	return s.count(now).here
}

// Rank returns the own rank among the live instances of the own region.
func (s *Service) Rank(now time.Time) (rank, members int) {
	p := s.count(now).region
	return p.rank, p.members
}

// RankOfAll returns the own rank among the live instances of all regions.
func (s *Service) RankOfAll(now time.Time) (rank, members int) {
	p := s.count(now).overall
	return p.rank, p.members
}

func (s *Service) count(now time.Time) counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	if age := now.Sub(s.counted.at); age >= 0 && age < _countsTime {
		return s.counted
	}
	c := counts{at: now}
	for _, r := range s.Settings.Regions {
		for _, zone := range r.Zones {
			live := s.fleet.Live(now, zone)
			if zone == s.Settings.Zone {
				c.here = len(live)
			}
			if r.Name == s.Settings.Region {
				c.region.add(live, s.Settings.Instance)
			}
			c.overall.add(live, s.Settings.Instance)
		}
	}
	c.here = max(c.here, 1)
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

// Busy returns the slots that the other instances of the zone occupy.
func (s *Service) Busy(now time.Time, service string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Busy(now, service)
}

// View returns what another zone advertises for a service.
func (s *Service) View(now time.Time, zone, service string) routing.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	report, ok := s.fleet.ZoneLoad(now, zone)
	if !ok {
		return routing.View{}
	}
	for _, l := range report.Loads {
		if l.Service == service {
			return routing.View{
				Headroom: l.Headroom, Slots: l.Slots, Age: report.Age, Stale: gossip.StaleAfter, Known: true,
			}
		}
	}
	return routing.View{}
}

// beat sends the messages that are due. An instance without lists takes no
// part yet: it asks its peers for them.
func (s *Service) beat(ctx context.Context, k *kernel.Kernel) {
	now := time.Now()
	if s.Lists.Current() == nil {
		s.pull(ctx, now)
		return
	}
	if !s.becomeReady(ctx, now) {
		return
	}
	loads := s.Workers.Loads(now)
	version, age := s.Lists.ConfirmedAge(now)
	s.mu.Lock()
	s.loads = loads
	sends := s.fleet.Tick(now)
	s.mu.Unlock()
	for _, send := range sends {
		h := peer.Heartbeat{Message: send.Message, ListsVersion: version, ConfirmAge: age}
		k.Go(ServiceName, func(context.Context) error {
			s.send(ctx, send.To, h)
			return nil
		})
	}
}

// untilReady beats often until the instance is ready.
func (s *Service) untilReady(ctx context.Context, k *kernel.Kernel) {
	for s.Ready() != nil {
		s.beat(ctx, k)
		select {
		case <-ctx.Done():
			return
		case <-time.After(_firstLooks):
		}
	}
}

// pull fetches the lists from a listed peer, the ones of the own zone first.
func (s *Service) pull(ctx context.Context, now time.Time) {
	s.mu.Lock()
	members := s.fleet.LastKnown(s.Settings.Zone)
	for _, route := range s.Settings.Regions {
		for _, zone := range route.Zones {
			if zone != s.Settings.Zone {
				members = append(members, s.fleet.LastKnown(zone)...)
			}
		}
	}
	s.mu.Unlock()
	for _, m := range members {
		if s.Lists.Current() != nil {
			return
		}
		s.Lists.Heard(ctx, now, 1, rollout.ConfirmWindow, s.Peers.Client().Source(m.PeerAddress))
	}
}

// send sends one heartbeat. While one to the same member is under way, the
// next is left out: a member that does not answer must not gather calls.
func (s *Service) send(ctx context.Context, to gossip.Member, h peer.Heartbeat) {
	s.mu.Lock()
	_, busy := s.sending[to.Name]
	s.sending[to.Name] = struct{}{}
	s.mu.Unlock()
	if busy && !h.From.Leaving {
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

// look reads the platform's list.
func (s *Service) look(ctx context.Context) {
	records, err := s.Directory.List(ctx)
	if err != nil {
		_listFailures.Inc()
		s.Log.Debug("instance list could not be read", zap.Error(err))
		return // the former list stays in use
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
	s.fleet.MergeList(now, members)
	s.mu.Unlock()
	s.Workers.Listed(now, records)
}

func (s *Service) register(ctx context.Context) {
	s.mu.Lock()
	self, ready := s.fleet.Self, s.ready
	s.mu.Unlock()
	if !ready {
		return // nobody is to come here yet
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
