// Package catalog holds one version of the active routes, services and limits,
// and finds the route of a request.
//
// A Catalog is immutable. Of two catalogs, the one with the higher version is
// valid, regardless of the order in which they arrive.
//
// # Usage
//
//	c, err := catalog.New(version, routes, services, limits)
//	route := c.Match("shop.example", "/orders/7")
//	if route == nil {
//		// no route matches
//	}
//	service := route.Pick(random)
package catalog

import (
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Kind classifies the requests of a route.
type Kind string

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "nonIdempotent"
	// Download requests are idempotent and have large answers.
	Download Kind = "download"
)

// Repeatable reports whether a request of this kind may run more than once.
func (k Kind) Repeatable() bool {
	return k != NonIdempotent
}

// Large reports whether the answers of this kind are large.
func (k Kind) Large() bool {
	return k == Download
}

// Share is the weight of a service in the traffic split of a route.
type Share struct {
	Service string
	Weight  float64
}

// Route configures the requests of a host under a path prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout limits the time to an answer; zero means no limit.
	Timeout time.Duration
	// Objective is the target latency: an answer within it has its full value.
	Objective time.Duration
	// MaxAttempts limits the number of workers to which one request is sent.
	MaxAttempts int
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// Sticky marks routes that are faster on workers that handled the object before.
	Sticky bool
	// Homes lists the regions that may serve the route; empty means all.
	Homes []string
	// Shares are the services with their weights; a plain route has one.
	Shares []Share
}

// Pick returns the service for a request, weighted by Shares. random is in [0, 1).
func (r *Route) Pick(random float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := random * total
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}

// MayServe reports whether a region may serve the route.
func (r *Route) MayServe(region string) bool {
	return len(r.Homes) == 0 || slices.Contains(r.Homes, region)
}

// Service is the configuration of a service.
type Service struct {
	Name string
	// MaxConnections limits the connections of all callers to one worker.
	MaxConnections int
	// ColdTime is how long a worker is cold after its start.
	ColdTime time.Duration
	// ColdRate is the number of requests per second that a cold worker tolerates from
	// all instances together.
	ColdRate float64
}

// Limits holds the limits for callers.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	// HeaderTime limits the time from the first to the last byte of a header.
	HeaderTime time.Duration
	// IdleTime is how long a connection may stay open without a request.
	IdleTime time.Duration
}

// Version orders catalogs; a higher version replaces a lower one.
type Version uint64

// Catalog is one version of all routes, services and limits. It is immutable.
type Catalog struct {
	Version  Version
	Limits   Limits
	services map[string]Service
	hosts    map[string]map[string]*Route
	// homes holds, by host, the regions that all routes with Homes have in common.
	homes map[string][]string
	count int
}

// ErrNoService is returned for a route without a service.
var ErrNoService = errors.New("route has no service")

// New builds a catalog. It fails if a route has no service.
func New(version Version, routes []Route, services []Service, limits Limits) (*Catalog, error) {
	c := &Catalog{
		Version: version, Limits: limits, count: len(routes),
		services: make(map[string]Service, len(services)),
		hosts:    make(map[string]map[string]*Route),
		homes:    make(map[string][]string),
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for i := range routes {
		r := &routes[i]
		if len(r.Shares) == 0 {
			return nil, errors.Wrapf(ErrNoService, "route %q", r.Name)
		}
		host := strings.ToLower(r.Host)
		if c.hosts[host] == nil {
			c.hosts[host] = make(map[string]*Route)
		}
		c.hosts[host][r.Prefix] = r
		if len(r.Homes) > 0 {
			c.homes[host] = commonHomes(c.homes[host], r.Homes)
		}
	}
	return c, nil
}

// commonHomes returns the regions in both lists, or all of more if there are none.
func commonHomes(known, more []string) []string {
	if known == nil {
		return more
	}
	var common []string
	for _, a := range known {
		if slices.Contains(more, a) {
			common = append(common, a)
		}
	}
	if common == nil {
		return more
	}
	return common
}

// Match returns the route with the longest prefix of the path, or nil.
func (c *Catalog) Match(host, path string) *Route {
	routes := c.hosts[strings.ToLower(host)]
	if routes == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := routes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or the zero Service.
func (c *Catalog) Service(name string) Service {
	return c.services[name]
}

// Homes returns the regions to which the routes of a host are restricted, or nil.
func (c *Catalog) Homes(host string) []string {
	return c.homes[strings.ToLower(host)]
}

// Routes returns the number of routes.
func (c *Catalog) Routes() int {
	return c.count
}
