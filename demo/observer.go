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

// occupancy counts, at the workers, what arrives in each region and service,
// and the moved requests that arrive where more is open than there are slots.
type occupancy struct {
	homes map[string]string

	mu         sync.Mutex
	slots      map[station]int
	open       map[station]int
	overloaded int
	moved      int
}

type station struct {
	region  string
	service string
}

func newOccupancy(d deployment.Deployment) *occupancy {
	o := &occupancy{homes: make(map[string]string), slots: make(map[station]int), open: make(map[station]int)}
	for _, p := range d.Lists.Plans {
		for _, c := range p.Customers {
			o.homes[c.Name] = c.HomeRegion
		}
	}
	return o
}

func (o *occupancy) addSlots(region, service string, slots int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.slots[station{region, service}] += slots
}

// arrive counts a request and returns the function that ends it.
func (o *occupancy) arrive(region, service, customer string) func() {
	at := station{region, service}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open[at]++
	if o.homes[customer] != region {
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

// capChange is a version of the lists and the time at which it was accepted.
type capChange struct {
	at    time.Time
	lists plan.Lists
}

// observer judges a run by the workers' own records and what callers saw.
type observer struct {
	lists   plan.Lists
	homes   map[string]string
	runs    []standin.Run
	regions []string
	caps    []capChange
	// window is the time for which a replaced cap may still be in force.
	window time.Duration
}

func newObserver(c *loopback.Cluster, oc *occupancy, caps []capChange, window time.Duration) *observer {
	o := &observer{lists: c.Deployment.Lists, homes: oc.homes, caps: caps, window: window}
	for _, w := range c.Workers {
		for _, r := range w.Runs() {
			o.runs = append(o.runs, r)
			o.regions = append(o.regions, w.Region)
		}
	}
	return o
}

// duplicatePayments counts idempotency keys that ran more than once.
func (o *observer) duplicatePayments() int {
	seen := make(map[string]int)
	duplicates := 0
	for _, r := range o.runs {
		if r.IdempotencyKey == "" {
			continue
		}
		seen[r.IdempotencyKey]++
		if seen[r.IdempotencyKey] == 2 {
			duplicates++
		}
	}
	return duplicates
}

// falseNotRun counts requests that a caller was told were not run, and that a
// worker ran.
func (o *observer) falseNotRun(told map[string]retry.Outcome) int {
	count := 0
	for _, r := range o.runs {
		if told[r.RequestID] == retry.NotRun {
			count++
		}
	}
	return count
}

// capBreaches counts the moments at which a plan occupied more slots outside
// the home regions of its customers than any cap in force within the window.
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
		if o.homes[r.Customer] == o.regions[i] || r.End.IsZero() {
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
