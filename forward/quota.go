package forward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/wigeonlock/wigeonlock/frontend"
	"github.com/wigeonlock/wigeonlock/ration"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
)

// takeQuota takes a permit from the quota of the caller's team, or returns the refusal of a
// request that is beyond it. A permit whose request no worker ran is given back.
func (s *Service) takeQuota(ctx context.Context, rs *requestState) *relay.Answer {
	if s.Rations == nil || rs.team == nil || rs.team.PerSecond <= 0 {
		return nil
	}
	quota := ration.Limit{Team: rs.team.Name, PerSecond: rs.team.PerSecond, Burst: rs.team.Burst}
	taken := s.Rations.Take(time.Now(), quota, 0)
	for waits := 1; taken.Verdict == ration.Pending; waits++ {
		if !awaitRation(ctx, taken) {
			return s.refuse(rs.request, relay.DeadlinePassed, rs.deadline)
		}
		taken = s.Rations.Take(time.Now(), quota, waits)
	}
	if taken.Verdict == ration.Denied {
		return refuseQuota(taken)
	}
	rs.onRelease(func() {
		if !rs.mayHaveRun() {
			s.Rations.Return(time.Now(), taken.Permit)
		}
	})
	return nil
}

// awaitRation waits until an issuer answered or it is time to ask again. It returns false if
// the request ended before.
func awaitRation(ctx context.Context, taken ration.Taken) bool {
	timer := time.NewTimer(taken.Wait)
	defer timer.Stop()
	select {
	case <-taken.Answered:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// mayHaveRun reports whether a worker ran the request, or may have.
func (rs *requestState) mayHaveRun() bool {
	return rs.unknown || rs.failure != nil || rs.last.Answer != nil && rs.last.Answer.Outcome == retry.Run
}

// refuseQuota returns the refusal of a request for which there is no permit: 429 if the quota
// of the team is used up, and 503 if that is not known as no issuer answers.
func refuseQuota(taken ration.Taken) *relay.Answer {
	if taken.Denial != ration.UsedUp {
		return refusal(relay.QuotaUnknown, taken.RetryAfter)
	}
	countRefusal(relay.TeamQuota)
	a := frontend.Refusal(http.StatusTooManyRequests, relay.TeamQuota, "the quota of the team is used up; the request did not run")
	a.Header = append(a.Header, relay.Header{
		Name: relay.HeaderRetryAfter, Value: strconv.FormatFloat(max(taken.RetryAfter, 0).Seconds(), 'f', 3, 64),
	})
	return a
}
