// Package draft checks a configuration before it is sent, and tells what differs from the
// version in force.
//
// A draft is what a configuration says, entry by entry, with the place of each in its document.
// Check finds what would surprise the operator: entries that can never match, references to
// nothing, and limits that contradict each other. Compare tells the differences by meaning, so
// that another order of entries or another spelling of a host is none. Keys appear only as
// fingerprints.
//
// # Usage
//
//	d, err := platform.DecodeDraft("next.json", data, &list)
//	d.Check(&list)
//	for _, c := range draft.Compare(inForce, d) {
//		fmt.Println(c)
//	}
package draft

import (
	"slices"
	"strings"

	"github.com/wigeonlock/wigeonlock/catalog"
	"github.com/wigeonlock/wigeonlock/findings"
	"github.com/wigeonlock/wigeonlock/team"
)

// Draft is a configuration that is not in force. Its entries are in the order of the document.
type Draft struct {
	Doc      *findings.Document
	Version  catalog.Version
	Limits   catalog.Limits
	Routes   []Route
	Services []Service
	Teams    []Team
	// HasTeams is set if callers need keys.
	HasTeams bool
}

// Route is a route and the JSON pointer of its entry.
type Route struct {
	catalog.Route
	// Attempts is the largest number of workers as the document states it.
	Attempts int
	Pointer  string
}

// Service is a service and the JSON pointer of its entry.
type Service struct {
	catalog.Service
	Pointer string
}

// Team is a team, its keys and the JSON pointer of its entry.
type Team struct {
	team.Team
	Keys    []string
	Pointer string
}

// Check adds a finding for each problem of the draft.
func (d *Draft) Check(list *findings.List) {
	services := d.checkServices(list)
	d.checkRoutes(list, services)
	d.checkTeams(list)
	d.checkLimits(list)
}

// CheckSuccession adds a finding if the draft would not replace a version: only a higher one
// takes effect.
func (d *Draft) CheckSuccession(list *findings.List, inForce catalog.Version) {
	if d.Version <= inForce {
		d.Doc.Add(list, "/version", "version %d would have no effect: %d is in force", d.Version, inForce)
	}
}

func (d *Draft) checkServices(list *findings.List) []string {
	var names []string
	for _, s := range d.Services {
		switch {
		case s.Name == "":
			d.Doc.Add(list, s.Pointer, "service has no name")
		case slices.Contains(names, s.Name):
			d.Doc.Add(list, s.Pointer, "service %q is defined twice", s.Name)
		}
		names = append(names, s.Name)
		if s.ColdTime > 0 && s.ColdRate <= 0 {
			d.Doc.Add(list, s.Pointer, "service %q takes no requests while it is cold, so it can never become warm", s.Name)
		}
		if s.MaxConnections < 0 {
			d.Doc.Add(list, s.Pointer, "service %q has a negative limit of connections", s.Name)
		}
	}
	return names
}

func (d *Draft) checkRoutes(list *findings.List, services []string) {
	type match struct{ host, prefix string }
	last := make(map[match]int)
	for i, r := range d.Routes {
		last[match{strings.ToLower(r.Host), r.Prefix}] = i
	}
	used := make(map[string]struct{})
	for i, r := range d.Routes {
		if winner := last[match{strings.ToLower(r.Host), r.Prefix}]; winner != i {
			d.Doc.Add(list, r.Pointer, "route %q can never match: route %q has the same host and prefix", r.Name, d.Routes[winner].Name)
		}
		d.checkMatch(list, r)
		total := 0.0
		for _, s := range r.Shares {
			used[s.Service] = struct{}{}
			total += s.Weight
			if !slices.Contains(services, s.Service) {
				d.Doc.AddUnknown(list, r.Pointer, "service", s.Service, services)
			}
			if s.Weight < 0 {
				d.Doc.Add(list, r.Pointer, "route %q gives service %q a negative weight", r.Name, s.Service)
			}
		}
		if len(r.Shares) == 0 {
			d.Doc.Add(list, r.Pointer, "route %q has no service", r.Name)
		} else if total <= 0 {
			d.Doc.Add(list, r.Pointer, "the weights of route %q add up to nothing", r.Name)
		}
		if r.Timeout > 0 && r.Objective > r.Timeout {
			d.Doc.Add(list, r.Pointer, "route %q has an objective of %v above its timeout of %v", r.Name, r.Objective, r.Timeout)
		}
		if r.Attempts < 1 {
			d.Doc.Add(list, r.Pointer, "route %q allows %d attempts", r.Name, r.Attempts)
		}
		if r.Open && !d.HasTeams {
			d.Doc.Add(list, r.Pointer, "route %q is open to callers without a key, but no caller needs one", r.Name)
		}
	}
	for _, s := range d.Services {
		if _, ok := used[s.Name]; !ok {
			d.Doc.Add(list, s.Pointer, "no route leads to service %q", s.Name)
		}
	}
}

