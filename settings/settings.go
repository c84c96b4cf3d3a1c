// Package settings holds the settings of one entry instance.
//
// Settings are JSON with comments. Load reads a file and reports all unknown
// keys, wrong types and contradictions together as findings.
//
// # Usage
//
//	s, err := settings.Load("settings.jsonc")
//	var problems *findings.Error
//	if errors.As(err, &problems) {
//		// print problems.Findings
//	}
package settings

import (
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/wigeonlock/wigeonlock/findings"
)

// Embedded is the platform URL that selects an in-process platform, for a
// deployment on a single machine.
const Embedded = "embedded"

// Settings are the settings of one entry instance.
type Settings struct {
	Instance    string    `json:"instance"`
	Region      string    `json:"region"`
	Zone        string    `json:"zone"`
	Callers     Listener  `json:"callers"`
	Peers       Listener  `json:"peers"`
	Admin       Listener  `json:"admin"`
	Platform    Platform  `json:"platform"`
	Regions     []Region  `json:"regions"`
	Links       []Link    `json:"links"`
	Services    []Service `json:"services"`
	LookupTTLMs int       `json:"lookupTtlMs"`
	DrainMs     int       `json:"drainMs"`
	TLS         TLS       `json:"tls"`
	Log         Log       `json:"log"`
}

// Listener is an address on which the instance listens. Advertise is the address
// published to others; if it is empty, Listen is published.
type Listener struct {
	Listen    string `json:"listen"`
	Advertise string `json:"advertise"`
}

// Address returns the address that is published to others.
func (l Listener) Address() string {
	if l.Advertise != "" {
		return l.Advertise
	}
	return l.Listen
}

// Platform is the location of the platform, which provides the store and the
// list of instances.
type Platform struct {
	URL string `json:"url"`
}

// Region is a region and its availability zones.
type Region struct {
	Name  string   `json:"name"`
	Zones []string `json:"zones"`
}

// Link is the network link from one region to another, with its latency in one
// direction and its capacity. It also applies to the opposite direction unless
// that is configured separately.
type Link struct {
	From          string `json:"from"`
	To            string `json:"to"`
	OneWayMs      int    `json:"oneWayMs"`
	MbitPerSecond int    `json:"mbitPerSecond"`
}

// Service is a service that workers provide.
type Service struct {
	Name                 string `json:"name"`
	SlotsPerWorker       int    `json:"slotsPerWorker"`
	ConnectionsPerWorker int    `json:"connectionsPerWorker"`
	TimeoutMs            int    `json:"timeoutMs"`
}

// Timeout returns the longest time until the head of an answer.
func (s Service) Timeout() time.Duration {
	return time.Duration(s.TimeoutMs) * time.Millisecond
}

// TLS names the files for mutual TLS between entry instances. Either all of them
// or none must be set; none disables TLS.
type TLS struct {
	CertFile string `json:"certFile"`
	KeyFile  string `json:"keyFile"`
	CAFile   string `json:"caFile"`
}

// Enabled reports whether TLS is configured.
func (t TLS) Enabled() bool {
	return t.CertFile != ""
}

// Log configures logging.
type Log struct {
	Level string `json:"level"`
}

// LookupTTL returns the time for which callers may cache a lookup answer.
func (s *Settings) LookupTTL() time.Duration {
	return time.Duration(s.LookupTTLMs) * time.Millisecond
}

// Drain returns the longest time for which a shutdown waits for open requests.
func (s *Settings) Drain() time.Duration {
	return time.Duration(s.DrainMs) * time.Millisecond
}

// Service returns the service with the given name.
func (s *Settings) Service(name string) (Service, bool) {
	for _, svc := range s.Services {
		if svc.Name == name {
			return svc, true
		}
	}
	return Service{}, false
}

// RegionOf returns the region of a zone, or an empty string if the zone is
// unknown.
func (s *Settings) RegionOf(zone string) string {
	for _, r := range s.Regions {
		for _, z := range r.Zones {
			if z == zone {
				return r.Name
			}
		}
	}
	return ""
}

// LinkBetween returns the link from one region to another, or the one in the
// opposite direction if only that is configured.
func (s *Settings) LinkBetween(from, to string) (Link, bool) {
	var reverse Link
	for _, l := range s.Links {
		if l.From == from && l.To == to {
			return l, true
		}
		if l.From == to && l.To == from {
			reverse = l
		}
	}
	return reverse, reverse.From != ""
}

// LongestTimeout returns the longest timeout of all services, or zero if there
// are none.
func (s *Settings) LongestTimeout() time.Duration {
	var longest time.Duration
	for _, svc := range s.Services {
		longest = max(longest, svc.Timeout())
	}
	return longest
}

// Default returns the default settings. Defaults that depend on other settings
// are set by Parse.
func Default() Settings {
	return Settings{
		Callers:     Listener{Listen: "127.0.0.1:8080"},
		Peers:       Listener{Listen: "127.0.0.1:8081"},
		Admin:       Listener{Listen: "127.0.0.1:8082"},
		LookupTTLMs: 5000,
		DrainMs:     15000,
		Log:         Log{Level: "info"},
	}
}

// Load reads and checks a settings file. The error is a *findings.Error if the
// file was read but is not valid.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(file, data)
}

// Parse decodes and checks settings and sets defaults. file is the name used in
// findings. The error is a *findings.Error with all problems.
func Parse(file string, data []byte) (*Settings, error) {
	s := Default()
	err := findings.Read(file, data, &s, func(doc *findings.Document, list *findings.List) {
		s.setDefaults()
		s.check(doc, list)
	})
	if err != nil {
		return nil, err
	}
	return &s, nil
}
