package play

import (
	"fmt"
	"math/rand/v2"

	"github.com/wigeonlock/wigeonlock/standin"
)

// teamKey is a key and the team that holds it, none if no configuration does.
type teamKey struct {
	key  string
	team string
}

const (
	// _claimedTeam is the team that callers name themselves.
	_claimedTeam = "boss"
	// _turningTeam holds keys that each configuration changes.
	_turningTeam = "turning"
	// _unknownKeyShare is the part of the requests of changing keys that have one that no
	// configuration holds.
	_unknownKeyShare = 0.2
)

var (
	// _steadyKey is in all configurations, as is _nearKey of a team with homes.
	_steadyKey = teamKey{"steady-key", "steady"}
	_nearKey   = teamKey{"near-key", "near"}
)

// turningKey returns the key that a configuration version added.
func turningKey(version int) string { return fmt.Sprintf("turning-key-%d", version) }

// teamsOf returns the teams of a configuration version.
func teamsOf(version int) []standin.Team {
	turning := standin.Team{Name: _turningTeam}
	for v := max(version-_keptVersions+1, 1); v <= version; v++ {
		turning.Keys = append(turning.Keys, turningKey(v))
	}
	return []standin.Team{
		{Name: _steadyKey.team, Keys: []string{_steadyKey.key}},
		{Name: _nearKey.team, Keys: []string{_nearKey.key}, Homes: []string{"r1"}},
		turning,
	}
}

// turningKey returns the key that one of the last four configuration versions added, of which
// the later ones hold it, or one that none holds.
func (r *run) turningKey() teamKey {
	if rand.Float64() < _unknownKeyShare {
		return teamKey{key: "unknown-key"}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return teamKey{turningKey(max(r.version-rand.IntN(2*_keptVersions), 1)), _turningTeam}
}
