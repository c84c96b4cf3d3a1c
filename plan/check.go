package plan

import (
	"fmt"
	"net/netip"
	"os"

	"github.com/go-faster/errors"

	"github.com/wigeonlock/wigeonlock/findings"
)

const (
	// MaxNameBytes is the longest name of a plan, customer, region or service.
	MaxNameBytes      = 200
	_maxPriority      = 100
	_maxSlots         = 1_000_000
	_maxMbitPerSecond = 1_000_000
	_maxPartBytes     = 1 << 20
)

// Load reads and checks both lists. The error is a *findings.Error if the checks
// find problems.
func Load(plansFile, allowancesFile string) (Lists, error) {
	plans, err := os.ReadFile(plansFile)
	if err != nil {
		return Lists{}, errors.Wrap(err, "read plans")
	}
	allowances, err := os.ReadFile(allowancesFile)
	if err != nil {
		return Lists{}, errors.Wrap(err, "read allowances")
	}
	return Parse(plansFile, plans, allowancesFile, allowances)
}

// Parse decodes and checks both lists. The file names are used in findings. The
// error is a *findings.Error with all problems.
func Parse(plansFile string, plans []byte, allowancesFile string, allowances []byte) (Lists, error) {
	var (
		list  findings.List
		lists Lists
	)
	plansDoc := findings.Parse(plansFile, plans, &list)
	allowancesDoc := findings.Parse(allowancesFile, allowances, &list)

	var planList struct {
		Plans []Plan `json:"plans"`
	}
	plansDoc.Decode(&planList, &list)
	lists.Plans = planList.Plans

	var allowanceList struct {
		Allowances []Allowance `json:"allowances"`
	}
	allowancesDoc.Decode(&allowanceList, &list)
	lists.Allowances = allowanceList.Allowances

	if plansDoc.OK() {
		checkPlans(plansDoc, &list, lists.Plans)
	}
	if plansDoc.OK() && allowancesDoc.OK() {
		checkAllowances(allowancesDoc, &list, lists)
	}
	if list.Empty() {
		checkParts(plansDoc, &list, lists)
	}
	if err := list.Err(); err != nil {
		return Lists{}, err
	}
	return lists, nil
}

func checkPlans(doc *findings.Document, list *findings.List, plans []Plan) {
	names := make(map[string]struct{}, len(plans))
	customers := make(map[string]string)
	blocks := make(map[netip.Prefix]string)
	for i, p := range plans {
		at := fmt.Sprintf("/plans/%d", i)
		checkName(doc, list, at+"/name", "plan", p.Name)
		if _, duplicate := names[p.Name]; duplicate {
			doc.Add(list, at+"/name", "plan %q is listed twice", p.Name)
		}
		names[p.Name] = struct{}{}
		doc.AddOutOfRange(list, at+"/priority", p.Priority, 1, _maxPriority)
		doc.AddOutOfRange(list, at+"/shiftSlots", p.ShiftSlots, 0, _maxSlots)
		for j, c := range p.Customers {
			atCustomer := fmt.Sprintf("%s/customers/%d", at, j)
			checkName(doc, list, atCustomer+"/name", "customer", c.Name)
			checkName(doc, list, atCustomer+"/homeRegion", "home region", c.HomeRegion)
			if other, duplicate := customers[c.Name]; duplicate {
				doc.Add(list, atCustomer+"/name", "customer %q is already in plan %q", c.Name, other)
			}
			customers[c.Name] = p.Name
			checkBlocks(doc, list, atCustomer, c, blocks)
		}
	}
}

func checkBlocks(doc *findings.Document, list *findings.List, at string, c CustomerEntry, seen map[netip.Prefix]string) {
	for i, text := range c.Blocks {
		pointer := fmt.Sprintf("%s/blocks/%d", at, i)
		block, err := netip.ParsePrefix(text)
		if err != nil {
			doc.Add(list, pointer, "%q is not an address block in CIDR notation such as 10.1.0.0/16", text)
			continue
		}
		if block != block.Masked() {
			doc.Add(list, pointer, "%q has address bits set beyond its prefix length; did you mean %q?", text, block.Masked())
			continue
		}
		if other, duplicate := seen[block]; duplicate {
			doc.Add(list, pointer, "block %q already belongs to customer %q", text, other)
			continue
		}
		seen[block] = c.Name
	}
}

func checkAllowances(doc *findings.Document, list *findings.List, lists Lists) {
	names := make([]string, 0, len(lists.Plans))
	known := make(map[string]struct{}, len(lists.Plans))
	for _, p := range lists.Plans {
		names = append(names, p.Name)
		known[p.Name] = struct{}{}
	}
	seen := make(map[AllowanceKey]struct{}, len(lists.Allowances))
	for i, a := range lists.Allowances {
		at := fmt.Sprintf("/allowances/%d", i)
		if _, ok := known[a.Plan]; !ok {
			doc.AddUnknown(list, at+"/plan", "plan", a.Plan, names)
		}
		checkName(doc, list, at+"/region", "region", a.Region)
		checkName(doc, list, at+"/service", "service", a.Service)
		doc.AddOutOfRange(list, at+"/slots", a.Slots, 0, _maxSlots)
		doc.AddOutOfRange(list, at+"/mbitPerSecond", a.MbitPerSecond, 0, _maxMbitPerSecond)
		key := AllowanceKey{a.Plan, a.Region, a.Service}
		if _, duplicate := seen[key]; duplicate {
			doc.Add(list, at, "allowance of plan %q for %q in %q is listed twice", a.Plan, a.Service, a.Region)
		}
		seen[key] = struct{}{}
	}
}

// checkParts reports parts that exceed the largest value of the store.
func checkParts(doc *findings.Document, list *findings.List, lists Lists) {
	for _, part := range Split(lists) {
		if len(part.Data) > _maxPartBytes {
			doc.Add(list, "/plans", "a part of the lists has %d bytes; the limit of the store is %d", len(part.Data), _maxPartBytes)
		}
	}
}

func checkName(doc *findings.Document, list *findings.List, pointer, kind, name string) {
	switch {
	case name == "":
		doc.Add(list, pointer, "%s has no name", kind)
	case len(name) > MaxNameBytes:
		doc.Add(list, pointer, "name of %s is longer than %d bytes", kind, MaxNameBytes)
	}
}
