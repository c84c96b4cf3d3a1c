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
	// Callers, Readiness and Directory are where callers connect, where the
	// platform asks whether the instance is ready, and where callers ask which
	// instances there are. Admin serves metrics; empty means nowhere.
	Callers   settings.Listener `json:"callers"`
	Readiness settings.Listener `json:"readiness"`
	Directory settings.Listener `json:"directory"`
	// Peers is where neighbours connect.
	Peers settings.Listener `json:"peers"`
	Admin settings.Listener `json:"admin"`
	Store Store             `json:"store"`
	// MemoryMb is what the process may use.
	MemoryMb int `json:"memoryMb"`
	// Cores and LinkMbit are what the machine has; zero means not known.
	Cores    float64 `json:"cores"`
	LinkMbit float64 `json:"linkMbit"`
	// StopSeconds is the time from SIGTERM to the end.
	StopSeconds float64 `json:"stopSeconds"`
	// TTLSeconds is the longest time that callers keep an answer of the
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

// Store is where the platform's store answers.
type Store struct {
	Address string `json:"address"`
}

// Retry bounds what all instances together send again.
type Retry struct {
	Ratio         float64 `json:"ratio"`
	Extra         float64 `json:"extra"`
	WindowSeconds float64 `json:"windowSeconds"`
}

// Cold bounds what a cold worker gets in a second: its rate times Overrun,
// plus Slack.
type Cold struct {
	Overrun float64 `json:"overrun"`
	Slack   float64 `json:"slack"`
}

// Default returns settings in which everything that has a default is set.
func Default() Settings {
	return Settings{
		MemoryMb: 256, StopSeconds: 6, TTLSeconds: 5,
		Retry: Retry{Ratio: 0.1, Extra: 10, WindowSeconds: 10},
		Cold:  Cold{Overrun: 1},
		Log:   settings.Log{Level: "info"},
	}
}

// Load reads and checks a settings file.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(file, data)
}

// Parse checks settings; file is the name used in findings. The error is a
// *findings.Error.
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

// RegionOf returns the region of a zone, or an empty string.
func (s *Settings) RegionOf(zone string) string {
	for _, z := range s.Zones {
		if z.Name == zone {
			return z.Region
		}
	}
	return ""
}

// Stop is the time from the request to stop to the end.
func (s *Settings) Stop() time.Duration {
	return seconds(s.StopSeconds)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// _linkPerCore is the bandwidth, in Mbit/s, that weighs as much as a core: an
// instance of a third of a core passes on some thousand small answers a second,
// or downloads at some hundred Mbit/s.
const _linkPerCore = 300

// capacity ranks instances by what they have least of.
func (s *Settings) capacity() float64 {
	return min(s.Cores, s.LinkMbit/_linkPerCore)
}

// bounds are the shares of all instances together.
func (s *Settings) bounds() forward.SharedLimits {
	return forward.SharedLimits{
		RetryRatio: s.Retry.Ratio, RetryExtra: s.Retry.Extra, RetryWindow: seconds(s.Retry.WindowSeconds),
		ColdOverrun: s.Cold.Overrun, ColdSlack: s.Cold.Slack,
	}
}
