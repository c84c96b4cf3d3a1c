package forward

import (
	"context"
	"slices"
	"time"

	"github.com/wigeonlock/wigeonlock/catalog"
	"github.com/wigeonlock/wigeonlock/exchange"
	"github.com/wigeonlock/wigeonlock/permit"
	"github.com/wigeonlock/wigeonlock/placement"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/team"
)

// requestState is the state of a request that is being forwarded.
type requestState struct {
	request *relay.Request
	route   *catalog.Route
	// version is that of the configuration of the route, and teams are those of it.
	version catalog.Version
	teams   *team.Roster
	service string
	// deadline is when the request must be answered.
	deadline time.Time
	// tried are the IDs of the workers that were chosen so far.
	tried []string
	// choice is the last choice of a worker, updateAge the age of that worker's
	// last update.
	choice    placement.Choice
	updateAge time.Duration
	// returning is set if the caller was refused before and returns.
	returning bool
	// queued is the time from the receipt of the complete request to the first
	// attempt.
	queued time.Duration
	// noRetry is why the request was not sent to another worker.
	noRetry noRetryReason
	// attempts counts the workers that the request was sent to, and failedDials
	// those that could not be reached.
	attempts    int
	failedDials int
	// trial is set while the request is the one that tries a suspected content.
	trial bool
	// unknown is set when a worker may have run the request.
	unknown bool
	// permitWaits counts the answers of issuers that were waited for, and holds are the
	// workers for which the request got no permit.
	permitWaits int
	holds       []permit.Hold
	last        exchange.Result
	// failure is the server error of an earlier worker. It is returned if no other
	// worker gives an answer.
	failure *relay.Answer
	// team is the team of the caller, or nil if the configuration holds no teams or the route
	// is open.
	team *team.Team
	// withdrawnFrom is the team that held the caller's key before, if it was refused for that.
	withdrawnFrom string
	// answerHolds is set when the memory for the answer is given back with the answer.
	answerHolds bool
	// releases give back what the request took, in reverse order.
	releases []func()
}

// admit takes what a request needs before a worker is chosen, in this order: its team, the
// quota of the team, and memory for its answer. It returns the refusal if one of them is
// missing, or nil.
func (s *Service) admit(ctx context.Context, rs *requestState) *relay.Answer {
	for _, step := range []func(context.Context, *requestState) *relay.Answer{s.identifyTeam, s.takeQuota, s.takeMemory} {
		if refusal := step(ctx, rs); refusal != nil {
			return refusal
		}
	}
	return nil
}

// onRelease registers what gives back something that the request took. It is called once, when
// the request ends, whichever way it ends.
func (rs *requestState) onRelease(f func()) {
	rs.releases = append(rs.releases, f)
}

func (rs *requestState) releaseAll() {
	for _, release := range slices.Backward(rs.releases) {
		release()
	}
	rs.releases = nil
}
