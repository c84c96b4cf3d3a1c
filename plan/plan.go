// Package plan holds the two lists that operators edit: the customers' plans,
// and what each plan may use in each region and service.
//
// Load checks both lists as a whole. A Book indexes accepted lists for
// look-ups by customer. Split cuts lists into parts such that an edit changes
// few of them, and Join puts them together again.
//
// # Usage
//
//	lists, err := plan.Load("plans.jsonc", "allowances.jsonc")
//	book := plan.NewBook(lists)
//	c, ok := book.Customer("brunnthaler")
package plan

import (
	"net/netip"
)

// Lists are the two lists together.
type Lists struct {
	Plans      []Plan      `json:"plans"`
	Allowances []Allowance `json:"allowances"`
}

// Plan is a contract with customers. Priority 1 is the highest. ShiftSlots is
// the cap on slots that the plan may occupy outside the home regions of its
// customers at any moment.
type Plan struct {
	Name       string          `json:"name"`
	Priority   int             `json:"priority"`
	ShiftSlots int             `json:"shiftSlots"`
	Customers  []CustomerEntry `json:"customers"`
}

// CustomerEntry is a customer with its home region and its blocks of client addresses.
type CustomerEntry struct {
	Name       string   `json:"name"`
	HomeRegion string   `json:"homeRegion"`
	Blocks     []string `json:"blocks"`
}

// Allowance is what a plan may use of a service in a region.
type Allowance struct {
	Plan          string `json:"plan"`
	Region        string `json:"region"`
	Service       string `json:"service"`
	Slots         int    `json:"slots"`
	MbitPerSecond int    `json:"mbitPerSecond"`
}

// Customer is a customer as a Book indexes it.
type Customer struct {
	Name       string
	HomeRegion string
	Plan       *Plan
}

// AllowanceKey is a plan's use of a service in a region.
type AllowanceKey struct {
	Plan    string
	Region  string
	Service string
}

// Index indexes accepted lists. It is immutable.
type Index struct {
	lists      Lists
	plans      map[string]*Plan
	tenants    map[string]*Customer
	allowances map[AllowanceKey]Allowance
}

// NewIndex indexes checked lists.
func NewIndex(lists Lists) *Index {
	b := &Index{
		lists:      lists,
		plans:      make(map[string]*Plan, len(lists.Plans)),
		tenants:    make(map[string]*Customer),
		allowances: make(map[AllowanceKey]Allowance, len(lists.Allowances)),
	}
	for i := range lists.Plans {
		p := &lists.Plans[i]
		b.plans[p.Name] = p
		for _, c := range p.Customers {
			b.tenants[c.Name] = &Customer{Name: c.Name, HomeRegion: c.HomeRegion, Plan: p}
		}
	}
	for _, a := range lists.Allowances {
		b.allowances[AllowanceKey{a.Plan, a.Region, a.Service}] = a
	}
	return b
}

// Customer returns the customer with the given name.
func (b *Index) Customer(name string) (*Customer, bool) {
	t, ok := b.tenants[name]
	return t, ok
}

// Plan returns the plan with the given name.
func (b *Index) Plan(name string) (*Plan, bool) {
	p, ok := b.plans[name]
	return p, ok
}

// Plans returns all plans in the order of the list.
func (b *Index) Plans() []Plan {
	return b.lists.Plans
}

// Lists returns the lists that the book indexes.
func (b *Index) Lists() Lists {
	return b.lists
}

// Allowance returns what a plan may use; the zero Allowance permits nothing.
func (b *Index) Allowance(p AllowanceKey) Allowance {
	return b.allowances[p]
}

// EachBlock calls yield for each block of client addresses.
func (b *Index) EachBlock(yield func(netip.Prefix, *Customer)) {
	for i := range b.lists.Plans {
		for _, c := range b.lists.Plans[i].Customers {
			t := b.tenants[c.Name]
			for _, block := range c.Blocks {
				if p, err := netip.ParsePrefix(block); err == nil {
					yield(p.Masked(), t)
				}
			}
		}
	}
}
