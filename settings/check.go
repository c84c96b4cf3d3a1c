package settings

import (
	"fmt"
	"net"
	"net/url"
	"slices"
	"strconv"

	"github.com/wigeonlock/wigeonlock/findings"
)

const (
	_defaultSlots       = 4
	_defaultConnections = 330
	_defaultTimeoutMs   = 2000
	_maxLookupTTLMs     = 600_000
	_maxDrainMs         = 3_600_000
	_maxTimeoutMs       = 600_000
	_maxSlots           = 10_000
	_maxPort            = 65535
)

// LogLevels are the accepted values of log.level.
var LogLevels = []string{"debug", "info", "warn", "error"}

// setDefaults sets the defaults that depend on other settings.
func (s *Settings) setDefaults() {
	if len(s.Regions) == 0 && s.Region != "" && s.Zone != "" {
		s.Regions = []Region{{Name: s.Region, Zones: []string{s.Zone}}}
	}
	for i := range s.Services {
		svc := &s.Services[i]
		svc.SlotsPerWorker = orDefault(svc.SlotsPerWorker, _defaultSlots)
		svc.ConnectionsPerWorker = orDefault(svc.ConnectionsPerWorker, _defaultConnections)
		svc.TimeoutMs = orDefault(svc.TimeoutMs, _defaultTimeoutMs)
	}
}

func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}

func (s *Settings) check(doc *findings.Document, list *findings.List) {
	required := []struct{ pointer, value string }{
		{"/instance", s.Instance},
		{"/region", s.Region},
		{"/zone", s.Zone},
		{"/platform/url", s.Platform.URL},
	}
	for _, r := range required {
		if r.value == "" {
			doc.Add(list, r.pointer, "%s is required", r.pointer[1:])
		}
	}
	s.checkPlatform(doc, list)
	s.checkListeners(doc, list)
	s.checkRegions(doc, list)
	s.checkLinks(doc, list)
	s.checkServices(doc, list)
	s.checkTLS(doc, list)
	doc.AddOutOfRange(list, "/lookupTtlMs", s.LookupTTLMs, 1, _maxLookupTTLMs)
	doc.AddOutOfRange(list, "/drainMs", s.DrainMs, 1, _maxDrainMs)
	if !slices.Contains(LogLevels, s.Log.Level) {
		doc.Add(list, "/log/level", "log level %q is not one of %v", s.Log.Level, LogLevels)
	}
}

func (s *Settings) checkPlatform(doc *findings.Document, list *findings.List) {
	if s.Platform.URL == "" || s.Platform.URL == Embedded {
		return
	}
	u, err := url.Parse(s.Platform.URL)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		doc.Add(list, "/platform/url", "%q is not an http URL or %q", s.Platform.URL, Embedded)
	}
}

func (s *Settings) checkListeners(doc *findings.Document, list *findings.List) {
	used := make(map[string]string, 3)
	for _, l := range []struct {
		pointer  string
		listener Listener
	}{{"/callers", s.Callers}, {"/peers", s.Peers}, {"/admin", s.Admin}} {
		checkAddress(doc, list, l.pointer+"/listen", l.listener.Listen)
		if l.listener.Advertise != "" {
			checkAddress(doc, list, l.pointer+"/advertise", l.listener.Advertise)
		}
		if other, taken := used[l.listener.Listen]; taken {
			doc.Add(list, l.pointer+"/listen", "%q is already the listen address of %s", l.listener.Listen, other)
		}
		used[l.listener.Listen] = l.pointer[1:]
	}
}

func checkAddress(doc *findings.Document, list *findings.List, pointer, address string) {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		doc.Add(list, pointer, "%q is not an IP address with a port", address)
		return
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > _maxPort {
		doc.Add(list, pointer, "port %q is out of range: must be from 1 to %d", port, _maxPort)
	}
}

