// Package team holds the teams that callers belong to: each has keys, by which requests name
// it, and may have homes, a rank and a quota.
//
// A Roster is all teams of one configuration. It is immutable, so that a lookup takes no lock.
// It holds fingerprints of keys under a secret of the process, never the keys themselves.
//
// # Usage
//
//	roster := team.NewRoster([]team.Entry{{Place: "0", Team: team.Team{Name: "office"}, Keys: keys}})
//	for _, f := range roster.Findings() {
//		log.Warn("team cannot be used as it stands", zap.Stringer("finding", f))
//	}
//	t := roster.Find(key)
//	if t == nil {
//		// no team holds the key
//	}
package team

import "slices"

// Team is a group of callers that a configuration names. It is not modified after the
// configuration was decoded.
type Team struct {
	Name string
	// Homes lists the regions that may serve the team; empty means all.
	Homes []string
	// Rank takes the place of a route's priority for the team's requests if HasRank is set; 0 is
	// the highest.
	Rank    int
	HasRank bool
	// PerSecond and Burst limit the requests of the team over all instances together; a
	// PerSecond of 0 means no limit.
	PerSecond float64
	Burst     float64
}

// MayServe reports whether a region may serve the team.
func (t *Team) MayServe(region string) bool {
	return len(t.Homes) == 0 || slices.Contains(t.Homes, region)
}

// RankOf returns the rank of the team's requests on a route with a priority.
func (t *Team) RankOf(priority int) int {
	if t.HasRank {
		return t.Rank
	}
	return priority
}
