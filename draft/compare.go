package draft

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/wigeonlock/wigeonlock/catalog"
)

// _fingerprintBytes is the number of bytes of a key's hash that are shown: enough to tell the keys
// of a configuration apart.
const _fingerprintBytes = 4

// Fingerprint stands for a key in findings and changes.
func Fingerprint(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:_fingerprintBytes])
}

// ChangeKind is what a change concerns.
type ChangeKind string

// Kinds of changes.
const (
	RouteChange   ChangeKind = "route"
	ServiceChange ChangeKind = "service"
	TeamChange    ChangeKind = "team"
	LimitsChange  ChangeKind = "limits"
)

// Change is a difference between two configurations.
type Change struct {
	Kind ChangeKind `json:"kind"`
	Name string     `json:"name"`
	// Field is the field that differs, empty for an entry that only one of them has.
	Field string `json:"field,omitempty"`
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
}

// String formats a change as a line.
func (c Change) String() string {
	name := string(c.Kind)
	if c.Name != "" {
		name += fmt.Sprintf(" %q", c.Name)
	}
	switch {
	case c.Field != "":
		return fmt.Sprintf("%s: %s %s -> %s", name, c.Field, c.From, c.To)
	case c.From == "":
		return "+ " + name + ": " + c.To
	default:
		return "- " + name + ": " + c.From
	}
}

// field is a field of an entry, formatted.
type field struct {
	name  string
	value string
}

// entry is an entry of a configuration, formatted for a comparison.
type entry struct {
	kind   ChangeKind
	id     string
	name   string
	fields []field
}

func (e entry) summary() string {
	parts := make([]string, 0, len(e.fields))
	for _, f := range e.fields {
		if f.value != _none {
			parts = append(parts, f.name+" "+f.value)
		}
	}
	return strings.Join(parts, ", ")
}

// Compare returns what differs in the second draft from the first, by meaning: routes are the
// same if their hosts and prefixes are.
func Compare(before, after *Draft) []Change {
	var changes []Change
	old, next := before.entries(), after.entries()
	known := make(map[string]entry, len(old))
	for _, e := range old {
		known[string(e.kind)+"/"+e.id] = e
	}
	kept := make(map[string]struct{}, len(next))
	for _, e := range next {
		key := string(e.kind) + "/" + e.id
		kept[key] = struct{}{}
		earlier, ok := known[key]
		if !ok {
			changes = append(changes, Change{Kind: e.kind, Name: e.name, To: e.summary()})
			continue
		}
		for i, f := range e.fields {
			if earlier.fields[i].value != f.value {
				changes = append(changes, Change{Kind: e.kind, Name: e.name, Field: f.name, From: earlier.fields[i].value, To: f.value})
			}
		}
	}
	for _, e := range old {
		if _, ok := kept[string(e.kind)+"/"+e.id]; !ok {
			changes = append(changes, Change{Kind: e.kind, Name: e.name, From: e.summary()})
		}
	}
	return changes
}

func (d *Draft) entries() []entry {
	var entries []entry
	for _, r := range d.Routes {
		entries = append(entries, entry{RouteChange, strings.ToLower(r.Host) + r.Prefix, r.Name, []field{
			{"name", r.Name},
			{"host", strings.ToLower(r.Host)},
			{"prefix", r.Prefix},
			{"kind", string(r.Kind)},
			{"services", shares(r.Shares)},
			{"timeout", r.Timeout.String()},
			{"objective", r.Objective.String()},
			{"attempts", fmt.Sprint(r.Attempts)},
			{"rank", fmt.Sprint(r.Priority)},
			{"sticky", fmt.Sprint(r.Sticky)},
			{"homes", set(r.Homes)},
			{"open", fmt.Sprint(r.Open)},
		}})
	}
	for _, s := range d.Services {
		entries = append(entries, entry{ServiceChange, s.Name, s.Name, []field{
			{"connections", fmt.Sprint(s.MaxConnections)}, {"cold time", s.ColdTime.String()}, {"cold rate", fmt.Sprint(s.ColdRate)},
		}})
	}
	for _, t := range d.Teams {
		rank := _none
		if t.HasRank {
			rank = fmt.Sprint(t.Rank)
		}
		keys := make([]string, 0, len(t.Keys))
		for _, key := range t.Keys {
			keys = append(keys, Fingerprint(key))
		}
		entries = append(entries, entry{TeamChange, t.Name, t.Name, []field{
			{"keys", set(keys)}, {"homes", set(t.Homes)}, {"rank", rank}, {"rate", fmt.Sprint(t.PerSecond)}, {"burst", fmt.Sprint(t.Burst)},
		}})
	}
	return append(entries, entry{LimitsChange, "", "", []field{
		{"header bytes", fmt.Sprint(d.Limits.HeaderBytes)},
		{"body bytes", fmt.Sprint(d.Limits.BodyBytes)},
		{"header time", d.Limits.HeaderTime.String()},
		{"idle time", d.Limits.IdleTime.String()},
	}})
}

// _none stands for an empty list or a field that is not set.
const _none = "none"

// set formats a list whose order has no meaning.
func set(values []string) string {
	if len(values) == 0 {
		return _none
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return strings.Join(slices.Compact(sorted), " ")
}

// shares formats the parts of a split by what each gets of the whole.
func shares(list []catalog.Share) string {
	total := 0.0
	for _, s := range list {
		total += s.Weight
	}
	parts := make([]string, 0, len(list))
	for _, s := range list {
		if total > 0 {
			parts = append(parts, fmt.Sprintf("%s=%.3g%%", s.Service, 100*s.Weight/total))
		} else {
			parts = append(parts, s.Service)
		}
	}
	return set(parts)
}