// checkMatch finds hosts and prefixes that no request has.
func (d *Draft) checkMatch(list *findings.List, r Route) {
	switch {
	case r.Host == "":
		d.Doc.Add(list, r.Pointer, "route %q can never match: it has no host", r.Name)
	case strings.Contains(r.Host, ":"):
		d.Doc.Add(list, r.Pointer, "route %q can never match: hosts are compared without their port, and %q has one", r.Name, r.Host)
	}
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		d.Doc.Add(list, r.Pointer, "prefix %q does not begin and end with a slash", r.Prefix)
	case strings.ContainsAny(r.Prefix, "?# "):
		d.Doc.Add(list, r.Pointer, "route %q can never match: no path contains %q", r.Name, r.Prefix)
	}
}

func (d *Draft) checkTeams(list *findings.List) {
	names := make(map[string]struct{})
	holders := make(map[string]string)
	for _, t := range d.Teams {
		if _, twice := names[t.Name]; twice {
			d.Doc.Add(list, t.Pointer, "team %q is defined twice", t.Name)
		}
		names[t.Name] = struct{}{}
		if t.Name == "" {
			d.Doc.Add(list, t.Pointer, "team has no name")
		}
		if len(t.Keys) == 0 {
			d.Doc.Add(list, t.Pointer, "team %q has no key, so no caller can be of it", t.Name)
		}
		for _, key := range t.Keys {
			switch holder, held := holders[key]; {
			case key == "":
				d.Doc.Add(list, t.Pointer, "team %q has an empty key", t.Name)
			case held && holder != t.Name:
				d.Doc.Add(list, t.Pointer, "teams %q and %q hold the same key %s: it is refused", holder, t.Name, Fingerprint(key))
			case held:
				d.Doc.Add(list, t.Pointer, "team %q holds key %s twice", t.Name, Fingerprint(key))
			default:
				holders[key] = t.Name
			}
		}
		if t.PerSecond < 0 || t.Burst < 0 {
			d.Doc.Add(list, t.Pointer, "team %q has a negative limit", t.Name)
		}
		if t.PerSecond == 0 && t.Burst > 0 {
			d.Doc.Add(list, t.Pointer, "team %q has a burst of %g, but no rate: nothing limits it", t.Name, t.Burst)
		}
		if t.PerSecond > 0 && t.PerSecond < 1 && t.Burst == 0 {
			d.Doc.Add(list, t.Pointer, "team %q has a rate of %g a second and no burst: it can wait %.1f s for a request", t.Name, t.PerSecond, 1/t.PerSecond)
		}
		d.checkHomes(list, t)
	}
}

// checkHomes finds routes that can serve no request of a team, since both have homes.
func (d *Draft) checkHomes(list *findings.List, t Team) {
	for _, r := range d.Routes {
		if len(t.Homes) > 0 && len(r.Homes) > 0 && !r.Open && !slices.ContainsFunc(t.Homes, r.MayServe) {
			d.Doc.Add(list, t.Pointer, "no region may serve team %q on route %q: their homes have none in common", t.Name, r.Name)
		}
	}
}

func (d *Draft) checkLimits(list *findings.List) {
	limits := []struct {
		name  string
		value int64
	}{
		{"header bytes", int64(d.Limits.HeaderBytes)},
		{"body bytes", int64(d.Limits.BodyBytes)},
		{"header time", int64(d.Limits.HeaderTime)},
		{"idle time", int64(d.Limits.IdleTime)},
	}
	for _, l := range limits {
		if l.value <= 0 {
			d.Doc.Add(list, "/limits", "the limit of %s is not above 0", l.name)
		}
	}
}
