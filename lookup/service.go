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
	// RefreshInterval is the time between updates of the answers from the members.
	RefreshInterval = 250 * time.Millisecond

	_maxWeight = 100
	// _maxWeightChange limits the change of a weight in one RefreshInterval.
	_maxWeightChange = 20
	// _weightUnit is the unit of target weights, so that small load changes do not
	// change the answers.
	_weightUnit = 10
)

// Members provides the instances of a zone and the capacity that it advertises.
type Members interface {
	Live(now time.Time, zone string) []gossip.Member
	LastKnown(zone string) []gossip.Member
	View(now time.Time, zone, service string) routing.View
}

// Service answers lookups. The exported fields are set before Start.
type Service struct {
	Settings *settings.Settings
	Members  Members
	Lists    *rollout.Follower

	names    []string
	table    atomic.Pointer[Table]
	snapshot atomic.Pointer[snapshot]
}

// snapshot holds what the answers are built from until members or weights change.
type snapshot struct {
	regions [][]Entry
	weights weights
	answers *Answers
	// encoded caches the JSON of the answers by answerKey.
	encoded sync.Map
}

// weights holds the weights by service and zone.
type weights map[string]map[string]int

// answerKey identifies an answer of a snapshot.
type answerKey struct {
	region  RegionIndex
	bucket  uint64
	service string
}

var _ kernel.Service = (*Service)(nil)

// Name returns ServiceName.
func (s *Service) Name() string { return ServiceName }

// Start begins to follow the lists and the members. It returns nil.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	for _, r := range s.Settings.Regions {
		s.names = append(s.names, r.Name)
	}
	s.Lists.OnChange(func(c rollout.Current) { s.table.Store(NewTable(s.names, c.Index)) })
	if c := s.Lists.Current(); c != nil {
		s.table.Store(NewTable(s.names, c.Index))
	}
	s.refresh(time.Now())
	k.Go(ServiceName, func(ctx context.Context) error { return kernel.Every(ctx, RefreshInterval, s.refresh) })
	return nil
}

// Stop does nothing and returns nil.
func (s *Service) Stop(context.Context) error { return nil }

// Answer returns the JSON of the entry instances for a caller at an address, or
// nil if none are known. A caller whose home region is unknown or has none gets
// those of the local region.
func (s *Service) Answer(addr netip.Addr, service string) []byte {
	table := s.table.Load()
	if table == nil {
		return nil
	}
	current := s.snapshot.Load()
	region, block := table.Find(addr)
	key := answerKey{region, block % _buckets, service}
	if data, ok := current.encoded.Load(key); ok {
		encoded, _ := data.([]byte)
		return encoded
	}
	entries := current.answers.Answer(region, block)
	if len(entries) == 0 {
		entries = current.answers.Answer(s.localRegion(), block)
	}
	if len(entries) == 0 {
		return nil
	}
	data, err := json.Marshal(struct {
		Entries []Entry `json:"entries"`
		TTLMs   int     `json:"ttlMs"`
	}{current.weighted(entries, service), s.Settings.LookupTTLMs})
	if err != nil {
		return nil // unreachable: entries are strings and numbers
	}
	current.encoded.Store(key, data)
	return data
}

// localRegion returns the index of the local region.
func (s *Service) localRegion() RegionIndex {
	return RegionIndex(slices.Index(s.names, s.Settings.Region))
}

// weighted returns a copy of entries with the weights of their zones for a service.
func (s *snapshot) weighted(entries []Entry, service string) []Entry {
	byZone := s.weights[service]
	answer := make([]Entry, len(entries))
	for i, e := range entries {
		answer[i] = e
		answer[i].Weight = max(byZone[e.Zone], 1)
	}
	return answer
}

// refresh stores a new snapshot if members or weights changed.
func (s *Service) refresh(now time.Time) {
	previous := s.snapshot.Load()
	next := &snapshot{regions: make([][]Entry, len(s.Settings.Regions)), weights: s.nextWeights(now, previous)}
	for i, r := range s.Settings.Regions {
		for _, zone := range r.Zones {
			for _, m := range s.members(now, zone) {
				next.regions[i] = append(next.regions[i], Entry{Address: m.Address, Zone: zone, Weight: _maxWeight})
			}
		}
	}
	switch {
	case previous == nil || !reflect.DeepEqual(next.regions, previous.regions):
		next.answers = NewAnswers(next.regions)
	case reflect.DeepEqual(next.weights, previous.weights):
		return
	default:
		next.answers = previous.answers
	}
	s.snapshot.Store(next)
}

// members returns the live members of a zone. If the local zone has none, as while
// this instance is leaving, it returns the last known members.
func (s *Service) members(now time.Time, zone string) []gossip.Member {
	live := s.Members.Live(now, zone)
	if len(live) == 0 && zone == s.Settings.Zone {
		return s.Members.LastKnown(zone)
	}
	return live
}

// nextWeights moves the weight of each zone towards its target by at most
// _maxWeightChange.
func (s *Service) nextWeights(now time.Time, previous *snapshot) weights {
	next := make(weights, len(s.Settings.Services))
	for _, svc := range s.Settings.Services {
		byZone := make(map[string]int)
		for _, r := range s.Settings.Regions {
			for _, zone := range r.Zones {
				target := s.targetWeight(now, zone, svc.Name)
				if previous != nil {
					before := previous.weights[svc.Name][zone]
					target = min(max(target, before-_maxWeightChange), before+_maxWeightChange)
				}
				byZone[zone] = target
			}
		}
		next[svc.Name] = byZone
	}
	return next
}

// targetWeight returns the weight of a zone by its share of free slots, in steps of
// _weightUnit, or half of _maxWeight if the load of the zone is not known.
func (s *Service) targetWeight(now time.Time, zone, service string) int {
	v := s.Members.View(now, zone, service)
	if !v.Known || v.Slots == 0 {
		return _maxWeight / 2
	}
	share := _maxWeight * v.Headroom / v.Slots / _weightUnit * _weightUnit
	return min(max(share, _weightUnit), _maxWeight)
}
