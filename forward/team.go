package forward

import (
	"context"

	"github.com/wigeonlock/wigeonlock/relay"
)

// identifyTeam sets the team of the caller, or returns the refusal of a request whose key no
// team holds.
func (s *Service) identifyTeam(context.Context, *requestState) *relay.Answer {
	return nil
}
