package lookup

import (
	"context"
	"encoding/json"
	"net/netip"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonlock/wigeonlock/gossip"
	"github.com/wigeonlock/wigeonlock/kernel"
	"github.com/wigeonlock/wigeonlock/rollout"
	"github.com/wigeonlock/wigeonlock/routing"
	"github.com/wigeonlock/wigeonlock/settings"
)

const (
	// ServiceName is the name of the service in its kernel.
	ServiceName = "lookup"
	// RefreshInterval is the time between looks at the members.
	RefreshInterval = 250 * time.Millisecond

	_maxWeight   = 100
	_weightStep  = 20
	_weightGrain = 10
)

// Members tells who serves in a zone and what it advertises.
type Members interface {
	Live(now time.Time, zone string) []gossip.Member
	LastKnown(zone string) []gossip.Member
	View(now time.Time, zone, service string) routing.View
}

// Service answers look-ups. The exported fields are set before Start.
type Service struct {
	Settings *settings.Settings
	Members  Members
	Lists    *rollout.Follower

	names    []string
	table    atomic.Pointer[Table]
	snapshot atomic.Pointer[snapshot]
}

// snapshot is what answers are made of until members or weights change.
type snapshot struct {
	sites   [][]Entry
	weights weights
	fleet   *Answers
	// encoded keeps the JSON of answers that were asked for.
	encoded sync.Map
}

// weights are by service and zone.
type weights map[string]map[string]int

// answerKey names one of a snapshot's answers.
type answerKey struct {
	site    RegionIndex
	slot    uint64
	service string
}

var _ kernel.Service = (*Service)(nil)

// Name returns ServiceName.
func (s *Service) Name() string { return ServiceName }

// Start begins to follow the lists and the members.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	for _, r := range s.Settings.Regions {
		s.names = append(s.names, r.Name)
	}
	s.Lists.OnChange(func(c rollout.Current) { s.table.Store(NewTable(s.names, c.Book)) })
	if c := s.Lists.Current(); c != nil {
		s.table.Store(NewTable(s.names, c.Book))
	}
	s.refresh(time.Now())
	k.Go(ServiceName, func(ctx context.Context) error { return kernel.Every(ctx, RefreshInterval, s.refresh) })
	return nil
}

// Stop does nothing.
func (s *Service) Stop(context.Context) error { return nil }

// Answer returns the JSON of the entry instances for a caller at an address,
// or nil if none are known. A caller whose home region has none gets those of
// the own region.
func (s *Service) Answer(addr netip.Addr, service string) []byte {
	table := s.table.Load()
	if table == nil {
		return nil
	}
	snap := s.snapshot.Load()
	site, block := table.Find(addr)
	key := answerKey{site, block % _slots, service}
	if data, ok := snap.encoded.Load(key); ok {
		encoded, _ := data.([]byte)
		return encoded
	}
	entries := snap.fleet.Answer(site, block)
	if len(entries) == 0 {
		entries = snap.fleet.Answer(s.own(), block)
	}
	if len(entries) == 0 {
		return nil
	}
	data, err := json.Marshal(struct {
		Entries []Entry `json:"entries"`
		TTLMs   int     `json:"ttlMs"`
	}{snap.weighted(entries, service), s.Settings.LookupTTLMs})
	if err != nil {
		return nil // unreachable: entries are strings and numbers
	}
	snap.encoded.Store(key, data)
	return data
}

// own is the site of the own region.
func (s *Service) own() RegionIndex {
	return RegionIndex(slices.Index(s.names, s.Settings.Region))
}

func (s *snapshot) weighted(entries []Entry, service string) []Entry {
	byZone := s.weights[service]
	answer := make([]Entry, len(entries))
	for i, e := range entries {
		answer[i] = e
		answer[i].Weight = max(byZone[e.Zone], 1)
	}
	return answer
}

// refresh makes a new snapshot if members or weights changed.
func (s *Service) refresh(now time.Time) {
	former := s.snapshot.Load()
	next := &snapshot{sites: make([][]Entry, len(s.Settings.Regions)), weights: s.reweigh(now, former)}
	for i, r := range s.Settings.Regions {
		for _, zone := range r.Zones {
			for _, m := range s.members(now, zone) {
				next.sites[i] = append(next.sites[i], Entry{Address: m.Address, Zone: zone, Weight: _maxWeight})
			}
		}
	}
	switch {
	case former == nil || !reflect.DeepEqual(next.sites, former.sites):
		next.fleet = NewAnswers(next.sites)
	case reflect.DeepEqual(next.weights, former.weights):
		return
	default:
		next.fleet = former.fleet
	}
	s.snapshot.Store(next)
}

// members returns the live members of a zone. When the own zone seems to have
// none, as while the instance itself leaves, the last known ones serve.
func (s *Service) members(now time.Time, zone string) []gossip.Member {
	live := s.Members.Live(now, zone)
	if len(live) == 0 && zone == s.Settings.Zone {
		return s.Members.LastKnown(zone)
	}
	return live
}

// reweigh moves the weight of each zone towards its share of free slots, in
// bounded steps.
func (s *Service) reweigh(now time.Time, former *snapshot) weights {
	next := make(weights, len(s.Settings.Services))
	for _, svc := range s.Settings.Services {
		byZone := make(map[string]int)
		for _, r := range s.Settings.Regions {
			for _, zone := range r.Zones {
				target := s.target(now, zone, svc.Name)
				if former != nil {
					before := former.weights[svc.Name][zone]
					target = min(max(target, before-_weightStep), before+_weightStep)
				}
				byZone[zone] = target
			}
		}
		next[svc.Name] = byZone
	}
	return next
}

// target is the weight that a zone should have, in steps of _weightGrain so
// that small changes leave the answers alone.
func (s *Service) target(now time.Time, zone, service string) int {
	v := s.Members.View(now, zone, service)
	if !v.Known || v.Slots == 0 {
		return _maxWeight / 2
	}
	share := _maxWeight * v.Headroom / v.Slots / _weightGrain * _weightGrain
	return min(max(share, _weightGrain), _maxWeight)
}
