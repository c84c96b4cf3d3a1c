package gateway

import (
	"net"
	"os"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/wigeonlock/wigeonlock/findings"
	"github.com/wigeonlock/wigeonlock/forward"
	"github.com/wigeonlock/wigeonlock/settings"
)

// Settings are the settings of an entry instance on the users' platform.
type Settings struct {
	Instance string `json:"instance"`
	Region   string `json:"region"`
	Zone     string `json:"zone"`
	Zones    []Zone `json:"zones"`
	// Callers serves requests, Readiness the readiness checks of the platform,
	// and Directory callers' queries for instances. Admin serves metrics; if its
	// address is empty, metrics are not served.
	Callers   settings.Listener `json:"callers"`
	Readiness settings.Listener `json:"readiness"`
	Directory settings.Listener `json:"directory"`
	// Peers serves the neighbours, Permits the datagrams of all instances about limits of
	// workers.
	Peers   settings.Listener `json:"peers"`
	Permits settings.Listener `json:"permits"`
	Admin   settings.Listener `json:"admin"`
	Store   Store             `json:"store"`
	// MemoryMb is the memory that the process may use, in MB.
	MemoryMb int `json:"memoryMb"`
	// Cores and LinkMbit are the CPU cores and the bandwidth, in Mbit/s, of the
	// machine; zero means unknown.
	Cores    float64 `json:"cores"`
	LinkMbit float64 `json:"linkMbit"`
	// StopSeconds is the time from SIGTERM by which the process must have ended.
	StopSeconds float64 `json:"stopSeconds"`
	// TTLSeconds is the longest time for which callers may cache an answer of the
	// directory.
	TTLSeconds float64      `json:"ttlSeconds"`
	Retry      Retry        `json:"retry"`
	Cold       Cold         `json:"cold"`
	Log        settings.Log `json:"log"`
}

// Zone is an availability zone and its region.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Store is the address of the platform's store.
type Store struct {
	Address string `json:"address"`
}

// Retry limits the retries of all instances together within WindowSeconds: Ratio
// for each first attempt, plus Extra.
type Retry struct {
	Ratio         float64 `json:"ratio"`
	Extra         float64 `json:"extra"`
	WindowSeconds float64 `json:"windowSeconds"`
}

// Cold limits the requests per second to a cold worker: the cold rate of its
// service times Overrun, plus Slack.
type Cold struct {
	Overrun float64 `json:"overrun"`
	Slack   float64 `json:"slack"`
}

// Default returns settings with all defaults set.
func Default() Settings {
	return Settings{
		MemoryMb: 256, StopSeconds: 6, TTLSeconds: 5,
		Retry: Retry{Ratio: 0.1, Extra: 10, WindowSeconds: 10},
		Cold:  Cold{Overrun: 1},
		Log:   settings.Log{Level: "info"},
	}
}

// Load reads and validates a settings file.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(file, data)
}

// Parse decodes and validates settings; file is the name used in findings. The
// error is a *findings.Error.
func Parse(file string, data []byte) (*Settings, error) {
	s := Default()
	if err := findings.Read(file, data, &s, s.check); err != nil {
		return nil, err
	}
	return &s, nil
}

func (s *Settings) check(doc *findings.Document, list *findings.List) {
	required := []struct{ pointer, value string }{
		{"/instance", s.Instance}, {"/region", s.Region}, {"/zone", s.Zone},
	}
	for _, r := range required {
		if r.value == "" {
			doc.Add(list, r.pointer, "%s is required", r.pointer[1:])
		}
	}
	addresses := []struct{ pointer, value string }{
		{"/callers/listen", s.Callers.Listen},
		{"/readiness/listen", s.Readiness.Listen},
		{"/directory/listen", s.Directory.Listen},
		{"/peers/listen", s.Peers.Listen},
		{"/permits/listen", s.Permits.Listen},
		{"/store/address", s.Store.Address},
	}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			doc.Add(list, a.pointer, "%q is not host:port", a.value)
		}
	}
	if region := s.RegionOf(s.Zone); region != s.Region {
		doc.Add(list, "/zone", "zone %q is in region %q by zones, but region is %q", s.Zone, region, s.Region)
	}
	positive := []struct {
		pointer string
		value   float64
	}{
		{"/memoryMb", float64(s.MemoryMb)},
		{"/stopSeconds", s.StopSeconds},
		{"/ttlSeconds", s.TTLSeconds},
		{"/retry/windowSeconds", s.Retry.WindowSeconds},
	}
	for _, p := range positive {
		if p.value <= 0 {
			doc.Add(list, p.pointer, "%g is not above 0", p.value)
		}
	}
	notNegative := []struct {
		pointer string
		value   float64
	}{
		{"/retry/ratio", s.Retry.Ratio},
		{"/retry/extra", s.Retry.Extra},
		{"/cold/overrun", s.Cold.Overrun},
		{"/cold/slack", s.Cold.Slack},
	}
	for _, p := range notNegative {
		if p.value < 0 {
			doc.Add(list, p.pointer, "%g is below 0", p.value)
		}
	}
	if !slices.Contains(settings.LogLevels, s.Log.Level) {
		doc.Add(list, "/log/level", "log level %q is not one of %v", s.Log.Level, settings.LogLevels)
	}
}

// RegionOf returns the region of a zone, or an empty string if it is unknown.
func (s *Settings) RegionOf(zone string) string {
	for _, z := range s.Zones {
		if z.Name == zone {
			return z.Region
		}
	}
	return ""
}

// Stop returns the time from SIGTERM until the process must have ended.
func (s *Settings) Stop() time.Duration {
	return seconds(s.StopSeconds)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// _mbitPerCore is the bandwidth, in Mbit/s, that counts as much as a CPU core: an
// instance with a third of a core forwards about 1000 small answers per second, or
// downloads at about 100 Mbit/s.
const _mbitPerCore = 300

// capacity returns the capacity of the instance in cores: the smaller of its cores
// and its bandwidth.
func (s *Settings) capacity() float64 {
	return min(s.Cores, s.LinkMbit/_mbitPerCore)
}

// sharedLimits returns the limits that all instances share.
func (s *Settings) sharedLimits() forward.SharedLimits {
	return forward.SharedLimits{
		RetryRatio: s.Retry.Ratio, RetryExtra: s.Retry.Extra, RetryWindow: seconds(s.Retry.WindowSeconds),
		ColdOverrun: s.Cold.Overrun, ColdSlack: s.Cold.Slack,
	}
}
