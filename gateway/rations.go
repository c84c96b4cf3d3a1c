package gateway

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/catalog"
	"github.com/wigeonlock/wigeonlock/ration"
)

// _maxQuotaMetrics is the number of teams whose quotas have metrics of their own: those that send most.
const _maxQuotaMetrics = 20

// newRations returns the quotas of teams on this instance.
func newRations(g *Gateway, s *Settings) *ration.Book {
	zones := make([]ration.Zone, 0, len(s.Zones))
	for _, z := range s.Zones {
		zones = append(zones, ration.Zone{Name: z.Name, Region: z.Region})
	}
	return &ration.Book{
		Self: s.Instance, Zone: s.Zone, Region: s.Region, Zones: zones, Send: g.permitfeed.SendRation, OverQuota: g.overQuota,
		Appointed: func(places int) { g.Log.Info("issues permits of teams", zap.Int("places", places)) },
	}
}

// configureRations takes the quotas of the teams of a configuration.
func (g *Gateway) configureRations(c *catalog.Catalog) {
	teams := c.Teams.Teams()
	limits := make([]ration.Limit, 0, len(teams))
	for _, t := range teams {
		limits = append(limits, ration.Limit{Team: t.Name, PerSecond: t.PerSecond, Burst: t.Burst})
	}
	g.rations.Configure(time.Now(), limits)
	g.teams.Store(c.Teams != nil)
}

// tickRations tells the quotas what is known of the registrations, if the configuration has
// teams.
func (g *Gateway) tickRations(now time.Time) {
	if !g.teams.Load() {
		return
	}
	v := ration.View{
		Started: g.startedAt.UnixMilli(), ReadAt: g.watcher.ReadAt(),
		Registration: g.registration.number.Load(), RenewedAt: g.registration.held(),
	}
	if !v.RenewedAt.IsZero() {
		v.RenewedAt = v.RenewedAt.Add(-_registrationTTL)
	}
	v.Members = g.rationMembers()
	g.rations.Tick(now, v)
}

// rationMembers returns the registered instances in the order of their names.
func (g *Gateway) rationMembers() []ration.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	members := g.directory.Registrations()
	list := make([]ration.Member, 0, len(members))
	for _, m := range members {
		list = append(list, ration.Member{
			Name: m.Name, Zone: m.Zone, Region: m.Region, Address: m.Permits, Started: m.Started, Registration: m.Registrations,
		})
	}
	slices.SortFunc(list, func(a, b ration.Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// overQuota logs that the quota of a team is used up.
func (g *Gateway) overQuota(use ration.Use) {
	g.Log.Info("team is over its quota", zap.String("team", use.Team), zap.Float64("perSecond", use.PerSecond), zap.Float64("burst", use.Burst),
		zap.Int("granted", use.Granted), zap.Int("denied", use.Denied), zap.Int("returned", use.Returned), zap.Int("expired", use.Expired),
		zap.Int("unanswered", use.Unanswered),
		zap.Duration("quotaAgeMs", time.Since(use.Since)), zap.Strings("issuers", use.Issuers))
}

// writeRations writes metrics of the quotas: of the teams that send most, and of the others
// together.
func (g *Gateway) writeRations(w io.Writer, now time.Time) {
	if !g.teams.Load() {
		return
	}
	metrics.WriteGaugeUint64(w, "wigeonlock_team_offices", uint64(g.rations.Offices(now)))
	for _, use := range g.rations.Uses(_maxQuotaMetrics) {
		const requests = "wigeonlock_team_quota_requests_total{team=%q,result=%q}"
		metrics.WriteCounterUint64(w, fmt.Sprintf(requests, use.Team, "granted"), uint64(use.Granted))
		metrics.WriteCounterUint64(w, fmt.Sprintf(requests, use.Team, "denied"), uint64(use.Denied))
		if use.Team != "" {
			metrics.WriteGaugeFloat64(w, fmt.Sprintf("wigeonlock_team_quota{team=%q}", use.Team), use.PerSecond)
			metrics.WriteGaugeFloat64(w, fmt.Sprintf("wigeonlock_team_quota_age_seconds{team=%q}", use.Team), now.Sub(use.Since).Seconds())
		}
	}
}
