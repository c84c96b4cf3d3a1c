package plan

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// Buckets is the number of parts into which lists are divided. With 130,000
// blocks in the lists a part holds about 80 KB.
const Buckets = 64

// Part is one bucket of the lists in encoded form, addressed by the digest of
// its content.
type Part struct {
	Digest string
	Data   []byte
}

type partPlan struct {
	Name       string `json:"name"`
	Priority   int    `json:"priority"`
	ShiftSlots int    `json:"shiftSlots"`
}

type partCustomer struct {
	Plan string `json:"plan"`
	CustomerEntry
}

type partBody struct {
	Plans      []partPlan     `json:"plans,omitempty"`
	Customers  []partCustomer `json:"customers,omitempty"`
	Allowances []Allowance    `json:"allowances,omitempty"`
}

// Split divides lists into Buckets parts by the hash of plan and customer names.
// The parts do not depend on the order of plans, customers and allowances. An
// empty bucket has an empty digest.
func Split(lists Lists) []Part {
	bodies := make([]partBody, Buckets)
	for _, p := range lists.Plans {
		b := &bodies[bucketOf(p.Name)]
		b.Plans = append(b.Plans, partPlan{p.Name, p.Priority, p.ShiftSlots})
		for _, c := range p.Customers {
			cb := &bodies[bucketOf(c.Name)]
			cb.Customers = append(cb.Customers, partCustomer{Plan: p.Name, CustomerEntry: c})
		}
	}
	for _, a := range lists.Allowances {
		b := &bodies[bucketOf(a.Plan)]
		b.Allowances = append(b.Allowances, a)
	}
	parts := make([]Part, Buckets)
	for i := range bodies {
		parts[i] = encodePart(&bodies[i])
	}
	return parts
}

// Join combines the content of parts into lists, sorted by name. It fails if a
// part cannot be decoded or a customer's plan is missing.
func Join(data [][]byte) (Lists, error) {
	var (
		lists     Lists
		plans     = make(map[string]int)
		customers []partCustomer
	)
	for _, d := range data {
		if len(d) == 0 {
			continue
		}
		var body partBody
		if err := json.Unmarshal(d, &body); err != nil {
			return Lists{}, errors.Wrap(err, "decode part")
		}
		for _, p := range body.Plans {
			lists.Plans = append(lists.Plans, Plan{Name: p.Name, Priority: p.Priority, ShiftSlots: p.ShiftSlots})
		}
		customers = append(customers, body.Customers...)
		lists.Allowances = append(lists.Allowances, body.Allowances...)
	}
	sort.Slice(lists.Plans, func(i, j int) bool { return lists.Plans[i].Name < lists.Plans[j].Name })
	sort.Slice(customers, func(i, j int) bool { return customers[i].Name < customers[j].Name })
	sort.Slice(lists.Allowances, func(i, j int) bool { return allowanceLess(lists.Allowances[i], lists.Allowances[j]) })
	for i, p := range lists.Plans {
		plans[p.Name] = i
	}
	for _, c := range customers {
		i, ok := plans[c.Plan]
		if !ok {
			return Lists{}, errors.Errorf("customer %q refers to unknown plan %q", c.Name, c.Plan)
		}
		lists.Plans[i].Customers = append(lists.Plans[i].Customers, c.CustomerEntry)
	}
	return lists, nil
}

// Digest returns the content address of a part: a truncated SHA-256 hash in hex,
// or an empty string for empty data.
func Digest(data []byte) string {
	if len(data) == 0 {
		return ""
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:16])
}

func encodePart(body *partBody) Part {
	if len(body.Plans)+len(body.Customers)+len(body.Allowances) == 0 {
		return Part{}
	}
	sort.Slice(body.Plans, func(i, j int) bool { return body.Plans[i].Name < body.Plans[j].Name })
	sort.Slice(body.Customers, func(i, j int) bool { return body.Customers[i].Name < body.Customers[j].Name })
	sort.Slice(body.Allowances, func(i, j int) bool { return allowanceLess(body.Allowances[i], body.Allowances[j]) })
	data, err := json.Marshal(body)
	if err != nil {
		return Part{} // unreachable: the body holds only strings and numbers
	}
	return Part{Digest: Digest(data), Data: data}
}

func allowanceLess(a, b Allowance) bool {
	if a.Plan != b.Plan {
		return a.Plan < b.Plan
	}
	if a.Region != b.Region {
		return a.Region < b.Region
	}
	return a.Service < b.Service
}

func bucketOf(name string) int {
	return int(xxhash.Sum64String(name) % Buckets)
}
