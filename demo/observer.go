package demo

import (
	"sort"
	"sync"
	"time"

	"github.com/wigeonlock/wigeonlock/deployment"
	"github.com/wigeonlock/wigeonlock/deployment/loopback"
	"github.com/wigeonlock/wigeonlock/plan"
	"github.com/wigeonlock/wigeonlock/retry"
	"github.com/wigeonlock/wigeonlock/standin"
)

// occupancy counts the requests open at the workers of each region and service. It
// also counts the requests moved out of their home region, and how many of these
// arrived when more requests were open than the region has slots for the service.
type occupancy struct {
	homeRegions map[string]string

	mu         sync.Mutex
	slots      map[regionService]int
	open       map[regionService]int
	overloaded int
	moved      int
}

// regionService identifies a service in a region.
type regionService struct {
	region  string
	service string
}

func newOccupancy(d deployment.Deployment) *occupancy {
	o := &occupancy{homeRegions: make(map[string]string), slots: make(map[regionService]int), open: make(map[regionService]int)}
	for _, p := range d.Lists.Plans {
		for _, c := range p.Customers {
			o.homeRegions[c.Name] = c.HomeRegion
		}
	}
	return o
}

func (o *occupancy) addSlots(region, service string, slots int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.slots[regionService{region, service}] += slots
}

// recordArrival counts a request as open and returns the function to call when it ends.
func (o *occupancy) recordArrival(region, service, customer string) func() {
	at := regionService{region, service}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open[at]++
	if o.homeRegions[customer] != region {
		o.moved++
		if o.open[at] > o.slots[at] {
			o.overloaded++
		}
	}
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.open[at]--
	}
}

// capChange is a version of the lists and the time when it was accepted.
type capChange struct {
	at    time.Time
	lists plan.Lists
}

// observer checks a run by the records of the workers and the outcomes that callers
// received.
type observer struct {
	lists       plan.Lists
	homeRegions map[string]string
	runs        []standin.Run
	regions     []string
	caps        []capChange
	// window is how long a replaced cap may still be active.
	window time.Duration
}

func newObserver(c *loopback.Cluster, oc *occupancy, caps []capChange, window time.Duration) *observer {
	o := &observer{lists: c.Deployment.Lists, homeRegions: oc.homeRegions, caps: caps, window: window}
	for _, w := range c.Workers {
		for _, r := range w.Runs() {
			o.runs = append(o.runs, r)
			o.regions = append(o.regions, w.Region)
		}
	}
	return o
}

// duplicatePayments returns the number of idempotency keys that ran more than once.
func (o *observer) duplicatePayments() int {
	runsPerKey := make(map[string]int)
	duplicates := 0
	for _, r := range o.runs {
		if r.IdempotencyKey == "" {
			continue
		}
		runsPerKey[r.IdempotencyKey]++
		if runsPerKey[r.IdempotencyKey] == 2 {
			duplicates++
		}
	}
	return duplicates
}

// falseNotRun returns the number of requests that were reported to a caller as not
// run although a worker ran them.
func (o *observer) falseNotRun(reported map[string]retry.Outcome) int {
	count := 0
	for _, r := range o.runs {
		if reported[r.RequestID] == retry.NotRun {
			count++
		}
	}
	return count
}

// capBreaches returns the number of shifted requests at whose start their plan used
// more slots outside the home regions of its customers than any shift cap that may
// have been active then.
func (o *observer) capBreaches() int {
	planOf := make(map[string]string)
	for _, p := range o.lists.Plans {
		for _, c := range p.Customers {
			planOf[c.Name] = p.Name
		}
	}
	type edge struct {
		at    time.Time
		plan  string
		delta int
	}
	var edges []edge
	for i, r := range o.runs {
		if o.homeRegions[r.Customer] == o.regions[i] || r.End.IsZero() {
			continue
		}
		edges = append(edges, edge{r.Start, planOf[r.Customer], 1}, edge{r.End, planOf[r.Customer], -1})
	}
	sort.Slice(edges, func(i, j int) bool {
		if !edges[i].at.Equal(edges[j].at) {
			return edges[i].at.Before(edges[j].at)
		}
		return edges[i].delta < edges[j].delta
	})
	used := make(map[string]int)
	breaches := 0
	for _, e := range edges {
		used[e.plan] += e.delta
		if e.delta > 0 && used[e.plan] > o.capAt(e.plan, e.at) {
			breaches++
		}
	}
	return breaches
}

// capAt returns the highest shift cap of a plan that may have been active at a time.
func (o *observer) capAt(name string, at time.Time) int {
	limit := 0
	for i, c := range o.caps {
		replaced := i+1 < len(o.caps) && o.caps[i+1].at.Add(o.window).Before(at)
		if c.at.After(at) || replaced {
			continue
		}
		for _, p := range c.lists.Plans {
			if p.Name == name {
				limit = max(limit, p.ShiftSlots)
			}
		}
	}
	return limit
}
