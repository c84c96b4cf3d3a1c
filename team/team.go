// Package team holds the teams that callers belong to: each has keys, by which requests name
// it, and may have homes, a rank and a quota.
package team

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
