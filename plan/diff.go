package plan

import (
	"fmt"
	"reflect"
	"sort"
)

// ChangeKind is the kind of a change to an item.
type ChangeKind string

const (
	// Added means that the item is new.
	Added ChangeKind = "added"
	// Removed means that the item no longer exists.
	Removed ChangeKind = "removed"
	// Changed means that values of the item differ.
	Changed ChangeKind = "changed"
)

// Change is one difference between two versions of the lists.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Item describes the plan, customer or allowance.
	Item string `json:"item"`
}

// String formats the change for operators.
func (c Change) String() string {
	return fmt.Sprintf("%s %s", c.Kind, c.Item)
}

// Diff returns the changes from one version of the lists to another, sorted by
// item. The order of the lists has no effect.
func Diff(from, to Lists) []Change {
	before, after := items(from), items(to)
	var changes []Change
	for name, item := range before {
		other, ok := after[name]
		switch {
		case !ok:
			changes = append(changes, Change{Removed, name})
		case !reflect.DeepEqual(item, other):
			changes = append(changes, Change{Changed, name})
		}
	}
	for name := range after {
		if _, ok := before[name]; !ok {
			changes = append(changes, Change{Added, name})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Item < changes[j].Item })
	return changes
}

func items(lists Lists) map[string]any {
	all := make(map[string]any, len(lists.Plans)+len(lists.Allowances))
	for _, p := range lists.Plans {
		customers := append([]CustomerEntry(nil), p.Customers...)
		sort.Slice(customers, func(i, j int) bool { return customers[i].Name < customers[j].Name })
		p.Customers = nil
		all[fmt.Sprintf("plan %q", p.Name)] = p
		for _, c := range customers {
			c.Blocks = append([]string{}, c.Blocks...)
			all[fmt.Sprintf("customer %q of plan %q", c.Name, p.Name)] = c
		}
	}
	for _, a := range lists.Allowances {
		all[fmt.Sprintf("allowance of plan %q for %q in %q", a.Plan, a.Service, a.Region)] = a
	}
	return all
}
