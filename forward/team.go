package forward

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/wigeonlock/wigeonlock/frontend"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/team"
)

// _maxKeyAge is the age of the last read of the store up to which an instance knows that no
// team holds a key. In normal operation, reads are at most 1.3 s apart.
const _maxKeyAge = 2 * time.Second

// identifyTeam sets the team of the caller, or returns the refusal of a request whose key no
// team holds.
func (s *Service) identifyTeam(_ context.Context, rs *requestState) *relay.Answer {
	if rs.teams == nil || rs.route.Open {
		return nil
	}
	t := rs.teams.Find(rs.request.Key)
	if t == nil {
		return s.refuseKey(rs)
	}
	rs.team, rs.request.Team = t, t.Name
	s.usage.Admit(t.Name)
	if len(t.Homes) > 0 && len(rs.route.Homes) > 0 && !slices.ContainsFunc(t.Homes, rs.route.MayServe) {
		return s.refuse(rs.request, relay.NoHomeRegion, rs.deadline)
	}
	return nil
}

// refuseKey returns the refusal of a request that names no known team. The configuration may be
// newer than what this instance knows if it has not heard of the store for a while: the caller
// may then return, perhaps to another instance.
func (s *Service) refuseKey(rs *requestState) *relay.Answer {
	if s.ReadAt != nil && time.Since(s.ReadAt()) > _maxKeyAge {
		return s.refuse(rs.request, relay.UnconfirmedKey, rs.deadline)
	}
	countRefusal(relay.UnknownKey)
	if t := rs.teams.Withdrawn(rs.request.Key); t != nil {
		rs.withdrawnFrom = t.Name
		s.usage.Refuse(t.Name)
	}
	if rs.request.Key == "" {
		return frontend.Refusal(http.StatusUnauthorized, relay.UnknownKey, "the request needs a key")
	}
	return frontend.Refusal(http.StatusUnauthorized, relay.UnknownKey, "no team holds the key")
}

// TeamUsage returns the requests of the teams with the most requests, at most limit, and those
// of all others together.
func (s *Service) TeamUsage(limit int) (largest []team.Count, rest team.Count) {
	return s.usage.Largest(limit)
}

// isBound reports whether homes bind the request.
func (rs *requestState) isBound() bool {
	return len(rs.route.Homes) > 0 || rs.team != nil && len(rs.team.Homes) > 0
}

// mayServe reports whether a region may serve the request: the homes of its route and those of
// its team both bind.
func (rs *requestState) mayServe(region string) bool {
	return rs.route.MayServe(region) && (rs.team == nil || rs.team.MayServe(region))
}