func (s *Settings) checkRegions(doc *findings.Document, list *findings.List) {
	regions := make(map[string]struct{}, len(s.Regions))
	zones := make(map[string]string)
	for i, r := range s.Regions {
		at := fmt.Sprintf("/regions/%d", i)
		if r.Name == "" {
			doc.Add(list, at, "region has no name")
		}
		if _, duplicate := regions[r.Name]; duplicate {
			doc.Add(list, at+"/name", "region %q is listed twice", r.Name)
		}
		regions[r.Name] = struct{}{}
		for j, z := range r.Zones {
			if other, duplicate := zones[z]; duplicate {
				doc.Add(list, fmt.Sprintf("%s/zones/%d", at, j), "zone %q is already in region %q", z, other)
				continue
			}
			zones[z] = r.Name
		}
	}
	if s.Zone != "" && zones[s.Zone] != s.Region {
		doc.Add(list, "/zone", "zone %q is not listed in region %q under regions", s.Zone, s.Region)
	}
}

func (s *Settings) checkLinks(doc *findings.Document, list *findings.List) {
	seen := make(map[[2]string]struct{}, len(s.Links))
	names := make([]string, 0, len(s.Regions))
	for _, r := range s.Regions {
		names = append(names, r.Name)
	}
	for i, l := range s.Links {
		at := fmt.Sprintf("/links/%d", i)
		for _, end := range []struct{ key, region string }{{"/from", l.From}, {"/to", l.To}} {
			if !slices.Contains(names, end.region) {
				doc.AddUnknown(list, at+end.key, "region", end.region, names)
			}
		}
		if l.From == l.To {
			doc.Add(list, at, "link connects region %q to itself", l.From)
		}
		key := [2]string{l.From, l.To}
		if _, duplicate := seen[key]; duplicate {
			doc.Add(list, at, "link from %q to %q is listed twice", l.From, l.To)
		}
		seen[key] = struct{}{}
		doc.AddOutOfRange(list, at+"/oneWayMs", l.OneWayMs, 0, _maxTimeoutMs)
		doc.AddOutOfRange(list, at+"/mbitPerSecond", l.MbitPerSecond, 1, 1_000_000)
	}
}

func (s *Settings) checkServices(doc *findings.Document, list *findings.List) {
	seen := make(map[string]struct{}, len(s.Services))
	for i, svc := range s.Services {
		at := fmt.Sprintf("/services/%d", i)
		if svc.Name == "" {
			doc.Add(list, at, "service has no name")
		}
		if _, duplicate := seen[svc.Name]; duplicate {
			doc.Add(list, at+"/name", "service %q is listed twice", svc.Name)
		}
		seen[svc.Name] = struct{}{}
		doc.AddOutOfRange(list, at+"/slotsPerWorker", svc.SlotsPerWorker, 1, _maxSlots)
		doc.AddOutOfRange(list, at+"/connectionsPerWorker", svc.ConnectionsPerWorker, 1, _maxSlots)
		doc.AddOutOfRange(list, at+"/timeoutMs", svc.TimeoutMs, 1, _maxTimeoutMs)
		if svc.ConnectionsPerWorker > 0 && svc.ConnectionsPerWorker < svc.SlotsPerWorker {
			doc.Add(list, at+"/connectionsPerWorker", "%d connections are not enough for %d slots",
				svc.ConnectionsPerWorker, svc.SlotsPerWorker)
		}
	}
}

func (s *Settings) checkTLS(doc *findings.Document, list *findings.List) {
	files := []struct{ key, value string }{
		{"certFile", s.TLS.CertFile}, {"keyFile", s.TLS.KeyFile}, {"caFile", s.TLS.CAFile},
	}
	set := 0
	for _, f := range files {
		if f.value != "" {
			set++
		}
	}
	if set == 0 || set == len(files) {
		return
	}
	for _, f := range files {
		if f.value == "" {
			doc.Add(list, "/tls/"+f.key, "tls.%s is required when another tls file is set", f.key)
		}
	}
}
