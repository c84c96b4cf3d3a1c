// Package deployment describes the deployments of the first users, Ben Salah
// and Lederer: their regions, zones, links, services and sample lists.
//
// # Usage
//
//	d, ok := deployment.Find("lederer")
//	for _, zone := range d.Zones() {
//		// zone.Region, zone.Name
//	}
package deployment

import (
	"fmt"
	"time"

	"github.com/wigeonlock/wigeonlock/plan"
	"github.com/wigeonlock/wigeonlock/settings"
)

// Deployment describes one user's deployment.
type Deployment struct {
	Name     string
	Regions  []settings.Region
	Links    []settings.Link
	Services []Service
	// ZoneOneWay is the one-way latency between the zones of a region.
	ZoneOneWay time.Duration
	// CallerOneWay is the one-way latency between callers and entry instances.
	CallerOneWay time.Duration
	// Instances is the number of entry instances in each zone, by the zone's name.
	Instances map[string]int
	// Connections is the number of connections that a worker accepts.
	Connections int
	Lists       plan.Lists
}

// Service describes a service and its workers.
type Service struct {
	Name string
	// Workers is the number of workers in all regions together.
	Workers int
	// Slots is the number of slots of one worker.
	Slots int
	// ServiceTime is the mean time that a worker spends on a request.
	ServiceTime time.Duration
	Timeout     time.Duration
}

// Zone is an availability zone and its region.
type Zone struct {
	Name   string
	Region string
}

const (
	_connectTime        = time.Millisecond
	_probeTime          = 6 * time.Millisecond
	_regionOneWayMs     = 35
	_callerOneWay       = time.Millisecond
	_defaultServiceTime = 20 * time.Millisecond
	_defaultTimeout     = 2 * time.Second
	_documentTimeout    = 5 * time.Second
)

// Names returns the names of the deployments.
func Names() []string {
	return []string{"ben-salah", "lederer"}
}

// Find returns the deployment with a name, and whether there is one.
func Find(name string) (Deployment, bool) {
	switch name {
	case "ben-salah":
		return benSalah(), true
	case "lederer":
		return lederer(), true
	default:
		return Deployment{}, false
	}
}

// Zones returns all zones in the order of their regions.
func (d Deployment) Zones() []Zone {
	var zones []Zone
	for _, r := range d.Regions {
		for _, name := range r.Zones {
			zones = append(zones, Zone{Name: name, Region: r.Name})
		}
	}
	return zones
}

// WorkersIn returns the number of workers of a service in the zone with the
// given index in Zones. The workers are distributed evenly over the zones.
func (d Deployment) WorkersIn(s Service, zone int) int {
	zones := len(d.Zones())
	n := s.Workers / zones
	if zone < s.Workers%zones {
		n++
	}
	return n
}

// SettingsFor returns the settings of an entry instance in a zone.
func (d Deployment) SettingsFor(instance string, z Zone) *settings.Settings {
	s := settings.Default()
	s.Instance = instance
	s.Region = z.Region
	s.Zone = z.Name
	s.Regions = d.Regions
	s.Links = d.Links
	for _, svc := range d.Services {
		s.Services = append(s.Services, settings.Service{
			Name: svc.Name, SlotsPerWorker: svc.Slots, ConnectionsPerWorker: d.Connections,
			TimeoutMs: int(svc.Timeout.Milliseconds()),
		})
	}
	return &s
}

// ConnectTime returns the time to open a connection to a worker.
func (d Deployment) ConnectTime() time.Duration { return _connectTime }

// ProbeTime returns the time that a probe takes.
func (d Deployment) ProbeTime() time.Duration { return _probeTime }

func benSalah() Deployment {
	d := Deployment{
		Name:        "ben-salah",
		Regions:     regions("tunis", "sfax", "sousse"),
		ZoneOneWay:  4 * time.Millisecond,
		Connections: 330,
		Services: []Service{
			{"calendrier", 16, 5, _defaultServiceTime, _defaultTimeout},
			{"commandes", 12, 3, _defaultServiceTime, _defaultTimeout},
			{"maquettes", 12, 3, _defaultServiceTime, _documentTimeout},
			{"devis", 12, 3, _defaultServiceTime, _defaultTimeout},
		},
	}
	d.fillCommon(4000)
	d.Lists = sampleLists(d, []samplePlan{
		{"boutiques", 1, 40, "boulangerie"},
		{"peintres", 2, 24, "atelier"},
		{"visiteurs", 3, 12, "passants"},
	})
	return d
}

func lederer() Deployment {
	d := Deployment{
		Name:        "lederer",
		Regions:     regions("eu-alpen", "eu-nord", "eu-west"),
		ZoneOneWay:  5 * time.Millisecond,
		Connections: 390,
		Services: []Service{
			{"katalog", 16, 5, _defaultServiceTime, _defaultTimeout},
			{"bestellung", 12, 4, _defaultServiceTime, _defaultTimeout},
			{"dokumente", 12, 3, _defaultServiceTime, _documentTimeout},
			{"lager", 12, 3, _defaultServiceTime, _defaultTimeout},
		},
	}
	d.fillCommon(320)
	d.Lists = sampleLists(d, []samplePlan{
		{"handel", 1, 40, "brunnthaler"},
		{"laden", 2, 24, "handschuh"},
		{"besucher", 3, 12, "gast"},
	})
	return d
}

// fillCommon sets what both deployments have in common: ten instances in six zones,
// and a link with the given bandwidth between every two regions.
func (d *Deployment) fillCommon(mbitPerSecond int) {
	d.CallerOneWay = _callerOneWay
	d.Instances = make(map[string]int)
	for i, z := range d.Zones() {
		d.Instances[z.Name] = 2
		if i >= 4 {
			d.Instances[z.Name] = 1
		}
	}
	for i, a := range d.Regions {
		for _, b := range d.Regions[i+1:] {
			d.Links = append(d.Links, settings.Link{
				From: a.Name, To: b.Name, OneWayMs: _regionOneWayMs, MbitPerSecond: mbitPerSecond,
			})
		}
	}
}

func regions(names ...string) []settings.Region {
	list := make([]settings.Region, len(names))
	for i, name := range names {
		list[i] = settings.Region{Name: name, Zones: []string{name + "-a", name + "-b"}}
	}
	return list
}

type samplePlan struct {
	name       string
	priority   int
	shiftSlots int
	customer   string
}

// sampleLists returns lists in which each plan has one customer in each region. The
// blocks of client addresses are loopback addresses, so that the demo can use them.
func sampleLists(d Deployment, plans []samplePlan) plan.Lists {
	const allowedSlots = 400
	var lists plan.Lists
	for i, p := range plans {
		item := plan.Plan{Name: p.name, Priority: p.priority, ShiftSlots: p.shiftSlots}
		for j, r := range d.Regions {
			item.Customers = append(item.Customers, plan.CustomerEntry{
				Name: p.customer + "-" + r.Name, HomeRegion: r.Name,
				Blocks: []string{fmt.Sprintf("127.%d.%d.0/24", 10+j, i)},
			})
			for _, svc := range d.Services {
				lists.Allowances = append(lists.Allowances, plan.Allowance{
					Plan: p.name, Region: r.Name, Service: svc.Name, Slots: allowedSlots, MbitPerSecond: 1000,
				})
			}
		}
		lists.Plans = append(lists.Plans, item)
	}
	return lists
}
