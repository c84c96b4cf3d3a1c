package lookup

import (
	"context"
	"net/netip"
	"reflect"
	"sync/atomic"
	"time"

	"github.com/wigeonlock/wigeonlock/fleet"
	"github.com/wigeonlock/wigeonlock/kernel"
	"github.com/wigeonlock/wigeonlock/rollout"
	"github.com/wigeonlock/wigeonlock/settings"
	"github.com/wigeonlock/wigeonlock/steer"
)

const (
	// ServiceName is the name of the service in its kernel.
	ServiceName = "lookup"
	// RefreshInterval is the time between looks at the members.
	RefreshInterval = 250 * time.Millisecond

	_maxWeight  = 100
	_weightStep = 20
)

// Members tells who serves in a zone and what it advertises.
type Members interface {
	Live(now time.Time, zone string) []fleet.Member
	LastKnown(zone string) []fleet.Member
	View(now time.Time, zone, service string) steer.View
}

// Service answers look-ups. The exported fields are set before Start.
type Service struct {
	Settings *settings.Settings
	Members  Members
	Lists    *rollout.Follower

	table   atomic.Pointer[Table]
	fleet   atomic.Pointer[Fleet]
	weights atomic.Pointer[weights]
	sites   map[Site][]Entry
}

// weights are by service and zone.
type weights map[string]map[string]int

var _ kernel.Service = (*Service)(nil)

// Name returns ServiceName.
func (s *Service) Name() string { return ServiceName }

// Start begins to follow the lists and the members.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	s.Lists.OnChange(func(c rollout.Current) { s.table.Store(NewTable(c.Book)) })
	if c := s.Lists.Current(); c != nil {
		s.table.Store(NewTable(c.Book))
	}
	s.refresh(time.Now())
	k.Go(ServiceName, func(ctx context.Context) error {
		tick := time.NewTicker(RefreshInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case now := <-tick.C:
				s.refresh(now)
			}
		}
	})
	return nil
}

// Stop does nothing.
func (s *Service) Stop(context.Context) error { return nil }

// Answer returns the entry instances for a caller at an address. A caller
// whose home region has none known gets those of the own region, and then of
// the own zone as last known.
func (s *Service) Answer(addr netip.Addr, service string) []Entry {
	table, known := s.table.Load(), s.fleet.Load()
	if table == nil || known == nil {
		return nil
	}
	site, block := table.Find(addr)
	entries := known.Answer(site, block)
	if len(entries) == 0 {
		entries = known.Answer(Site(s.Settings.Region), block)
	}
	return s.weighted(entries, service)
}

func (s *Service) weighted(entries []Entry, service string) []Entry {
	byZone := (*s.weights.Load())[service]
	answer := make([]Entry, len(entries))
	for i, e := range entries {
		answer[i] = e
		answer[i].Weight = max(byZone[e.Zone], 1)
	}
	return answer
}

func (s *Service) refresh(now time.Time) {
	sites := make(map[Site][]Entry, len(s.Settings.Regions))
	for _, r := range s.Settings.Regions {
		for _, zone := range r.Zones {
			for _, m := range s.members(now, zone) {
				sites[Site(r.Name)] = append(sites[Site(r.Name)], Entry{Address: m.Address, Zone: zone, Weight: _maxWeight})
			}
		}
	}
	s.reweigh(now)
	if s.fleet.Load() != nil && reflect.DeepEqual(sites, s.sites) {
		return
	}
	s.sites = sites
	s.fleet.Store(NewFleet(sites))
}

// members returns the live members of a zone. When the own zone seems to have
// none, as while the instance itself leaves, the last known ones serve.
func (s *Service) members(now time.Time, zone string) []fleet.Member {
	live := s.Members.Live(now, zone)
	if len(live) == 0 && zone == s.Settings.Zone {
		return s.Members.LastKnown(zone)
	}
	return live
}

// reweigh moves the weight of each zone towards its share of free slots, in
// bounded steps.
func (s *Service) reweigh(now time.Time) {
	former := s.weights.Load()
	next := make(weights, len(s.Settings.Services))
	for _, svc := range s.Settings.Services {
		byZone := make(map[string]int)
		for _, r := range s.Settings.Regions {
			for _, zone := range r.Zones {
				target := s.target(now, zone, svc.Name)
				if former != nil {
					before := (*former)[svc.Name][zone]
					target = min(max(target, before-_weightStep), before+_weightStep)
				}
				byZone[zone] = target
			}
		}
		next[svc.Name] = byZone
	}
	s.weights.Store(&next)
}

func (s *Service) target(now time.Time, zone, service string) int {
	v := s.Members.View(now, zone, service)
	if zone == s.Settings.Zone || !v.Known || v.Slots == 0 {
		return _maxWeight / 2
	}
	return min(max(_maxWeight*v.Headroom/v.Slots, 1), _maxWeight)
}
