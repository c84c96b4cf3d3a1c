// Package plan holds the two lists that operators edit: the plans with their
// customers, and the allowances that limit what a plan may use of a service in
// a region.
//
// Load reads and checks both lists. An Index provides lookups in accepted
// lists. Split divides lists into parts so that an edit changes few of them, and
// Join combines the parts again.
//
// # Usage
//
//	lists, err := plan.Load("plans.jsonc", "allowances.jsonc")
//	index := plan.NewIndex(lists)
//	customer, ok := index.Customer("brunnthaler")
package plan

import (
	"net/netip"
)

// Lists holds the plans and the allowances of one version.
type Lists struct {
	Plans      []Plan      `json:"plans"`
	Allowances []Allowance `json:"allowances"`
}

// Plan is a contract with customers. Priority 1 is the highest. ShiftSlots is
// the shift cap: the largest number of slots that the plan may occupy at any
// time outside the home regions of its customers.
type Plan struct {
	Name       string          `json:"name"`
	Priority   int             `json:"priority"`
	ShiftSlots int             `json:"shiftSlots"`
	Customers  []CustomerEntry `json:"customers"`
}

// CustomerEntry is a customer listed under a plan, with its home region and its
// blocks of client addresses in CIDR notation.
type CustomerEntry struct {
	Name       string   `json:"name"`
	HomeRegion string   `json:"homeRegion"`
	Blocks     []string `json:"blocks"`
}

// Allowance limits what a plan may use of a service in a region.
type Allowance struct {
	Plan          string `json:"plan"`
	Region        string `json:"region"`
	Service       string `json:"service"`
	Slots         int    `json:"slots"`
	MbitPerSecond int    `json:"mbitPerSecond"`
}

// Customer is a customer in an Index, with its home region and plan.
type Customer struct {
	Name       string
	HomeRegion string
	Plan       *Plan
}

// AllowanceKey identifies an allowance by plan, region and service.
type AllowanceKey struct {
	Plan    string
	Region  string
	Service string
}

// Index provides lookups in accepted lists. It is immutable and safe for
// concurrent use.
type Index struct {
	lists      Lists
	plans      map[string]*Plan
	customers  map[string]*Customer
	allowances map[AllowanceKey]Allowance
}

// NewIndex returns an index of checked lists. The lists must not be changed
// afterwards.
func NewIndex(lists Lists) *Index {
	x := &Index{
		lists:      lists,
		plans:      make(map[string]*Plan, len(lists.Plans)),
		customers:  make(map[string]*Customer),
		allowances: make(map[AllowanceKey]Allowance, len(lists.Allowances)),
	}
	for i := range lists.Plans {
		p := &lists.Plans[i]
		x.plans[p.Name] = p
		for _, c := range p.Customers {
			x.customers[c.Name] = &Customer{Name: c.Name, HomeRegion: c.HomeRegion, Plan: p}
		}
	}
	for _, a := range lists.Allowances {
		x.allowances[AllowanceKey{a.Plan, a.Region, a.Service}] = a
	}
	return x
}

// Customer returns the customer with the given name.
func (x *Index) Customer(name string) (*Customer, bool) {
	c, ok := x.customers[name]
	return c, ok
}

// Plan returns the plan with the given name.
func (x *Index) Plan(name string) (*Plan, bool) {
	p, ok := x.plans[name]
	return p, ok
}

// Plans returns all plans in the order of the lists. The result must not be
// changed.
func (x *Index) Plans() []Plan {
	return x.lists.Plans
}

// Lists returns the lists from which the index was built.
func (x *Index) Lists() Lists {
	return x.lists
}

// Allowance returns the allowance with the given key, or the zero Allowance,
// which permits nothing.
func (x *Index) Allowance(key AllowanceKey) Allowance {
	return x.allowances[key]
}

// EachBlock calls yield for each block of client addresses and its customer.
func (x *Index) EachBlock(yield func(netip.Prefix, *Customer)) {
	for i := range x.lists.Plans {
		for _, c := range x.lists.Plans[i].Customers {
			customer := x.customers[c.Name]
			for _, block := range c.Blocks {
				if p, err := netip.ParsePrefix(block); err == nil {
					yield(p.Masked(), customer)
				}
			}
		}
	}
}
